// Package recoverer gets the tokens of dead routers back into their budgets.
//
// A holder is suspected when its router does not answer and its row stands
// still. If the suspicion stands too, the holder is fenced at the platform and
// at every agent that its row names. Only when each of these agents has
// confirmed, and has handed in the bills it keeps, is the rest released. What
// stays unconfirmed stays held, and is reported.
//
// # Usage
//
//	r := &recoverer.Recoverer{Self: name, Table: table, Fleet: links, Interval: time.Second}
//	r.Run(ctx)
//
// No step depends on a clock for safety: a holder that was only paused or cut
// off finds its row fenced, may still settle, and begins a new incarnation.
package recoverer

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/process/bookkeeper"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/storer"
)

const (
	// suspectAfter is how long a router must be unreachable to be suspected.
	suspectAfter = 2 * time.Second
	// callTimeout bounds one call to an agent.
	callTimeout = time.Second
	// maxBudgetsPerCommit bounds the rows of one release.
	maxBudgetsPerCommit = 200
)

// FleetClient reaches routers and agents.
type FleetClient interface {
	// DownFor returns how long an incarnation of a router has not answered.
	DownFor(router, incarnation string) time.Duration
	// AgentDown reports whether an agent's incarnation is dead or has not answered for a while.
	AgentDown(target, incarnation string) bool
	// RevokeAgent asks an incarnation of a router for its word on an agent.
	RevokeAgent(ctx context.Context, router, incarnation string, f *framer.Forsake) (*framer.Forsaken, error)
	// Fence asks the agent beside a target; the answer names the agent's incarnation.
	Fence(ctx context.Context, target string, f *framer.Fence) (*framer.Fenced, error)
}

// StuckHolder describes a dead holder whose tokens stay held.
type StuckHolder struct {
	Incarnation string
	// Agents lists the agent incarnations that have not confirmed, with their targets.
	Agents []string
	Held   int64
}

// Recoverer watches the holders of a fleet from one router.
//
// Exported fields are set before Run.
type Recoverer struct {
	Self     string
	Table    storer.Table
	Fleet    FleetClient
	Interval time.Duration
	Log      *slog.Logger
	// IsPrimary reports whether this router is the one that scans often.
	IsPrimary func() bool
	// OnStuck is called after each scan with the holders that stay held.
	OnStuck func(all []StuckHolder)

	seen  map[string]sighting
	stuck map[string]bool
}

// sighting is the version of a row and when it was first seen so.
type sighting struct {
	version uint64
	since   time.Time
}

// idleScanEvery is how many intervals pass between the scans of a router that
// leaves the work to another.
const idleScanEvery = 10

// Run scans until ctx ends.
func (r *Recoverer) Run(ctx context.Context) {
	ticker := time.NewTicker(r.Interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if r.IsPrimary() || n%idleScanEvery == 0 {
			_ = r.Scan(ctx, time.Now())
		}
	}
}

// Scan looks at every holder once.
func (r *Recoverer) Scan(ctx context.Context, now time.Time) error {
	if r.seen == nil {
		r.seen = make(map[string]sighting)
		r.stuck = make(map[string]bool)
	}
	rows, err := storer.ScanAll(ctx, r.Table, bookkeeper.HolderPrefix)
	if err != nil {
		return err
	}
	var stuck []StuckHolder
	for _, row := range rows {
		h, err := bookkeeper.DecodeHolder(row.Value)
		if err != nil {
			return err
		}
		s, err := r.step(ctx, h, row.Version, now)
		if err != nil && !errors.Is(err, storer.ErrConflict) {
			return err
		}
		if s != nil {
			stuck = append(stuck, *s)
		}
	}
	r.forget(rows)
	if r.OnStuck != nil {
		r.OnStuck(stuck)
	}
	return r.scanSlots(ctx)
}

// step moves one holder towards recovery: suspected, fenced, released.
func (r *Recoverer) step(ctx context.Context, h *bookkeeper.Holder, version uint64, now time.Time) (*StuckHolder, error) {
	if h.Fenced {
		return r.release(ctx, h, version)
	}
	if !r.stands(h, version, now) {
		return nil, nil
	}
	if h.SuspectedBy == "" {
		h.SuspectedBy = r.Self
		logger.HolderSuspected.Log(r.Log, "incarnation", h.Incarnation)
		return nil, r.commit(ctx, h, version)
	}
	h.Fenced = true
	return nil, r.commit(ctx, h, version, storer.Write{
		Key: bookkeeper.FencedKey(h.Incarnation), Value: []byte(r.Self),
	})
}

// stands reports whether a row has not changed for a while and its router is
// either unreachable or has begun another incarnation.
func (r *Recoverer) stands(h *bookkeeper.Holder, version uint64, now time.Time) bool {
	s, ok := r.seen[h.Incarnation]
	if !ok || s.version != version {
		r.seen[h.Incarnation] = sighting{version: version, since: now}
		return false
	}
	return now.Sub(s.since) >= 2*r.Interval && r.Fleet.DownFor(h.Router, h.Incarnation) >= suspectAfter
}

// release asks the agents and frees what no one can spend any more.
func (r *Recoverer) release(ctx context.Context, h *bookkeeper.Holder, version uint64) (*StuckHolder, error) {
	owed, running, missing := r.ask(ctx, h)
	bills := slices.DeleteFunc(owed, func(b framer.Bill) bool { return h.InLedger(b.Sequence) })
	if len(missing) == 0 {
		return nil, r.settle(ctx, h, version, bills, running)
	}
	if !r.stuck[h.Incarnation] {
		r.stuck[h.Incarnation] = true
		logger.HolderStuck.Log(r.Log, "incarnation", h.Incarnation, "agents", missing)
	}
	held, err := r.held(ctx, h)
	return &StuckHolder{Incarnation: h.Incarnation, Agents: missing, Held: held}, err
}

