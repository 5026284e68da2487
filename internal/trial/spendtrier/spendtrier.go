// Package spendtrier measures, in model time, what a way of spending costs in
// false refusals, overspend and platform commits under a schedule of faults.
//
// Purses, flushers, policies and rows are the real ones; requests, the network
// and the clock are arithmetic. One demand is drawn from a seed and given to
// every way of spending.
//
// # Usage
//
//	for _, way := range spendtrier.Ways {
//		r := spendtrier.Run(way, spendtrier.DomainCut2h, spendtrier.Trentvale, 1)
//		fmt.Println(way.Name, r.FalseRefusals, r.Overspend)
//	}
package spendtrier

import (
	"context"
	"fmt"
	"time"

	"github.com/egretroute/egretroute/internal/process/bookkeeper"
	"github.com/egretroute/egretroute/internal/process/spender"
	"github.com/egretroute/egretroute/internal/process/storer"
)

const (
	domains           = 3
	routersPerDomain  = 2
	flushInterval     = 5 // seconds
	runSeconds        = 8
	partitionedDomain = 2
	hour              = 3600
)

// Strategy is one way of spending.
type Strategy struct {
	Name string
	// Policy returns the policy of a router; nil means a commit per request.
	Policy func(meanRate float64) spender.Policy
	// Borrows lets routers on one side of a cut lend to each other.
	Borrows bool
	// Static ways draw once and never again.
	Static bool
	// DemandWindow is the time over which demand is averaged.
	DemandWindow time.Duration
}

// Strategies are the ways compared; the last is the one that routers use.
var Strategies = []Strategy{
	{Name: "B0 commit per request"},
	{Name: "B1 equal split", Static: true, Policy: func(float64) spender.Policy {
		return spender.NewEqualSplit(domains * routersPerDomain)
	}},
	{Name: "B2 fixed grants of 30 s", Policy: func(rate float64) spender.Policy {
		return spender.NewFixedSize(int64(30 * rate))
	}},
	Proportional(0.05, spender.DefaultTrendFactor),
	Proportional(0, spender.DefaultTrendFactor),
}

// Proportional is the way that routers use, with a fraction kept at the platform.
func Proportional(kept, trend float64) Strategy {
	return Strategy{
		Name: fmt.Sprintf("ours, %g%% kept, trend %g", 100*kept, trend), Borrows: true,
		Policy: func(float64) spender.Policy { return spender.NewProportional(kept, trend) },
	}
}

// Schedule is what happens in a trial; times are in seconds from its start.
type Schedule struct {
	Name string
	// FaultStart is the time before the fault, and Length that of the whole trial.
	FaultStart, Length int
	// PlatformDown and DomainCut hold from Warm to the end.
	PlatformDown      bool
	DomainPartitioned bool
	// TopUps raises the limits in steps during the fault.
	TopUps bool
	// Kills has a router die every ten minutes and be replaced.
	Kills bool
	// BalanceRatio is the balance at the time of the fault, in units of the demand
	// that follows it.
	BalanceRatio float64
}

// The schedules of the trial.
var (
	PlatformOutage    = Schedule{Name: "platform down 1 h, balance left", FaultStart: hour, Length: 2 * hour, PlatformDown: true, BalanceRatio: 3}
	DomainPartition2h = Schedule{Name: "domain cut 1 h, 2 h of demand left", FaultStart: hour, Length: 2 * hour, DomainPartitioned: true, TopUps: true, BalanceRatio: 2}
	DomainPartition1h = Schedule{Name: "domain cut 1 h, 1 h of demand left", FaultStart: hour, Length: 2 * hour, DomainPartitioned: true, TopUps: true, BalanceRatio: 1}
	HolderCrashes     = Schedule{Name: "holders killed one after another", FaultStart: hour, Length: 2 * hour, Kills: true, BalanceRatio: 1.5}
	LastPercent       = Schedule{Name: "budget runs to its last 1%", FaultStart: hour, Length: 2 * hour, BalanceRatio: 1}
	Schedules         = []Schedule{PlatformOutage, DomainPartition2h, DomainPartition1h, HolderCrashes, LastPercent}
)

// Result is what one way has cost under one schedule.
type Result struct {
	// Requests counts those that came while the fault held.
	Requests int
	// FalseRefusals are requests refused although the balance, wherever it
	// was, covered their worst case.
	FalseRefusals int
	// UnavoidableRefusals is how many of them no way can avoid: the side of a cut that they
	// came to could not have had the tokens even if its demand had been known.
	UnavoidableRefusals int
	// Overspend is in tokens.
	Overspend int64
	Commits   uint64
	// MaxStranded is the most that dead holders held at one time, in tokens.
	MaxStranded int64
}

// router is one router of the trial.
type router struct {
	name    string
	domain  int
	starts  int
	pool    *spender.TokenPool
	flusher *spender.Flusher
}

