package gateway

import (
	"sync"
	"time"
)

// retryBudget bounds the retries of each service over a sliding window, to a share of
// the recent requests plus this router's part of a fixed slack. Every attempt of a
// request after the first is a retry.
//
// It prevents retry storms: when every attempt fails, retries would multiply the load
// that makes them fail.
type retryBudget struct {
	Limits func() *Limits

	mu       sync.Mutex // guards services
	services map[string]*retryWindow
}

// retryWindow is a ring of slices that covers the window and the slice in progress.
type retryWindow struct {
	slices [retrySlices + 1]retrySlice
}

type retrySlice struct {
	index    int64
	requests int
	retries  int
}

// retrySlices is the number of slices that the window is divided into.
const retrySlices = 20

// retryMargin is the share of the budget that may be used. The rest covers errors of
// counting by slices and of the fleet's size, which is known with a lag.
const retryMargin = 0.8

// recordRequest counts a request of a service.
func (b *retryBudget) recordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentSlice(service, now).requests++
}

// allow reports whether the budget of a service covers one more retry, and counts it
// if so.
func (b *retryBudget) allow(service string, routers float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.currentSlice(service, now)
	requests, retries := 0, 0
	for _, slice := range b.services[service].slices {
		if current.index-slice.index <= retrySlices {
			requests += slice.requests
			retries += slice.retries
		}
	}
	budget := retryMargin * (b.Limits().RetryRatio*float64(requests) + b.Limits().RetrySlack/max(routers, 1))
	if float64(retries+1) > budget {
		return false
	}
	current.retries++
	return true
}

func (b *retryBudget) currentSlice(service string, now time.Time) *retrySlice {
	if b.services == nil {
		b.services = make(map[string]*retryWindow)
	}
	w, ok := b.services[service]
	if !ok {
		w = &retryWindow{}
		b.services[service] = w
	}
	index := now.UnixNano() / int64(b.Limits().RetryWindow/retrySlices)
	s := &w.slices[index%int64(len(w.slices))]
	if s.index != index {
		*s = retrySlice{index: index}
	}
	return s
}
