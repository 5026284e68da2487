package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/egretroute/egretroute/platform/platformtest"
)

// healthyBehaviour is the behaviour of targets without faults.
var healthyBehaviour = platformtest.Behaviour{Events: eventsPerStream, EventInterval: 15 * time.Millisecond}

const (
	// minFault and maxFault limit the duration of a fault, maxGap the time between
	// the starts of two faults.
	minFault = 200 * time.Millisecond
	maxFault = 4 * time.Second
	maxGap   = 900 * time.Millisecond
	// minLongFreeze and maxLongFreeze limit the duration of a long freeze: others declare a process gone that they
	// haven't reached for 12 s. longFreezeGap limits the time between two.
	minLongFreeze = 13 * time.Second
	maxLongFreeze = 20 * time.Second
	longFreezeGap = 3 * time.Second
	// endlessGap limits the time between the starts of two responses without end.
	endlessGap = 4 * time.Second
	// lateCommitDelay is the delay after which commits without a reply take effect.
	lateCommitDelay = 1500 * time.Millisecond
	slowStoreDelay  = 250 * time.Millisecond
	// copyInterval is the time between two copies of the store's rows, of which the last
	// maxCopies may be restored, and copyGap limits the time between two restorations.
	copyInterval = 500 * time.Millisecond
	maxCopies    = 12
	copyGap      = 9 * time.Second
	// rewriteDelay limits the time until the operator and the targets write again.
	rewriteDelay = 300 * time.Millisecond
)

// fault is a temporary fault; begin starts it and returns the function that ends
// it, or nil if there is nothing to end.
type fault struct {
	name  string
	begin func(s *Soak, random *rand.Rand) (end func())
	// unplanned is set if the fault disturbs programs themselves.
	unplanned bool
}

// faults are the faults that a soak chooses from at random.
var faults = []fault{
	{name: "kill", unplanned: true, begin: func(s *Soak, random *rand.Rand) func() { return s.killPrograms(pick(random, s.programs)) }},
	{name: "kill all", unplanned: true, begin: func(s *Soak, _ *rand.Rand) func() { return s.killPrograms(s.programs...) }},
	{name: "stop", begin: func(s *Soak, random *rand.Rand) func() {
		p := pick(random, s.programs)
		p.stop()
		return func() { s.restart(p) }
	}},
	{name: "freeze", unplanned: true, begin: func(s *Soak, random *rand.Rand) func() {
		p := pick(random, s.programs)
		p.freeze()
		return p.unfreeze
	}},
	{name: "reload", begin: func(s *Soak, random *rand.Rand) func() {
		if err := pick(random, s.programs).reload(random.IntN(2) == 0); err != nil {
			s.logEvent("reload failed", err.Error())
		}
		return nil
	}},
	{name: "store of one", begin: func(s *Soak, random *rand.Rand) func() {
		return setRandomMode(pick(random, s.programs).storeProxy, random)
	}},
	{name: "store of all gateways", begin: func(s *Soak, random *rand.Rand) func() {
		var ends []func()
		for _, p := range s.programs {
			if p.kind == "gateway" {
				ends = append(ends, setRandomMode(p.storeProxy, random))
			}
		}
		return func() {
			for _, end := range ends {
				end()
			}
		}
	}},
	{name: "store", begin: func(s *Soak, random *rand.Rand) func() { return s.injectStoreFault(random) }},
	{name: "connection to a target", begin: func(s *Soak, random *rand.Rand) func() {
		t := pick(random, s.targets)
		return both(setRandomMode(t.proxy, random), s.disturb(t.standin.ID))
	}},
	{name: "target", begin: func(s *Soak, random *rand.Rand) func() {
		t := pick(random, s.targets).standin
		t.SetBehaviour([]platformtest.Behaviour{
			{Full: true}, {Fail: true}, {Events: 8, ResetAfter: 2}, {NoResponse: true}, {Unsigned: true}, {Events: 8, EventInterval: 200 * time.Millisecond},
		}[random.IntN(6)])
		return func() { t.SetBehaviour(healthyBehaviour) }
	}},
	{name: "target drains", begin: func(s *Soak, random *rand.Rand) func() {
		t := pick(random, s.targets)
		s.putEntry(t, "draining")
		return func() { s.putEntry(t, "ready") }
	}},
	{name: "configuration", begin: func(s *Soak, random *rand.Rand) func() { s.reconfigure(random); return nil }},
}

