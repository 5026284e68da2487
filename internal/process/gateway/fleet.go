package gateway

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/egretroute/egretroute/internal/process/registrar"
	"github.com/egretroute/egretroute/internal/request/placer"
)

const (
	// minAside and maxAside bound how long a target that failed is set aside.
	minAside = 500 * time.Millisecond
	maxAside = 4 * time.Second
	// splitRate is how fast the split of targets follows demand, per second.
	splitRate = 0.3
)

// targetState is what this router has seen of a target.
type targetState struct {
	load       float64
	short      int
	failures   int
	asideUntil time.Time
}

// serviceState is what this router knows of a service's demand.
type serviceState struct {
	split   float64
	splitAt time.Time
	short   int
	long    int
}

// fleet is what this router has seen of all targets.
type fleet struct {
	mu       sync.Mutex // guards all below
	states   map[string]*targetState
	services map[string]*serviceState
	total    int
}

func newFleet() *fleet {
	return &fleet{states: make(map[string]*targetState), services: make(map[string]*serviceState)}
}

// plan returns the targets in the order in which a request should be offered to them.
func (f *fleet) plan(service string, w placer.Work, entries []registrar.Entry, now time.Time) []registrar.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	targets := make([]placer.Target, len(entries))
	slots := 1
	for i, e := range entries {
		s := f.state(e.ID)
		slots = e.Slots
		targets[i] = placer.Target{
			ID: e.ID, Hash: xxhash.Sum64String(e.ID), Domain: e.Domain, Slots: e.Slots, Load: s.load,
			Aside: now.Before(s.asideUntil),
		}
	}
	pool := placer.Pool{ShortTargets: f.split(service, len(entries), slots, now)}
	order := placer.Plan(w, targets, pool)
	out := make([]registrar.Entry, len(order))
	for i, k := range order {
		out[i] = entries[k]
	}
	return out
}

// split returns how many targets of a service should serve short requests; it
// follows demand slowly.
func (f *fleet) split(service string, targets, slots int, now time.Time) int {
	s := f.service(service)
	d := placer.Demand{ShortRunning: float64(s.short) * f.routers(), LongRate: float64(s.long)}
	wanted := placer.Split(d, targets, slots)
	if s.splitAt.IsZero() {
		s.split = 0.3 * float64(targets)
	} else if wanted > 0 {
		step := min(now.Sub(s.splitAt).Seconds()*splitRate, 1)
		s.split += (wanted - s.split) * step
	}
	s.splitAt = now
	return int(s.split + 0.5)
}

// routers returns how many routers share the work.
func (f *fleet) routers() float64 {
	return 4
}

// begin counts a request at a target; the returned function ends it.
func (f *fleet) begin(service, target string, w placer.Work) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	short := w.Engine && !w.Long()
	f.count(service, target, w.Weight(), short, w.Engine && w.Long(), 1)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.count(service, target, w.Weight(), short, w.Engine && w.Long(), -1)
	}
}

func (f *fleet) count(service, target string, weight float64, short, long bool, n int) {
	f.total += n
	f.state(target).load += float64(n) * weight
	s := f.service(service)
	if short {
		s.short += n
	}
	if long {
		s.long += n
	}
}

// failed sets a target aside, longer each time in a row.
func (f *fleet) failed(target string, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state(target)
	aside := min(minAside<<min(s.failures, 8), maxAside)
	s.failures++
	s.asideUntil = now.Add(aside)
	return aside
}

// succeeded forgets a target's failures.
func (f *fleet) succeeded(target string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state(target)
	s.failures = 0
	s.asideUntil = time.Time{}
}

// running returns how many requests are at targets.
func (f *fleet) running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.total
}

func (f *fleet) state(target string) *targetState {
	s, ok := f.states[target]
	if !ok {
		s = &targetState{}
		f.states[target] = s
	}
	return s
}

func (f *fleet) service(name string) *serviceState {
	s, ok := f.services[name]
	if !ok {
		s = &serviceState{}
		f.services[name] = s
	}
	return s
}
