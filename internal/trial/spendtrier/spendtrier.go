// Package spendtrier simulates spending strategies under a schedule of faults
// and measures false refusals, overspend and platform commits.
//
// Token pools, flushers, policies and rows are the real ones; requests, the
// network and the clock are simulated. All strategies get the same demand,
// which is generated from a seed.
//
// # Usage
//
//	for _, s := range spendtrier.Strategies {
//		r := spendtrier.Run(s, spendtrier.DomainPartition2h, spendtrier.Trentvale, 1)
//		fmt.Println(s.Name, r.FalseRefusals, r.Overspend)
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

// Strategy decides how routers obtain tokens and spend them.
type Strategy struct {
	Name string
	// Policy returns the policy of a router for the mean demand in tokens a
	// second; nil means a commit per request.
	Policy func(meanRate float64) spender.Policy
	// Borrows lets routers on the same side of a partition lend to each other.
	Borrows bool
	// Static strategies draw tokens only at the start.
	Static bool
	// DemandWindow is the time over which demand is averaged; 0 keeps the default.
	DemandWindow time.Duration
}

// Strategies are compared with each other; routers use the last one.
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

// Proportional returns the strategy that routers use, with the given fraction
// of each budget kept at the platform.
func Proportional(kept, trend float64) Strategy {
	return Strategy{
		Name: fmt.Sprintf("ours, %g%% kept, trend %g", 100*kept, trend), Borrows: true,
		Policy: func(float64) spender.Policy { return spender.NewProportional(kept, trend) },
	}
}

// Schedule describes the faults of a trial; times are in seconds from its start.
type Schedule struct {
	Name string
	// FaultStart is when the fault begins, and Length how long the trial lasts.
	FaultStart, Length int
	// PlatformDown and DomainPartitioned apply from FaultStart to the end.
	PlatformDown      bool
	DomainPartitioned bool
	// TopUps raises the limits in steps during the fault.
	TopUps bool
	// Kills crashes and replaces a router every ten minutes.
	Kills bool
	// BalanceRatio is the balance at the start of the fault relative to the
	// demand that follows.
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

// Result holds the costs of one strategy under one schedule.
type Result struct {
	// Requests counts the requests that arrived during the fault.
	Requests int
	// FalseRefusals counts requests that were refused although the whole
	// balance, at the platform and at all routers, covered their worst case.
	FalseRefusals int
	// UnavoidableRefusals is how many of the false refusals no strategy can
	// avoid: the tokens could not have been on the request's side of the
	// partition even if its demand had been known.
	UnavoidableRefusals int
	// Overspend is in tokens.
	Overspend int64
	Commits   uint64
	// MaxStranded is the largest number of tokens held by a router when it crashed.
	MaxStranded int64
}

// router is a simulated router with a real token pool and flusher.
type router struct {
	name    string
	domain  int
	starts  int
	pool    *spender.TokenPool
	flusher *spender.Flusher
}

// trial is one simulation run.
type trial struct {
	strategy    Strategy
	schedule    Schedule
	demand      *demand
	table       *storer.Memory
	routers     []*router
	deadRouters []*router
	diedAt      map[*router]int
	runsByEnd   [][]run // indexed by the second in which they end
	spent       map[string]int64
	limit       map[string]int64
	reserved    map[string]int64
	second      int
	result      Result
}

// Run simulates one strategy under a schedule with the demand of a seed.
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
		panic(err) // can't conflict: the simulation is single-threaded
	}
}

// startRouter starts a new incarnation.
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
		panic(err) // the table in memory never fails
	}
}

// now returns the simulated time.
func (t *trial) now() time.Time {
	return time.Unix(int64(t.second), 0)
}

// faultActive reports whether the schedule's fault has begun.
func (t *trial) faultActive() bool {
	return t.second >= t.schedule.FaultStart
}

// reachesPlatform reports whether a router can commit to the platform.
func (t *trial) reachesPlatform(r *router) bool {
	if !t.faultActive() {
		return true
	}
	partitioned := t.schedule.DomainPartitioned && r.domain == partitionedDomain
	return !t.schedule.PlatformDown && !partitioned
}

// connected reports whether two routers can reach each other.
func (t *trial) connected(a, b *router) bool {
	if !t.faultActive() || !t.schedule.DomainPartitioned {
		return true
	}
	return (a.domain == partitionedDomain) == (b.domain == partitionedDomain)
}

// tick simulates one second.
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
