package gateway

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/egretroute/egretroute/internal/connection/framer"
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
	long       int
	failures   int
	asideUntil time.Time
}

// serviceState is what this router knows of a service's demand.
type serviceState struct {
	split   float64
	splitAt time.Time
}

// fleet is what this router has seen of all targets.
type fleet struct {
	mu       sync.Mutex // guards all below
	states   map[string]*targetState
	services map[string]*serviceState
	peers    map[string]peerLoads
	total    int
}

// peerLoads is what another router has running, as it said at some time.
type peerLoads struct {
	at      time.Time
	targets map[string]framer.TargetLoad
}

// peerLifetime is the age at which a peer's report counts no more.
const peerLifetime = 2 * time.Second

func newFleet() *fleet {
	return &fleet{
		states: make(map[string]*targetState), services: make(map[string]*serviceState), peers: make(map[string]peerLoads),
	}
}

// ownLoads returns what this router has running, for its peers.
func (f *fleet) ownLoads() []framer.TargetLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []framer.TargetLoad
	for id, s := range f.states {
		if s.load > 0 {
			out = append(out, framer.TargetLoad{Target: id, Load: s.load, Short: s.short, Long: s.long})
		}
	}
	return out
}

// takePeer takes over what another router has running.
func (f *fleet) takePeer(name string, loads []framer.TargetLoad, now time.Time) {
	p := peerLoads{at: now, targets: make(map[string]framer.TargetLoad, len(loads))}
	for _, l := range loads {
		p.targets[l.Target] = l
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers[name] = p
}

// forgetPeer drops the report of a router whose link is down.
func (f *fleet) forgetPeer(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.peers, name)
}

// others sums up what all other routers have running at a target.
func (f *fleet) others(target string, now time.Time) framer.TargetLoad {
	var sum framer.TargetLoad
	for _, p := range f.peers {
		if now.Sub(p.at) > peerLifetime {
			continue
		}
		l := p.targets[target]
		sum.Load += l.Load
		sum.Short += l.Short
		sum.Long += l.Long
	}
	return sum
}

// plan returns the targets in the order in which a request should be offered to them.
func (f *fleet) plan(service string, w placer.Work, entries []registrar.Entry, now time.Time) []registrar.Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	targets := make([]placer.Target, len(entries))
	slots := 1
	var demand placer.Demand
	for i, e := range entries {
		s, others := f.state(e.ID), f.others(e.ID, now)
		slots = e.Slots
		demand.ShortRunning += float64(s.short + others.Short)
		demand.LongRate += float64(s.long + others.Long)
		targets[i] = placer.Target{
			ID: e.ID, Hash: xxhash.Sum64String(e.ID), Domain: e.Domain, Slots: e.Slots, Load: s.load + others.Load,
			Aside: now.Before(s.asideUntil),
		}
	}
	pool := placer.Pool{ShortTargets: f.split(service, demand, len(entries), slots, now)}
	order := placer.Plan(w, targets, pool)
	out := make([]registrar.Entry, len(order))
	for i, k := range order {
		out[i] = entries[k]
	}
	return out
}

// split returns how many targets of a service should serve short requests; it
// follows demand slowly.
func (f *fleet) split(service string, demand placer.Demand, targets, slots int, now time.Time) int {
	s := f.service(service)
	wanted := placer.Split(demand, targets, slots)
	if s.splitAt.IsZero() {
		s.split = 0.3 * float64(targets)
	} else if wanted > 0 {
		step := min(now.Sub(s.splitAt).Seconds()*splitRate, 1)
		s.split += (wanted - s.split) * step
	}
	s.splitAt = now
	return int(s.split + 0.5)
}

// routers returns how many routers are known to share the work.
func (f *fleet) routers() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return float64(len(f.peers) + 1)
}

// begin counts a request at a target; the returned function ends it.
func (f *fleet) begin(target string, w placer.Work) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count(target, w, 1)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.count(target, w, -1)
	}
}

func (f *fleet) count(target string, w placer.Work, n int) {
	f.total += n
	s := f.state(target)
	s.load += float64(n) * w.Weight()
	switch {
	case !w.Engine:
	case w.Long():
		s.long += n
	default:
		s.short += n
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
