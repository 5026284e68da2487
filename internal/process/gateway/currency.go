package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/version/inspector"
)

// lateRetryAfter is when a router that lacks a change may have it.
const lateRetryAfter = time.Second

// currency is what the gateway knows of the age of its configuration.
type currency struct {
	mu   sync.Mutex // guards the fields below
	feed inspector.Feed
	late bool // as logged last
}

func (c *currency) recordArrival(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.feed.ArrivingAt = now
}

// recordReply records a reply whose changes are in use.
func (c *currency) recordReply(repliedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.feed = inspector.Feed{CurrentAt: repliedAt}
}

func (c *currency) inspect(now time.Time) inspector.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	return inspector.Inspect(c.feed, now)
}

// becomesLate reports whether a change of the configuration is overdue, how old the configuration
// may be, and whether the last call had another result.
func (c *currency) becomesLate(now time.Time) (late bool, age time.Duration, changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	late = inspector.Inspect(c.feed, now) == inspector.Late
	changed = late != c.late
	c.late = late
	return late, now.Sub(c.feed.CurrentAt), changed
}

// refuseIfLate refuses a request if a change of the configuration is overdue.
func (g *Gateway) refuseIfLate(h http.Header, now time.Time) *refusal {
	late, age, changed := g.currency.becomesLate(now)
	if changed {
		logger.ConfigurationLate.Log(g.Log, "late", late, "age", age, "lag", g.currentLag(now))
	}
	if !late {
		return nil
	}
	g.rotation.overloaded.Store(true)
	h.Set("Connection", "close")
	return g.lateRefusal("a change of the configuration is overdue")
}

// refuseUnknown refuses a request that the configuration doesn't know, with the given status if no
// change can be overdue. The verdict is from before the configuration was read.
func (g *Gateway) refuseUnknown(verdict inspector.Verdict, status int, reason string) *refusal {
	if verdict != inspector.Current {
		return g.lateRefusal(reason + ", and the configuration may be old")
	}
	return &refusal{status: status, reason: reason}
}

func (g *Gateway) lateRefusal(reason string) *refusal {
	ref := &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: lateRetryAfter}
	if g.rotation.relieved.Load() {
		ref.retryAfter = elsewhereRetryAfter
	}
	return ref
}