// laterFaults are drawn from a sequence of their own, so that the seeds that failed
// before this list existed still draw the same faults.
var laterFaults = []fault{
	{name: "crash and failures", begin: func(s *Soak, random *rand.Rand) func() { return s.crashAndFail(random) }},
}

// crashingRequests are drawn from a sequence of their own too.
var crashingRequests = []fault{
	{name: "request that crashes targets", begin: func(s *Soak, random *rand.Rand) func() { return s.sendCrashing(random) }},
}

// withdrawals are drawn from a sequence of their own too.
var withdrawals = []fault{
	{name: "target leaves", begin: func(s *Soak, random *rand.Rand) func() { return s.leave(pick(random, s.targets)) }},
	{name: "target wants nothing", begin: func(s *Soak, random *rand.Rand) func() { return s.pause(pick(random, s.targets), random) }},
}

// restorations are drawn from a sequence of their own too.
var restorations = []fault{
	{name: "store comes back from a copy", begin: func(s *Soak, random *rand.Rand) func() { return s.restoreCopy(random) }},
}

// namedLimits are drawn from a sequence of their own too.
var namedLimits = []fault{
	{name: "target limits the rate", begin: func(s *Soak, random *rand.Rand) func() { return s.limit([]*target{pick(random, s.targets)}, random) }},
	{name: "service limits the rate", begin: func(s *Soak, random *rand.Rand) func() { return s.limit(s.targetsOf(random), random) }},
}

// harmfulRequests are drawn from a sequence of their own too.
var harmfulRequests = []fault{
	{name: "part of a prompt that crashes targets", begin: func(s *Soak, random *rand.Rand) func() { return s.sendHarmful(random) }},
}

// endlessResponses are drawn from a sequence of their own too.
var endlessResponses = []fault{
	{name: "response without end", begin: func(s *Soak, random *rand.Rand) func() {
		t := pick(random, s.targets).standin
		t.SetBehaviour(platformtest.Behaviour{Endless: pick(random, []string{
			"HTTP/1.1 200 OK\r\nX-Long: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", "aaaaaaaaaaaaaaaa", "\r\n",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		})})
		return func() { t.SetBehaviour(healthyBehaviour) }
	}},
}

// failures are the ways in which a failing target responds in turn, in a random order.
var failures = []platformtest.Behaviour{
	{Fail: true},
	{Fail: true, Status: http.StatusTooManyRequests},
	{Full: true},
	{Unsigned: true, Events: eventsPerStream},
	{NoResponse: true},
	{Reset: true},
	{Fail: true, Truncated: true},
	{Truncated: true, Events: eventsPerStream},
	{Fail: true, Spoiled: true},
	{Spoiled: true, Events: eventsPerStream},
}

// crashAndFail lets some targets of a service break off their streams and the others
// fail requests, so that streams are resumed at failing targets.
func (s *Soak) crashAndFail(random *rand.Rand) func() {
	service := pick(random, s.targets).standin.Service
	var targets []*platformtest.Target
	for _, t := range s.targets {
		if t.standin.Service == service {
			targets = append(targets, t.standin)
		}
	}
	random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	crashing := 1 + random.IntN(max(len(targets)-1, 1))
	for i, t := range targets {
		behaviours := slices.Clone(failures)
		random.Shuffle(len(behaviours), func(i, j int) { behaviours[i], behaviours[j] = behaviours[j], behaviours[i] })
		if i < crashing {
			behaviours = []platformtest.Behaviour{healthyBehaviour}
			behaviours[0].ResetAfter = 1 + random.IntN(eventsPerStream-1)
		}
		s.logEvent(t.ID, fmt.Sprintf("%+v", behaviours))
		t.SetBehaviour(behaviours...)
	}
	return func() {
		for _, t := range targets {
			t.SetBehaviour(healthyBehaviour)
		}
	}
}

func pick[T any](random *rand.Rand, items []T) T {
	return items[random.IntN(len(items))]
}

// setRandomMode sets a proxy to a random faulty mode.
func setRandomMode(p *proxy, random *rand.Rand) (end func()) {
	p.setMode(1 + mode(random.IntN(int(modeCount)-1)))
	return func() { p.setMode(modePass) }
}

