package spender

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/process/pauser"
	"github.com/egretroute/egretroute/internal/process/storer"
)

// scope selects the accounts that a commit contains.
type scope int

const (
	// scopeShared selects accounts whose budget's row changes. Other routers change these
	// rows too, and one conflict fails the whole commit, so a commit contains few of them.
	scopeShared scope = iota
	// scopeOwn selects accounts of which only this router's holding changes.
	scopeOwn
)

// flush commits what is due and reports whether there was nothing to commit.
func (a *Allocator) flush(ctx context.Context, urgent, closing bool) (clean bool) {
	slot := a.flushSlot()
	select {
	case slot <- struct{}{}:
		defer func() { <-slot }()
	case <-ctx.Done():
		return false
	}
	clean = true
	var err error
	unrecorded := false
	started := time.Now()
	a.checkExhausted(ctx)
	a.readCopies(ctx)
	for _, sc := range []scope{scopeShared, scopeOwn} {
		var sent bool
		if sent, err = a.flushScope(ctx, sc, started, urgent, closing); sent {
			clean = false
		}
		if errors.Is(err, errUnrecorded) {
			unrecorded = true
			continue // settlements need no record
		}
		if err != nil && !errors.Is(err, storer.ErrConflict) {
			break
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	wasFailing := a.failing
	a.failing = unrecorded || (err != nil && !errors.Is(err, storer.ErrConflict) && !errors.Is(err, storer.ErrEraChanged))
	if a.failing && !wasFailing {
		a.failingSince = time.Now()
	}
	a.wakeWaiters()
	return clean
}

// flushSlot returns the channel that holds one element during a flush.
func (a *Allocator) flushSlot() chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.flushing == nil {
		a.flushing = make(chan struct{}, 1)
	}
	return a.flushing
}

// flushScope commits what is due in a scope and reports whether it sent a commit.
func (a *Allocator) flushScope(ctx context.Context, sc scope, started time.Time, urgent, closing bool) (sent bool, err error) {
	for conflicts := 0; conflicts < maxConflicts; {
		var names []string
		names, err = a.commit(ctx, sc, started, conflicts > 0, urgent, closing)
		switch {
		case len(names) == 0:
			return sent, nil
		case errors.Is(err, storer.ErrConflict):
			if conflicts++; conflicts > 1 {
				// A first conflict only means that another router has committed. Further ones
				// mean that many routers commit, and would conflict again if all retried at once.
				pauser.Pause(ctx, rand.N(conflictBackoff<<min(conflicts, maxBackoffSteps)))
			}
		case err != nil:
			return true, err
		}
		sent = true
	}
	return sent, err
}

// commit sends one commit for accounts that are due and applies its outcome.
//
// fresh is set if the rows were read just before. A conflict then means that routers
// write at the same time, and commits of fewer budgets conflict less.
func (a *Allocator) commit(ctx context.Context, sc scope, started time.Time, fresh, urgent, closing bool) (names []string, err error) {
	names, c, draws := a.plan(sc, started, urgent, closing)
	if len(names) == 0 {
		return nil, nil
	}
	if err := a.record(ctx, draws); err != nil {
		return names, err
	}
	receipt, err := a.Table.CommitWithReceipt(ctx, c)
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var conflict *storer.ConflictError
	switch {
	case a.era != c.Era:
		return names, storer.ErrEraChanged // the accounts have dropped their plans
	case err == nil:
		for _, name := range names {
			acct := a.accounts[name]
			if acct.pending.rebase {
				a.rebasedAccounts++
				a.rebasedDrawn += acct.pending.rebasedBy
			}
			acct.committed(receipt.Version, now)
		}
		a.finishRebase()
		a.batchSize = min(a.batchSize+1, maxCommitRows/2)
	case errors.As(err, &conflict):
		a.applyConflict(names, conflict.Rows, now)
		if fresh {
			a.batchSize = max(len(names)/2, 1)
		}
	case errors.Is(err, storer.ErrRefused):
		for _, name := range names {
			if acct := a.accounts[name]; !acct.pending.unanswered {
				acct.pending = nil
			}
		}
	default:
		for _, name := range names {
			a.accounts[name].pending.unanswered = true
		}
	}
	if a.OnCommit != nil {
		a.OnCommit(len(names), err)
	}
	return names, err
}

// plan builds a commit for accounts that are due and were not considered since started.
// It also returns the draws that must be recorded before the commit is sent.
func (a *Allocator) plan(sc scope, started time.Time, urgent, closing bool) ([]string, storer.Commit, []framer.Draw) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.batchSize == 0 {
		a.batchSize = maxCommitRows / 2
	}
	limit := a.batchSize
	if sc == scopeOwn {
		limit = maxCommitRows
	}
	var names []string
	var draws []framer.Draw
	c := storer.Commit{Era: a.era}
	for _, name := range a.dueAccounts(started, urgent, closing) {
		if len(names) == limit {
			break
		}
		acct := a.accounts[name]
		p := a.planAccount(acct, closing)
		if p == nil || (p.budget == nil) != (sc == scopeOwn) {
			continue
		}
		if acct.pending == nil {
			acct.pending, acct.lastCommit = p, p.commit
			acct.plannedAt = time.Now()
		}
		names = append(names, name)
		if d, ok := a.drawToRecord(name, acct, p); ok {
			draws = append(draws, d)
		}
		c.Update(a.HoldingKey(name), acct.heldVersion, encodeHolding(p.held))
		if p.budget != nil {
			c.Update(a.BudgetKey(name), acct.budgetVersion, encodeBudget(*p.budget))
		}
	}
	slices.Sort(names)
	return names, c, draws
}