// ask fences the holder at every agent named by its row.
func (r *Recoverer) ask(ctx context.Context, h *bookkeeper.Holder) (owed []framer.Bill, running []framer.Part, missing []string) {
	for incarnation, target := range h.Agents {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		fenced, err := r.Fleet.Fence(callCtx, target, &framer.Fence{Incarnation: h.Incarnation})
		cancel()
		if err != nil || fenced.Agent != incarnation {
			missing = append(missing, incarnation)
			continue
		}
		owed = append(owed, fenced.Bills...)
		running = append(running, fenced.Running...)
	}
	slices.Sort(missing)
	return owed, running, missing
}

// settle commits the bills handed in and releases all but what still runs.
func (r *Recoverer) settle(ctx context.Context, h *bookkeeper.Holder, version uint64, bills []framer.Bill, running []framer.Part) error {
	done, err := r.settleBudgets(ctx, h, version, bills, running)
	if err != nil || !done {
		return err
	}
	for _, target := range h.Agents {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_, _ = r.Fleet.Fence(callCtx, target, &framer.Fence{Incarnation: h.Incarnation, Release: true})
		cancel()
	}
	logger.HolderRecovered.Log(r.Log, "incarnation", h.Incarnation)
	return nil
}

// settleBudgets makes the commit; done means that the holder's row is gone.
func (r *Recoverer) settleBudgets(ctx context.Context, h *bookkeeper.Holder, version uint64, bills []framer.Bill, running []framer.Part) (done bool, err error) {
	names := h.Budgets[:min(len(h.Budgets), maxBudgetsPerCommit)]
	rest := h.Budgets[len(names):]
	bills = slices.DeleteFunc(bills, func(b framer.Bill) bool { return !slices.Contains(names, b.Organisation) })
	var c storer.Commit
	if err := r.planBudgets(ctx, &c, h, names, bills, running); err != nil {
		return false, err
	}
	if len(bills) > 0 {
		h.FlushNumber++
		c.Update(bookkeeper.SegmentKey(h.Incarnation, h.FlushNumber), 0, bookkeeper.EncodeBills(bills))
	}
	for _, b := range bills {
		h.MarkBilled(b.Sequence)
	}
	key := bookkeeper.HolderKey(h.Incarnation)
	if len(running) == 0 && len(rest) == 0 {
		c.Update(key, version, nil)
		return true, r.Table.Commit(ctx, c)
	}
	if len(running) == 0 {
		h.Budgets = rest
	}
	c.Update(key, version, bookkeeper.EncodeHolder(h))
	return false, r.Table.Commit(ctx, c)
}

// planBudgets adds the budget rows to a commit.
func (r *Recoverer) planBudgets(ctx context.Context, c *storer.Commit, h *bookkeeper.Holder, names []string, bills []framer.Bill, running []framer.Part) error {
	for _, name := range names {
		key := bookkeeper.BudgetKey(name)
		row, err := storer.ReadOne(ctx, r.Table, key)
		if err != nil {
			return err
		}
		budget, err := bookkeeper.DecodeBudget(row.Value)
		if err != nil {
			return err
		}
		for _, b := range bills {
			if b.Organisation != name {
				continue
			}
			if err := budget.Settle(h.Incarnation, b.Amount, b.Uncertain); err != nil {
				return err
			}
		}
		// A running part does not name its budget: all of them are kept in each.
		budget.Release(h.Incarnation, sumParts(running))
		c.Update(key, row.Version, bookkeeper.EncodeBudget(budget))
	}
	return nil
}

// held adds up what a holder holds over all budgets, in tokens.
func (r *Recoverer) held(ctx context.Context, h *bookkeeper.Holder) (int64, error) {
	if len(h.Budgets) == 0 {
		return 0, nil
	}
	keys := make([]string, len(h.Budgets))
	for i, name := range h.Budgets {
		keys[i] = bookkeeper.BudgetKey(name)
	}
	rows, err := r.Table.Read(ctx, keys...)
	if err != nil {
		return 0, err
	}
	var sum int64
	for _, row := range rows {
		b, err := bookkeeper.DecodeBudget(row.Value)
		if err != nil {
			return 0, err
		}
		sum += b.Holders[h.Incarnation].Held
	}
	return sum, nil
}

func (r *Recoverer) commit(ctx context.Context, h *bookkeeper.Holder, version uint64, more ...storer.Write) error {
	var c storer.Commit
	c.Update(bookkeeper.HolderKey(h.Incarnation), version, bookkeeper.EncodeHolder(h))
	c.Writes = append(c.Writes, more...)
	return r.Table.Commit(ctx, c)
}

// forget drops the sightings of rows that are gone.
func (r *Recoverer) forget(rows []storer.Row) {
	alive := make(map[string]bool, len(rows))
	for _, row := range rows {
		alive[row.Key] = true
	}
	for incarnation := range r.seen {
		if !alive[bookkeeper.HolderKey(incarnation)] {
			delete(r.seen, incarnation)
			delete(r.stuck, incarnation)
		}
	}
}

func sumParts(parts []framer.Part) int64 {
	var sum int64
	for _, p := range parts {
		sum += p.Amount
	}
	return sum
}
