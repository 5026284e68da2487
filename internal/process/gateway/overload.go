package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/pauser"
)

const (
	// lagInterval is how often the process measures how late it is. The limit of requests in
	// progress is adjusted every adjustInterval.
	lagInterval    = 20 * time.Millisecond
	adjustInterval = 100 * time.Millisecond
	// overloadRetryAfter is when a part of the requests in progress has ended.
	overloadRetryAfter = time.Second
	// elsewhereRetryAfter is when a client may return to another router that has room.
	elsewhereRetryAfter = 100 * time.Millisecond
	// checkClientLag is how late the process must be to ask the kernel whether a client has left
	// before its request is sent on.
	checkClientLag = 100 * time.Millisecond
)

// lagSample is a measurement of how late the process is.
type lagSample struct {
	at time.Time
	// worst is the largest lag of about the last adjustInterval.
	worst time.Duration
}

// watchLag measures how late this process runs and limits its requests in progress by it.
func (g *Gateway) watchLag(ctx context.Context) {
	limited, previous := false, time.Duration(0)
	for ctx.Err() == nil {
		worst := time.Duration(0)
		for began := time.Now(); time.Since(began) < adjustInterval && ctx.Err() == nil; {
			before := time.Now()
			pauser.Pause(ctx, lagInterval)
			now := time.Now()
			worst = max(worst, now.Sub(before)-lagInterval)
			g.lag.Store(&lagSample{at: now, worst: max(worst, previous)})
		}
		previous = worst
		limit, inProgress := g.concurrency.Adjust(worst)
		g.metrics.lag.Set(worst.Seconds())
		g.metrics.requestLimit.Set(limit)
		if (limit > 0) != limited {
			limited = limit > 0
			logger.Overload.Log(g.Log, "limited", limited, "limit", int(limit), "inProgress", inProgress, "lag", worst)
		}
	}
}

// currentLag returns how late the process has been lately, or is if no measurement was
// possible since.
func (g *Gateway) currentLag(now time.Time) time.Duration {
	s := g.lag.Load()
	if s == nil {
		return 0
	}
	return max(s.worst, now.Sub(s.at)-lagInterval)
}

// refuseInOverload refuses a request if the process has no processor time for it, and otherwise
// counts it until leave is called.
func (g *Gateway) refuseInOverload(h http.Header, q *request) (leave func(), ref *refusal) {
	name := q.organisationName()
	if g.concurrency.Enter(name) {
		return func() { g.concurrency.Leave(name) }, nil
	}
	g.rotation.overloaded.Store(true)
	h.Set("Connection", "close")
	ref = &refusal{status: http.StatusServiceUnavailable, reason: "router is overloaded", retryAfter: overloadRetryAfter}
	if g.rotation.relieved.Load() {
		ref.retryAfter = elsewhereRetryAfter
	}
	return nil, ref
}

// clientHasLeft reports whether a request's client has left, as far as that can be known.
func (g *Gateway) clientHasLeft(q *request) bool {
	if q.http.Context().Err() != nil {
		return true
	}
	return q.conn != nil && g.currentLag(time.Now()) >= checkClientLag && q.conn.hasLeft()
}
