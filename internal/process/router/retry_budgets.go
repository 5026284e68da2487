package router

import (
	"sync"

	"golang.org/x/time/rate"
)

const (
	// retriesPerSecond and retryBurst are an organisation's retry budget at one
	// router. A retry storm costs more than refused requests.
	retriesPerSecond = 5
	retryBurst       = 50
)

// retryBudgets limits the retries of requests that may have run, by organisation.
type retryBudgets struct {
	mu       sync.Mutex // guards limiters
	limiters map[string]*rate.Limiter
}

// allow takes one retry from an organisation's retry budget and reports whether
// there was one.
func (r *retryBudgets) allow(organisation string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limiters == nil {
		r.limiters = make(map[string]*rate.Limiter)
	}
	l, ok := r.limiters[organisation]
	if !ok {
		l = rate.NewLimiter(retriesPerSecond, retryBurst)
		r.limiters[organisation] = l
	}
	return l.Allow()
}
