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
	"github.com/egretroute/egretroute/internal/trial/faultinjector"
	"github.com/egretroute/egretroute/internal/trial/seeder"
)

// partID identifies a part across all payers.
type partID struct {
	payer    string
	sequence uint64
}

// fakeAgent simulates the agent of one target.
type fakeAgent struct {
	target      string
	incarnation string
	unconfirmed map[partID]framer.Bill // bills not known to be in the ledger
	running     map[partID]framer.Bill // Amount is the reservation
	fenced      map[string]bool        // by payer
	listedBy    map[string]bool        // payers whose row lists this incarnation
}

func TestMain(m *testing.M) { os.Exit(seeder.Run(m)) }

// fakeRouter is one incarnation of a router with its token pool.
type fakeRouter struct {
	name    string
	pool    *spender.TokenPool
	flusher *spender.Flusher
	dead    bool
	paused  bool
}

// world simulates a fleet without a network: routers, agents and the platform.
type world struct {
	t       *rapid.T
	ctx     context.Context
	memory  *storer.Memory
	table   *faultinjector.Table
	routers []*fakeRouter
	agents  []*fakeAgent
	now     time.Time
	limit   map[string]int64 // by budget
	// generated and generatedByPart are the oracle: the tokens that targets have
	// generated, by budget and by part.
	generated       map[string]int64
	generatedByPart map[partID]int64
	starts          int
}

var worldBudgets = []string{"alpha", "beta"}

// restart starts a new incarnation of an agent, which loses its memory.
func (a *fakeAgent) restart(n int) {
	a.incarnation = fmt.Sprintf("%s@%d", a.target, n)
	a.unconfirmed, a.running = make(map[partID]framer.Bill), make(map[partID]framer.Bill)
	a.fenced, a.listedBy = make(map[string]bool), make(map[string]bool)
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, ctx: context.Background(), memory: storer.NewMemory(), now: time.Unix(1_000_000, 0),
		limit: make(map[string]int64), generated: make(map[string]int64), generatedByPart: make(map[partID]int64),
	}
	w.table = &faultinjector.Table{Table: w.memory}
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
	r := &fakeRouter{name: name, pool: spender.NewTokenPool(fmt.Sprintf("%s@%d", name, w.starts))}
	r.flusher = &spender.Flusher{
		Pool: r.pool, Table: w.table, Policy: spender.NewProportional(0.1, spender.DefaultTrendFactor), Router: name, Domain: name,
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
			delete(a.unconfirmed, partID{b.Payer, b.Sequence})
		}
	}
}

// pickRouter draws a router that is neither dead nor paused.
func (w *world) pickRouter(label string) *fakeRouter {
	var live []*fakeRouter
	for _, r := range w.routers {
		if !r.dead && !r.paused {
			live = append(live, r)
		}
	}
	if len(live) == 0 {
		// The newest router is never dead, because kill starts a replacement.
		newest := w.routers[len(w.routers)-1]
		newest.paused = false
		live = append(live, newest)
	}
	return rapid.SampledFrom(live).Draw(w.t, label)
}

// dispatch starts parts of one request at an agent, or releases those that the
// agent refuses.
func (w *world) dispatch(parts []framer.Part, organisation string, owners []*fakeRouter) {
	a := rapid.SampledFrom(w.agents).Draw(w.t, "agent")
	for i, p := range parts {
		id := partID{p.Payer, p.Sequence}
		if a.fenced[p.Payer] || !a.listedBy[p.Payer] {
			owners[i].pool.Settle(framer.Bill{Sequence: p.Sequence})
			continue
		}
		a.running[id] = framer.Bill{
			Organisation: organisation, RequestID: "r", Payer: p.Payer, Sequence: p.Sequence, Amount: p.Amount, Target: a.target,
		}
	}
}

// reserve starts a request paid by one router.
func (w *world) reserve(*rapid.T) {
	r := w.pickRouter("router")
	organisation := rapid.SampledFrom(worldBudgets).Draw(w.t, "budget")
	amount := rapid.Int64Range(1, 200).Draw(w.t, "amount")
	r.pool.RecordDemand(organisation, amount, w.now)
	part, err := r.pool.Reserve(organisation, amount)
	if err == nil {
		w.dispatch([]framer.Part{part}, organisation, []*fakeRouter{r})
	}
}

