package spender

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/process/storer"
)

// After the store has come back from a copy, its rows lack what was drawn, returned and settled
// since the copy. Each holder knows its own part of that, so it replaces its rows by what it
// knows and adds the difference to the budgets' rows. Until all holders have done so, the budgets'
// rows show tokens as undrawn that somebody holds, so nothing is drawn.

// SetEra tells the allocator the store's era: the first one known, or a new one, after which all
// versions and outstanding commits are void. Nothing is drawn before OpenDraws. If an earlier
// incarnation may have drawn tokens that the rows don't show, nothing is committed before
// SetCounted.
func (a *Allocator) SetEra(era storer.Era, first bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.era, a.drawsClosed = era, era.Restored()
	if first || !a.inheritedAll {
		a.uncounted = era.Restored()
	}
	if first {
		return
	}
	a.rebasing, a.rebasedAccounts, a.rebasedDrawn = true, 0, 0
	for _, acct := range a.accounts {
		acct.voidVersions(a.inheritedAll)
	}
	a.finishRebase()
	a.wakeWaiters()
	a.wake()
}

// voidVersions drops what depends on versions of an earlier era. rowsKnown tells whether all rows
// of this router were read in that era.
func (a *holdingAccount) voidVersions(rowsKnown bool) {
	known := rowsKnown || a.heldVersion != 0
	if p := a.pending; p != nil {
		// Tokens of an outstanding return may be another router's by now; those of an outstanding
		// draw have never been used.
		a.held.Held = min(a.held.Held, p.held.Held+p.settle)
		a.pending = nil
	}
	a.rebase, a.copyRead = known, false
	a.heldVersion, a.budgetVersion, a.budgetReadAt, a.plannedAt = 0, 0, time.Time{}, time.Time{}
}

// OpenDraws lets the allocator draw tokens in an era: all routers' rows are complete.
func (a *Allocator) OpenDraws(era storer.Era) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.era == era {
		a.drawsClosed = false
		a.wakeWaiters()
		a.wake()
	}
}

// SetCounted tells the allocator that the rows show in an era all that earlier incarnations have
// drawn.
func (a *Allocator) SetCounted(era storer.Era) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.era == era {
		a.uncounted = false
		a.wake()
	}
}

// Rebased reports the state of the rows in an era: whether those of this incarnation show all that
// it has drawn, and whether those of earlier ones do.
func (a *Allocator) Rebased(era storer.Era) (rebased, counted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.era != era {
		return false, false
	}
	for _, acct := range a.accounts {
		if acct.rebase {
			return false, !a.uncounted
		}
	}
	return true, !a.uncounted
}

// finishRebase reports the end of a rebase. a.mu must be held.
func (a *Allocator) finishRebase() {
	if !a.rebasing {
		return
	}
	for _, acct := range a.accounts {
		if acct.rebase {
			return
		}
	}
	a.rebasing = false
	a.Heartbeats.SetRebased(a.era)
	if a.OnRebased != nil {
		a.OnRebased(a.era, a.rebasedAccounts, a.rebasedDrawn)
	}
}

// readCopies reads the rows of the accounts to rebase, as the copy has them. Conditions that a row
// does not exist return the rows that do.
func (a *Allocator) readCopies(ctx context.Context) {
	for {
		a.mu.Lock()
		c := storer.Commit{Era: a.era}
		var names []string
		for name, acct := range a.accounts {
			if acct.rebase && !acct.copyRead && len(names) < maxCommitRows/2 {
				names = append(names, name)
				c.Conditions = append(c.Conditions, storer.Condition{Key: a.HoldingKey(name)}, storer.Condition{Key: a.BudgetKey(name)})
			}
		}
		a.mu.Unlock()
		if len(names) == 0 {
			return
		}
		_, err := a.Table.CommitWithReceipt(ctx, c)
		var conflict *storer.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			return // retried with the next flush
		}
		var rows []storer.Row
		if conflict != nil {
			rows = conflict.Rows
		}
		a.mu.Lock()
		if a.era != c.Era {
			a.mu.Unlock()
			return
		}
		byKey := rowsByKey(rows)
		for _, name := range names {
			acct := a.accounts[name]
			if a.loadBudget(name, acct, byKey[a.BudgetKey(name)], time.Now()) {
				a.loadCopy(name, acct, byKey[a.HoldingKey(name)])
			}
		}
		unread := false
		for _, name := range names {
			unread = unread || !a.accounts[name].copyRead
		}
		a.mu.Unlock()
		if unread {
			return // a row can't be decoded, which has been reported
		}
	}
}

// loadCopy sets the copied holding of an account to its current row, or ends the rebase if the
// row is what the pending plan has written.
func (a *Allocator) loadCopy(name string, acct *holdingAccount, row storer.Row) {
	h, err := decodeHolding(row.Value)
	if err != nil {
		a.reportUnreadable(name, err)
		return
	}
	acct.heldVersion = row.Version
	if p := acct.pending; p != nil && h.Incarnation == a.Incarnation && h.Commit == p.commit {
		acct.spent -= p.settle
		acct.held, acct.pending, acct.rebase, acct.inherited = h, nil, false, false
		a.rebasedAccounts++
		a.rebasedDrawn += p.rebasedBy
		a.finishRebase()
		return
	}
	acct.pending, acct.copied, acct.copyRead = nil, h, true
}

// planRebase returns the plan that replaces a copied holding, or nil if the copy lacks nothing.
func (a *Allocator) planRebase(acct *holdingAccount) *holdingPlan {
	if !acct.copyRead {
		return nil
	}
	existed := acct.heldVersion != 0
	if acct.held == acct.copied && acct.spent == 0 {
		acct.rebase = false
		a.finishRebase()
		return nil
	}
	v := acct.view(a.Horizon, time.Now())
	acct.held.Withheld = max(acct.held.Withheld, acct.copied.Withheld) // others may depend on it
	drawn := acct.held.drawn() - acct.copied.drawn()
	after := a.nextHolding(acct, v, 0)
	after.Published += after.Unpublished
	after.Unpublished, after.PublishedReserved, after.PublishedRate, after.Closed = 0, acct.reserved, int64(v.Rate), false
	b := acct.budget.rebase(acct.copied, after, drawn, existed).withLender(a.Router, after.Held-acct.reserved)
	return &holdingPlan{commit: acct.lastCommit + 1, settle: acct.spent, held: after, budget: &b, rebase: true, rebasedBy: drawn}
}