// killPrograms kills programs and returns a function that starts them again.
func (s *Soak) killPrograms(programs ...*program) func() {
	for _, p := range programs {
		p.kill()
	}
	return func() {
		for _, p := range programs {
			s.restart(p)
		}
	}
}

func (s *Soak) restart(p *program) {
	if err := p.start(); err != nil {
		s.logEvent("start failed", err.Error())
	}
}

// injectStoreFault sets a random fault of the store that affects all programs.
func (s *Soak) injectStoreFault(random *rand.Rand) func() {
	return s.setStoreFault([]platformtest.Faults{
		{Silent: true}, {Status: 503}, {Status: 429}, {DropAnswers: true}, {Delay: slowStoreDelay}, {LateCommits: lateCommitDelay},
		{ForgetBefore: s.store.Version() + 1},
	}[random.IntN(7)])
}

// setStoreFault sets a fault of the store that affects all programs.
func (s *Soak) setStoreFault(f platformtest.Faults) (end func()) {
	s.logEvent("store", fmt.Sprintf("%+v", f))
	s.mu.Lock()
	s.storeFaultCount++
	id := s.storeFaultCount
	s.mu.Unlock()
	s.store.SetFaults(s.withIgnoredConditions(f))
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.storeFaultCount == id { // otherwise a later fault has replaced this one
			s.store.SetFaults(s.withIgnoredConditions(platformtest.Faults{}))
		}
	}
}

// disturb notes that a target or its link may break off responses until end is called.
func (s *Soak) disturb(target string) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.disturbances[target])
	s.disturbances[target] = append(s.disturbances[target], Period{From: time.Now()})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.disturbances[target][n].Until = time.Now()
	}
}

// restoreCopy lets the store refuse all calls and returns a function that lets it come back from a
// copy of its rows.
func (s *Soak) restoreCopy(random *rand.Rand) func() {
	s.mu.Lock()
	s.storeFaultCount++
	id := s.storeFaultCount
	s.mu.Unlock()
	s.store.SetFaults(s.withIgnoredConditions(platformtest.Faults{Status: http.StatusServiceUnavailable}))
	return func() {
		s.mu.Lock()
		restored := pick(random, s.copies)
		rewrite := s.store.Restore(restored)
		if s.storeFaultCount == id { // otherwise a later fault has replaced this one
			s.store.SetFaults(s.withIgnoredConditions(platformtest.Faults{}))
		}
		s.mu.Unlock()
		time.Sleep(randomDuration(random, rewriteDelay))
		rewrite()
	}
}

// keepCopies takes copies of the store's rows until ctx ends.
func (s *Soak) keepCopies(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		s.copies = append(s.copies, s.store.Copy())
		s.copies = s.copies[max(len(s.copies)-maxCopies, 0):]
		s.mu.Unlock()
		sleep(ctx, copyInterval)
	}
}

// reconfigure writes the next version of the configuration with one change:
// another route, a larger budget, or a key revoked or restored.
func (s *Soak) reconfigure(random *rand.Rand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configuration.Version += 1 + random.IntN(3)
	switch random.IntN(3) {
	case 0:
		s.configuration.ExtraRoutes++
	case 1:
		s.configuration.AlphaBudget += budgetRaise
	default:
		s.configuration.BetaKeyRevoked = !s.configuration.BetaKeyRevoked
	}
	s.configuration.Put(s.store)
}

