package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/egretroute/egretroute/platform/platformtest"
)

const (
	callDeadline = 2 * time.Second
	// maxThink is the pause of a caller between requests.
	maxThink = 60 * time.Millisecond
	// maxBackoff bounds how long a caller that was told to wait does so.
	maxBackoff = time.Second
)

// call sends requests over connections that it keeps until they end, to a
// gateway chosen anew when one fails.
func (s *Soak) call(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(s.Seed, uint64(1000+number)))
	var gateways []*program
	for _, p := range s.programs {
		if p.kind == "gateway" {
			gateways = append(gateways, p)
		}
	}
	at := pick(random, gateways)
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for n := 0; ctx.Err() == nil; n++ {
		c := s.draw(random, fmt.Sprintf("c%d-%d", number, n))
		incarnation := at.incarnation()
		begun := time.Now()
		r := platformtest.Send(context.WithoutCancel(ctx), client, at.callerAddress, c)
		ended := time.Now()
		s.evidence.Add(Seen{
			Call: c, Reply: r, Gateway: incarnation, Begun: begun, Ended: ended, Frozen: at.frozenDuring(begun, ended),
		})
		if r.Err != nil || r.Status >= 500 {
			at = pick(random, gateways)
		}
		wait := randomTime(random, maxThink)
		if seconds, err := strconv.ParseFloat(r.RetryAfter, 64); err == nil {
			wait = min(time.Duration(seconds*float64(time.Second)), maxBackoff)
		}
		pause(ctx, wait)
	}
}

// draw makes up a request.
func (s *Soak) draw(random *rand.Rand, id string) platformtest.Request {
	c := platformtest.Request{ID: id, Key: "alpha-key", Timeout: callDeadline}
	if random.IntN(3) == 0 {
		c.Key = "beta-key"
	}
	switch random.IntN(6) {
	case 0:
		c.Path = "/orders/a"
	case 1:
		c.Path = "/checks/a"
	case 2:
		s.mu.Lock()
		c.Path = fmt.Sprintf("/mark-%d/a", random.IntN(s.configuration.ExtraRoutes))
		s.mu.Unlock()
	case 3:
		c.Path = "/reviews/a"
		c.PromptTokens, c.OutputTokens = int64(500+random.IntN(1500)), 100
	default:
		c.Path = "/notes/a"
		c.PromptTokens, c.OutputTokens = int64(50+random.IntN(200)), 60
	}
	return c
}
