// Package estimator estimates how long requests of a route take at most, from those that have ended
// and those that run. A router that stops takes only requests that it can expect to end before it does.
//
// The load that it answers: streams of some seconds that arrive while a router stops; one that is taken
// late in the time left is cut. Where targets have become slower, requests run longer than all that have
// ended; then nothing is known of the route until they end.
//
// # Usage
//
//	var e estimator.Estimator
//	e.Observe("notes", estimator.Sample{First: 80 * time.Millisecond, Total: time.Second, Tokens: 120})
//	running := e.Begin("notes", 400, now)
//	defer e.End(running)
//	longest, ok := e.Longest("notes", 400, now)
package estimator

import (
	"sync"
	"time"
)

const (
	// decay is the part of a route's longest times that is kept with each shorter one, so that single
	// slow requests are forgotten after some hundred others.
	decay = 0.995
	// margin is the factor by which a request may take longer than all observed ones.
	margin = 1.25
)

// Sample is how long a request took.
type Sample struct {
	// First is the time until the first byte of the response, Total until its end.
	First time.Duration
	Total time.Duration
	// Tokens is the number of output tokens of a stream, 0 for other requests.
	Tokens int64
}

// Estimator holds estimates by route. The zero value is empty and ready for use.
type Estimator struct {
	mu      sync.Mutex // guards all below
	routes  map[string]estimate
	running map[string]map[*Running]bool // by route
}

// Running is a request that has not ended.
type Running struct {
	route  string
	tokens int64
	began  time.Time
}

// Begin adds a request that runs until End is called, whose stream has up to a number of output tokens, 0
// for other requests.
func (e *Estimator) Begin(route string, tokens int64, now time.Time) *Running {
	r := &Running{route: route, tokens: tokens, began: now}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running == nil {
		e.running = make(map[string]map[*Running]bool)
	}
	if e.running[route] == nil {
		e.running[route] = make(map[*Running]bool)
	}
	e.running[route][r] = true
	return r
}

// End removes a request that has ended; Observe adds how long it took.
func (e *Estimator) End(r *Running) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running[r.route], r)
	if len(e.running[r.route]) == 0 {
		delete(e.running, r.route)
	}
}

// estimate holds decaying maxima, in seconds.
type estimate struct {
	// first is the time to the first byte, rest the time after it of requests that are no streams, and
	// perToken that of streams by token.
	first    float64
	rest     float64
	perToken float64
}

// Observe adds a request that has ended.
func (e *Estimator) Observe(route string, s Sample) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.routes == nil {
		e.routes = make(map[string]estimate)
	}
	est := e.routes[route]
	est.first = max(est.first*decay, s.First.Seconds())
	if rest := (s.Total - s.First).Seconds(); s.Tokens > 0 {
		est.perToken = max(est.perToken*decay, rest/float64(s.Tokens))
	} else {
		est.rest = max(est.rest*decay, rest)
	}
	e.routes[route] = est
}

// Longest returns how long a request of a route may take whose stream has up to a number of output
// tokens, 0 for other requests. ok is not set if that isn't known: no request of the route has ended yet, or
// one runs longer than expected.
func (e *Estimator) Longest(route string, tokens int64, now time.Time) (longest time.Duration, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	est, ok := e.routes[route]
	for r := range e.running[route] {
		ok = ok && now.Sub(r.began) <= est.longest(r.tokens)
	}
	return est.longest(tokens), ok
}

// longest returns how long a request with up to a number of output tokens may take.
func (est estimate) longest(tokens int64) time.Duration {
	seconds := margin * (est.first + est.rest + est.perToken*float64(tokens))
	return time.Duration(seconds * float64(time.Second))
}
