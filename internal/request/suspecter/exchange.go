package suspecter

import "sync"

// Message is what two processes tell each other with a heartbeat and with its reply.
type Message struct {
	// Observations are the sender's next ones after those that the receiver has confirmed,
	// and Cursor is the sender's position after them.
	Observations []Observation
	Cursor       uint64
	// Confirmed is the last Cursor that the sender has received; replies have none.
	Confirmed uint64
}

// Exchange brings two processes' observations to each other by heartbeats over a link K.
// Nothing is sent again once it is confirmed, and a new link begins with everything.
//
// Exported fields are set before the first call.
type Exchange[K comparable] struct {
	Suspecter *Suspecter
	Scope     Scope

	mu    sync.Mutex // guards links
	links map[K]linkProgress
}

// linkProgress is the progress of the exchange over one link.
type linkProgress struct {
	sent     uint64 // own cursor that the peer has received
	received uint64 // the peer's cursor
}

// Request returns the message to send with the next heartbeat.
func (e *Exchange[K]) Request(link K) Message {
	e.mu.Lock()
	p := e.links[link]
	e.mu.Unlock()
	batch, cursor := e.Suspecter.Since(p.sent, e.Scope)
	return Message{Observations: batch, Cursor: cursor, Confirmed: p.received}
}

// Finish applies the reply to a heartbeat that carried request and returns what Merge
// returns.
func (e *Exchange[K]) Finish(link K, request, reply Message) (repeated []string) {
	repeated = e.Suspecter.Merge(reply.Observations)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.links == nil {
		e.links = make(map[K]linkProgress)
	}
	p := e.links[link]
	e.links[link] = linkProgress{sent: max(p.sent, request.Cursor), received: max(p.received, reply.Cursor)}
	return repeated
}

// Pending reports whether there are observations that the peer has not confirmed.
func (e *Exchange[K]) Pending(link K) bool {
	return len(e.Request(link).Observations) > 0
}

// Drop forgets a link that is down.
func (e *Exchange[K]) Drop(link K) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.links, link)
}

// Reply applies the message of a peer's heartbeat and returns the one to reply with, and
// what Merge returns.
func (s *Suspecter) Reply(m Message, scope Scope) (reply Message, repeated []string) {
	repeated = s.Merge(m.Observations)
	reply.Observations, reply.Cursor = s.Since(m.Confirmed, scope)
	return reply, repeated
}
