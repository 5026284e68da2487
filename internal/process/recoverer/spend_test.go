package recoverer_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/process/bookkeeper"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/recoverer"
	"github.com/egretroute/egretroute/internal/process/spender"
	"github.com/egretroute/egretroute/internal/process/storer"
	"github.com/egretroute/egretroute/internal/trial/saboteur"
	"github.com/egretroute/egretroute/internal/trial/seeder"
)

// partID identifies a part among all payers.
type partID struct {
	payer    string
	sequence uint64
}

// fakeAgent stands for the agent beside one target.
type fakeAgent struct {
	target      string
	incarnation string
	kept        map[partID]framer.Bill
	running     map[partID]framer.Bill // Amount is the reservation
	fenced      map[string]bool
	named       map[string]bool
}

func TestMain(m *testing.M) { os.Exit(seeder.Run(m)) }

// fakeRouter is one incarnation of a router with its purse.
type fakeRouter struct {
	name    string
	purse   *spender.TokenPool
	flusher *spender.Flusher
	dead    bool
	paused  bool
}

// world is a fleet without a network: routers, agents and the platform.
type world struct {
	t       *rapid.T
	ctx     context.Context
	memory  *storer.Memory
	table   *saboteur.Table
	routers []*fakeRouter
	agents  []*fakeAgent
	now     time.Time
	limit   map[string]int64
	// spent is what targets have generated, by budget and by part: the oracle.
	spent  map[string]int64
	byPart map[partID]int64
	starts int
}

var worldBudgets = []string{"alpha", "beta"}

// restart loses the memory of an agent.
func (a *fakeAgent) restart(n int) {
	a.incarnation = fmt.Sprintf("%s@%d", a.target, n)
	a.kept, a.running = make(map[partID]framer.Bill), make(map[partID]framer.Bill)
	a.fenced, a.named = make(map[string]bool), make(map[string]bool)
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, ctx: context.Background(), memory: storer.NewMemory(), now: time.Unix(1_000_000, 0),
		limit: make(map[string]int64), spent: make(map[string]int64), byPart: make(map[partID]int64),
	}
	w.table = &saboteur.Table{Table: w.memory}
	for _, name := range worldBudgets {
		w.limit[name] = 1000
		var c storer.Commit
		c.Update(bookkeeper.BudgetKey(name), 0, bookkeeper.EncodeBudget(bookkeeper.NewBudget(name, 1000)))
		assert.NilError(t, w.memory.Commit(w.ctx, c))
	}
	for i := range 2 {
		a := &fakeAgent{target: fmt.Sprintf("target-%d", i)}
		a.restart(0)
		w.agents = append(w.agents, a)
	}
	for i := range 3 {
		w.startRouter(fmt.Sprintf("router-%d", i))
	}
	return w
}

func (w *world) startRouter(name string) {
	w.starts++
	r := &fakeRouter{name: name, purse: spender.NewTokenPool(fmt.Sprintf("%s@%d", name, w.starts))}
	r.flusher = &spender.Flusher{
		Pool: r.purse, Table: w.table, Policy: spender.NewProportional(0.1, spender.DefaultTrendFactor), Router: name, Domain: name,
		OnDurable: w.durable,
	}
	agents := make(map[string]string)
	for _, a := range w.agents {
		agents[a.incarnation] = a.target
	}
	assert.NilError(w.t, r.flusher.Register(w.ctx, agents))
	w.routers = append(w.routers, r)
	w.ping(nil)
}

func (w *world) durable(bills []framer.Bill) {
	for _, b := range bills {
		for _, a := range w.agents {
			delete(a.kept, partID{b.Payer, b.Sequence})
		}
	}
}

// pick draws a router that is neither dead nor paused.
func (w *world) pick(label string) *fakeRouter {
	var live []*fakeRouter
	for _, r := range w.routers {
		if !r.dead && !r.paused {
			live = append(live, r)
		}
	}
	if len(live) == 0 {
		// The newest router is never dead: a killed one is replaced by a newer one.
		newest := w.routers[len(w.routers)-1]
		newest.paused = false
		live = append(live, newest)
	}
	return rapid.SampledFrom(live).Draw(w.t, label)
}

