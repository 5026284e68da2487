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
	// paceWeight is the weight of a new sample, minPaceSamples how many make a
	// pace, minSlowness and maxSlowness its bounds.
	paceWeight     = 0.1
	minPaceSamples = 5
	minSlowness    = 0.6
	maxSlowness    = 8
	// paceBaseTokens stands for the part of the time to the first token that does
	// not depend on the prompt, so that short prompts don't look slow.
	paceBaseTokens = 600
	// firstShortShare is the share of a service's targets that serves short requests
	// until demand is known: the best fixed one of the forwarder's trials.
	firstShortShare = 0.3
	// splitRate is how fast the split of targets follows demand, per second.
	splitRate = 0.3
)

// targetState is what this router has seen of a target.
type targetState struct {
	// pending is what is left to prefill, in tokens; plain requests count as short.
	pending    int64
	short      int
	long       int
	failures   int
	asideUntil time.Time
	prefixes   prefixMemory
	// pace is the recent time to the first token for each token that was to be
	// prefilled, in seconds; samples counts what it is made of.
	pace    float64
	samples int
}

// slowness returns how much slower a target is than the mean, or 0 if unknown.
func (s *targetState) slowness(mean float64) float64 {
	if s.samples < minPaceSamples || mean <= 0 {
		return 0
	}
	return min(max(s.pace/mean, minSlowness), maxSlowness)
}

// observe takes one request's time to its first token into the pace.
func (s *targetState) observe(seconds, tokens float64) {
	sample := seconds / (tokens + paceBaseTokens)
	if s.samples == 0 {
		s.pace = sample
	}
	s.samples++
	s.pace += (sample - s.pace) * paceWeight
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
	// changed is set when a long request begins or ends, which peers should know soon.
	changed bool
}

// takeChanged reports whether peers should know of a change, once for each.
func (f *fleet) takeChanged() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := f.changed
	f.changed = false
	return changed
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
		if s.short+s.long > 0 {
			out = append(out, framer.TargetLoad{Target: id, Pending: s.pending, Short: s.short, Long: s.long})
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
		sum.Pending += l.Pending
		sum.Short += l.Short
		sum.Long += l.Long
	}
	return sum
}

// plan returns the targets in the order in which a request should be offered to them.
func (f *fleet) plan(service string, w placer.Request, entries []registrar.Entry, now time.Time) []placer.Choice {
	f.mu.Lock()
	defer f.mu.Unlock()
	targets := make([]placer.Target, len(entries))
	slots := 1
	var demand placer.Demand
	mean := f.meanPace(entries)
	for i, e := range entries {
		s, others := f.state(e.ID), f.others(e.ID, now)
		slots = e.Slots
		demand.Short += s.short + others.Short
		demand.Long += s.long + others.Long
		targets[i] = placer.Target{
			ID: e.ID, Hash: xxhash.Sum64String(e.ID), Domain: e.Domain, Slots: e.Slots, PendingTokens: s.pending + others.Pending,
			Running: s.short + s.long + others.Short + others.Long, Ejected: now.Before(s.asideUntil),
			Cached: s.prefixes.known(w.AffinityKey, now), Slowness: s.slowness(mean),
		}
	}
	pool := placer.PoolSplit{ShortTargets: f.split(service, demand, len(entries), slots, now)}
	return placer.Plan(w, targets, pool)
}

// pace returns a target's time to the first token for each token that was to be
// prefilled, in seconds, or 0 if it isn't known.
func (f *fleet) pace(target string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state(target)
	if s.samples < minPaceSamples {
		return 0
	}
	return s.pace
}

// meanPace returns the mean pace of the targets whose pace is known, or 0.
func (f *fleet) meanPace(entries []registrar.Entry) float64 {
	sum, n := 0.0, 0
	for _, e := range entries {
		if s := f.state(e.ID); s.samples >= minPaceSamples {
			sum += s.pace
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// split returns how many targets of a service should serve short requests; it
// follows demand slowly.
func (f *fleet) split(service string, demand placer.Demand, targets, slots int, now time.Time) int {
	s := f.service(service)
	wanted := placer.ShortTargets(demand, targets, slots)
	if s.splitAt.IsZero() {
		s.split = firstShortShare * float64(targets)
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

// visit is one request at a target.
type visit struct {
	fleet     *fleet
	target    string
	work      placer.Request
	begun     time.Time
	pending   int64
	ahead     int64
	prefilled bool
}

// begin counts a request at a target until the visit ends.
func (f *fleet) begin(target string, w placer.Request, now time.Time) *visit {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := &visit{fleet: f, target: target, work: w, pending: w.UniqueTokens, begun: now}
	s := f.state(target)
	if w.Engine {
		if !s.prefixes.known(w.AffinityKey, now) {
			v.pending += w.SharedTokens
		}
		s.prefixes.add(w.AffinityKey, now)
	}
	v.ahead = s.pending + f.others(target, now).Pending
	s.pending += v.pending
	f.count(s, w, 1)
	return v
}

// firstToken notes that the prompt has been prefilled.
func (v *visit) firstToken() {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	if !v.prefilled && v.work.Engine {
		v.fleet.state(v.target).observe(time.Since(v.begun).Seconds(), float64(v.ahead+v.pending))
	}
	v.prefill()
}

func (v *visit) prefill() {
	if !v.prefilled {
		v.prefilled = true
		v.fleet.state(v.target).pending -= v.pending
	}
}

// end counts the request no more.
func (v *visit) end() {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	v.prefill()
	v.fleet.count(v.fleet.state(v.target), v.work, -1)
}

func (f *fleet) count(s *targetState, w placer.Request, n int) {
	f.total += n
	if w.Engine && w.Long() {
		s.long += n
		f.changed = true
		return
	}
	s.short += n
}

// failed sets a target aside, longer each time in a row. Requests that fail
// together, as a crash makes them, count as one failure.
func (f *fleet) failed(target string, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state(target)
	if now.Before(s.asideUntil) {
		return s.asideUntil.Sub(now)
	}
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

// restarted forgets what a target knew and how it fared before its last start.
func (f *fleet) restarted(target string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state(target)
	s.prefixes.clear()
	s.failures, s.asideUntil = 0, time.Time{}
	s.pace, s.samples = 0, 0
}

// prune forgets targets that are listed no more and that no request is at.
func (f *fleet) prune(listed map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, s := range f.states {
		if !listed[id] && s.short+s.long == 0 {
			delete(f.states, id)
		}
	}
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
