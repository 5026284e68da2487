package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/egretroute/egretroute/platform/platformtest"
)

// healthy is how targets answer without faults.
var healthy = platformtest.Behaviour{Events: 8, EventInterval: 15 * time.Millisecond}

const (
	// minFault and maxFault bound how long a fault lasts, maxGap the time to the next.
	minFault = 200 * time.Millisecond
	maxFault = 4 * time.Second
	maxGap   = 900 * time.Millisecond
	// lateCommit is how late commits take effect that got no answer.
	lateCommit = 1500 * time.Millisecond
	slowStore  = 250 * time.Millisecond
)

// fault is something that goes wrong for a while; begin returns what ends it.
type fault struct {
	name  string
	begin func(s *Soak, random *rand.Rand) (end func())
}

// faults are those that a soak draws from.
var faults = []fault{
	{"kill", func(s *Soak, random *rand.Rand) func() { return s.killed(pick(random, s.programs)) }},
	{"kill all", func(s *Soak, _ *rand.Rand) func() { return s.killed(s.programs...) }},
	{"stop", func(s *Soak, random *rand.Rand) func() {
		p := pick(random, s.programs)
		p.stop()
		return func() { s.restart(p) }
	}},
	{"freeze", func(s *Soak, random *rand.Rand) func() {
		p := pick(random, s.programs)
		p.freeze()
		return p.thaw
	}},
	{"reload", func(s *Soak, random *rand.Rand) func() {
		if err := pick(random, s.programs).reload(random.IntN(2) == 0); err != nil {
			s.note("reload failed", err.Error())
		}
		return nil
	}},
	{"store of one", func(s *Soak, random *rand.Rand) func() {
		return misbehave(pick(random, s.programs).store, random)
	}},
	{"store of all gateways", func(s *Soak, random *rand.Rand) func() {
		var ends []func()
		for _, p := range s.programs {
			if p.kind == "gateway" {
				ends = append(ends, misbehave(p.store, random))
			}
		}
		return func() {
			for _, end := range ends {
				end()
			}
		}
	}},
	{"store", func(s *Soak, random *rand.Rand) func() { return s.spoilStore(random) }},
	{"way to a target", func(s *Soak, random *rand.Rand) func() {
		return misbehave(pick(random, s.targets).proxy, random)
	}},
	{"target", func(s *Soak, random *rand.Rand) func() {
		t := pick(random, s.targets).stand
		t.SetBehaviour([]platformtest.Behaviour{
			{Full: true}, {Fail: true}, {Events: 8, ResetAfter: 2}, {NoResponse: true}, {Unsigned: true}, {Events: 8, EventInterval: 200 * time.Millisecond},
		}[random.IntN(6)])
		return func() { t.SetBehaviour(healthy) }
	}},
	{"target leaves", func(s *Soak, random *rand.Rand) func() {
		t := pick(random, s.targets)
		s.enter(t, "draining")
		return func() { s.enter(t, "ready") }
	}},
	{"configuration", func(s *Soak, random *rand.Rand) func() { s.reconfigure(random); return nil }},
}

func pick[T any](random *rand.Rand, from []T) T {
	return from[random.IntN(len(from))]
}

// misbehave sets a proxy to a random mode.
func misbehave(p *proxy, random *rand.Rand) (end func()) {
	p.set(1 + mode(random.IntN(int(modeCount)-1)))
	return func() { p.set(modePass) }
}

// killed ends programs without notice, to be started again.
func (s *Soak) killed(programs ...*program) func() {
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
		s.note("start failed", err.Error())
	}
}

// spoilStore makes the store misbehave for all.
func (s *Soak) spoilStore(random *rand.Rand) func() {
	f := []platformtest.Faults{
		{Silent: true}, {Status: 503}, {Status: 429}, {DropAnswers: true}, {Delay: slowStore}, {LateCommits: lateCommit},
		{ForgetBefore: s.store.Version() + 1},
	}[random.IntN(7)]
	s.note("store", fmt.Sprintf("%+v", f))
	s.mu.Lock()
	s.storeFaults++
	mine := s.storeFaults
	s.mu.Unlock()
	s.store.SetFaults(s.faults(f))
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.storeFaults == mine { // a younger fault goes on
			s.store.SetFaults(s.faults(platformtest.Faults{}))
		}
	}
}

// reconfigure writes the next version: more routes, more budget, a key given or taken.
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

// disturb draws faults until their time is over; they overlap.
func (s *Soak) disturb(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for end := time.Now().Add(s.Faulty); time.Now().Before(end) && ctx.Err() == nil; {
		f := pick(s.random, faults)
		d := minFault + randomTime(s.random, maxFault-minFault)
		random := rand.New(rand.NewPCG(s.Seed, s.random.Uint64()))
		s.note("begin "+f.name, d.String())
		running.Go(func() {
			finish := f.begin(s, random)
			pause(ctx, d)
			if finish != nil {
				finish()
			}
			s.note("end "+f.name, "")
		})
		pause(ctx, randomTime(s.random, maxGap))
	}
}

// randomTime returns a time below d.
func randomTime(random *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(d)))
}

// calm ends all faults and starts what is down.
func (s *Soak) calm() {
	s.store.SetFaults(s.faults(platformtest.Faults{}))
	for _, p := range s.programs {
		p.store.set(modePass)
		p.thaw()
		s.restart(p)
	}
	for _, t := range s.targets {
		t.proxy.set(modePass)
		t.stand.SetBehaviour(healthy)
		s.enter(t, "ready")
	}
}
