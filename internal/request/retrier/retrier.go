// Package retrier decides whether a request may be sent to a target once more.
//
// The retries of a service are bounded over the whole fleet: in each window to a share of its
// requests plus a fixed slack. Without the bound, retries multiply the load that makes
// attempts fail. Each router decides alone. It may always use the share of its own requests;
// the slack is divided among the routers, and a router that doesn't know how many there are
// gets none of it; see package sharer.
//
// # Usage
//
//	b := &retrier.Budget{Limits: func() retrier.Limits { return limits }}
//	b.RecordRequest("service", time.Now()) // once for each request of a client
//	if b.Allow("service", membership, time.Now()) {
//		// Send it again.
//	}
package retrier

import (
	"sync"
	"time"

	"github.com/egretroute/egretroute/internal/request/sharer"
)

const (
	// windowSlices is the number of slices that the window is divided into.
	windowSlices = 20
	// ratioShare is the share of the retries for a router's own requests that may be used. A
	// request and its retry may fall into different windows, so one window can hold the retries
	// of two bursts and the requests of only one.
	ratioShare = 0.5
	// slackShare is the share of the slack that may be used. The rest covers errors of counting
	// by slices, and routers that enroll while others use their parts.
	slackShare = 0.8
)

// Limits bound the retries of each service over the whole fleet.
type Limits struct {
	// Ratio is the number of retries per request, Slack the number of further ones, in each
	// Window.
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// share returns a router's part of the slack. It is 0 until a window has passed since the process
// enrolled: until then an earlier process of the router may have used the part. It is 0 again once
// the list of members was not up to date for a window.
func (l Limits) share(m sharer.Membership, now time.Time) float64 {
	if !m.Certain(l.Window, l.Window, now) {
		return 0
	}
	return l.Slack / float64(m.Count())
}

// Budget counts one router's requests and retries over a sliding window. It measures time by
// the steady clock. Exported fields are set before the first call.
type Budget struct {
	Limits func() Limits

	mu       sync.Mutex // guards all below
	epoch    time.Time
	services map[string]*window
}

// window is a ring of slices that covers the window and the slice in progress.
type window struct {
	slices [windowSlices + 1]slice
}

type slice struct {
	index    int64
	requests int
	retries  int
}

// RecordRequest counts a request of a service.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentSlice(service, b.Limits(), now).requests++
}

// Allow reports whether the budget of a service covers one more retry, and counts it if so.
func (b *Budget) Allow(service string, m sharer.Membership, now time.Time) bool {
	limits := b.Limits()
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.currentSlice(service, limits, now)
	requests, retries := 0, 0
	for _, s := range b.services[service].slices {
		if current.index-s.index <= windowSlices {
			requests += s.requests
			retries += s.retries
		}
	}
	budget := ratioShare*limits.Ratio*float64(requests) + slackShare*limits.share(m, now)
	if float64(retries+1) > budget {
		return false
	}
	current.retries++
	return true
}

func (b *Budget) currentSlice(service string, limits Limits, now time.Time) *slice {
	if b.services == nil {
		b.services, b.epoch = make(map[string]*window), now
	}
	w, ok := b.services[service]
	if !ok {
		w = &window{}
		b.services[service] = w
	}
	// A difference of times is that of the steady clock; the time of day may jump. The first
	// slices have indexes above those of an empty window.
	index := int64(now.Sub(b.epoch)/(limits.Window/windowSlices)) + windowSlices + 1
	s := &w.slices[index%int64(len(w.slices))]
	if s.index != index {
		*s = slice{index: index}
	}
	return s
}
