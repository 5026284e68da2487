package receiver

import (
	"net/http"
	"time"

	"github.com/egretroute/egretroute/internal/connection/budgeter"
)

// phase is what reads of a connection wait for.
type phase int

const (
	// awaiting waits for the first byte of a request, receiving for the rest of its head or body, and running for the
	// client's next request or its end while a request is handled.
	awaiting phase = iota
	receiving
	running
)

// phaseOf is the phase in which a holder's state begins.
var phaseOf = map[budgeter.State]phase{budgeter.Idle: awaiting, budgeter.Receiving: receiving, budgeter.Running: running}

func (c *Conn) setPhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.phaseSince = p, time.Now()
	if p != awaiting {
		c.ending = false
	}
	c.applyDeadline()
}

// applyDeadline sets the deadline of reads; c.mu must be held. What reads wait for decides under the same lock, so that the
// end of a connection that awaits a request never interrupts one that has come.
func (c *Conn) applyDeadline() {
	deadline := c.deadline
	if (c.phase == awaiting && c.ending) || (c.evicted && (c.phase != running || c.afterHandler())) {
		deadline = past
	}
	_ = c.Conn.SetReadDeadline(deadline) // fails only on a connection that is closed
}

// afterHandler reports whether a request has been handled and none is; c.mu must be held. net/http may still wait for the
// rest of a body.
func (c *Conn) afterHandler() bool {
	return c.handled && !c.handling
}

// Handler tells connections while h handles a request.
func Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := Of(r.Context())
		c.setHandling(true)
		defer c.setHandling(false)
		h.ServeHTTP(w, r)
	})
}

func (c *Conn) setHandling(handling bool) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling, c.handled, c.phaseSince = handling, true, time.Now()
	c.applyDeadline()
}

// giveUp ends a connection that has waited for the rest of a request for restTime; one whose head has begun is refused.
func (c *Conn) giveUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted || time.Since(c.phaseSince) < restTime || c.phase == awaiting || (c.phase == running && !c.afterHandler()) {
		return
	}
	c.evicted, c.givenUp = true, true
	c.applyDeadline()
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	c.applyDeadline()
	return nil
}

// extendDeadline lets reads go on after their deadline. It reports false for an evicted connection.
func (c *Conn) extendDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline, c.ending = time.Time{}, false // the holder's deadline holds on
	c.applyDeadline()
	return !c.evicted
}

// CloseIdle closes the connection unless a request has come. One that was accepted just now is kept for a while.
func (c *Conn) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != awaiting || c.ending || (c.holder.State() != budgeter.Idle && time.Since(c.acceptedAt) < firstRequestTime) {
		return
	}
	c.ending = true
	c.applyDeadline()
}

// onExpired closes the connection if it has been idle for longer than the limit that holds now: it may have been raised
// since, and clients go by the newest.
func (c *Conn) onExpired() {
	limit := c.listener.Limits().IdleTimeout
	c.mu.Lock()
	idle := time.Since(c.phaseSince)
	c.mu.Unlock()
	if limit > 0 && idle >= limit+deadlineSlack {
		c.CloseIdle()
	}
}

// onEvicted ends the read that waits for a request or for the rest of one. A client that doesn't read its response is cut.
func (c *Conn) onEvicted() {
	c.mu.Lock()
	c.evicted = true
	c.applyDeadline()
	cut := c.phase == running
	c.mu.Unlock()
	if cut && c.holder.Sending() {
		_ = c.Conn.Close() // net/http notices and calls Close
	}
}

// Evicted reports whether the connection had to make room or its time was up. c may be nil.
func (c *Conn) Evicted() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}
