// Package recoverer returns the tokens of dead routers to their budgets.
//
// A holder is suspected when its router is unreachable and its row has not
// changed for a while; the suspicion is written to the row. If the row then stays
// unchanged again, the holder is fenced at the platform and at every agent that
// its row lists. Its remaining tokens are released only after each of these agents
// has confirmed the fence and handed in the bills that it keeps. Until then they
// stay held, and the holder is reported as stuck.
//
// # Usage
//
//	r := &recoverer.Recoverer{
//		Self: name, Table: table, Fleet: fleet, Interval: time.Second, Log: log, IsPrimary: isPrimary,
//	}
//	r.Run(ctx)
//
// Safety does not depend on clocks: a holder that was only paused or partitioned
// finds its row fenced, may still settle, and starts a new incarnation.
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
	// suspectAfter is how long a router must be unreachable before it is suspected.
	suspectAfter = 2 * time.Second
	// callTimeout bounds one call to an agent or router.
	callTimeout = time.Second
	// maxBudgetsPerCommit bounds the number of budget rows in one commit.
	maxBudgetsPerCommit = 200
)

// FleetClient calls routers and agents.
type FleetClient interface {
	// DownFor returns how long an incarnation of a router has been unreachable.
	DownFor(router, incarnation string) time.Duration
	// AgentDown reports whether an agent's incarnation is dead or has been
	// unreachable for a while.
	AgentDown(target, incarnation string) bool
	// RevokeAgent asks an incarnation of a router to dispatch nothing more to an
	// agent's incarnation and to list what it has dispatched.
	RevokeAgent(ctx context.Context, router, incarnation string, f *framer.RevokeAgent) (*framer.AgentRevoked, error)
	// Fence asks the agent of a target to fence a holder; the reply names the agent's
	// incarnation.
	Fence(ctx context.Context, target string, f *framer.Fence) (*framer.Fenced, error)
}

// StuckHolder describes a dead holder whose tokens can't be released yet.
type StuckHolder struct {
	Incarnation string
	// Agents lists the agent incarnations, prefixed with their target's name, that
	// have not confirmed the fence.
	Agents []string
	Held   int64 // in tokens
}

// Recoverer recovers the dead holders of a fleet from one router.
//
// Exported fields are set before Run.
type Recoverer struct {
	Self     string
	Table    storer.Table
	Fleet    FleetClient
	Interval time.Duration
	Log      *slog.Logger
	// IsPrimary reports whether this router scans at every interval.
	IsPrimary func() bool
	// OnStuck is called after each scan with all stuck holders.
	OnStuck func(all []StuckHolder)

	observedRows map[string]rowObservation // by holder incarnation
	loggedStuck  map[string]bool           // by incarnation of a holder or slot owner
	// loggedUnreadable holds the version of each unreadable row that was logged, by key.
	loggedUnreadable map[string]uint64
}

// rowObservation is a version of a row and the time at which it was first seen.
type rowObservation struct {
	version uint64
	since   time.Time
}

// secondaryScanIntervals is the number of intervals between two scans of a router
// that leaves the work to the primary.
const secondaryScanIntervals = 10

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
		if r.IsPrimary() || n%secondaryScanIntervals == 0 {
			_ = r.Scan(ctx, time.Now())
		}
	}
}

// Scan advances the recovery of every holder by one step and releases the slots of
// dead owners.
func (r *Recoverer) Scan(ctx context.Context, now time.Time) error {
	if r.observedRows == nil {
		r.observedRows = make(map[string]rowObservation)
		r.loggedStuck = make(map[string]bool)
		r.loggedUnreadable = make(map[string]uint64)
	}
	rows, err := storer.ScanAll(ctx, r.Table, bookkeeper.HolderPrefix)
	if err != nil {
		return err
	}
	var stuck []StuckHolder
	for _, row := range rows {
		h, err := bookkeeper.DecodeHolder(row.Value)
		if err != nil {
			r.logUnreadable(row, err)
			continue
		}
		holder, err := r.advance(ctx, h, row.Version, now)
		if err != nil && !errors.Is(err, storer.ErrConflict) {
			return err
		}
		if holder != nil {
			stuck = append(stuck, *holder)
		}
	}
	r.pruneObservations(rows)
	if r.OnStuck != nil {
		r.OnStuck(stuck)
	}
	return r.scanSlots(ctx)
}

// logUnreadable logs a row that can't be decoded, once for each version.
func (r *Recoverer) logUnreadable(row storer.Row, err error) {
	if r.loggedUnreadable[row.Key] == row.Version {
		return
	}
	r.loggedUnreadable[row.Key] = row.Version
	logger.HolderUnreadable.Log(r.Log, "row", row.Key, "version", row.Version, "error", err)
}

// advance moves one holder to the next state of its recovery: suspected, fenced,
// released. It returns the holder if it is stuck.
func (r *Recoverer) advance(ctx context.Context, h *bookkeeper.Holder, version uint64, now time.Time) (*StuckHolder, error) {
	if h.Fenced {
		return r.release(ctx, h, version)
	}
	if !r.isUnresponsive(h, version, now) {
		return nil, nil
	}
	if h.SuspectedBy == "" {
		h.SuspectedBy = r.Self
		logger.HolderSuspected.Log(r.Log, "incarnation", h.Incarnation)
		return nil, r.commitHolder(ctx, h, version)
	}
	h.Fenced = true
	return nil, r.commitHolder(ctx, h, version, storer.Write{
		Key: bookkeeper.FencedKey(h.Incarnation), Value: []byte(r.Self),
	})
}

