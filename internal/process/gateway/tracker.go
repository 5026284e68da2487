package gateway

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/egretroute/egretroute/internal/process/registrar"
	"github.com/egretroute/egretroute/internal/request/assessor"
	"github.com/egretroute/egretroute/internal/request/calibrator"
	"github.com/egretroute/egretroute/internal/request/ejector"
	"github.com/egretroute/egretroute/internal/request/placer"
	"github.com/egretroute/egretroute/internal/request/sharer"
	"github.com/egretroute/egretroute/internal/request/throttler"
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
	// minSharingPeers is the number of other routers from which the samples of targets' speeds are
	// shared: fewer have enough of their own.
	minSharingPeers = maxPushPeers
	// offerInterval is the least time between two offers of estimates, and maxOffered the number of
	// targets in one.
	offerInterval = 240 * time.Millisecond
	maxOffered    = 24
	// shareExponent is the power of its slowness by which a target has fewer sessions than others:
	// while others have room, a slow target should have few.
	shareExponent = 4
	// sampledEvents is the number of events of a stream whose time is one sample.
	sampledEvents = 6
	// shortTargetsRate is the share of the difference between the current and the
	// wanted number of short targets that is closed per second.
	shortTargetsRate     = 0.3
	shortTargetsRiseRate = 1.5
)

// targetState holds what this router knows of a target.
type targetState struct {
	assessor.Target
	// start is the newest start of the target that this router knows.
	start     time.Time
	abandoned abandonedRequests
	// permits are this router's for the target's limit. probedAt is when it has last sent a request
	// without one to learn whether the limit holds.
	permits  throttler.Bucket
	probedAt time.Time
	// limitToldAt is the time of the newest word on the limit that peers were told, tellLimitUntil
	// until when they are told of it.
	limitToldAt    time.Time
	tellLimitUntil time.Time
	prefixes       prefixCache
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

// serviceState holds how many of a service's targets serve short requests, and which requests wait.
type serviceState struct {
	shortTargets float64
	updatedAt    time.Time
	// queue holds the requests that wait for permits of limited targets.
	queue throttler.Queue
}

// targetTracker tracks the load and health of all targets, from this router's own
// requests and from the reports of its peers.
type targetTracker struct {
	// others returns the number of other routers.
	others func() int
	// membership returns what is known of the routers that share the limits of targets.
	membership func() sharer.Membership
	// warmup returns what a cold target of a service takes.
	warmup func(service string) throttler.Warmup

	mu        sync.Mutex // guards all below
	targets   map[string]*targetState
	services  map[string]*serviceState
	peerLoads map[string]peerLoads
	running   int
	// suspects counts the running suspects by what they are suspected for.
	suspects map[string]int
	// suspectEnded is closed and replaced when a suspect ends.
	suspectEnded chan struct{}
	// speeds are the estimates of the targets' speeds, shared in large fleets. offeredAt is when a
	// peer was last offered this router's parts in them.
	speeds    *calibrator.Calibrator
	offeredAt time.Time
	// urgentChange is set when a long request begins or ends, a target has crashed, or it has
	// said that it leaves or wants nothing; peers are told before the next regular report.
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
	receivedAt  time.Time
	incarnation string
	targets     map[string]assessor.Report
}

const (
	// peerLoadLifetime is the age from which a peer's report of its load on a target is
	// ignored. Its part in the fleet's demand changes more slowly; but demandLifetime must not
	// be so long that reports from before a burst hide it.
	peerLoadLifetime = 2 * time.Second
	demandLifetime   = 5 * time.Second
)

// newTargetTracker returns a tracker; others returns the number of other routers, membership what is
// known of them, and warmup what a cold target of a service takes.
func newTargetTracker(others func() int, membership func() sharer.Membership, warmup func(service string) throttler.Warmup) *targetTracker {
	return &targetTracker{
		others: others, membership: membership, warmup: warmup,
		targets: make(map[string]*targetState), services: make(map[string]*serviceState), peerLoads: make(map[string]peerLoads),
		suspects: make(map[string]int), suspectEnded: make(chan struct{}), speeds: calibrator.New(),
	}
}

// removePeer drops the report of a router whose link is down.
func (t *targetTracker) removePeer(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.peerLoads, name)
}