// borrow starts a request paid with a voucher of another router. It sends the
// voucher twice and may cancel it.
func (w *world) borrow(*rapid.T) {
	lender := w.pickRouter("lender")
	organisation := rapid.SampledFrom(worldBudgets).Draw(w.t, "budget")
	w.starts++
	voucher := fmt.Sprint("voucher-", w.starts)
	part := lender.pool.Lend(voucher, organisation, 50)
	repeated := lender.pool.Lend(voucher, organisation, 50)
	assert.Equal(w.t, part, repeated)
	switch {
	case part.Amount == 0:
	case rapid.Bool().Draw(w.t, "cancel"):
		lender.pool.CancelVoucher(voucher)
	default:
		w.dispatch([]framer.Part{part}, organisation, []*fakeRouter{lender})
	}
}

// finish ends a running part with some usage; the bill may not reach its payer.
func (w *world) finish(*rapid.T) {
	a := rapid.SampledFrom(w.agents).Draw(w.t, "agent")
	for id, b := range a.running {
		usage := rapid.Int64Range(0, b.Amount).Draw(w.t, "usage")
		w.finishPart(a, id, b, usage, rapid.Bool().Draw(w.t, "heard"))
		return
	}
}

func (w *world) finishPart(a *fakeAgent, id partID, b framer.Bill, usage int64, delivered bool) {
	delete(a.running, id)
	b.Amount = usage
	a.unconfirmed[id] = b
	w.generated[b.Organisation] += usage
	w.generatedByPart[id] += usage
	for _, r := range w.routers {
		if delivered && r.pool.Incarnation == b.Payer && !r.dead && !r.paused {
			r.pool.Settle(b)
		}
	}
}

// offerBills makes every agent send the bills that it keeps to their payers.
func (w *world) offerBills(*rapid.T) {
	for _, a := range w.agents {
		for id, b := range a.unconfirmed {
			for _, r := range w.routers {
				if r.pool.Incarnation == id.payer && !r.dead && !r.paused && r.pool.Settle(b) {
					delete(a.unconfirmed, id)
				}
			}
		}
	}
}

func (w *world) flush(*rapid.T) {
	r := w.pickRouter("router")
	w.table.SetNextFaults(rapid.SliceOfN(rapid.SampledFrom([]faultinjector.Fault{
		faultinjector.None, faultinjector.None, faultinjector.Refuse, faultinjector.LoseReply, faultinjector.Delay,
	}), 0, 3).Draw(w.t, "faults")...)
	_ = r.flusher.Flush(w.ctx, w.now)
	_ = r.flusher.ReleaseFenced(w.ctx)
	w.table.SetNextFaults()
}

// releaseCommits applies the commits that were delayed.
func (w *world) releaseCommits(*rapid.T) {
	w.table.ReleaseDelayed(w.ctx)
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
	r := w.pickRouter("router")
	r.dead = true
	w.startRouter(r.name)
}

func (w *world) pause(*rapid.T) { w.pickRouter("router").paused = true }

func (w *world) resume(*rapid.T) {
	for _, r := range w.routers {
		r.paused = false
	}
}

// restartAgent restarts an agent and its target, both of which lose their memory.
func (w *world) restartAgent(*rapid.T) {
	a := rapid.SampledFrom(w.agents).Draw(w.t, "agent")
	for id, b := range a.running {
		// The bills of running parts are lost, but their tokens were generated.
		w.generated[b.Organisation] += b.Amount
		w.generatedByPart[id] += b.Amount
	}
	w.starts++
	a.restart(w.starts)
}

