package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/registrar"
	"github.com/egretroute/egretroute/internal/request/assessor"
	"github.com/egretroute/egretroute/internal/request/sharer"
	"github.com/egretroute/egretroute/internal/request/throttler"
)

const (
	// limitToldTime is how long a router tells the others that a target's limit has changed: many
	// times as long as all routers take to hear of it from each other.
	limitToldTime = 10 * time.Second
	// A limit that holds on is told again each limitNewsInterval, for limitNewsTime, so that
	// routers without a part of it know that it does.
	limitNewsInterval = 3 * time.Second
	limitNewsTime     = time.Second
	// minPermitWait is the least time between two attempts of a request to get a permit.
	minPermitWait = 5 * time.Millisecond
)

// throttle says what this router may send to a target that limits the rate of requests or is cold.
type throttle struct {
	// limited is false if the target has no limit.
	limited bool
	// cold is set if the target is cold.
	cold bool
	// returning is set if the limit, or the time in which the target is cold, has ended and this router doesn't use the target yet.
	returning bool
	// probe is set if the next request is to show whether the limit holds.
	probe bool
	limit float64
	part  throttler.Part
	// nextAt is when the router may send the next request; zero if it may send none.
	nextAt time.Time
}

// open reports whether the router may send a request now.
func (th throttle) open(now time.Time) bool {
	return !th.limited || (!th.nextAt.IsZero() && !now.Before(th.nextAt))
}

// throttle returns what this router may send to a target; t.mu must be held.
func (t *targetTracker) throttle(e registrar.Entry, m sharer.Membership, now time.Time) throttle {
	s := t.target(e.ID)
	key, l, cold := sharer.Hash(e.ID), s.Limit(e.StartedAt), t.isCold(e, now)
	th := throttle{limited: l.Stated || cold, cold: cold, limit: l.PerSecond}
	switch {
	case cold:
		w := t.warmup(e.Service)
		th.limit, th.part = w.PerSecond, w.Part(key, m, now)
		if l.Stated {
			th.limit, th.part = min(th.limit, l.PerSecond), th.part.Tighter(throttler.PartOf(l.PerSecond, key, m, now))
		}
	case l.Stated:
		th.part = throttler.PartOf(l.PerSecond, key, m, now)
		if th.part.PerSecond == 0 {
			th.nextAt, th.probe = throttler.ProbeAt(key, m, maxTime(l.At, s.probedAt))
			return th
		}
	default:
		endedAt := maxTime(l.At, t.coldUntil(e))
		returning := !endedAt.IsZero() && now.Before(endedAt.Add(throttler.ReturnDelay(key, m)))
		return throttle{limited: returning, returning: returning}
	}
	if th.part.PerSecond > 0 { // otherwise permits may be left of an earlier part
		th.nextAt, _ = s.permits.Next(th.part, now)
	}
	return th
}

// addLimited counts a target that takes no request from this router now since it is limited.
func (c *closedTargets) addLimited(th throttle) {
	c.limited++
	if th.cold {
		c.cold++
	}
	c.supply.Total += th.limit
	c.supply.PerSecond += th.part.PerSecond
	if !th.nextAt.IsZero() && (c.supply.Next.IsZero() || th.nextAt.Before(c.supply.Next)) {
		c.supply.Next = th.nextAt
	}
}

// takePermit takes a permit for a request, and reports whether it may be sent.
func (s *targetState) takePermit(th throttle, now time.Time) (limited, ok bool) {
	switch {
	case !th.limited || th.returning:
		return false, true
	case th.probe:
		if !th.open(now) {
			return false, false
		}
		s.probedAt = now
		return false, true
	}
	return true, th.open(now) && s.permits.Take(th.part, now)
}

// returnPermit gives back the permit of a request of which no byte was sent.
func (r *inFlightRequest) returnPermit() {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	if r.limited {
		r.limited = false
		r.tracker.target(r.target).permits.Return()
	}
}

// decideWait decides whether a request waits for a permit, and lets it join the queue if so.
func (t *targetTracker) decideWait(q *request, supply throttler.Supply, now time.Time) throttler.Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	queue := &t.service(q.service.Name).queue
	d := queue.Decide(supply, queue.Ahead(q.waiter, q.priority), q.deadline, now)
	if d.Wait && q.waiter == nil {
		q.waiter = queue.Join(q.priority)
	}
	return d
}

// leaveQueue ends a request's wait for a permit, if it waits.
func (t *targetTracker) leaveQueue(q *request) {
	if q.waiter == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service(q.service.Name).queue.Leave(q.waiter)
	q.waiter = nil
}

// limitedCount returns the number of targets that limit the rate of requests.
func (t *targetTracker) limitedCount() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.targets {
		if s.Limit(s.start).Stated {
			n++
		}
	}
	return n
}

// waitForPermit lets a request for which only limited targets are left wait for a permit, or
// returns its refusal.
func (g *Gateway) waitForPermit(ctx context.Context, q *request, closed closedTargets, now time.Time) *refusal {
	d := g.tracker.decideWait(q, closed.supply, now)
	if !d.Wait {
		return g.refuseForLimit(q, closed, d.At.Sub(now))
	}
	q.waitedForPermit = true
	waitFor(ctx, nil, maxTime(d.At, now.Add(minPermitWait)))
	if ctx.Err() != nil {
		return timedOut(q)
	}
	return nil
}

// countLimited counts a request that got a permit.
func (g *Gateway) countLimited(q *request) {
	if q.inFlight.cold {
		g.metrics.coldRequests.Inc()
	}
	switch {
	case !q.inFlight.limited:
	case q.waitedForPermit:
		g.metrics.limited.WithLabelValues("waited").Inc()
	default:
		g.metrics.limited.WithLabelValues("sent").Inc()
	}
}

// refuseForLimit refuses a request for which only limited targets are left; the client may return
// after the given time.
func (g *Gateway) refuseForLimit(q *request, closed closedTargets, after time.Duration) *refusal {
	g.metrics.limited.WithLabelValues("refused").Inc()
	logger.TargetsLimited.Log(g.Log, "request", q.ID, "service", q.service.Name, "limited", closed.limited, "cold", closed.cold, "paused", closed.paused,
		"total", closed.supply.Total, "part", closed.supply.PerSecond, "priority", q.priority, "attempts", q.attempts, "notBefore", after)
	if q.mayHaveRun {
		return failedRefusal()
	}
	after = max(after, minPermitWait)
	return &refusal{status: http.StatusServiceUnavailable, reason: "the targets take no more requests a second", retryAfter: after, notBefore: after}
}

// logLimit logs and counts that a target's limit has changed; attrs name what this router knows it
// from.
func (g *Gateway) logLimit(target string, l assessor.Limit, attrs ...any) {
	g.metrics.limitChanges.WithLabelValues(l.Source.String()).Inc()
	logger.TargetLimit.Log(g.Log, append([]any{"target", target, "start", l.Start, "source", l.Source.String(), "limited", l.Stated, "perSecond", l.PerSecond}, attrs...)...)
}

// maxTime returns the later one of two times.
func maxTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
