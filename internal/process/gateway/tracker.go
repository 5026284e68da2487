package gateway

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/process/registrar"
	"github.com/egretroute/egretroute/internal/request/ejector"
	"github.com/egretroute/egretroute/internal/request/placer"
)

const (
	// prefillSampleWeight is the weight of a new sample in the moving average of the
	// prefill time per token, minPrefillSamples the number of samples from which the
	// average is used. minSlowness and maxSlowness bound a target's ratio to the mean.
	prefillSampleWeight = 0.1
	minPrefillSamples   = 5
	minSlowness         = 0.6
	maxSlowness         = 8
	// prefillBaseTokens accounts, in tokens, for the part of the time to the first
	// token that does not depend on the prompt; without it targets with short prompts
	// would look slow.
	prefillBaseTokens = 600
	// initialShortShare is the share of a service's targets that serves short requests
	// until demand is known.
	initialShortShare = 0.3
	// shortTargetsRate is the share of the difference between the current and the
	// wanted number of short targets that is closed per second.
	shortTargetsRate = 0.3
)

// targetState holds this router's requests at a target and its recent health.
type targetState struct {
	// pendingTokens is the number of prompt tokens still to be prefilled.
	pendingTokens int64
	// short and long count running requests; those of plain services count as short.
	short int
	long  int
	// suspects counts the running requests that are suspected of a crash.
	suspects int
	// abandoned are the requests that this router has canceled there lately.
	abandoned []abandonedRequest
	health    ejector.Health
	prefixes  prefixCache
	// secondsPerToken is the prefill time per token: a moving average of the time to
	// the first token, divided by the tokens to prefill until then. samples counts the
	// requests in the average.
	secondsPerToken float64
	samples         int
}

// slowness returns the ratio of the target's prefill time per token to the mean, or
// 0 if either is unknown.
func (s *targetState) slowness(mean float64) float64 {
	if s.samples < minPrefillSamples || mean <= 0 {
		return 0
	}
	return min(max(s.secondsPerToken/mean, minSlowness), maxSlowness)
}

// addPrefillSample adds one request's time to the first token to the average.
func (s *targetState) addPrefillSample(seconds, tokens float64) {
	sample := seconds / (tokens + prefillBaseTokens)
	if s.samples == 0 {
		s.secondsPerToken = sample
	}
	s.samples++
	s.secondsPerToken += (sample - s.secondsPerToken) * prefillSampleWeight
}

// serviceState holds how many of a service's targets serve short requests.
type serviceState struct {
	shortTargets float64
	updatedAt    time.Time
}

// targetTracker tracks the load and health of all targets, from this router's own
// requests and from the reports of its peers.
type targetTracker struct {
	// others returns the number of other routers.
	others func() int

	mu        sync.Mutex // guards all below
	targets   map[string]*targetState
	services  map[string]*serviceState
	peerLoads map[string]peerLoads
	running   int
	// suspectEnded is closed and replaced when a suspect ends.
	suspectEnded chan struct{}
	// urgentChange is set when a long request begins or ends, or a target has crashed;
	// peers are told of it before the next regular report.
	urgentChange bool
}

// takeUrgentChange returns urgentChange and clears it.
func (t *targetTracker) takeUrgentChange() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.urgentChange
	t.urgentChange = false
	return changed
}

// markUrgentChange sets urgentChange.
func (t *targetTracker) markUrgentChange() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.urgentChange = true
}

// peerLoads is another router's last report of its running requests, by target.
type peerLoads struct {
	receivedAt time.Time
	targets    map[string]framer.TargetLoad
}

const (
	// peerLoadLifetime is the age from which a peer's report of its load on a target is
	// ignored. Its part in the fleet's demand changes more slowly; but demandLifetime must not
	// be so long that reports from before a burst hide it.
	peerLoadLifetime = 2 * time.Second
	demandLifetime   = 5 * time.Second
)

// newTargetTracker returns a tracker; others returns the number of other routers.
func newTargetTracker(others func() int) *targetTracker {
	return &targetTracker{
		others:  others,
		targets: make(map[string]*targetState), services: make(map[string]*serviceState), peerLoads: make(map[string]peerLoads),
		suspectEnded: make(chan struct{}),
	}
}