// listAgents makes every live router list the current agent incarnations in its
// row at the next flush.
func (w *world) listAgents(*rapid.T) {
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

// ping tells the agents which payers' rows list them.
func (w *world) ping(*rapid.T) {
	for _, r := range w.routers {
		h, ok := r.flusher.Holder()
		if r.dead || r.paused || !ok {
			continue
		}
		for _, a := range w.agents {
			if _, listed := h.Agents[a.incarnation]; listed {
				a.listedBy[h.Incarnation] = true
			}
		}
	}
}

// DownFor implements recoverer.FleetClient.DownFor.
func (w *world) DownFor(_, incarnation string) time.Duration {
	for _, r := range w.routers {
		if r.pool.Incarnation == incarnation && !r.dead && !r.paused {
			return 0
		}
	}
	return time.Hour
}

// AgentDown implements recoverer.FleetClient.AgentDown.
func (w *world) AgentDown(string, string) bool { return false }

// RevokeAgent implements recoverer.FleetClient.RevokeAgent.
func (w *world) RevokeAgent(context.Context, string, string, *framer.RevokeAgent) (*framer.AgentRevoked, error) {
	return &framer.AgentRevoked{}, nil
}

// Fence implements recoverer.FleetClient.Fence.
func (w *world) Fence(_ context.Context, target string, f *framer.Fence) (*framer.Fenced, error) {
	for _, a := range w.agents {
		if a.target != target {
			continue
		}
		out := &framer.Fenced{Agent: a.incarnation}
		a.fenced[f.Incarnation] = true
		for id, b := range a.unconfirmed {
			if id.payer == f.Incarnation {
				out.Bills = append(out.Bills, b)
				if f.Release {
					delete(a.unconfirmed, id)
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

// check compares the budget rows with the oracle and checks that no budget is
// overspent.
func (w *world) check(t *rapid.T) {
	for _, name := range worldBudgets {
		b := w.budget(name)
		assert.NilError(t, b.Check())
		assert.Equal(t, b.Limit, w.limit[name])
		assert.Assert(t, w.generated[name] <= b.Limit, "budget %q: targets generated %d of %d tokens", name, w.generated[name], b.Limit)
		assert.Assert(t, b.Remaining+w.generated[name]+w.reserved(name) <= b.Limit,
			"budget %q: %d tokens remain, targets generated %d and have %d reserved, of %d", name, b.Remaining, w.generated[name], w.reserved(name), b.Limit)
	}
	for _, r := range w.routers {
		assert.NilError(t, r.pool.CheckBalance())
	}
}

// reserved returns the tokens of a budget that are reserved for parts running at
// the agents.
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

// settleAll finishes all running parts, ends all faults, and recovers the dead
// routers.
func (w *world) settleAll() {
	for _, a := range w.agents {
		for id, b := range a.running {
			w.finishPart(a, id, b, b.Amount, true)
		}
	}
	w.resume(nil)
	w.table.ReleaseDelayed(w.ctx)
	for range 3 {
		w.offerBills(nil)
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

// checkLedger checks that the ledger has every part exactly once, with exactly the
// tokens that were generated.
func (w *world) checkLedger() {
	rows, err := storer.ScanAll(w.ctx, w.memory, bookkeeper.LedgerPrefix)
	assert.NilError(w.t, err)
	billed := make(map[partID]int64)
	for _, row := range rows {
		bills, err := bookkeeper.DecodeBills(row.Value)
		assert.NilError(w.t, err)
		for _, b := range bills {
			id := partID{b.Payer, b.Sequence}
			_, duplicate := billed[id]
			assert.Assert(w.t, !duplicate, "part %v is in the ledger twice", id)
			billed[id] = b.Amount
		}
	}
	for id, amount := range w.generatedByPart {
		assert.Equal(w.t, billed[id], amount, "part %v", id)
	}
	for _, name := range worldBudgets {
		assert.Equal(w.t, w.budget(name).Spent, w.generated[name])
	}
}

func (w *world) actions(extra map[string]func(*rapid.T)) map[string]func(*rapid.T) {
	all := map[string]func(*rapid.T){
		"reserve": w.reserve, "reserveMore": w.reserve, "borrow": w.borrow, "finish": w.finish, "finishMore": w.finish,
		"offer": w.offerBills, "flush": w.flush, "flushMore": w.flush, "release": w.releaseCommits, "topUp": w.topUp,
		"kill": w.kill, "pause": w.pause, "resume": w.resume, "learn": w.listAgents, "ping": w.ping, "scan": w.scan, "": w.check,
	}
	for name, f := range extra {
		all[name] = f
	}
	return all
}

// TestSpendAgainstOracle guards against overspent budgets and bills that are lost
// or committed twice. It compares budgets and ledger with an oracle that sees every
// run, while routers die and pause, replies of the platform are lost or delayed,
// and operators change limits.
func TestSpendAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(w.actions(nil))
		w.settleAll()
		w.check(t)
		w.checkLedger()
	})
}

// TestSpendWithAgentsLost guards against overspent budgets when agents lose their
// memory. Tokens may then stay held.
func TestSpendWithAgentsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(w.actions(map[string]func(*rapid.T){"restartAgent": w.restartAgent}))
		w.settleAll()
		w.check(t)
	})
}

// TestFencedRouterSettlesOnce guards against a bill that is committed twice: a
// router pauses with an unflushed bill, is fenced and partly recovered, and then
// resumes with the same bill.
func TestFencedRouterSettlesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		r := w.routers[0]
		r.pool.RecordDemand("alpha", 100, w.now)
		assert.NilError(t, r.flusher.Flush(w.ctx, w.now))
		for range 2 {
			part, err := r.pool.Reserve("alpha", 100)
			assert.NilError(t, err)
			w.agents[0].running[partID{part.Payer, part.Sequence}] = framer.Bill{
				Organisation: "alpha", Payer: part.Payer, Sequence: part.Sequence, Amount: part.Amount,
			}
		}
		first := partID{r.pool.Incarnation, 1}
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
