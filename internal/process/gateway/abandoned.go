package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/egretroute/egretroute/internal/connection/exchanger"
	"github.com/egretroute/egretroute/internal/process/registrar"
	"github.com/egretroute/egretroute/internal/request/suspecter"
)

// abandonedRequest is a request that ended without an answer while it ran at a target. The target may
// still crash under it, or have crashed together with its host, which nothing shows until
// the target's entry changes.
type abandonedRequest struct {
	id string
	// target is the start of the target that ran the request.
	target registrar.Entry
	crash  suspecter.Observation
}

const (
	// maxAbandoned bounds the abandoned requests of a target; the oldest are dropped.
	maxAbandoned = 64
	// abandonedCheckDelay is how long after its cancelation a request may crash its target:
	// about as long as a plain service runs a request.
	abandonedCheckDelay = 100 * time.Millisecond
	// abandonedLifetime is how long the end of a target's start is looked for: longer than an entry
	// takes to lapse, also after an outage of the store.
	abandonedLifetime = 15 * time.Second
	// abandonedInterval is the time between two looks.
	abandonedInterval = 250 * time.Millisecond
)

// abandonedRequests are the requests abandoned at one target.
type abandonedRequests struct {
	requests []abandonedRequest
	// checking is set while a check of the target is pending, watching while its start is watched.
	checking bool
	watching bool
}

// recordAbandoned records a request that was abandoned at a target, and reports whether the target has
// to be checked, and its start to be watched.
func (t *targetTracker) recordAbandoned(r abandonedRequest) (check, watch bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := &t.target(r.target.ID).abandoned
	a.requests = append(a.requests[max(0, len(a.requests)+1-maxAbandoned):], r)
	check, watch = !a.checking, !a.watching
	a.checking, a.watching = true, true
	return check, watch
}

// checkedAbandoned ends a check of a start of a target. It forgets the requests abandoned there if the
// target has crashed, and returns them, or if it lives.
func (t *targetTracker) checkedAbandoned(target, start string, p exchanger.Probe) (lost []abandonedRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.target(target).abandoned.checking = false
	if p == exchanger.ProbeUnknown {
		return nil
	}
	taken := t.takeAbandoned(target, func(r abandonedRequest) bool { return r.crash.Run == start })
	if p == exchanger.ProbeOpen {
		return nil
	}
	return taken
}

// watchedAbandoned forgets and returns the requests whose target's start has ended, and forgets those
// that are too old. It reports whether some are left.
func (t *targetTracker) watchedAbandoned(target string, now time.Time, ended func(registrar.Entry) bool) (lost []abandonedRequest, left bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	lost = t.takeAbandoned(target, func(r abandonedRequest) bool { return ended(r.target) })
	t.takeAbandoned(target, func(r abandonedRequest) bool { return now.Sub(r.crash.At) > abandonedLifetime })
	a := &t.target(target).abandoned
	a.watching = len(a.requests) > 0
	return lost, a.watching
}

// clearAbandoned forgets the requests abandoned at a start of a target that shows that it lives now:
// it has not crashed under those that ran some time before.
func (t *targetTracker) clearAbandoned(target, start string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.takeAbandoned(target, func(r abandonedRequest) bool {
		return r.crash.Run == start && now.Sub(r.crash.At) > abandonedCheckDelay
	})
}

// takeAbandoned forgets and returns the matching abandoned requests of a target; t.mu must be held.
func (t *targetTracker) takeAbandoned(target string, match func(abandonedRequest) bool) (taken []abandonedRequest) {
	s, ok := t.targets[target]
	if !ok {
		return nil
	}
	a := &s.abandoned
	a.requests = slices.DeleteFunc(a.requests, func(r abandonedRequest) bool {
		if match(r) {
			taken = append(taken, r)
			return true
		}
		return false
	})
	return taken
}

// recordAbandoned records that a request ended without an answer while a target ran it. The target
// has crashed under it if nothing listens at its address shortly after, or if its start ends
// without another sign of life.
func (g *Gateway) recordAbandoned(q *request, target registrar.Entry) {
	start := q.targetStart
	check, watch := g.tracker.recordAbandoned(abandonedRequest{id: q.ID, target: target, crash: g.observation(q, target)})
	if check {
		time.AfterFunc(abandonedCheckDelay, func() {
			p := g.probe(context.Background(), target)
			g.recordCrashes(g.tracker.checkedAbandoned(target.ID, start, p))
		})
	}
	if watch {
		time.AfterFunc(abandonedCheckDelay, func() { g.watchAbandoned(target.ID) })
	}
}

// watchAbandoned waits until the starts of a target end at which requests were abandoned.
func (g *Gateway) watchAbandoned(target string) {
	now := time.Now()
	lost, left := g.tracker.watchedAbandoned(target, now, func(e registrar.Entry) bool { return g.targets.Ended(e, now) })
	g.recordCrashes(lost)
	if left {
		time.AfterFunc(abandonedInterval, func() { g.watchAbandoned(target) })
	}
}

// recordCrashes records that a target has crashed under abandoned requests.
func (g *Gateway) recordCrashes(requests []abandonedRequest) {
	for _, r := range requests {
		if !g.tracker.isLeaving(r.target, time.Now()) {
			g.recordCrash(r.id, r.target, r.crash)
		}
	}
}

// runsIsolated reports whether a target runs a suspect and no other request of this router.
func (g *Gateway) runsIsolated(q *request, target registrar.Entry) bool {
	return q.assessment.Verdict == suspecter.Suspect && g.tracker.runningAt(target.ID) == 1
}