// trial is one run.
type trial struct {
	strategy    Strategy
	schedule    Schedule
	demand      *demand
	table       *storer.Memory
	routers     []*router
	deadRouters []*router
	diedAt      map[*router]int
	runsByEnd   [][]run // by the second in which they end
	spent       map[string]int64
	limit       map[string]int64
	reserved    map[string]int64
	second      int
	result      Result
}

// Run gives one way the demand of a seed under a schedule.
func Run(strategy Strategy, schedule Schedule, deployment Deployment, seed uint64) Result {
	t := &trial{
		strategy: strategy, schedule: schedule, demand: newDemand(deployment, schedule, seed), table: storer.NewMemory(),
		diedAt: make(map[*router]int), runsByEnd: make([][]run, schedule.Length+runSeconds+1),
		spent: make(map[string]int64), limit: make(map[string]int64), reserved: make(map[string]int64),
	}
	t.openBudgets()
	for d := range domains {
		for i := range routersPerDomain {
			r := &router{name: fmt.Sprintf("router-%d-%d", d, i), domain: d}
			t.startRouter(r)
			t.routers = append(t.routers, r)
		}
	}
	for t.second = 0; t.second < schedule.Length; t.second++ {
		t.tick()
	}
	t.result.UnavoidableRefusals = t.demand.unavoidableRefusals()
	t.result.Commits = t.table.Commits()
	for name, spent := range t.spent {
		t.result.Overspend += max(spent-t.limit[name], 0)
	}
	return t.result
}

func (t *trial) openBudgets() {
	for name, limit := range t.demand.limits {
		t.limit[name] = limit
		t.update(name, func(*bookkeeper.Budget) *bookkeeper.Budget { return bookkeeper.NewBudget(name, limit) })
	}
}

// update changes a budget's row.
func (t *trial) update(name string, change func(*bookkeeper.Budget) *bookkeeper.Budget) {
	ctx := context.Background()
	row, _ := storer.ReadOne(ctx, t.table, bookkeeper.BudgetKey(name))
	var b *bookkeeper.Budget
	if row.Version != 0 {
		b, _ = bookkeeper.DecodeBudget(row.Value)
	}
	var c storer.Commit
	c.Update(row.Key, row.Version, bookkeeper.EncodeBudget(change(b)))
	if err := t.table.Commit(ctx, c); err != nil {
		panic(err) // nothing else runs meanwhile
	}
}

// startRouter begins a new incarnation.
func (t *trial) startRouter(r *router) {
	r.starts++
	r.pool = spender.NewTokenPool(fmt.Sprintf("%s@%d", r.name, r.starts))
	if t.strategy.Policy == nil {
		return
	}
	if t.strategy.DemandWindow > 0 {
		r.pool.DemandWindow = t.strategy.DemandWindow
	}
	r.flusher = &spender.Flusher{
		Pool: r.pool, Table: t.table, Router: r.name, Domain: fmt.Sprint(r.domain),
		Policy: t.strategy.Policy(t.demand.meanTokenRate() / (domains * routersPerDomain)),
	}
	if err := r.flusher.Register(context.Background(), nil); err != nil {
		panic(err) // the table never fails here
	}
}

// now returns the model time.
func (t *trial) now() time.Time {
	return time.Unix(int64(t.second), 0)
}

// faultActive reports whether the schedule's fault holds.
func (t *trial) faultActive() bool {
	return t.second >= t.schedule.FaultStart
}

// reachesPlatform reports whether a router's commits get through.
func (t *trial) reachesPlatform(r *router) bool {
	if !t.faultActive() {
		return true
	}
	partitioned := t.schedule.DomainPartitioned && r.domain == partitionedDomain
	return !t.schedule.PlatformDown && !partitioned
}

// connected reports whether two routers reach each other.
func (t *trial) connected(a, b *router) bool {
	if !t.faultActive() || !t.schedule.DomainPartitioned {
		return true
	}
	return (a.domain == partitionedDomain) == (b.domain == partitionedDomain)
}

// tick plays one second.
func (t *trial) tick() {
	t.topUp()
	t.killOne()
	t.recoverDead()
	for _, ended := range t.runsByEnd[t.second] {
		t.finish(ended)
	}
	for _, req := range t.demand.seconds[t.second] {
		t.serve(req)
	}
	if t.strategy.Policy == nil {
		return
	}
	for i, r := range t.routers {
		if (t.second+i)%flushInterval == 0 {
			t.flush(r)
		}
	}
}

func (t *trial) flush(r *router) {
	if t.strategy.Static && t.second > 2*flushInterval {
		return
	}
	if t.reachesPlatform(r) {
		_ = r.flusher.Flush(context.Background(), t.now())
	}
}