// dueAccounts returns the accounts to consider for a commit, those that requests wait for
// first: after conflicts a commit contains few accounts. a.mu must be held.
func (a *Allocator) dueAccounts(started time.Time, urgent, closing bool) []string {
	now := time.Now()
	var waiting, others []string
	for name, acct := range a.accounts {
		switch {
		case acct.rebase && (acct.copyRead || acct.pending != nil):
			waiting = append(waiting, name)
		case acct.rebase || a.uncounted:
		case acct.pending == nil && (!acct.plannedAt.Before(started) || !acct.due(now, urgent, closing)):
		case acct.unmet > 0:
			waiting = append(waiting, name)
		default:
			others = append(others, name)
		}
	}
	return append(waiting, others...)
}

// planAccount returns the change of one account's rows, or nil if none is needed.
func (a *Allocator) planAccount(acct *holdingAccount, closing bool) *holdingPlan {
	now := time.Now()
	if acct.pending != nil {
		return acct.pending
	}
	if acct.rebase {
		return a.planRebase(acct)
	}
	v := acct.view(a.Horizon, now)
	change := HoldingChange(v)
	if a.drawsClosed {
		change = min(change, 0)
	}
	if closing {
		change = acct.reserved - v.Held
	}
	if acct.unmet > 0 && change == 0 && (v.undrawn() == 0 || a.drawsClosed) && !closing {
		if now.Sub(acct.budgetReadAt) >= maxRowAge && !a.drawsClosed {
			return nil // checkExhausted could not read the row
		}
		acct.resolveUnmet(acct.unmet) // nothing can be drawn now
	}
	p := &holdingPlan{
		commit: acct.lastCommit + 1, settle: acct.spent, unmet: acct.unmet, closes: v.Held+change == 0 && (closing || (v.Sparse && acct.reserved == 0)),
		held: a.nextHolding(acct, v, change),
	}
	holds := acct.counted() || acct.spent > 0
	switch {
	case p.closes && !holds:
	case p.closes || acct.mustPublish(v, change, now):
		a.publish(acct, p, change, int64(v.Rate))
		return p
	case acct.spent > 0 || acct.inherited || (acct.hasRecord && acct.recorded != p.held.drawn()):
		return p
	}
	acct.changed, acct.plannedAt = false, now
	return nil
}

// due reports whether a commit of the account should be considered.
func (a *holdingAccount) due(now time.Time, urgent, closing bool) bool {
	switch {
	case closing:
		return true
	case !a.limitKnown || (urgent && a.unmet == 0 && !a.inherited):
		return false
	default:
		return a.changed || now.Sub(a.plannedAt) >= idleInterval
	}
}

// mustPublish reports whether the budget's row has to change.
func (a *holdingAccount) mustPublish(v HoldingView, change int64, now time.Time) bool {
	if change != 0 || a.unmet > 0 {
		return true
	}
	unpublished := max(a.held.Unpublished+a.spent, absDiff(a.reserved, a.held.PublishedReserved), absDiff(int64(v.Rate), a.held.PublishedRate))
	return now.Sub(a.publishedAt) > publishInterval && v.ShouldPublish(unpublished)
}

// nextHolding returns the holding after a commit that does not change the budget's row.
func (a *Allocator) nextHolding(acct *holdingAccount, v HoldingView, change int64) Holding {
	held := v.Held + change
	return Holding{
		Incarnation: a.Incarnation, Held: held, Allowance: AllowanceAmount(v, held, a.Heartbeats.AllowancePeriod()), AllowanceGrowth: AllowanceGrowth(v),
		Commit: acct.lastCommit + 1, Unpublished: acct.held.Unpublished + acct.spent, PublishedReserved: acct.held.PublishedReserved, PublishedRate: acct.held.PublishedRate,
		Published: acct.held.Published, Closed: acct.held.Closed, Withheld: acct.held.Withheld,
	}
}

