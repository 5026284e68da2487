// Package estimator estimates how long requests of a route take at most, from those that have ended.
// A router that stops takes only requests that it can expect to end before it does.
//
// The load that it answers: streams of some seconds that arrive while a router stops; one that is taken
// late in the time left is cut.
//
// # Usage
//
//	var e estimator.Estimator
//	e.Observe("notes", estimator.Sample{First: 80 * time.Millisecond, Total: time.Second, Tokens: 120})
//	longest, ok := e.Longest("notes", 400)
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
	mu     sync.Mutex // guards routes
	routes map[string]estimate
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
// tokens, 0 for other requests. ok is not set if no request of the route has ended yet.
func (e *Estimator) Longest(route string, tokens int64) (longest time.Duration, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	est, ok := e.routes[route]
	seconds := margin * (est.first + est.rest + est.perToken*float64(tokens))
	return time.Duration(seconds * float64(time.Second)), ok
}
