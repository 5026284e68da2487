package spender_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/process/elector"
	"github.com/egretroute/egretroute/internal/process/enroller"
	"github.com/egretroute/egretroute/internal/process/reconciler"
	"github.com/egretroute/egretroute/internal/process/recorder"
	"github.com/egretroute/egretroute/internal/process/spender"
	"github.com/egretroute/egretroute/internal/process/storer"
)

// eraSwitches turn single mechanisms off, to see that the simulation needs them.
type eraSwitches struct {
	noRebase, noGate, noRecords, noGuard bool
}

// eraSim is a fleet of simulated routers whose store comes back from copies.
type eraSim struct {
	store    *faultyStore
	routers  []*simRouter
	switches eraSwitches

	mu sync.Mutex // guards all below
	// recorders holds the companions by name, those that have ended too; all routers know their
	// members at once.
	recorders map[string]*simCompanion
	members   *elector.Elector
	// cut holds the companions with records that can't be reached, by number.
	cut map[int]bool
	// opened sums up the times from a new era until draws were open, over opens of them.
	opened time.Duration
	opens  int
	atMost int
}

// simCompanion is a host with a companion, which may have started anew since.
type simCompanion struct {
	*recorder.Recorder
	number int
	ended  bool
}

// recorderPeer is a companion that records draws.
type recorderPeer struct {
	sim  *eraSim
	name string
}

func (p recorderPeer) recorder() (*recorder.Recorder, error) {
	time.Sleep(2 * time.Millisecond)
	p.sim.mu.Lock()
	defer p.sim.mu.Unlock()
	c := p.sim.recorders[p.name]
	if c.ended || p.sim.cut[c.number] {
		return nil, storer.ErrUnavailable
	}
	return c.Recorder, nil
}

// Record implements recorder.Peer.
func (p recorderPeer) Record(_ context.Context, m *framer.RecordDraws) (*framer.DrawsRecorded, error) {
	r, err := p.recorder()
	if err != nil {
		return nil, err
	}
	return r.Record(m), nil
}

// Fetch implements recorder.Peer.
func (p recorderPeer) Fetch(_ context.Context, m *framer.FetchDraws) (*framer.RecordedDraws, error) {
	r, err := p.recorder()
	if err != nil {
		return nil, err
	}
	return r.Fetch(m), nil
}

// simRecorders is the number of companions at a time.
const simRecorders = 5

// peers returns the sets of companions that record a router's draws or have recorded them since a time.
func (s *eraSim) peers(router string, since time.Time) (peers map[string]recorder.Peer, sets []recorder.Set) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ended := func(v elector.Voter) bool { return v.Ended || s.recorders[v.Member.Name].ended }
	peers = make(map[string]recorder.Peer)
	for _, elected := range s.members.Sets(router, since) {
		set := recorder.Set{Quorum: recorder.Quorum{Write: elected.WriteQuorum(ended), Read: elected.ReadQuorum()}}
		for _, v := range elected.Voters {
			set.Members = append(set.Members, v.Member.Name)
			peers[v.Member.Name] = recorderPeer{sim: s, name: v.Member.Name}
		}
		sets = append(sets, set)
	}
	return peers, sets
}

// addCompanion starts a companion on a new host.
func (s *eraSim) addCompanion() {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.recorders)
	name := fmt.Sprint("companion-", n)
	s.recorders[name] = &simCompanion{Recorder: recorder.New(time.Now), number: n % simRecorders}
	s.members.Apply(companionRow(name, enroller.Running), time.Now())
}

func companionRow(name string, state enroller.State) enroller.Member {
	return enroller.Member{Name: name, Incarnation: name + "@1", Kind: enroller.Companion, State: state}
}

// replaceCompanion ends a companion for good, with or without a farewell, and starts one on another host.
func (s *eraSim) replaceCompanion(random *rand.Rand) {
	s.mu.Lock()
	var running []string
	for name, c := range s.recorders {
		if !c.ended {
			running = append(running, name)
		}
	}
	slices.Sort(running)
	name := running[random.IntN(len(running))]
	s.recorders[name].ended = true
	if random.IntN(2) == 0 {
		s.members.Apply(companionRow(name, enroller.Left), time.Now())
	} else {
		time.AfterFunc(4*time.Second, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.members.Apply(companionRow(name, enroller.Gone), time.Now())
		})
	}
	s.mu.Unlock()
	s.addCompanion()
}

func (s *eraSim) budgetKey(organisation string) string { return "budgets/" + organisation }

