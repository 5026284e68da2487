// Package limiter bounds the connections that clients keep open, so that a process does not
// run out of descriptors. New connections would then wait unaccepted until their clients have
// left, and connections to targets and to the store would fail too.
//
// Near the bound idle connections are closed, the oldest first, and responses ask clients to
// close theirs. At the bound requests are to be refused at once.
//
// # Usage
//
//	l := &limiter.Limiter{Max: 2500}
//	srv := &http.Server{ConnState: l.ConnState, ...}
//	if l.Level() == limiter.Full {
//		// refuse the request
//	}
package limiter

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// Level tells how close the number of open connections is to its bound.
type Level int

// The levels.
const (
	// Calm leaves connections open.
	Calm Level = iota
	// Near closes idle connections, and others after their response.
	Near
	// Full accepts no more work.
	Full
)

// String returns the level's name.
func (l Level) String() string {
	return [...]string{"calm", "near", "full"}[l]
}

// nearShare is the share of the bound from which connections are closed.
const nearShare = 0.75

// Decision is what to do about a number of connections.
type Decision struct {
	Level Level
	// CloseIdle is the number of idle connections to close.
	CloseIdle int
}

// Decide returns what to do while open connections, some of them idle, are open of at most
// limit. It answers a load in which one organisation's clients return on ever new connections
// and leave the old ones idle.
func Decide(open, idle, limit int) Decision {
	near := int(nearShare * float64(limit))
	d := Decision{CloseIdle: min(max(open-near, 0), idle)}
	switch {
	case open-d.CloseIdle >= limit:
		d.Level = Full
	case open >= near:
		d.Level = Near
	}
	return d
}

// Limiter counts the open connections of a server. Exported fields are set before the first
// connection.
type Limiter struct {
	// Max is the bound; 0 means none.
	Max int
	// OnLevel is called when the level changes.
	OnLevel func(level Level, open, idle int)

	mu    sync.Mutex // guards all below
	open  int
	idle  list.List // of net.Conn, the one that is idle longest first
	conns map[net.Conn]*list.Element
	level Level
}

// ConnState implements http.Server.ConnState.
func (l *Limiter) ConnState(c net.Conn, state http.ConnState) {
	if l.Max <= 0 {
		return
	}
	for _, excess := range l.record(c, state) {
		if idle, ok := excess.(idleCloser); ok {
			idle.CloseIdle()
			continue
		}
		_ = excess.Close() // the server notices, whatever the result
	}
}

// idleCloser is a connection that can tell whether a request has come that the server has not read yet.
type idleCloser interface {
	// CloseIdle closes the connection unless a request has come.
	CloseIdle()
}

// record counts a connection's new state and returns the idle connections to close.
func (l *Limiter) record(c net.Conn, state http.ConnState) (excess []net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = make(map[net.Conn]*list.Element)
	}
	if e := l.conns[c]; e != nil {
		l.idle.Remove(e)
		l.conns[c] = nil
	}
	switch state {
	case http.StateNew:
		l.open++
		l.conns[c] = nil
	case http.StateIdle:
		l.conns[c] = l.idle.PushBack(c)
	case http.StateClosed, http.StateHijacked:
		if _, ok := l.conns[c]; ok {
			l.open--
			delete(l.conns, c)
		}
	}
	d := Decide(l.open, l.idle.Len(), l.Max)
	for range d.CloseIdle {
		e := l.idle.Front()
		oldest, _ := l.idle.Remove(e).(net.Conn) // only connections are put in
		l.conns[oldest] = nil
		excess = append(excess, oldest)
	}
	if d.Level != l.level {
		l.level = d.Level
		if l.OnLevel != nil {
			l.OnLevel(d.Level, l.open, l.idle.Len())
		}
	}
	return excess
}

// Level returns the current level.
func (l *Limiter) Level() Level {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.level
}

// Open returns the number of open connections.
func (l *Limiter) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}