// injectFaults starts random faults for FaultDuration and waits until all have
// ended; faults may overlap.
func (s *Soak) injectFaults(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	end := time.Now().Add(s.FaultDuration)
	copiesCtx, stopCopies := context.WithCancel(ctx)
	defer stopCopies()
	go s.keepCopies(copiesCtx)
	wg.Go(func() {
		random := rand.New(rand.NewPCG(s.Seed, 2))
		// One fault of this list is to be about as frequent as one of the other.
		gap := maxGap * time.Duration(len(faults)) / time.Duration(len(laterFaults))
		sleep(ctx, randomDuration(random, gap))
		s.injectSequence(ctx, &wg, end, random, laterFaults, gap)
	})
	wg.Go(func() {
		random := rand.New(rand.NewPCG(s.Seed, 3))
		sleep(ctx, randomDuration(random, maxGap))
		s.injectSequence(ctx, &wg, end, random, crashingRequests, crashingGap)
	})
	wg.Go(func() {
		random := rand.New(rand.NewPCG(s.Seed, 4))
		sleep(ctx, randomDuration(random, withdrawalGap))
		s.injectSequence(ctx, &wg, end, random, withdrawals, withdrawalGap)
	})
	wg.Go(func() {
		random := rand.New(rand.NewPCG(s.Seed, 5))
		sleep(ctx, randomDuration(random, endlessGap))
		s.injectSequence(ctx, &wg, end, random, endlessResponses, endlessGap)
	})
	wg.Go(func() {
		if s.IgnoreConditions {
			return
		}
		random := rand.New(rand.NewPCG(s.Seed, 6))
		sleep(ctx, randomDuration(random, copyGap))
		s.injectSequence(ctx, &wg, end, random, restorations, copyGap)
	})
	wg.Go(func() {
		if s.IgnoreConditions {
			return
		}
		random := rand.New(rand.NewPCG(s.Seed, 7))
		sleep(ctx, randomDuration(random, limitGap))
		s.injectSequence(ctx, &wg, end, random, namedLimits, limitGap)
	})
	wg.Go(func() {
		if !s.HarmfulParts {
			return
		}
		random := rand.New(rand.NewPCG(s.Seed, 8))
		sleep(ctx, randomDuration(random, harmfulGap))
		s.injectSequence(ctx, &wg, end, random, harmfulRequests, harmfulGap)
	})
	wg.Go(func() {
		if s.IgnoreConditions {
			return
		}
		random := rand.New(rand.NewPCG(s.Seed, 9))
		sleep(ctx, randomDuration(random, seriesGap))
		s.injectSequence(ctx, &wg, end, random, stopSeries, seriesGap)
	})
	wg.Go(func() {
		if s.LongFreezes {
			s.freezeLong(ctx, end)
		}
	})
	s.injectSequence(ctx, &wg, end, s.random, faults, maxGap)
}

// freezeLong freezes one gateway after the other until end.
func (s *Soak) freezeLong(ctx context.Context, end time.Time) {
	random := rand.New(rand.NewPCG(s.Seed, 10))
	for time.Now().Before(end) && ctx.Err() == nil {
		sleep(ctx, randomDuration(random, longFreezeGap))
		p := s.programs[random.IntN(s.Gateways)]
		s.logEvent("begin long freeze", p.name)
		p.freeze()
		sleep(ctx, minLongFreeze+randomDuration(random, maxLongFreeze-minLongFreeze))
		p.unfreeze()
		s.logEvent("end long freeze", p.name)
	}
}

// injectSequence starts random faults of a list until end.
func (s *Soak) injectSequence(ctx context.Context, wg *sync.WaitGroup, end time.Time, sequence *rand.Rand, list []fault, gap time.Duration) {
	for time.Now().Before(end) && ctx.Err() == nil {
		f := pick(sequence, list)
		duration := minFault + randomDuration(sequence, maxFault-minFault)
		random := rand.New(rand.NewPCG(s.Seed, sequence.Uint64()))
		wg.Go(func() {
			if f.unplanned && s.PlannedOnly {
				return
			}
			s.logEvent("begin "+f.name, duration.String())
			endFault := f.begin(s, random)
			sleep(ctx, duration)
			if endFault != nil {
				endFault()
			}
			s.logEvent("end "+f.name, "")
		})
		sleep(ctx, randomDuration(sequence, gap))
	}
}

// randomDuration returns a duration in [0, d).
func randomDuration(random *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(d)))
}

// endFaults ends all faults and starts the programs that are down.
func (s *Soak) endFaults() {
	s.store.SetFaults(s.withIgnoredConditions(platformtest.Faults{}))
	for _, p := range s.programs {
		p.storeProxy.setMode(modePass)
		p.unfreeze()
		s.restart(p)
	}
	for _, t := range s.targets {
		end := s.disturb(t.standin.ID)
		t.proxy.setMode(modePass)
		end()
		t.standin.SetBehaviour(healthyBehaviour)
		t.standin.SetRateLimits()
		s.putEntry(t, "ready")
	}
}