func (s *eraSim) holdingKey(router, organisation string) string {
	return "holdings/" + router + "/" + organisation
}

// connect lets an incarnation of a router follow the eras as a gateway does.
func (s *eraSim) connect(ctx context.Context, r *simRouter, h *spender.Heartbeater, a *spender.Allocator) {
	guard := &storer.Guard{Store: s.store}
	rec := &reconciler.Reconciler{
		Store: guard, Router: r.name, Table: "eras/", Key: func(router string) string { return "eras/" + router }, Holdings: a,
		Counter: &spender.Counter{Table: guard, BudgetKey: s.budgetKey, HoldingKey: s.holdingKey},
		Routers: func(context.Context) (names []string, err error) {
			for _, other := range s.routers {
				names = append(names, other.name)
			}
			return names, nil
		},
		Limits: func() map[string]int64 { return map[string]int64{"alpha": r.limit} },
		HasRows: func(ctx context.Context, router string) (bool, error) {
			batch, err := guard.List(ctx, s.holdingKey(router, ""))
			return len(batch.Rows) > 0, err
		},
		Fetch: func(ctx context.Context, router string, minAge time.Duration) (map[string]framer.Draw, recorder.Completeness) {
			peers, sets := s.peers(router, time.Now().Add(-minAge))
			return recorder.Fetch(ctx, peers, sets, router, minAge)
		},
		OnCounted: func(_ storer.Era, _ string, method reconciler.Method, _ int64) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if method == reconciler.AtMost {
				s.atMost++
			}
		},
		OnOpen: func(_ storer.Era, after time.Duration) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.opens, s.opened = s.opens+1, s.opened+after
		},
	}
	guard.OnEra = func(era storer.Era, first bool, previous storer.Era) {
		h.SetEra(era, first)
		a.SetEra(era, first || s.switches.noRebase)
		if s.switches.noRebase {
			a.SetCounted(era)
		}
		if s.switches.noGate {
			a.SetCounted(era)
			a.OpenDraws(era)
		}
		rec.SetEra(era, first, previous)
	}
	var table spender.HoldingTable = guard
	if s.switches.noGuard {
		table = s.store
	}
	a.Table, h.Table = table, table
	if !s.switches.noRecords {
		a.Record = func(ctx context.Context, draws []framer.Draw) error {
			peers, sets := s.peers(r.name, time.Now().Add(-elector.Window))
			return recorder.Record(ctx, peers, sets, &framer.RecordDraws{Router: r.name, Draws: draws})
		}
	}
	go rec.Run(ctx)
}

// eraSeeds returns the first seed to simulate and the one after the last: EGRETROUTE_ERA_SEEDS,
// as FIRST-END, if set.
func eraSeeds(t *testing.T, usual uint64) (first, end uint64) {
	t.Helper()
	text := os.Getenv("EGRETROUTE_ERA_SEEDS")
	if text == "" {
		return 0, usual
	}
	_, err := fmt.Sscanf(text, "%d-%d", &first, &end)
	assert.NilError(t, err)
	return first, end
}

// TestNeverOverspentAfterACopy lets the store go away and come back from a copy up to eight
// seconds old, again and again, also twice within that time, beside lost, late and refused
// commits, deaths of some or all routers, losses of records and, for every other seed, companions that are
// replaced by others. The cost of requests must never
// exceed the budget.
func TestNeverOverspentAfterACopy(t *testing.T) {
	var mu sync.Mutex // guards the sums
	var opens, atMost int
	var opened time.Duration
	t.Cleanup(func() {
		t.Logf("draws were open %d times, %v after the store's return on average; %d routers were counted at most", opens, opened/time.Duration(max(opens, 1)), atMost)
		assert.Check(t, opens > 0)
	})
	first, last := eraSeeds(t, 150)
	for seed := first; seed < last; seed++ {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s, spent, limit := simulateCopies(t, seed, eraSwitches{})
				assert.Assert(t, spent <= limit, "%d of %d tokens were spent", spent, limit)
				mu.Lock()
				defer mu.Unlock()
				opens, opened, atMost = opens+s.opens, opened+s.opened, atMost+s.atMost
			})
		})
	}
}

// TestOverspentWithoutEraMechanism checks that the simulation finds the loss of each mechanism.
func TestOverspentWithoutEraMechanism(t *testing.T) {
	for name, switches := range map[string]eraSwitches{
		"rebase": {noRebase: true}, "gate": {noGate: true}, "records": {noRecords: true}, "guard": {noGuard: true},
	} {
		t.Run(name, func(t *testing.T) {
			overspent := 0
			for seed := range uint64(60) {
				synctest.Test(t, func(t *testing.T) {
					if _, spent, limit := simulateCopies(t, seed, switches); spent > limit {
						overspent++
					}
				})
			}
			t.Logf("%d of 60 seeds overspent", overspent)
			assert.Assert(t, overspent > 0)
		})
	}
}