// handOver gives parts of one request to an agent, or takes them back.
func (w *world) handOver(parts []framer.Part, organisation string, owners []*fakeRouter) {
	a := rapid.SampledFrom(w.agents).Draw(w.t, "agent")
	for i, p := range parts {
		id := partID{p.Payer, p.Sequence}
		if a.fenced[p.Payer] || !a.named[p.Payer] {
			owners[i].purse.Settle(framer.Bill{Sequence: p.Sequence})
			continue
		}
		a.running[id] = framer.Bill{
			Organisation: organisation, RequestID: "r", Payer: p.Payer, Sequence: p.Sequence, Amount: p.Amount, Target: a.target,
		}
	}
}

// reserve starts a request paid by one router.
func (w *world) reserve(*rapid.T) {
	r := w.pick("router")
	organisation := rapid.SampledFrom(worldBudgets).Draw(w.t, "budget")
	amount := rapid.Int64Range(1, 200).Draw(w.t, "amount")
	r.purse.RecordDemand(organisation, amount, w.now)
	part, err := r.purse.Reserve(organisation, amount)
	if err == nil {
		w.handOver([]framer.Part{part}, organisation, []*fakeRouter{r})
	}
}

// borrow starts a request paid by vouchers of two routers.
func (w *world) borrow(*rapid.T) {
	lender := w.pick("lender")
	organisation := rapid.SampledFrom(worldBudgets).Draw(w.t, "budget")
	w.starts++
	voucher := fmt.Sprint("voucher-", w.starts)
	part := lender.purse.Lend(voucher, organisation, 50)
	again := lender.purse.Lend(voucher, organisation, 50)
	assert.Equal(w.t, part, again)
	switch {
	case part.Amount == 0:
	case rapid.Bool().Draw(w.t, "cancel"):
		lender.purse.CancelVoucher(voucher)
	default:
		w.handOver([]framer.Part{part}, organisation, []*fakeRouter{lender})
	}
}

// finish ends a running part with some usage; its payer may not hear of it.
func (w *world) finish(*rapid.T) {
	a := rapid.SampledFrom(w.agents).Draw(w.t, "agent")
	for id, b := range a.running {
		usage := rapid.Int64Range(0, b.Amount).Draw(w.t, "usage")
		w.finishPart(a, id, b, usage, rapid.Bool().Draw(w.t, "heard"))
		return
	}
}

func (w *world) finishPart(a *fakeAgent, id partID, b framer.Bill, usage int64, heard bool) {
	delete(a.running, id)
	b.Amount = usage
	a.kept[id] = b
	w.spent[b.Organisation] += usage
	w.byPart[id] += usage
	for _, r := range w.routers {
		if heard && r.purse.Incarnation == b.Payer && !r.dead && !r.paused {
			r.purse.Settle(b)
		}
	}
}

// offer has every agent tell the payers of the bills that it keeps.
func (w *world) offer(*rapid.T) {
	for _, a := range w.agents {
		for id, b := range a.kept {
			for _, r := range w.routers {
				if r.purse.Incarnation == id.payer && !r.dead && !r.paused && r.purse.Settle(b) {
					delete(a.kept, id)
				}
			}
		}
	}
}

func (w *world) flush(*rapid.T) {
	r := w.pick("router")
	w.table.Next(rapid.SliceOfN(rapid.SampledFrom([]saboteur.Fault{
		saboteur.None, saboteur.None, saboteur.Refuse, saboteur.LoseAnswer, saboteur.Delay,
	}), 0, 3).Draw(w.t, "faults")...)
	_ = r.flusher.Flush(w.ctx, w.now)
	_ = r.flusher.ReleaseFenced(w.ctx)
	w.table.Next()
}

// release lets commits take effect that were thought lost.
func (w *world) release(*rapid.T) {
	w.table.Release(w.ctx)
}

func (w *world) topUp(*rapid.T) {
	name := rapid.SampledFrom(worldBudgets).Draw(w.t, "budget")
	row, err := storer.ReadOne(w.ctx, w.memory, bookkeeper.BudgetKey(name))
	assert.NilError(w.t, err)
	b, err := bookkeeper.DecodeBudget(row.Value)
	assert.NilError(w.t, err)
	if b.SetLimit(b.Limit+rapid.Int64Range(-100, 300).Draw(w.t, "change")) != nil {
		return
	}
	var c storer.Commit
	c.Update(row.Key, row.Version, bookkeeper.EncodeBudget(b))
	assert.NilError(w.t, w.memory.Commit(w.ctx, c))
	w.limit[name] = b.Limit
}

