package spender

import (
	"context"
	"strings"
	"time"

	"github.com/egretroute/egretroute/internal/process/storer"
)

// loadHolding sets this router's holding to its current row and resolves a pending plan.
func (a *Allocator) loadHolding(name string, acct *holdingAccount, row storer.Row) {
	h, err := decodeHolding(row.Value)
	if err != nil {
		a.reportUnreadable(name, err)
		return
	}
	if h.Incarnation == countedIncarnation && acct.held.Incarnation == a.Incarnation {
		// Another router has counted the draws, but this one still runs and knows better.
		acct.voidVersions(true)
		a.loadCopy(name, acct, row)
		return
	}
	if acct.pending != nil {
		if h.Incarnation == a.Incarnation && h.Commit == acct.pending.commit {
			acct.spent -= acct.pending.settle
		}
		acct.pending = nil
	}
	acct.plannedAt, acct.changed = time.Time{}, true
	acct.heldVersion, acct.lastCommit = row.Version, max(acct.lastCommit, h.Commit)
	if row.Version != 0 && h.Incarnation != a.Incarnation {
		a.inherit(name, acct, h)
		return
	}
	acct.held, acct.inherited = h, false
}

// inheritAll loads the holdings of earlier incarnations, so that their tokens are usable
// again without waiting for demand.
func (a *Allocator) inheritAll(ctx context.Context) {
	a.mu.Lock()
	done := a.inheritedAll || a.uncounted
	a.mu.Unlock()
	if done {
		return
	}
	batch, err := a.Table.List(ctx, a.HoldingKey(""))
	if err != nil {
		return // retried with the next flush; heartbeats report an unreachable platform
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if batch.Next.Era != a.era {
		return // the store has come back from a copy since
	}
	a.inheritedAll = true
	for _, row := range batch.Rows {
		name := strings.TrimPrefix(row.Key, a.HoldingKey(""))
		if acct := a.account(name); acct.pending == nil && acct.heldVersion == 0 {
			a.loadHolding(name, acct, row)
		}
	}
}

// inherit counts as spent what an earlier incarnation of this router may have reserved, and
// takes over the remainder of its holding.
func (a *Allocator) inherit(organisation string, acct *holdingAccount, h Holding) {
	allowance, gap := a.Heartbeats.PredecessorAllowance(h.Incarnation, organisation)
	spent := h.withAllowance(allowance).MaxReserved(gap)
	again := acct.inherited
	acct.held = Holding{
		Held: h.Held - spent, Unpublished: h.Unpublished + spent, PublishedReserved: h.PublishedReserved, PublishedRate: h.PublishedRate,
		Published: h.Published, Closed: h.Closed, Withheld: h.Withheld,
	}
	if h.Closed {
		return // there is nothing to take over
	}
	acct.inherited = true
	acct.requested.seed(float64(h.PublishedRate), time.Now())
	if a.OnRecovered != nil && !again {
		a.OnRecovered(organisation, spent, acct.held.Held)
	}
}

// reportUnreadable reports a row that can't be decoded.
func (a *Allocator) reportUnreadable(organisation string, err error) {
	if a.OnUnreadable != nil {
		a.OnUnreadable(organisation, err)
	}
}
