package spender

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/process/bookkeeper"
	"github.com/egretroute/egretroute/internal/process/storer"
)

const (
	maxBillsPerFlush   = 4000
	maxConflictRetries = 6
	// transferThreshold is the least relative difference between the current and the wanted
	// holding for which tokens are moved, piggybackThreshold the same if the budget row is
	// written anyway.
	transferThreshold  = 0.1
	piggybackThreshold = 0.005
	// rateThreshold is the relative change of demand that is published even if no tokens
	// move.
	rateThreshold = 0.2
)

// Flusher commits the settlements of a token pool, draws tokens into it and returns
// them.
//
// Exported fields are set before the first call.
type Flusher struct {
	Pool    *TokenPool
	Table   storer.Table
	Policy  Policy
	Router  string
	Domain  string
	Address string
	// OnDurable is called after a flush with the bills that are now in the ledger.
	OnDurable func(bills []framer.Bill)
	// ReviewInterval is the time between two flushes that review every budget, including
	// those without bills or unmet demand.
	ReviewInterval time.Duration

	mu         sync.Mutex // guards all below; held for a whole flush, taken before TokenPool.mu
	holder     *bookkeeper.Holder
	version    uint64
	pending    *plan
	agents     map[string]string
	lastReview time.Time
	closing    bool
}

// Register creates the holder's row, which must exist before tokens are drawn.
func (f *Flusher) Register(ctx context.Context, agents map[string]string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := bookkeeper.HolderKey(f.Pool.Incarnation)
	h := &bookkeeper.Holder{
		Incarnation: f.Pool.Incarnation, Router: f.Router, Domain: f.Domain, Address: f.Address,
		NextSequence: 1, Agents: maps.Clone(agents),
	}
	var c storer.Commit
	c.Update(key, 0, bookkeeper.EncodeHolder(h))
	c.Writes = append(c.Writes, storer.Write{Key: bookkeeper.EpochKey, Value: []byte(f.Pool.Incarnation)})
	err := f.Table.Commit(ctx, c)
	if err != nil && !errors.Is(err, storer.ErrConflict) {
		return err
	}
	return f.reload(ctx)
}

// SetAgents sets the agent incarnations, each with its target, that the holder's row
// lists from the next flush on.
func (f *Flusher) SetAgents(agents map[string]string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.agents = agents
}

// Holder returns a copy of the holder's row as last committed, and whether there is one.
func (f *Flusher) Holder() (bookkeeper.Holder, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.holder == nil {
		return bookkeeper.Holder{}, false
	}
	return *f.holder, true
}

// Flush sends one commit, repeated on conflicts; it returns ErrFenced if the holder's row
// is closed or deleted. A fenced holder may still settle and return tokens.
func (f *Flusher) Flush(ctx context.Context, now time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pending != nil {
		if err := f.resolve(ctx); err != nil {
			return err
		}
	}
	if err := f.reload(ctx); err != nil {
		return err
	}
	review := f.closing || now.Sub(f.lastReview) >= f.ReviewInterval
	if review {
		f.lastReview = now
	}
	for range maxConflictRetries {
		p, err := f.plan(ctx, now, review)
		if err != nil || p == nil {
			return err
		}
		err = f.Table.Commit(ctx, p.commit)
		switch {
		case err == nil:
			f.committed(p)
			return nil
		case errors.Is(err, storer.ErrConflict):
			f.abandon(p)
			review = f.closing // a commit of few budgets is less likely to conflict again
			if err := f.reload(ctx); err != nil {
				return err
			}
		default:
			f.pending = p
			return err
		}
	}
	return storer.ErrConflict
}

// Close returns all free tokens and deletes the row if no part is open; otherwise it
// returns an error.
func (f *Flusher) Close(ctx context.Context, now time.Time) error {
	f.Pool.Fence()
	policy := f.Policy
	f.mu.Lock()
	f.Policy = emptyPolicy{}
	f.closing = true
	f.mu.Unlock()
	err := f.Flush(ctx, now)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Policy = policy
	if err != nil {
		return err
	}
	return f.closeRow(ctx)
}

// emptyPolicy is the Policy of a token pool that is being closed.
type emptyPolicy struct{}