func (w *world) kill(*rapid.T) {
	r := w.pick("router")
	r.dead = true
	w.startRouter(r.name)
}

func (w *world) pause(*rapid.T) { w.pick("router").paused = true }

func (w *world) resume(*rapid.T) {
	for _, r := range w.routers {
		r.paused = false
	}
}

// restartAgent loses the memory of an agent and of its target.
func (w *world) restartAgent(*rapid.T) {
	a := rapid.SampledFrom(w.agents).Draw(w.t, "agent")
	for id, b := range a.running {
		// What ran is lost to the witnesses, but was generated.
		w.spent[b.Organisation] += b.Amount
		w.byPart[id] += b.Amount
	}
	w.starts++
	a.restart(w.starts)
}

// learn has every live router name the agents' incarnations in its next flush.
func (w *world) learn(*rapid.T) {
	for _, r := range w.routers {
		h, ok := r.flusher.Holder()
		if r.dead || r.paused || !ok {
			continue
		}
		agents := maps.Clone(h.Agents)
		for _, a := range w.agents {
			agents[a.incarnation] = a.target
		}
		r.flusher.SetAgents(agents)
	}
}

// ping tells the agents which payers' rows name them.
func (w *world) ping(*rapid.T) {
	for _, r := range w.routers {
		h, ok := r.flusher.Holder()
		if r.dead || r.paused || !ok {
			continue
		}
		for _, a := range w.agents {
			if _, named := h.Agents[a.incarnation]; named {
				a.named[h.Incarnation] = true
			}
		}
	}
}

// DownFor implements recoverer.Links.DownFor.
func (w *world) DownFor(_, incarnation string) time.Duration {
	for _, r := range w.routers {
		if r.purse.Incarnation == incarnation && !r.dead && !r.paused {
			return 0
		}
	}
	return time.Hour
}

// AgentDown implements recoverer.Links.AgentDown.
func (w *world) AgentDown(string, string) bool { return false }

// RevokeAgent implements recoverer.Links.RevokeAgent.
func (w *world) RevokeAgent(context.Context, string, string, *framer.Forsake) (*framer.Forsaken, error) {
	return &framer.Forsaken{}, nil
}

// Fence implements recoverer.Links.Fence.
func (w *world) Fence(_ context.Context, target string, f *framer.Fence) (*framer.Fenced, error) {
	for _, a := range w.agents {
		if a.target != target {
			continue
		}
		out := &framer.Fenced{Agent: a.incarnation}
		a.fenced[f.Incarnation] = true
		for id, b := range a.kept {
			if id.payer == f.Incarnation {
				out.Bills = append(out.Bills, b)
				if f.Release {
					delete(a.kept, id)
				}
			}
		}
		for id, b := range a.running {
			if id.payer == f.Incarnation {
				out.Running = append(out.Running, framer.Part{Payer: id.payer, Sequence: id.sequence, Amount: b.Amount})
			}
		}
		return out, nil
	}
	return nil, storer.ErrUnavailable
}

func (w *world) scan(*rapid.T) {
	r := w.recoverer()
	for range 4 {
		w.now = w.now.Add(3 * time.Second)
		_ = r.Scan(w.ctx, w.now)
	}
}

func (w *world) recoverer() *recoverer.Recoverer {
	return &recoverer.Recoverer{
		Self: "judge", Table: w.table, Fleet: w, Interval: time.Second, Log: logger.New(io.Discard, 0),
	}
}

// check holds the rows against the oracle.
func (w *world) check(t *rapid.T) {
	for _, name := range worldBudgets {
		b := w.budget(name)
		assert.NilError(t, b.Check())
		assert.Equal(t, b.Limit, w.limit[name])
		assert.Assert(t, w.spent[name] <= b.Limit, "budget %q: targets generated %d of %d", name, w.spent[name], b.Limit)
		assert.Assert(t, b.Remaining+w.spent[name]+w.reserved(name) <= b.Limit,
			"budget %q: %d remain though targets generated %d and run for %d of %d", name, b.Remaining, w.spent[name], w.reserved(name), b.Limit)
	}
	for _, r := range w.routers {
		assert.NilError(t, r.purse.CheckBalance())
	}
}

