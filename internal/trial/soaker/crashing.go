package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/egretroute/egretroute/platform/platformtest"
)

const (
	// crashText is in the body of requests that crash the targets that run them.
	crashText = "crashes-targets"
	// crashingGap limits the time between the first arrivals of two such requests,
	// crashingPause that between two arrivals of the same one.
	crashingGap   = 8 * time.Second
	crashingPause = 400 * time.Millisecond
	// contactTime is how long after the third crash every router in touch knows of it.
	contactTime = 3 * time.Second
	// maxCrashes is the number of crashes after which a request must be recognised,
	// maxLateRuns how often it may still be sent to a target after that.
	maxCrashes  = 3
	maxLateRuns = 3
	// crashRefusal is part of the refusal of such a request.
	crashRefusal = "crash the targets"
)

// sendCrashing sends a request that crashes targets again and again to random gateways, in
// all kinds of route, until the clients end. The fault itself has no end.
func (s *Soak) sendCrashing(random *rand.Rand) func() {
	s.mu.Lock()
	s.crashingCount++
	number := s.crashingCount
	s.mu.Unlock()
	var gateways []*program
	for _, p := range s.programs {
		if p.kind == "gateway" {
			gateways = append(gateways, p)
		}
	}
	path := pick(random, []string{"/orders/a", "/checks/a", "/notes/a", "/reviews/a"})
	s.senders.Go(func() {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		for n := 0; s.clientsCtx.Err() == nil; n++ {
			gateway := pick(random, gateways)
			request := platformtest.Request{
				ID: fmt.Sprintf("x%d-%d", number, n), Key: "beta-key", Path: path, Timeout: requestTimeout,
				Body: fmt.Sprintf("%s %d", crashText, number),
			}
			if path == "/notes/a" || path == "/reviews/a" {
				request.PromptTokens, request.OutputTokens = 100, 60
			}
			s.observe(context.Background(), client, gateway, request)
			sleep(s.clientsCtx, randomDuration(random, crashingPause))
		}
	})
	return nil
}

// restartTarget lets a target that has crashed be reached again.
func (s *Soak) restartTarget(t *target) {
	if err := t.proxy.accept(); err != nil {
		s.logEvent("restart failed", err.Error())
		return
	}
	s.putEntry(t, "ready")
}

// crashes reports whether the request crashes targets.
func (s Observation) crashes() bool {
	return strings.HasPrefix(s.Request.Body, crashText)
}

// checkInnocence finds other requests that were refused as if they crashed targets.
func checkInnocence(s Observation, _ []platformtest.Run) string {
	if !s.crashes() && strings.Contains(s.Response.Body, crashRefusal) {
		return "innocent: " + s.Response.Body
	}
	return ""
}

// checkCrashes finds requests that were sent to targets too often after they had crashed
// the third one.
func (e *History) checkCrashes(runs map[string][]platformtest.Run) (found []string) {
	byBody := make(map[string][]platformtest.Run)
	for _, s := range e.observations {
		if s.crashes() {
			byBody[s.Request.Body] = append(byBody[s.Request.Body], runs[s.Request.ID]...)
		}
	}
	for body, list := range byBody {
		slices.SortFunc(list, func(a, b platformtest.Run) int { return a.StartedAt.Compare(b.StartedAt) })
		crashes, late := 0, 0
		var third time.Time
		for _, r := range list {
			if crashes >= maxCrashes && r.StartedAt.After(third.Add(contactTime)) {
				late++
			}
			if r.Crashed {
				if crashes++; crashes == maxCrashes {
					third = r.StartedAt
				}
			}
		}
		if late > maxLateRuns {
			found = append(found, fmt.Sprintf("POISON: %q was sent to targets %d times after it had crashed three, %d crashed in all", body, late, crashes))
		}
	}
	return found
}