// publish adds the budget's new row to a plan, with all of the holder's unpublished figures.
func (a *Allocator) publish(acct *holdingAccount, p *holdingPlan, change, rate int64) {
	before, spare := acct.held, p.held.Held-acct.reserved
	before.Unpublished = p.held.Unpublished
	p.held.Published += p.held.Unpublished
	p.held.Unpublished, p.held.PublishedReserved, p.held.PublishedRate, p.held.Closed = 0, acct.reserved, rate, p.closes
	if p.closes {
		p.held = Holding{Incarnation: a.Incarnation, Commit: p.held.Commit, Published: p.held.Published, Closed: true, Withheld: p.held.Withheld}
	}
	b := acct.budget.publish(before, p.held, change, acct.counted(), !p.closes).withLender(a.Router, spare)
	p.budget = &b
}

// resolveUnmet records that a commit or heartbeat has brought all that there is for unmet
// reservations of an amount.
func (a *holdingAccount) resolveUnmet(amount int64) {
	a.unmet = max(a.unmet-amount, 0)
	a.round++
}

func absDiff(a, b int64) int64 {
	return max(a-b, b-a)
}

// committed applies the pending plan, whose commit took effect.
func (a *holdingAccount) committed(version uint64, now time.Time) {
	p := a.pending
	a.pending = nil
	a.held, a.heldVersion = p.held, version
	a.rebase = a.rebase && !p.rebase
	a.spent -= p.settle
	a.resolveUnmet(p.unmet)
	if p.budget != nil {
		a.budget, a.budgetVersion, a.budgetReadAt, a.publishedAt = *p.budget, version, now, now
	}
	a.inherited = false
	a.changed = a.spent > 0 || a.unmet > 0
}

// applyConflict loads the current rows that a conflict returned and resolves pending plans;
// a row that is not among them does not exist.
func (a *Allocator) applyConflict(names []string, rows []storer.Row, now time.Time) {
	byKey := rowsByKey(rows)
	for _, name := range names {
		acct := a.accounts[name]
		if acct.pending.budget != nil && !a.loadBudget(name, acct, byKey[a.BudgetKey(name)], now) {
			continue
		}
		if acct.rebase {
			a.loadCopy(name, acct, byKey[a.HoldingKey(name)])
			continue
		}
		a.loadHolding(name, acct, byKey[a.HoldingKey(name)])
	}
}

// loadBudget sets a budget to its current row and reports whether the row is readable.
func (a *Allocator) loadBudget(name string, acct *holdingAccount, row storer.Row, now time.Time) bool {
	b, err := decodeBudget(row.Value)
	if err != nil {
		a.reportUnreadable(name, err)
		return false
	}
	acct.budget, acct.budgetVersion, acct.budgetReadAt = b, row.Version, now
	return true
}

// checkExhausted reads the budgets that requests wait for and that had nothing left to
// draw when last read. It sends a commit with conditions and no writes, since all routers
// do this when a budget runs out and writes would conflict.
func (a *Allocator) checkExhausted(ctx context.Context) {
	now := time.Now()
	a.mu.Lock()
	var names []string
	c := storer.Commit{Era: a.era}
	for name, acct := range a.accounts {
		if acct.pending == nil && !acct.rebase && acct.unmet > 0 && acct.limitKnown && now.Sub(acct.budgetReadAt) >= maxRowAge && acct.view(a.Horizon, now).undrawn() == 0 &&
			len(names) < maxCommitRows {
			names = append(names, name)
			c.Conditions = append(c.Conditions, storer.Condition{Key: a.BudgetKey(name), Version: acct.budgetVersion})
		}
	}
	a.mu.Unlock()
	if len(names) == 0 {
		return
	}
	_, err := a.Table.CommitWithReceipt(ctx, c)
	a.mu.Lock()
	defer a.mu.Unlock()
	var conflict *storer.ConflictError
	switch {
	case a.era != c.Era:
	case err == nil:
		for _, name := range names {
			a.accounts[name].budgetReadAt = now
		}
	case errors.As(err, &conflict):
		byKey := rowsByKey(conflict.Rows)
		for _, name := range names {
			a.loadBudget(name, a.accounts[name], byKey[a.BudgetKey(name)], now)
		}
	}
	if a.OnCommit != nil {
		a.OnCommit(len(names), err)
	}
}

func rowsByKey(rows []storer.Row) map[string]storer.Row {
	byKey := make(map[string]storer.Row, len(rows))
	for _, r := range rows {
		byKey[r.Key] = r
	}
	return byKey
}