// ownLoads returns this router's running requests by target, for its peers.
func (t *targetTracker) ownLoads() []framer.TargetLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []framer.TargetLoad
	for id, s := range t.targets {
		if s.short+s.long > 0 {
			out = append(out, framer.TargetLoad{Target: id, PendingTokens: s.pendingTokens, ShortRequests: s.short, LongRequests: s.long, Suspects: s.suspects})
		}
	}
	return out
}

// setPeerLoads replaces the report of another router.
func (t *targetTracker) setPeerLoads(name string, loads []framer.TargetLoad, now time.Time) {
	p := peerLoads{receivedAt: now, targets: make(map[string]framer.TargetLoad, len(loads))}
	for _, l := range loads {
		p.targets[l.Target] = l
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peerLoads[name] = p
}

// removePeer drops the report of a router whose link is down.
func (t *targetTracker) removePeer(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.peerLoads, name)
}

// peerLoad sums up the running requests of all other routers at a target; t.mu must
// be held.
func (t *targetTracker) peerLoad(target string, now time.Time) framer.TargetLoad {
	var sum framer.TargetLoad
	for _, p := range t.peerLoads {
		if now.Sub(p.receivedAt) > peerLoadLifetime {
			continue
		}
		load := p.targets[target]
		sum.PendingTokens += load.PendingTokens
		sum.ShortRequests += load.ShortRequests
		sum.LongRequests += load.LongRequests
		sum.Suspects += load.Suspects
	}
	return sum
}

// reportedDemand sums up the running requests that other routers have reported at the given
// targets, and returns the number of these routers; t.mu must be held.
func (t *targetTracker) reportedDemand(entries []registrar.Entry, now time.Time) (sum placer.Demand, routers int) {
	inService := make(map[string]bool, len(entries))
	for _, e := range entries {
		inService[e.ID] = true
	}
	for _, p := range t.peerLoads {
		if now.Sub(p.receivedAt) > demandLifetime {
			continue
		}
		routers++
		for id, load := range p.targets {
			if inService[id] {
				sum.Short += load.ShortRequests
				sum.Long += load.LongRequests
			}
		}
	}
	return sum, routers
}

// plan returns the targets in the order in which a request should be offered to them.
func (t *targetTracker) plan(service string, shape placer.Request, entries []registrar.Entry, now time.Time) []placer.Choice {
	others := t.others()
	t.mu.Lock()
	defer t.mu.Unlock()
	targets := make([]placer.Target, len(entries))
	slots := 1
	var own placer.Demand
	mean := t.meanSecondsPerToken(entries)
	for i, e := range entries {
		s, peers := t.target(e.ID), t.peerLoad(e.ID, now)
		slots = e.Slots
		own.Short += s.short
		own.Long += s.long
		targets[i] = placer.Target{
			ID: e.ID, Hash: xxhash.Sum64String(e.ID), Domain: e.Domain, Slots: e.Slots, PendingTokens: s.pendingTokens + peers.PendingTokens,
			Running: s.short + s.long + peers.ShortRequests + peers.LongRequests, Ejected: s.health.Ejected(now),
			Cached: s.prefixes.cached(shape.AffinityKey, now), Slowness: s.slowness(mean), Suspects: s.suspects + peers.Suspects,
		}
	}
	reported, known := t.reportedDemand(entries, now)
	demand := placer.FleetDemand(own, reported, known, others)
	split := placer.PoolSplit{ShortTargets: t.shortTargets(service, demand, len(entries), slots, now)}
	return placer.Plan(shape, targets, split)
}

// secondsPerToken returns a target's prefill time per token, or 0 if it isn't known.
func (t *targetTracker) secondsPerToken(target string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.target(target)
	if s.samples < minPrefillSamples {
		return 0
	}
	return s.secondsPerToken
}