// peerLoad estimates the running requests of the other routers at a start of a target, from what they have
// reported; secondsPerToken is the time in which the target prefills a token, 0 if it isn't known. t.mu must be
// held.
func (t *targetTracker) peerLoad(target string, start time.Time, others int, secondsPerToken float64, now time.Time) (sum assessor.Load) {
	known, tokenSeconds := 0, 0.0
	for _, p := range t.peerLoads {
		age := now.Sub(p.receivedAt)
		if age > peerLoadLifetime {
			continue
		}
		known++
		if r, ok := p.targets[target]; ok {
			load := r.LoadOn(start)
			sum.Add(load)
			tokenSeconds += float64(load.PendingTokens) * age.Seconds()
		}
	}
	if others < minSharingPeers {
		return sum
	}
	if sum.PendingTokens > 0 {
		sum = sum.Aged(tokenSeconds/float64(sum.PendingTokens), secondsPerToken)
	}
	return sum.Scaled(known, others)
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
		for id, r := range p.targets {
			if inService[id] {
				sum.Short += r.Load.ShortRequests
				sum.Long += r.Load.LongRequests
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
	unlimited := 0
	mean := t.meanSecondsPerToken(entries)
	shared := others >= minSharingPeers
	for i, e := range entries {
		s := t.target(e.ID)
		slots = e.Slots
		own.Short += s.Load.ShortRequests
		own.Long += s.Load.LongRequests
		load := s.Load
		load.Add(t.peerLoad(e.ID, e.StartedAt, others, mean, now))
		limited := s.Limit(e.StartedAt).Stated || t.isCold(e, now)
		if !limited {
			unlimited++
		}
		targets[i] = placer.Target{
			ID: e.ID, Hash: xxhash.Sum64String(e.ID), Domain: e.Domain, Slots: e.Slots, PendingTokens: load.PendingTokens,
			Running: load.Running(), Ejected: s.Assess(e.StartedAt, now).Last,
			Cached: s.prefixes.cached(shape.AffinityKey, now), Slowness: s.slowness(mean), Suspects: load.Suspects, Limited: limited,
		}
		if shared {
			targets[i].Slowness = t.speeds.Slowness(e.ID, others+1, now)
			targets[i].Share = shareOf(targets[i].Slowness)
		}
	}
	reported, known := t.reportedDemand(entries, now)
	demand := placer.FleetDemand(own, reported, known, others)
	split := placer.PoolSplit{ShortTargets: t.shortTargets(service, demand, unlimited, slots, others, now)}
	return placer.Plan(shape, targets, split)
}

// shareOf returns the share of preferred sessions of a target that is slower than others.
func shareOf(slowness float64) float64 {
	return math.Pow(max(slowness, 1), -shareExponent)
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
// The number follows demand gradually; in a large fleet, whose demand is known late, it rises faster than it
// falls, as full targets delay their requests more than empty ones do others.
func (t *targetTracker) shortTargets(service string, demand placer.Demand, targets, slots, others int, now time.Time) int {
	s := t.service(service)
	wanted := placer.ShortTargets(demand, targets, slots)
	if s.updatedAt.IsZero() {
		s.shortTargets = initialShortShare * float64(targets)
	} else if wanted > 0 {
		rate := shortTargetsRate
		if others >= minSharingPeers && wanted > s.shortTargets {
			rate = shortTargetsRiseRate
		}
		step := min(now.Sub(s.updatedAt).Seconds()*rate, 1)
		s.shortTargets += (wanted - s.shortTargets) * step
	}
	s.updatedAt = now
	return int(s.shortTargets + 0.5)
}

// inFlightRequest is a request that was sent to a target and has not ended.
type inFlightRequest struct {
	tracker       *targetTracker
	target        string
	suspects      []string
	shape         placer.Request
	startedAt     time.Time
	pendingTokens int64 // prompt tokens of this request to prefill
	tokensAhead   int64 // tokens of other requests to prefill before it
	prefilled     bool
	limited       bool // it holds a permit of its target
	cold          bool // its target was cold when it was sent
	// events counts the events since eventsFrom, which are not sampled yet.
	events     int64
	eventsFrom time.Time
}

// begin counts a request as running at a target until its end method is called; suspects is what
// it is suspected for. If alone is set and this router has a suspect running there, or one that is
// suspected for the same running anywhere, it returns nil and a channel that is closed when a
// suspect ends. If the target's last permit has gone to another request, it returns nil and a
// closed channel.
func (t *targetTracker) begin(target registrar.Entry, shape placer.Request, suspects []string, alone bool, now time.Time) (*inFlightRequest, <-chan struct{}) {
	m, others := t.membership(), t.others()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.target(target.ID)
	if alone && (s.Load.Suspects > 0 || slices.ContainsFunc(suspects, func(key string) bool { return t.suspects[key] > 0 })) {
		return nil, t.suspectEnded
	}
	th := t.throttle(target, m, now)
	limited, ok := s.takePermit(th, now)
	if !ok {
		taken := make(chan struct{})
		close(taken)
		return nil, taken
	}
	s.sawStart(target.StartedAt)
	r := &inFlightRequest{tracker: t, limited: limited, cold: th.cold, target: target.ID, suspects: suspects, shape: shape, pendingTokens: shape.UniqueTokens, startedAt: now}
	if shape.Engine {
		if !s.prefixes.cached(shape.AffinityKey, now) {
			r.pendingTokens += shape.SharedTokens
		}
		s.prefixes.add(shape.AffinityKey, now)
	}
	r.tokensAhead = s.Load.PendingTokens + t.peerLoad(target.ID, target.StartedAt, others, s.secondsPerToken, now).PendingTokens
	s.Load.PendingTokens += r.pendingTokens
	r.addRunning(s, 1)
	return r, nil
}

// recordFirstToken marks the prompt as prefilled and samples the time that it took.
func (r *inFlightRequest) recordFirstToken() {
	routers := r.tracker.others() + 1
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	if !r.prefilled && r.shape.Engine && !r.cold {
		seconds, tokens := time.Since(r.startedAt).Seconds(), float64(r.tokensAhead+r.pendingTokens)
		r.tracker.target(r.target).addPrefillSample(seconds, tokens)
		r.tracker.speeds.Observe(sampleGroup(r.shape), r.target, seconds/(tokens+prefillBaseTokens), routers, time.Now())
	}
	r.markPrefilled()
}

// recordEvents counts n further events of a stream, and samples the time that they took. The first
// ones begin the count.
func (r *inFlightRequest) recordEvents(n int64) {
	now := time.Now()
	if r.cold {
		return
	}
	if r.eventsFrom.IsZero() {
		r.eventsFrom = now
		return
	}
	if r.events += n; r.events < sampledEvents {
		return
	}
	routers := r.tracker.others() + 1
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	r.tracker.speeds.Observe("events/"+sampleGroup(r.shape), r.target, now.Sub(r.eventsFrom).Seconds()/float64(r.events), routers, now)
	r.events, r.eventsFrom = 0, now
}

// sampleGroup returns the group of requests with which the time to the first token is compared.
func sampleGroup(shape placer.Request) string {
	if shape.Long() {
		return "long"
	}
	return "short"
}

// offerEstimates returns this router's parts in the estimates of speeds for a peer, or nothing if
// another one was offered them just now.
func (t *targetTracker) offerEstimates(now time.Time) []calibrator.Share {
	others := t.others()
	t.mu.Lock()
	defer t.mu.Unlock()
	if others < minSharingPeers || now.Sub(t.offeredAt) < offerInterval {
		return nil
	}
	t.offeredAt = now
	return t.speeds.Offer(maxOffered, now)
}

// replyEstimates averages a peer's parts in the estimates with the own ones and returns those.
func (t *targetTracker) replyEstimates(offered []calibrator.Share, now time.Time) []calibrator.Share {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.speeds.Reply(offered, now)
}

// finishEstimates ends an exchange of estimates.
func (t *targetTracker) finishEstimates(offered, reply []calibrator.Share, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.speeds.Finish(offered, reply, now)
}

func (r *inFlightRequest) markPrefilled() {
	if !r.prefilled {
		r.prefilled = true
		r.tracker.target(r.target).Load.PendingTokens -= r.pendingTokens
	}
}

// end removes the request from its target's load.
func (r *inFlightRequest) end() {
	r.tracker.mu.Lock()
	defer r.tracker.mu.Unlock()
	r.markPrefilled()
	r.addRunning(r.tracker.target(r.target), -1)
}

// addRunning adds n to the running requests of the request's kind; tracker.mu must be held.
func (r *inFlightRequest) addRunning(s *targetState, n int) {
	t := r.tracker
	t.running += n
	if r.shape.Suspect {
		s.Load.Suspects += n
		t.urgentChange = true
		for _, key := range r.suspects {
			if t.suspects[key] += n; t.suspects[key] == 0 {
				delete(t.suspects, key)
			}
		}
		if n < 0 {
			close(t.suspectEnded)
			t.suspectEnded = make(chan struct{})
		}
	}
	if r.shape.Engine && r.shape.Long() {
		s.Load.LongRequests += n
		t.urgentChange = true
		return
	}
	s.Load.ShortRequests += n
}

// recordLoss records a request without a usable response and returns the time until its
// target is offered requests again.
func (t *targetTracker) recordLoss(target string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.target(target).Health.RecordLoss(now)
}

// recordFailure records a failure response and returns the time until the target is
// offered requests again, or 0 if it is not ejected.
func (t *targetTracker) recordFailure(target string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.target(target).Health.RecordFailure(now)
}

// recordSuccess records a successful response to a request that was sent at sentAt.
func (t *targetTracker) recordSuccess(target string, sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.target(target).RecordSuccess(sentAt)
}

// resetTarget clears the cached prefixes, failures, ejection and prefill time that a
// target had before it restarted.
func (t *targetTracker) resetTarget(target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.target(target)
	s.prefixes.clear()
	t.speeds.Forget(target)
	s.Health = ejector.Health{}
	s.secondsPerToken, s.samples = 0, 0
}

// prune drops targets that are not listed, have no running request and have not said lately
// that they leave or want nothing: their entries may come back.
func (t *targetTracker) prune(listed map[string]bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.targets {
		if !listed[id] && s.Load.Running() == 0 && s.Expired(now) && !s.abandoned.watching {
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
	return t.target(target).Load.Running()
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
