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

// Seen is one request as its caller saw it.
type Seen struct {
	Call  platformtest.Request
	Reply platformtest.Response
	// Gateway is the incarnation that was asked.
	Gateway string
	Begun   time.Time
	Ended   time.Time
	// Frozen is set if the gateway was stopped by a signal meanwhile.
	Frozen bool
}

// Bounds are what a soak's findings are held to.
type Bounds struct {
	// Budget is what alpha may have spent at most, in tokens.
	Budget int64
	// CalmFrom is when requests must be answered again.
	CalmFrom time.Time
}

const (
	// maxRuns is how often the configuration lets a target run what may be repeated.
	maxRuns = 2
	// heldSlack is how much longer than its deadline an answer may take: scheduling
	// of a few busy processes.
	heldSlack = 500 * time.Millisecond
	// wholeEvents is the length of every stream.
	wholeEvents = 8
	// minAnswered of 100 requests are answered once faults have ended; budgets may
	// be spent by then, so only requests without one count.
	minAnswered = 95
)

// Evidence is what callers have seen.
type Evidence struct {
	mu   sync.Mutex // guards seen
	seen []Seen
}

// Add takes one request into the evidence.
func (e *Evidence) Add(s Seen) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen = append(e.seen, s)
}

// Findings holds the evidence and what targets ran, by request, to the promises.
func (e *Evidence) Findings(b Bounds, runs map[string][]platformtest.Run) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var found []string
	for _, s := range e.seen {
		for _, check := range []func(Seen, []platformtest.Run) string{
			checkNotRun, checkOnce, checkOwn, checkWhole, checkHeld, checkRefusal,
		} {
			if f := check(s, runs[s.Call.ID]); f != "" {
				found = append(found, fmt.Sprintf("%s: request %s at %s, status %d: %s", strings.ToUpper(strings.Fields(f)[0]),
					s.Call.ID, s.Gateway, s.Reply.Status, f))
			}
		}
	}
	found = append(found, e.checkSpend(b, runs)...)
	found = append(found, e.checkVersions()...)
	return append(found, e.checkRecovery(b)...)
}

// checkNotRun holds answers that say that nothing ran to what targets ran.
func checkNotRun(s Seen, runs []platformtest.Run) string {
	if s.Reply.NotRun() && len(runs) > 0 {
		return fmt.Sprintf("refused, though a target ran it %d times", len(runs))
	}
	return ""
}

// checkOnce bounds how often targets run a request.
func checkOnce(s Seen, runs []platformtest.Run) string {
	most := maxRuns
	if strings.HasPrefix(s.Call.Path, "/orders/") || strings.HasPrefix(s.Call.Path, "/reviews/") {
		most = 1
	}
	if len(runs) > most {
		return fmt.Sprintf("twice: ran %d times, at most %d", len(runs), most)
	}
	return ""
}

// checkOwn holds answers to the request that they belong to.
func checkOwn(s Seen, _ []platformtest.Run) string {
	if s.Reply.HasForeignEvent() {
		return "mixed: an event of another request"
	}
	if !s.Call.IsStream() && s.Reply.Status == http.StatusOK && s.Reply.Err == nil && s.Reply.Body != "answer of "+s.Call.ID {
		return fmt.Sprintf("mixed: the body is %q", s.Reply.Body)
	}
	return ""
}

// checkWhole holds streams to the order of their events, and whole ones to their end.
func checkWhole(s Seen, _ []platformtest.Run) string {
	for i, n := range s.Reply.Events {
		if n != i+1 {
			return fmt.Sprintf("order: events %v", s.Reply.Events)
		}
	}
	if s.Call.IsStream() && s.Reply.Status == http.StatusOK && s.Reply.Err == nil && len(s.Reply.Events) != wholeEvents {
		return fmt.Sprintf("whole: a stream ends well after %d of %d events", len(s.Reply.Events), wholeEvents)
	}
	return ""
}

// checkHeld bounds how long a refusal takes.
func checkHeld(s Seen, _ []platformtest.Run) string {
	if took := s.Ended.Sub(s.Begun); s.Reply.Status >= 500 && !s.Frozen && took > s.Call.Timeout+heldSlack {
		return fmt.Sprintf("held for %v, deadline %v", took, s.Call.Timeout)
	}
	return ""
}

// checkRefusal asks a refusal for the time to come back.
func checkRefusal(s Seen, _ []platformtest.Run) string {
	if s.Reply.Status == http.StatusServiceUnavailable && !s.Reply.Signed && s.Reply.RetryAfter == "" {
		return "retry: a refusal doesn't say when to come back"
	}
	return ""
}

// checkSpend adds up what alpha's callers got: the prompt of each request that
// ran once, and the events that were delivered.
func (e *Evidence) checkSpend(b Bounds, runs map[string][]platformtest.Run) []string {
	var spent int64
	for _, s := range e.seen {
		if s.Call.Key == "alpha-key" && s.Call.IsStream() && len(runs[s.Call.ID]) > 0 {
			spent += s.Call.PromptTokens + platformtest.TokensPerEvent*int64(len(s.Reply.Events))
		}
	}
	if spent > b.Budget {
		return []string{fmt.Sprintf("BUDGET: %d tokens were spent of %d", spent, b.Budget)}
	}
	return nil
}

// checkVersions finds gateways that went back to an older configuration: a route
// that an incarnation knew must not be unknown to it later.
func (e *Evidence) checkVersions() []string {
	known := make(map[string]time.Time)
	for _, s := range e.seen {
		if key := s.Gateway + s.Call.Path; s.Reply.Signed {
			if at, ok := known[key]; !ok || s.Ended.Before(at) {
				known[key] = s.Ended
			}
		}
	}
	var found []string
	for _, s := range e.seen {
		if at, ok := known[s.Gateway+s.Call.Path]; ok && s.Reply.Status == http.StatusNotFound && s.Begun.After(at) {
			found = append(found, fmt.Sprintf("CONFIG: %s does not know %s any more (request %s)", s.Gateway, s.Call.Path, s.Call.ID))
		}
	}
	return found
}

// checkRecovery asks that requests without a budget are answered once faults have ended.
func (e *Evidence) checkRecovery(b Bounds) []string {
	asked, answered := 0, 0
	outcomes := make(map[string]int)
	for _, s := range e.seen {
		if s.Begun.Before(b.CalmFrom) || (s.Call.IsStream() && s.Call.Key == "alpha-key") || s.Reply.Status == http.StatusUnauthorized {
			continue
		}
		asked++
		if s.Reply.Status == http.StatusOK && s.Reply.Err == nil {
			answered++
		} else {
			outcomes[fmt.Sprintf("%d at %s", s.Reply.Status, s.Gateway)]++
		}
	}
	if answered*100 >= asked*minAnswered {
		return nil
	}
	var parts []string
	for o, n := range outcomes {
		parts = append(parts, fmt.Sprintf("%s: %d", o, n))
	}
	slices.Sort(parts)
	return []string{fmt.Sprintf("RECOVER: %d of %d requests are answered after the faults; %s", answered, asked, strings.Join(parts, ", "))}
}