// meanSecondsPerToken returns the mean prefill time per token of the targets for
// which it is known, or 0 if there are none.
func (t *targetTracker) meanSecondsPerToken(entries []registrar.Entry) float64 {
	sum, n := 0.0, 0
	for _, e := range entries {
		if s := t.target(e.ID); s.samples >= minPrefillSamples {
			sum += s.secondsPerToken
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// shortTargets returns how many targets of a service should serve short requests.
// The number follows demand gradually.
func (t *targetTracker) shortTargets(service string, demand placer.Demand, targets, slots int, now time.Time) int {
	s := t.service(service)
	wanted := placer.ShortTargets(demand, targets, slots)
	if s.updatedAt.IsZero() {
		s.shortTargets = initialShortShare * float64(targets)
	} else if wanted > 0 {
		step := min(now.Sub(s.updatedAt).Seconds()*shortTargetsRate, 1)
		s.shortTargets += (wanted - s.shortTargets) * step
	}
	s.updatedAt = now
	return int(s.shortTargets + 0.5)
}

// inFlightRequest is a request that was sent to a target and has not ended.
type inFlightRequest struct {
	tracker       *targetTracker
	target        string
	shape         placer.Request
	startedAt     time.Time
	pendingTokens int64 // prompt tokens of this request to prefill
	tokensAhead   int64 // tokens of other requests to prefill before it
	prefilled     bool
}

// begin counts a request as running at a target until its end method is called. If alone
// is set and this router has a suspect running there, it returns nil and a channel that is
// closed when a suspect ends.
func (t *targetTracker) begin(target string, shape placer.Request, alone bool, now time.Time) (*inFlightRequest, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if alone && t.target(target).suspects > 0 {
		return nil, t.suspectEnded
	}
	r := &inFlightRequest{tracker: t, target: target, shape: shape, pendingTokens: shape.UniqueTokens, startedAt: now}
	s := t.target(target)
	if shape.Engine {
		if !s.prefixes.cached(shape.AffinityKey, now) {
			r.pendingTokens += shape.SharedTokens
		}
		s.prefixes.add(shape.AffinityKey, now)
	}
	r.tokensAhead = s.pendingTokens + t.peerLoad(target, now).PendingTokens
	s.pendingTokens += r.pendingTokens
	t.addRunning(s, shape, 1)
	return r, nil
}

// recordFirstToken marks the prompt as prefilled and samples the time that it took.
func (r *inFlightRequest) recordFirstToken() {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	if !r.prefilled && r.shape.Engine {
		r.tracker.target(r.target).addPrefillSample(time.Since(r.startedAt).Seconds(), float64(r.tokensAhead+r.pendingTokens))
	}
	r.markPrefilled()
}

func (r *inFlightRequest) markPrefilled() {
	if !r.prefilled {
		r.prefilled = true
		r.tracker.target(r.target).pendingTokens -= r.pendingTokens
	}
}

// end removes the request from its target's load.
func (r *inFlightRequest) end() {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	r.markPrefilled()
	r.tracker.addRunning(r.tracker.target(r.target), r.shape, -1)
}

func (t *targetTracker) addRunning(s *targetState, shape placer.Request, n int) {
	t.running += n
	if shape.Suspect {
		s.suspects += n
		t.urgentChange = true
		if n < 0 {
			close(t.suspectEnded)
			t.suspectEnded = make(chan struct{})
		}
	}
	if shape.Engine && shape.Long() {
		s.long += n
		t.urgentChange = true
		return
	}
	s.short += n
}

// recordLoss records a request without a usable response and returns the time until its
// target is offered requests again.
func (t *targetTracker) recordLoss(target string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.target(target).health.RecordLoss(now)
}

// recordFailure records a failure response and returns the time until the target is
// offered requests again, or 0 if it is not ejected.
func (t *targetTracker) recordFailure(target string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.target(target).health.RecordFailure(now)
}

// recordSuccess records a successful response to a request that was sent at sentAt.
func (t *targetTracker) recordSuccess(target string, sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.target(target).health.RecordSuccess(sentAt)
}

// resetTarget clears the cached prefixes, failures, ejection and prefill time that a
// target had before it restarted.
func (t *targetTracker) resetTarget(target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.target(target)
	s.prefixes.clear()
	s.health = ejector.Health{}
	s.secondsPerToken, s.samples = 0, 0
}

// prune drops targets that are not listed and have no running request.
func (t *targetTracker) prune(listed map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.targets {
		if !listed[id] && s.short+s.long == 0 {
			delete(t.targets, id)
		}
	}
}

// runningCount returns the number of requests in flight at all targets.
func (t *targetTracker) runningCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running
}

// runningAt returns the number of this router's requests in flight at a target.
func (t *targetTracker) runningAt(target string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.target(target)
	return s.short + s.long
}

func (t *targetTracker) target(id string) *targetState {
	s, ok := t.targets[id]
	if !ok {
		s = &targetState{}
		t.targets[id] = s
	}
	return s
}

func (t *targetTracker) service(name string) *serviceState {
	s, ok := t.services[name]
	if !ok {
		s = &serviceState{}
		t.services[name] = s
	}
	return s
}
