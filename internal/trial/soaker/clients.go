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
	requestTimeout = 2 * time.Second
	// maxThinkTime limits the random pause of a client between requests.
	maxThinkTime = 60 * time.Millisecond
	// maxBackoff limits how long a client waits because of a Retry-After header.
	maxBackoff = time.Second
	// sharedParts and rareParts are the numbers of first and second parts of prompts.
	sharedParts = 4
	rareParts   = 61
	// keepingClients is the first sequence of clients that keep their connections, above those of
	// the others.
	keepingClients = 1_000_000
)

// runClient sends requests to one gateway over persistent connections until ctx
// ends. After an error or a 5xx response it chooses another gateway at random.
func (s *Soak) runClient(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(s.Seed, uint64(1000+number)))
	gateways := s.gateways()
	gateway := pick(random, gateways)
	transport := &http.Transport{MaxIdleConnsPerHost: 2, DialContext: dialWatched}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for n := 0; ctx.Err() == nil; n++ {
		req := s.newRequest(random, fmt.Sprintf("c%d-%d", number, n))
		resp := s.observe(context.WithoutCancel(ctx), client, gateway, req)
		if resp.Err != nil || resp.Status >= 500 {
			gateway = pick(random, gateways)
		}
		sleep(ctx, pauseAfter(resp, random))
	}
}

// runKeepingClient sends requests to all gateways at random until ctx ends. It uses each connection
// until the gateway closes it, although responses ask for the close.
func (s *Soak) runKeepingClient(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(s.Seed, uint64(keepingClients+number)))
	gateways := s.gateways()
	transport := &keepingTransport{conns: make(map[string]*keptConn)}
	defer transport.close()
	client := &http.Client{Transport: transport}
	for n := 0; ctx.Err() == nil; n++ {
		req := s.newRequest(random, fmt.Sprintf("k%d-%d", number, n))
		resp := s.observe(context.WithoutCancel(ctx), client, pick(random, gateways), req)
		sleep(ctx, pauseAfter(resp, random))
	}
}

// pauseAfter returns how long a client waits after a response.
func pauseAfter(resp platformtest.Response, random *rand.Rand) time.Duration {
	delay := randomDuration(random, maxThinkTime)
	if seconds, err := strconv.ParseFloat(resp.RetryAfter, 64); err == nil {
		delay = min(time.Duration(seconds*float64(time.Second)), maxBackoff)
	}
	return delay
}

// observe sends a request to a gateway and adds what its client saw to the history.
func (s *Soak) observe(ctx context.Context, client *http.Client, gateway *program, req platformtest.Request) platformtest.Response {
	incarnation := gateway.incarnation()
	var trace transferTrace
	start := time.Now()
	resp := platformtest.Send(trace.withTrace(ctx), client, gateway.callerAddress, req)
	ended := time.Now()
	s.history.Add(Observation{
		Request: req, Response: resp, Gateway: incarnation, StartedAt: start, EndedAt: ended,
		GatewayFrozen: gateway.frozenDuring(start, ended), Transfer: trace.result(resp.Err),
	})
	return resp
}

// newRequest returns a random request.
func (s *Soak) newRequest(random *rand.Rand, id string) platformtest.Request {
	req := platformtest.Request{ID: id, Key: "alpha-key", Timeout: requestTimeout, Body: fmt.Sprintf(`{"id":%q}`, id)}
	if random.IntN(3) == 0 {
		req.Key = "beta-key"
	}
	switch random.IntN(6) {
	case 0:
		req.Path = "/orders/a"
	case 1:
		req.Path = "/checks/a"
	case 2:
		s.mu.Lock()
		req.Path = fmt.Sprintf("/mark-%d/a", random.IntN(s.configuration.ExtraRoutes))
		s.mu.Unlock()
	case 3:
		req.Path = "/reviews/a"
		req.PromptTokens, req.OutputTokens = int64(500+random.IntN(1500)), 100
	default:
		req.Path = "/notes/a"
		req.PromptTokens, req.OutputTokens = int64(50+random.IntN(200)), 60
	}
	if req.IsStream() {
		req.Parts = []string{fmt.Sprintf("a%d", len(id)%sharedParts), fmt.Sprintf("b%d", req.PromptTokens%rareParts), "own" + id}
	}
	return req
}
