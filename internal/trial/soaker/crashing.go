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
	// maxHarmfulParts bounds the parts of prompts that crash targets, one after the other.
	maxHarmfulParts = 64
	// harmfulGap limits the time between two such parts, harmfulPause that between two requests
	// with the same one.
	harmfulGap   = 9 * time.Second
	harmfulPause = 500 * time.Millisecond
	// maxPartCrashes is the number of crashes after which a part must be known.
	maxPartCrashes = 5
)

// harmfulPart returns the ID of a part that crashes the engines that begin to answer it.
func harmfulPart(number int) string {
	return fmt.Sprintf("bad%d", number)
}

func harmfulParts() (parts []string) {
	for n := range maxHarmfulParts {
		parts = append(parts, harmfulPart(n))
	}
	return parts
}

// sendHarmful sends requests that have a harmful part in common and nothing else, to random
// gateways, until the clients end. The fault itself has no end.
func (s *Soak) sendHarmful(random *rand.Rand) func() {
	s.mu.Lock()
	number := s.harmfulCount
	s.harmfulCount++
	s.mu.Unlock()
	if number >= maxHarmfulParts {
		return nil
	}
	gateways := s.gateways()
	path := pick(random, []string{"/notes/a", "/reviews/a"})
	s.senders.Go(func() {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		for n := 0; s.clientsCtx.Err() == nil; n++ {
			id := fmt.Sprintf("h%d-%d", number, n)
			s.observe(context.Background(), client, pick(random, gateways), platformtest.Request{
				ID: id, Key: "beta-key", Path: path, Timeout: requestTimeout, Body: "harmful " + id,
				PromptTokens: 100, OutputTokens: 60, Parts: []string{fmt.Sprintf("a%d", n%sharedParts), harmfulPart(number), "own" + id},
			})
			sleep(s.clientsCtx, randomDuration(random, harmfulPause))
		}
	})
	return nil
}

// gateways returns the programs that clients send requests to.
func (s *Soak) gateways() (gateways []*program) {
	for _, p := range s.programs {
		if p.kind == "gateway" {
			gateways = append(gateways, p)
		}
	}
	return gateways
}

// sendCrashing sends a request that crashes targets again and again to random gateways, in
// all kinds of route, until the clients end. The fault itself has no end.
func (s *Soak) sendCrashing(random *rand.Rand) func() {
	s.mu.Lock()
	s.crashingCount++
	number := s.crashingCount
	s.mu.Unlock()
	gateways := s.gateways()
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
	return s.crashKey() != ""
}

// crashKey returns what the request crashes targets for: its body or a part of its prompt.
func (s Observation) crashKey() string {
	if strings.HasPrefix(s.Request.Body, crashText) {
		return s.Request.Body
	}
	if i := slices.IndexFunc(s.Request.Parts, func(p string) bool { return strings.HasPrefix(p, "bad") }); i >= 0 {
		return s.Request.Parts[i]
	}
	return ""
}

// checkInnocence finds other requests that were refused as if they crashed targets.
func checkInnocence(s Observation, _ []platformtest.Run) string {
	if !s.crashes() && strings.Contains(s.Response.Body, crashRefusal) {
		return "innocent: " + s.Response.Body
	}
	return ""
}

// gatewayRun is a run with the name of the gateway that sent it.
type gatewayRun struct {
	platformtest.Run
	gateway string
}

// checkCrashes finds requests that were sent to targets too often after they had crashed
// the third one, and parts of prompts after the fifth. Gateways count that ran undisturbed for
// lossContact before.
func (e *History) checkCrashes(ev Evidence) (found []string) {
	byKey := make(map[string][]gatewayRun)
	for _, s := range e.observations {
		if key := s.crashKey(); key != "" {
			for _, r := range ev.Runs[s.Request.ID] {
				byKey[key] = append(byKey[key], gatewayRun{r, s.gatewayName()})
			}
		}
	}
	for key, list := range byKey {
		check, known := "POISON", maxCrashes
		if !strings.HasPrefix(key, crashText) {
			check, known = "PART", maxPartCrashes
		}
		slices.SortFunc(list, func(a, b gatewayRun) int { return a.StartedAt.Compare(b.StartedAt) })
		crashes, late := 0, 0
		var knownAt time.Time
		for _, r := range list {
			if crashes >= known && r.StartedAt.After(knownAt.Add(contactTime)) && !isDisturbed(ev.Signals[r.gateway], r.StartedAt, r.StartedAt) {
				late++
			}
			if r.Crashed {
				if crashes++; crashes == known {
					knownAt = r.StartedAt
				}
			}
		}
		if late > maxLateRuns {
			found = append(found, fmt.Sprintf("%s: %q was sent to targets %d times after it had crashed %d, %d crashed in all", check, key, late, known, crashes))
		}
	}
	return found
}
