package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/egretroute/egretroute/internal/connection/budgeter"
	"github.com/egretroute/egretroute/internal/connection/limiter"
	"github.com/egretroute/egretroute/internal/connection/receiver"
	"github.com/egretroute/egretroute/internal/process/logger"
)

const (
	// clientDescriptorShare is the share of the descriptors that clients' connections may take.
	// The rest is for targets, the store, other processes and files.
	clientDescriptorShare = 0.6
	// targetDescriptorShare is the share that connections of requests to targets may take.
	targetDescriptorShare = 0.25
	// levelLogInterval is the least time between two log lines on the level of connections,
	// which may change with each connection.
	levelLogInterval = time.Second
	// fullRetryAfter is when connections may have become free: responses close theirs.
	fullRetryAfter = time.Second
	// noRoomRetryAfter is when others may have released memory.
	noRoomRetryAfter = time.Second
	// acceptedShare is how many connections are accepted for each that the limiter allows: the requests
	// on those beyond it are refused.
	acceptedShare = 1.1
)

// newClientLimiter returns the limiter of clients' connections.
func (g *Gateway) newClientLimiter() *limiter.Limiter {
	bound := int(clientDescriptorShare / acceptedShare * float64(g.MaxDescriptors))
	if byMemory := g.Budget.MaxConnections(); byMemory > 0 && (bound == 0 || byMemory < bound) {
		bound = byMemory
	}
	return &limiter.Limiter{Max: bound, OnLevel: g.onConnectionLevel}
}

// clientListener returns the listener of clients within the budget of memory.
func (g *Gateway) clientListener() *receiver.Listener {
	return &receiver.Listener{
		Listener: g.ClientListener, Budget: g.Budget, Max: int(acceptedShare * float64(g.clients.Max)), Limits: g.clientLimits, OnUnread: g.onUnread,
	}
}

func (g *Gateway) onUnread(u receiver.Unread) {
	g.metrics.unread.WithLabelValues(u.State.String()).Inc()
	logger.RequestUnread.Log(g.Log, "state", u.State.String(), "evicted", u.Evicted, "lag", g.currentLag(time.Now()), "stopping", g.draining.Load(), "cutting", g.cutting.Load())
}

// clientLimits returns the configuration's limits of clients as far as they are smaller than the
// gateway's own.
func (g *Gateway) clientLimits() receiver.Limits {
	l := receiver.Limits{HeadBytes: maxHeaderBytes, HeadTimeout: headerTimeout, IdleTimeout: idleTimeout}
	if m := g.matcher.Load(); m != nil {
		l.HeadBytes = lower(l.HeadBytes, m.Document.Limits.MaxHeaderBytes)
		l.HeadTimeout = lower(l.HeadTimeout, m.Document.Limits.HeaderTimeout)
		l.IdleTimeout = lower(l.IdleTimeout, m.Document.Limits.IdleTimeout)
	}
	return l
}

// lower returns the lower one of two limits; 0 means that b is none.
func lower[T int | time.Duration](a, b T) T {
	if b <= 0 {
		return a
	}
	return min(a, b)
}

func (g *Gateway) onConnState(c net.Conn, state http.ConnState) {
	receiver.ConnState(c, state)
	g.clients.ConnState(c, state)
}

func (g *Gateway) onShortage(s budgeter.Shortage) {
	logger.MemoryShort.Log(g.Log, s.Attrs()...)
}

func (g *Gateway) onConnectionLevel(level limiter.Level, open, idle int) {
	now := time.Now()
	if last := g.levelLoggedAt.Load(); last != nil && now.Sub(*last) < levelLogInterval {
		return
	}
	g.levelLoggedAt.Store(&now)
	logger.ClientConnections.Log(g.Log, "level", level.String(), "open", open, "idle", idle, "bound", g.clients.Max)
}

// enterForwarding counts a request that is to be forwarded, each on a connection of its own, until leave
// is called, or refuses it.
func (g *Gateway) enterForwarding(h http.Header) (leave func(), ref *refusal) {
	leave = func() { g.forwarding.Add(-1) }
	if n := g.forwarding.Add(1); g.MaxDescriptors == 0 || n <= int64(targetDescriptorShare*float64(g.MaxDescriptors)) {
		return leave, nil
	}
	leave()
	h.Set("Connection", "close")
	return nil, &refusal{status: http.StatusServiceUnavailable, reason: "too many requests run", retryAfter: fullRetryAfter}
}

// limitConnection asks the client to close the connection if there are many, and returns a refusal
// if there is no room for further work.
func (g *Gateway) limitConnection(h http.Header) *refusal {
	level := g.clients.Level()
	if level == limiter.Calm {
		return nil
	}
	h.Set("Connection", "close")
	if level == limiter.Near {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: "too many connections", retryAfter: fullRetryAfter}
}