// reserved adds up what runs at the agents, in tokens.
func (w *world) reserved(name string) int64 {
	var sum int64
	for _, a := range w.agents {
		for _, b := range a.running {
			if b.Organisation == name {
				sum += b.Amount
			}
		}
	}
	return sum
}

func (w *world) budget(name string) *bookkeeper.Budget {
	row, err := storer.ReadOne(w.ctx, w.memory, bookkeeper.BudgetKey(name))
	assert.NilError(w.t, err)
	b, err := bookkeeper.DecodeBudget(row.Value)
	assert.NilError(w.t, err)
	return b
}

// settleAll ends everything that runs, ends all faults, and recovers the dead.
func (w *world) settleAll() {
	for _, a := range w.agents {
		for id, b := range a.running {
			w.finishPart(a, id, b, b.Amount, true)
		}
	}
	w.resume(nil)
	w.table.Release(w.ctx)
	for range 3 {
		w.offer(nil)
		for _, r := range w.routers {
			if !r.dead {
				_ = r.flusher.Flush(w.ctx, w.now)
			}
		}
	}
	r := w.recoverer()
	for range 12 {
		w.now = w.now.Add(3 * time.Second)
		_ = r.Scan(w.ctx, w.now)
	}
}

// checkLedger holds the ledger against the oracle: every part once, and for
// exactly what was generated.
func (w *world) checkLedger() {
	rows, err := storer.ScanAll(w.ctx, w.memory, bookkeeper.LedgerPrefix)
	assert.NilError(w.t, err)
	seen := make(map[partID]int64)
	for _, row := range rows {
		bills, err := bookkeeper.DecodeBills(row.Value)
		assert.NilError(w.t, err)
		for _, b := range bills {
			id := partID{b.Payer, b.Sequence}
			_, twice := seen[id]
			assert.Assert(w.t, !twice, "part %v stands twice in the ledger", id)
			seen[id] = b.Amount
		}
	}
	for id, amount := range w.byPart {
		assert.Equal(w.t, seen[id], amount, "part %v", id)
	}
	for _, name := range worldBudgets {
		assert.Equal(w.t, w.budget(name).Spent, w.spent[name])
	}
}

func (w *world) actions(more map[string]func(*rapid.T)) map[string]func(*rapid.T) {
	all := map[string]func(*rapid.T){
		"reserve": w.reserve, "reserveMore": w.reserve, "borrow": w.borrow, "finish": w.finish, "finishMore": w.finish,
		"offer": w.offer, "flush": w.flush, "flushMore": w.flush, "release": w.release, "topUp": w.topUp,
		"kill": w.kill, "pause": w.pause, "resume": w.resume, "learn": w.learn, "ping": w.ping, "scan": w.scan, "": w.check,
	}
	for name, f := range more {
		all[name] = f
	}
	return all
}

// TestSpendAgainstOracle holds budgets and ledger against an oracle that sees
// every run, while routers die and pause, platform answers are lost and late,
// and operators top up.
func TestSpendAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(w.actions(nil))
		w.settleAll()
		w.check(t)
		w.checkLedger()
	})
}

// TestSpendWithAgentsLost adds agents that lose all memory: tokens may then
// stay held, but no budget is overspent.
func TestSpendWithAgentsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(w.actions(map[string]func(*rapid.T){"restartAgent": w.restartAgent}))
		w.settleAll()
		w.check(t)
	})
}

// TestFencedRouterSettlesOnce has a router pause with a bill not yet flushed,
// be fenced and partly recovered, and then come back with the same bill.
func TestFencedRouterSettlesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		r := w.routers[0]
		r.purse.RecordDemand("alpha", 100, w.now)
		assert.NilError(t, r.flusher.Flush(w.ctx, w.now))
		for range 2 {
			part, err := r.purse.Reserve("alpha", 100)
			assert.NilError(t, err)
			w.agents[0].running[partID{part.Payer, part.Sequence}] = framer.Bill{
				Organisation: "alpha", Payer: part.Payer, Sequence: part.Sequence, Amount: part.Amount,
			}
		}
		first := partID{r.purse.Incarnation, 1}
		w.finishPart(w.agents[0], first, w.agents[0].running[first], 60, true)
		r.paused = true
		w.scan(nil)
		w.scan(nil)
		r.paused = false
		_ = r.flusher.Flush(w.ctx, w.now)
		w.settleAll()
		w.check(t)
		w.checkLedger()
	})
}
