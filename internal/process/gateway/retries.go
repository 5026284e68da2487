package gateway

import (
	"sync"
	"time"
)

// retryBudget bounds what targets of a service get beyond the first send of
// each request: a share of the recent requests, plus this router's part of a
// fixed slack, over a sliding window.
//
// It answers retry storms: when every send fails, sends beyond the first would
// multiply the load that makes them fail.
type retryBudget struct {
	Limits func() *Limits

	mu       sync.Mutex // guards services
	services map[string]*retryWindow
}

// retryWindow counts by slices of a window.
type retryWindow struct {
	slices [retrySlices + 1]retrySlice
}

type retrySlice struct {
	number   int64
	requests int
	retries  int
}

// retrySlices is how finely the window slides.
const retrySlices = 20

// retryMargin is the part of the budget that is used, since the count is by
// slices and the fleet's size is only known with a lag.
const retryMargin = 0.8

// request counts a request of a service.
func (b *retryBudget) request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slice(service, now).requests++
}

// allow takes one retry from the budget of a service.
func (b *retryBudget) allow(service string, routers float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.slice(service, now)
	requests, retries := 0, 0
	for _, s := range b.services[service].slices {
		if current.number-s.number <= retrySlices {
			requests += s.requests
			retries += s.retries
		}
	}
	budget := retryMargin * (b.Limits().RetryRatio*float64(requests) + b.Limits().RetrySlack/max(routers, 1))
	if float64(retries+1) > budget {
		return false
	}
	current.retries++
	return true
}

func (b *retryBudget) slice(service string, now time.Time) *retrySlice {
	if b.services == nil {
		b.services = make(map[string]*retryWindow)
	}
	w, ok := b.services[service]
	if !ok {
		w = &retryWindow{}
		b.services[service] = w
	}
	number := now.UnixNano() / int64(b.Limits().RetryWindow/retrySlices)
	s := &w.slices[number%int64(len(w.slices))]
	if s.number != number {
		*s = retrySlice{number: number}
	}
	return s
}
