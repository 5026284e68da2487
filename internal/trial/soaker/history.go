package soaker

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/egretroute/egretroute/platform/platformtest"
)

// Observation is one request as its caller saw it.
type Observation struct {
	Request  platformtest.Request
	Response platformtest.Response
	// Gateway is the incarnation that was asked.
	Gateway   string
	StartedAt time.Time
	EndedAt   time.Time
	// GatewayFrozen is set if the gateway was stopped by a signal meanwhile.
	GatewayFrozen bool
}

// Bounds are what a soak's findings are held to.
type Bounds struct {
	// AlphaBudget is what alpha may have spent at most, in tokens.
	AlphaBudget int64
	// RecoveryDeadline is when requests must be answered again.
	RecoveryDeadline time.Time
}

const (
	// maxIdempotentRuns is how often the configuration lets a target run what may be repeated.
	maxIdempotentRuns = 2
	// responseSlack is how much longer than its deadline an answer may take: scheduling
	// of a few busy processes.
	responseSlack = 500 * time.Millisecond
	// eventsPerStream is the length of every stream.
	eventsPerStream = 8
	// minAnsweredPercent of 100 requests are answered once faults have ended; budgets may
	// be spent by then, so only requests without one count.
	minAnsweredPercent = 95
)

// History is what callers have seen.
type History struct {
	mu           sync.Mutex // guards seen
	observations []Observation
}

// Add takes one request into the evidence.
func (e *History) Add(s Observation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observations = append(e.observations, s)
}

// Check holds the evidence and what targets ran, by request, to the promises.
func (e *History) Check(b Bounds, runs map[string][]platformtest.Run) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var found []string
	for _, s := range e.observations {
		for _, check := range []func(Observation, []platformtest.Run) string{
			checkNotRun, checkRunCount, checkOwnResponse, checkStream, checkDeadline, checkRetryAfter,
		} {
			if f := check(s, runs[s.Request.ID]); f != "" {
				found = append(found, fmt.Sprintf("%s: request %s at %s, status %d: %s", strings.ToUpper(strings.Fields(f)[0]),
					s.Request.ID, s.Gateway, s.Response.Status, f))
			}
		}
	}
	found = append(found, e.checkSpend(b, runs)...)
	found = append(found, e.checkVersions()...)
	return append(found, e.checkRecovery(b)...)
}

// checkNotRun holds answers that say that nothing ran to what targets ran.
func checkNotRun(s Observation, runs []platformtest.Run) string {
	if s.Response.NotRun() && len(runs) > 0 {
		return fmt.Sprintf("refused, though a target ran it %d times", len(runs))
	}
	return ""
}

// checkRunCount bounds how often targets run a request.
func checkRunCount(s Observation, runs []platformtest.Run) string {
	maxAllowed := maxIdempotentRuns
	if strings.HasPrefix(s.Request.Path, "/orders/") || strings.HasPrefix(s.Request.Path, "/reviews/") {
		maxAllowed = 1
	}
	if len(runs) > maxAllowed {
		return fmt.Sprintf("twice: ran %d times, at most %d", len(runs), maxAllowed)
	}
	return ""
}

// checkOwnResponse holds answers to the request that they belong to.
func checkOwnResponse(s Observation, _ []platformtest.Run) string {
	if s.Response.HasForeignEvent() {
		return "mixed: an event of another request"
	}
	if !s.Request.IsStream() && s.Response.Status == http.StatusOK && s.Response.Err == nil && s.Response.Body != "answer of "+s.Request.ID {
		return fmt.Sprintf("mixed: the body is %q", s.Response.Body)
	}
	return ""
}

// checkStream holds streams to the order of their events, and whole ones to their end.
func checkStream(s Observation, _ []platformtest.Run) string {
	for i, n := range s.Response.Events {
		if n != i+1 {
			return fmt.Sprintf("order: events %v", s.Response.Events)
		}
	}
	if s.Request.IsStream() && s.Response.Status == http.StatusOK && s.Response.Err == nil && len(s.Response.Events) != eventsPerStream {
		return fmt.Sprintf("whole: a stream ends well after %d of %d events", len(s.Response.Events), eventsPerStream)
	}
	return ""
}

// checkDeadline bounds how long a refusal takes.
func checkDeadline(s Observation, _ []platformtest.Run) string {
	if took := s.EndedAt.Sub(s.StartedAt); s.Response.Status >= 500 && !s.GatewayFrozen && took > s.Request.Timeout+responseSlack {
		return fmt.Sprintf("held for %v, deadline %v", took, s.Request.Timeout)
	}
	return ""
}

// checkRetryAfter asks a refusal for the time to come back.
func checkRetryAfter(s Observation, _ []platformtest.Run) string {
	if s.Response.Status == http.StatusServiceUnavailable && !s.Response.Signed && s.Response.RetryAfter == "" {
		return "retry: a refusal doesn't say when to come back"
	}
	return ""
}

// checkSpend adds up what alpha's callers got: the prompt of each request that
// ran once, and the events that were delivered.
func (e *History) checkSpend(b Bounds, runs map[string][]platformtest.Run) []string {
	var spent int64
	for _, s := range e.observations {
		if s.Request.Key == "alpha-key" && s.Request.IsStream() && len(runs[s.Request.ID]) > 0 {
			spent += s.Request.PromptTokens + platformtest.TokensPerEvent*int64(len(s.Response.Events))
		}
	}
	if spent > b.AlphaBudget {
		return []string{fmt.Sprintf("BUDGET: %d tokens were spent of %d", spent, b.AlphaBudget)}
	}
	return nil
}

// checkVersions finds gateways that went back to an older configuration: a route
// that an incarnation knew must not be unknown to it later.
func (e *History) checkVersions() []string {
	routedAt := make(map[string]time.Time)
	for _, s := range e.observations {
		if key := s.Gateway + s.Request.Path; s.Response.Signed {
			if at, ok := routedAt[key]; !ok || s.EndedAt.Before(at) {
				routedAt[key] = s.EndedAt
			}
		}
	}
	var found []string
	for _, s := range e.observations {
		if at, ok := routedAt[s.Gateway+s.Request.Path]; ok && s.Response.Status == http.StatusNotFound && s.StartedAt.After(at) {
			found = append(found, fmt.Sprintf("CONFIG: %s does not know %s any more (request %s)", s.Gateway, s.Request.Path, s.Request.ID))
		}
	}
	return found
}

// checkRecovery asks that requests without a budget are answered once faults have ended.
func (e *History) checkRecovery(b Bounds) []string {
	requests, answered := 0, 0
	outcomes := make(map[string]int)
	for _, s := range e.observations {
		if s.StartedAt.Before(b.RecoveryDeadline) || (s.Request.IsStream() && s.Request.Key == "alpha-key") || s.Response.Status == http.StatusUnauthorized {
			continue
		}
		requests++
		if s.Response.Status == http.StatusOK && s.Response.Err == nil {
			answered++
		} else {
			outcomes[fmt.Sprintf("%d at %s", s.Response.Status, s.Gateway)]++
		}
	}
	if answered*100 >= requests*minAnsweredPercent {
		return nil
	}
	var parts []string
	for o, n := range outcomes {
		parts = append(parts, fmt.Sprintf("%s: %d", o, n))
	}
	slices.Sort(parts)
	return []string{fmt.Sprintf("RECOVER: %d of %d requests are answered after the faults; %s", answered, requests, strings.Join(parts, ", "))}
}