// isUnresponsive reports whether a row has not changed for a while and its router
// is either unreachable or runs another incarnation.
func (r *Recoverer) isUnresponsive(h *bookkeeper.Holder, version uint64, now time.Time) bool {
	observed, ok := r.observedRows[h.Incarnation]
	if !ok || observed.version != version {
		r.observedRows[h.Incarnation] = rowObservation{version: version, since: now}
		return false
	}
	return now.Sub(observed.since) >= 2*r.Interval && r.Fleet.DownFor(h.Router, h.Incarnation) >= suspectAfter
}

// release fences a holder at its agents and, once all of them have confirmed,
// settles its bills and releases the tokens that can't be spent any more. It
// returns the holder if an agent has not confirmed.
func (r *Recoverer) release(ctx context.Context, h *bookkeeper.Holder, version uint64) (*StuckHolder, error) {
	kept, running, unconfirmed := r.fenceAtAgents(ctx, h)
	bills := slices.DeleteFunc(kept, func(b framer.Bill) bool { return h.InLedger(b.Sequence) })
	if len(unconfirmed) == 0 {
		return nil, r.settle(ctx, h, version, bills, running)
	}
	if !r.loggedStuck[h.Incarnation] {
		r.loggedStuck[h.Incarnation] = true
		logger.HolderStuck.Log(r.Log, "incarnation", h.Incarnation, "agents", unconfirmed)
	}
	held, err := r.heldTokens(ctx, h)
	return &StuckHolder{Incarnation: h.Incarnation, Agents: unconfirmed, Held: held}, err
}

// fenceAtAgents fences a holder at every agent that its row lists.
//
// It returns the bills that the agents keep for the holder, the parts that still
// run, and the agent incarnations that have not confirmed.
func (r *Recoverer) fenceAtAgents(ctx context.Context, h *bookkeeper.Holder) (kept []framer.Bill, running []framer.Part, unconfirmed []string) {
	for incarnation, target := range h.Agents {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		fenced, err := r.Fleet.Fence(callCtx, target, &framer.Fence{Incarnation: h.Incarnation})
		cancel()
		if err != nil || fenced.Agent != incarnation {
			unconfirmed = append(unconfirmed, incarnation)
			continue
		}
		kept = append(kept, fenced.Bills...)
		running = append(running, fenced.Running...)
	}
	slices.Sort(unconfirmed)
	return kept, running, unconfirmed
}

// settle commits the bills and releases all tokens except those of running parts.
// Once the holder's row is removed, it tells the agents to drop what they keep for
// the holder.
func (r *Recoverer) settle(ctx context.Context, h *bookkeeper.Holder, version uint64, bills []framer.Bill, running []framer.Part) error {
	removed, err := r.settleBudgets(ctx, h, version, bills, running)
	if err != nil || !removed {
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

// settleBudgets settles up to maxBudgetsPerCommit budgets in one commit, and
// reports whether the commit removed the holder's row.
func (r *Recoverer) settleBudgets(ctx context.Context, h *bookkeeper.Holder, version uint64, bills []framer.Bill, running []framer.Part) (removed bool, err error) {
	names := h.Budgets[:min(len(h.Budgets), maxBudgetsPerCommit)]
	remaining := h.Budgets[len(names):]
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
	if len(running) == 0 && len(remaining) == 0 {
		c.Update(key, version, nil)
		return true, r.Table.Commit(ctx, c)
	}
	if len(running) == 0 {
		h.Budgets = remaining
	}
	c.Update(key, version, bookkeeper.EncodeHolder(h))
	return false, r.Table.Commit(ctx, c)
}

// planBudgets adds the updated rows of the named budgets to a commit.
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
		// A running part does not name its budget, so the tokens of all running parts
		// stay held in each budget.
		budget.Release(h.Incarnation, sumParts(running))
		c.Update(key, row.Version, bookkeeper.EncodeBudget(budget))
	}
	return nil
}

// heldTokens returns the sum of a holder's tokens over all budgets.
func (r *Recoverer) heldTokens(ctx context.Context, h *bookkeeper.Holder) (int64, error) {
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

func (r *Recoverer) commitHolder(ctx context.Context, h *bookkeeper.Holder, version uint64, extra ...storer.Write) error {
	var c storer.Commit
	c.Update(bookkeeper.HolderKey(h.Incarnation), version, bookkeeper.EncodeHolder(h))
	c.Writes = append(c.Writes, extra...)
	return r.Table.Commit(ctx, c)
}

// pruneObservations drops the observations of rows that have been removed.
func (r *Recoverer) pruneObservations(rows []storer.Row) {
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = true
	}
	for incarnation := range r.observedRows {
		if !present[bookkeeper.HolderKey(incarnation)] {
			delete(r.observedRows, incarnation)
			delete(r.loggedStuck, incarnation)
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
