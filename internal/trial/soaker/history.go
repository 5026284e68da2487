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

// Observation is one request and its response as the client saw them.
type Observation struct {
	Request  platformtest.Request
	Response platformtest.Response
	// Gateway is the incarnation that received the request.
	Gateway   string
	StartedAt time.Time
	EndedAt   time.Time
	// GatewayFrozen is set if the gateway was stopped by SIGSTOP during the request.
	GatewayFrozen bool
	Transfer
}

// Bounds are the limits that depend on the soak's configuration and duration.
type Bounds struct {
	// AlphaBudget is the most that alpha may have spent, in tokens.
	AlphaBudget int64
	// RecoveryDeadline is the time from which requests must be answered again.
	RecoveryDeadline time.Time
}

const (
	// maxIdempotentRuns is the number of attempts that routes allow whose requests may be
	// repeated.
	maxIdempotentRuns = 2
	// responseSlack is how much longer than its deadline a response may take, because
	// a few busy processes compete for the CPU.
	responseSlack = 500 * time.Millisecond
	// eventsPerStream is the number of events of every complete stream.
	eventsPerStream = 8
	// minAnsweredPercent is the percentage of requests that must be answered once the
	// faults have ended. Requests that need a budget don't count, because budgets
	// may be spent by then.
	minAnsweredPercent = 95
)

// History collects the observations of all clients.
type History struct {
	mu           sync.Mutex // guards observations
	observations []Observation
}

// Add adds one observation.
func (e *History) Add(s Observation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observations = append(e.observations, s)
}

// Check returns the violated guarantees, given what else is known. Every finding starts with the
// name of its check.
func (e *History) Check(b Bounds, ev Evidence) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs, arrivals := ev.Runs, ev.Arrivals
	var found []string
	for _, s := range e.observations {
		for _, check := range []func(Observation, []platformtest.Run) string{
			checkNotRun, checkRunCount, checkOwnResponse, checkStream, checkDeadline, checkRetryAfter, checkInnocence,
		} {
			if f := check(s, runs[s.Request.ID]); f != "" {
				found = append(found, fmt.Sprintf("%s: request %s at %s, status %d: %s", strings.ToUpper(strings.Fields(f)[0]),
					s.Request.ID, s.Gateway, s.Response.Status, f))
			}
		}
	}
	found = append(found, e.checkSpend(b, runs)...)
	found = append(found, e.checkVersions()...)
	found = append(found, e.checkCrashes(ev)...)
	found = append(found, e.checkWithdrawals(arrivals)...)
	found = append(found, e.checkLimits(arrivals)...)
	found = append(found, e.checkLosses(ev)...)
	return append(found, e.checkRecovery(b)...)
}

// checkNotRun finds responses that say that no target ran the request although
// one did.
func checkNotRun(s Observation, runs []platformtest.Run) string {
	if s.Response.NotRun() && len(runs) > 0 {
		return fmt.Sprintf("refused, but targets ran it %d times", len(runs))
	}
	return ""
}

// mayRunAgain reports whether the request's route allows a second attempt.
func (s Observation) mayRunAgain() bool {
	return !strings.HasPrefix(s.Request.Path, "/orders/") && !strings.HasPrefix(s.Request.Path, "/reviews/")
}

// checkRunCount finds requests that targets ran too often.
func checkRunCount(s Observation, runs []platformtest.Run) string {
	maxAllowed := 1
	if s.mayRunAgain() {
		maxAllowed = maxIdempotentRuns
	}
	if len(runs) > maxAllowed {
		return fmt.Sprintf("twice: ran %d times, limit %d", len(runs), maxAllowed)
	}
	return ""
}

// checkOwnResponse finds responses that are not the request's own, and bodies that
// are framed as complete and aren't.
func checkOwnResponse(s Observation, _ []platformtest.Run) string {
	if s.Response.HasForeignEvent() {
		return fmt.Sprintf("mixed: %v", s.Response.Err)
	}
	own := "answer of " + s.Request.ID
	if s.Response.Status != http.StatusOK {
		own = "failure of " + s.Request.ID
	}
	ofTarget := s.Response.Signed || s.Response.Status == http.StatusOK
	switch body := s.Response.Body; {
	case !ofTarget || !s.Response.Ended || body == own || (s.Request.IsStream() && s.Response.Status == http.StatusOK):
		return ""
	case strings.HasPrefix(own, body):
		return fmt.Sprintf("whole: the body ended without an error after %d of %d bytes", len(body), len(own))
	default:
		return fmt.Sprintf("mixed: the body is %q", body)
	}
}

// checkStream finds streams with events out of order, and streams that end
// without an error before their last event.
func checkStream(s Observation, _ []platformtest.Run) string {
	for i, n := range s.Response.Events {
		if n != i+1 {
			return fmt.Sprintf("order: events %v", s.Response.Events)
		}
	}
	if s.Request.IsStream() && s.Response.Status == http.StatusOK && s.Response.Ended && len(s.Response.Events) != eventsPerStream {
		return fmt.Sprintf("whole: the stream ended without an error after %d of %d events", len(s.Response.Events), eventsPerStream)
	}
	return ""
}

// checkDeadline finds 5xx responses that came too long after the deadline although
// the gateway was not frozen.
func checkDeadline(s Observation, _ []platformtest.Run) string {
	if took := s.EndedAt.Sub(s.StartedAt); s.Response.Status >= 500 && !s.GatewayFrozen && took > s.Request.Timeout+responseSlack {
		return fmt.Sprintf("held for %v, deadline %v", took, s.Request.Timeout)
	}
	return ""
}

// checkRetryAfter finds refusals without a Retry-After header.
func checkRetryAfter(s Observation, _ []platformtest.Run) string {
	if s.Response.Status == http.StatusServiceUnavailable && !s.Response.Signed && s.Response.RetryAfter == "" {
		return "retry: the refusal has no Retry-After header"
	}
	return ""
}

// checkSpend adds up what alpha's clients received, in tokens: the prompt of each
// request that ran, once, and the delivered events.
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

// checkVersions finds gateways that returned to an older configuration: once an
// incarnation has served a route, it must not respond 404 for it later.
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
			found = append(found, fmt.Sprintf("CONFIG: %s responded 404 for %s after having served it (request %s)", s.Gateway, s.Request.Path, s.Request.ID))
		}
	}
	return found
}

// checkRecovery checks that enough requests that need no budget are answered
// once the faults have ended.
func (e *History) checkRecovery(b Bounds) []string {
	requests, answered := 0, 0
	outcomes := make(map[string]int)
	for _, s := range e.observations {
		if s.StartedAt.Before(b.RecoveryDeadline) || s.crashes() || (s.Request.IsStream() && s.Request.Key == "alpha-key") || s.Response.Status == http.StatusUnauthorized {
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