func simulateCopies(t *testing.T, seed uint64, switches eraSwitches) (s *eraSim, spent, limit int64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 17))
	began := time.Now()
	store := &faultyStore{Memory: storer.NewMemory(), random: rand.New(rand.NewPCG(seed, 18))}
	store.Now = func() time.Duration { return time.Since(began) }
	store.SetEra(1)
	s = &eraSim{
		store: store, switches: switches, cut: make(map[int]bool), recorders: make(map[string]*simCompanion), members: &elector.Elector{StartedAt: began},
	}
	for range simRecorders {
		s.addCompanion()
	}
	replacements := rand.New(rand.NewPCG(seed, 19))
	time.Sleep(20 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	total := &usage{}
	limit = 700_000
	for i := range 4 {
		s.routers = append(s.routers, &simRouter{
			name: fmt.Sprintf("router-%d", i), store: store, usage: total, limit: limit, horizon: 10 * time.Second, connect: s.connect,
		})
	}
	for i, r := range s.routers {
		r.others = append(append(r.others, s.routers[i+1:]...), s.routers[:i]...)
		r.start(ctx)
	}
	var work sync.WaitGroup
	var copies []func()
	returnAt := -1
	for step := range 1000 { // 50 s in steps of 50 ms
		time.Sleep(50 * time.Millisecond)
		if step%10 == 0 {
			copies = append(copies, store.Copy())
			copies = copies[max(len(copies)-16, 0):]
		}
		for range random.IntN(5) {
			r, amount := s.routers[random.IntN(len(s.routers))], int64(300+random.IntN(2000))
			cost, lasts := amount-random.Int64N(amount/3), time.Duration(random.IntN(2500))*time.Millisecond
			work.Go(func() { r.request(amount, cost, lasts) })
		}
		s.injectFaults(ctx, random, step)
		if seed%2 == 1 && replacements.IntN(100) == 0 {
			s.replaceCompanion(replacements)
		}
		switch {
		case step == returnAt:
			copies[random.IntN(len(copies))]()
			returnAt = -1
			store.setDown(false)
			if random.IntN(3) == 0 {
				returnAt = step + 4 + random.IntN(60)
			}
		case returnAt < 0 && random.IntN(150) == 0:
			store.setDown(true)
			returnAt = step + 3 + random.IntN(20)
			for _, r := range s.routers[:random.IntN(len(s.routers)+1)] {
				if random.IntN(2) == 0 {
					r.kill()
				}
			}
		case returnAt == step+3:
			store.setDown(true)
		}
	}
	clearFaults(ctx, store, s.routers)
	work.Wait()
	cancel()
	synctest.Wait()
	time.Sleep(10 * time.Second) // delayed commits end
	return s, total.total(), limit
}

// injectFaults loses, delays or refuses commits for a time, kills and starts routers, and
// cuts off or restarts processes with records.
func (s *eraSim) injectFaults(ctx context.Context, random *rand.Rand, step int) {
	if step%40 == 0 {
		s.store.mu.Lock()
		s.store.lost, s.store.delayed, s.store.refused = 0, 0, 0
		if random.IntN(3) == 0 {
			s.store.lost, s.store.delayed, s.store.refused = random.Float64()*0.5, random.Float64()*0.2, random.Float64()*0.2
		}
		s.store.mu.Unlock()
	}
	switch n := random.IntN(120); n {
	case 0:
		s.routers[random.IntN(len(s.routers))].kill()
	case 1:
		if s.switches.noRecords {
			return // lost records would be counted at most
		}
		s.mu.Lock()
		number := random.IntN(simRecorders)
		for _, c := range s.recorders {
			if c.number == number && !c.ended {
				c.Recorder = recorder.New(time.Now)
			}
		}
		s.mu.Unlock()
	case 2, 3:
		s.mu.Lock()
		s.cut[random.IntN(simRecorders)] = n == 2
		s.mu.Unlock()
	case 4, 5, 6, 7, 8, 9, 10, 11:
		r := s.routers[random.IntN(len(s.routers))]
		r.mu.Lock()
		stopped := r.allocator == nil
		r.mu.Unlock()
		if stopped {
			r.start(ctx)
		}
	}
}

func (s *faultyStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}