// WantedHolding implements Policy.WantedHolding.
func (emptyPolicy) WantedHolding(BudgetView) int64 { return 0 }

// closeRow deletes the row if all parts are settled and their bills committed.
func (f *Flusher) closeRow(ctx context.Context) error {
	if !f.Pool.Idle() {
		return errors.New("parts are open or bills are not committed")
	}
	if err := f.reload(ctx); err != nil {
		return err
	}
	if f.holder.Fenced {
		return ErrFenced
	}
	var c storer.Commit
	c.Update(bookkeeper.HolderKey(f.Pool.Incarnation), f.version, nil)
	return f.Table.Commit(ctx, c)
}

// ReleaseFenced returns what a fenced incarnation still holds and deletes its row. The
// holder may do so itself, without asking any agent, once every part that it ever
// reserved is settled and committed.
func (f *Flusher) ReleaseFenced(ctx context.Context) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.reload(ctx); err != nil {
		return err
	}
	if !f.holder.Fenced || !f.Pool.Idle() || f.pending != nil {
		return errors.New("incarnation is not fenced, or has open parts or uncommitted bills")
	}
	rows, err := f.readBudgets(ctx, f.holder.Budgets)
	if err != nil {
		return err
	}
	var c storer.Commit
	for _, row := range rows {
		budget, err := bookkeeper.DecodeBudget(row.Value)
		if err != nil {
			return err
		}
		budget.Release(f.Pool.Incarnation, 0)
		c.Update(row.Key, row.Version, bookkeeper.EncodeBudget(budget))
	}
	c.Update(bookkeeper.HolderKey(f.Pool.Incarnation), f.version, nil)
	return f.Table.Commit(ctx, c)
}

// resolve determines whether the pending commit, whose outcome is unknown, took effect.
func (f *Flusher) resolve(ctx context.Context) error {
	p := f.pending
	if err := f.reload(ctx); err != nil && !errors.Is(err, ErrFenced) {
		return err
	}
	if f.holder != nil && f.holder.FlushNumber < p.holder.FlushNumber {
		return f.supersede(ctx, p)
	}
	f.pending = nil
	f.Pool.apply(p.batch, p.transfers)
	f.notifyDurable(p)
	return nil
}

// supersede makes sure that a pending commit that has not taken effect never will: it
// raises the row's version, so that the condition of that commit fails.
func (f *Flusher) supersede(ctx context.Context, p *plan) error {
	var c storer.Commit
	c.Update(bookkeeper.HolderKey(f.Pool.Incarnation), f.version, bookkeeper.EncodeHolder(f.holder))
	if err := f.Table.Commit(ctx, c); err != nil {
		return err
	}
	f.pending = nil
	f.abandon(p)
	return nil
}

// reload reads the holder's row. It fences the pool if the row is fenced, closed or
// deleted, and returns ErrFenced in the last two cases.
func (f *Flusher) reload(ctx context.Context) error {
	row, err := storer.ReadOne(ctx, f.Table, bookkeeper.HolderKey(f.Pool.Incarnation))
	if err != nil {
		return err
	}
	if row.Version == 0 {
		f.Pool.Fence()
		return ErrFenced
	}
	h, err := bookkeeper.DecodeHolder(row.Value)
	if err != nil {
		return err
	}
	f.holder, f.version = h, row.Version
	if f.agents == nil {
		f.agents = h.Agents
	}
	if h.Closed {
		f.Pool.Fence()
		return ErrFenced
	}
	if h.Fenced {
		f.Pool.Fence()
	}
	return nil
}

// committed applies a plan whose commit took effect.
func (f *Flusher) committed(p *plan) {
	f.holder = p.holder
	f.Pool.apply(p.batch, p.transfers)
	f.notifyDurable(p)
}

func (f *Flusher) notifyDurable(p *plan) {
	if f.OnDurable != nil && len(p.batch.bills) > 0 {
		f.OnDurable(p.batch.bills)
	}
}

// abandon makes the tokens that a plan was to return free again.
func (f *Flusher) abandon(p *plan) {
	for organisation, t := range p.transfers {
		f.Pool.cancelReturn(organisation, t.returned)
	}
}
