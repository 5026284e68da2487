package gateway

import (
	"net/http"
	"time"

	"github.com/egretroute/egretroute/internal/connection/limiter"
	"github.com/egretroute/egretroute/internal/process/logger"
)

const (
	// clientDescriptorShare is the share of the descriptors that clients' connections may take.
	// The rest is for targets, the store, other processes and files.
	clientDescriptorShare = 0.6
	// levelLogInterval is the least time between two log lines on the level of connections,
	// which may change with each connection.
	levelLogInterval = time.Second
	// fullRetryAfter is when connections may have become free: responses close theirs.
	fullRetryAfter = time.Second
)

// newClientLimiter returns the limiter of clients' connections.
func (g *Gateway) newClientLimiter() *limiter.Limiter {
	return &limiter.Limiter{Max: int(clientDescriptorShare * float64(g.MaxDescriptors)), OnLevel: g.onConnectionLevel}
}

func (g *Gateway) onConnectionLevel(level limiter.Level, open, idle int) {
	now := time.Now()
	if last := g.levelLoggedAt.Load(); last != nil && now.Sub(*last) < levelLogInterval {
		return
	}
	g.levelLoggedAt.Store(&now)
	logger.ClientConnections.Log(g.Log, "level", level.String(), "open", open, "idle", idle, "bound", g.clients.Max)
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
