package spender

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/process/pauser"
	"github.com/egretroute/egretroute/internal/process/storer"
)

// scope selects the accounts that a commit takes.
type scope int

const (
	// scopeShared takes accounts whose budget's row changes, which other routers
	// change too; few at a time, since one conflict fails them all.
	scopeShared scope = iota
	// scopeOwn takes accounts of which only this router's holding changes.
	scopeOwn
)

// flush commits what is due and reports whether nothing is left to commit.
func (s *Allocator) flush(ctx context.Context, urgent, closing bool) (clean bool) {
	turn := s.turn()
	select {
	case turn <- struct{}{}:
		defer func() { <-turn }()
	case <-ctx.Done():
		return false
	}
	clean = true
	var err error
	begun := time.Now()
	s.check(ctx)
	for _, sc := range []scope{scopeShared, scopeOwn} {
		var sent bool
		if sent, err = s.flushScope(ctx, sc, begun, urgent, closing); sent {
			clean = false
		}
		if err != nil && !errors.Is(err, storer.ErrConflict) {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = err != nil && !errors.Is(err, storer.ErrConflict)
	s.wakeWaiters()
	return clean
}

// turn returns the channel that holds one element during a flush.
func (s *Allocator) turn() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flushing == nil {
		s.flushing = make(chan struct{}, 1)
	}
	return s.flushing
}

// flushScope commits what is due of a scope and reports whether there was any.
func (s *Allocator) flushScope(ctx context.Context, sc scope, begun time.Time, urgent, closing bool) (sent bool, err error) {
	for conflicts := 0; conflicts < commitTries; {
		var names []string
		names, err = s.commit(ctx, sc, begun, conflicts > 0, urgent, closing)
		switch {
		case len(names) == 0:
			return sent, nil
		case errors.Is(err, storer.ErrConflict):
			if conflicts++; conflicts > 1 {
				// The first conflict only tells that others have committed; more of them
				// tell that many do, and that all would conflict again at once.
				pauser.Pause(ctx, rand.N(conflictBackoff<<min(conflicts, maxBackoffSteps)))
			}
		case err != nil:
			return true, err
		}
		sent = true
	}
	return sent, err
}

// commit sends one commit for accounts that are due and takes over its outcome.
//
// fresh tells that the rows were read just before: a conflict then means that
// routers write at the same time, and fewer budgets at once conflict less.
func (s *Allocator) commit(ctx context.Context, sc scope, begun time.Time, fresh, urgent, closing bool) (names []string, err error) {
	names, c := s.plan(sc, begun, urgent, closing)
	if len(names) == 0 {
		return nil, nil
	}
	receipt, err := s.Table.CommitWithReceipt(ctx, c)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflict *storer.ConflictError
	switch {
	case err == nil:
		for _, name := range names {
			s.accounts[name].applied(receipt.Version, now)
		}
		s.batch = min(s.batch+1, maxCommitRows/2)
	case errors.As(err, &conflict):
		s.takeOver(names, conflict.Rows, now)
		if fresh {
			s.batch = max(len(names)/2, 1)
		}
	case errors.Is(err, storer.ErrRefused):
		for _, name := range names {
			if a := s.accounts[name]; !a.open.unanswered {
				a.open = nil
			}
		}
	default:
		for _, name := range names {
			s.accounts[name].open.unanswered = true
		}
	}
	if s.OnCommit != nil {
		s.OnCommit(len(names), err)
	}
	return names, err
}

// plan makes up a commit of accounts that are due and were not looked at since begun.
func (s *Allocator) plan(sc scope, begun time.Time, urgent, closing bool) ([]string, storer.Commit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.batch == 0 {
		s.batch = maxCommitRows / 2
	}
	most := s.batch
	if sc == scopeOwn {
		most = maxCommitRows
	}
	var names []string
	var c storer.Commit
	for name, a := range s.accounts {
		if len(names) == most {
			break
		}
		if a.open == nil && !a.plannedAt.Before(begun) {
			continue
		}
		p := s.planAccount(a, urgent, closing)
		if p == nil || (p.budget == nil) != (sc == scopeOwn) {
			continue
		}
		if a.open == nil {
			a.open, a.commit = p, p.commit
			a.plannedAt = time.Now()
		}
		names = append(names, name)
		value := encodeHolding(p.held)
		if p.ends {
			value = nil
		}
		c.Update(s.HoldingKey(name), a.heldVersion, value)
		if p.budget != nil {
			c.Update(s.BudgetKey(name), a.budgetVersion, encodeBudget(*p.budget))
		}
	}
	slices.Sort(names)
	return names, c
}

// planAccount returns the change of one account's rows, or nil if none is due.
func (s *Allocator) planAccount(a *stockAccount, urgent, closing bool) *stockPlan {
	now := time.Now()
	if a.open != nil {
		return a.open
	}
	if !a.due(now, urgent, closing) {
		return nil
	}
	v := a.view(s.Horizon, now)
	change := StockChange(v)
	if closing {
		change = a.busy - v.Held
	}
	if a.need > 0 && change == 0 && v.room() == 0 && !closing {
		if now.Sub(a.seenAt) >= freshRow {
			return nil // the check of the row has failed
		}
		a.answerNeed(a.need) // nothing can be drawn now
	}
	p := &stockPlan{
		commit: a.commit + 1, settle: a.spent, need: a.need, ends: closing && v.Held+change == 0,
		held: s.nextHolding(a, v, change),
	}
	holds := a.heldVersion != 0 || a.spent > 0
	switch {
	case p.ends && !holds:
	case p.ends || a.mustShow(v, change, now):
		s.show(a, p, change, int64(v.Rate))
		return p
	case a.spent > 0 || a.inherited:
		return p
	}
	a.changed, a.plannedAt = false, now
	return nil
}

// due reports whether an account should be looked at.
func (a *stockAccount) due(now time.Time, urgent, closing bool) bool {
	switch {
	case closing:
		return true
	case !a.known || (urgent && a.need == 0 && !a.inherited):
		return false
	default:
		return a.changed || now.Sub(a.plannedAt) >= idleInterval
	}
}

// mustShow reports whether the budget's row has to change.
func (a *stockAccount) mustShow(v StockView, change int64, now time.Time) bool {
	if change != 0 || a.need > 0 {
		return true
	}
	unshown := max(a.held.Unshown+a.spent, distance(a.busy, a.held.ShownBusy), distance(int64(v.Rate), a.held.ShownRate))
	return now.Sub(a.shownAt) > showInterval && v.Shows(unshown)
}

// nextHolding returns the holding after a commit that leaves the budget's row alone.
func (s *Allocator) nextHolding(a *stockAccount, v StockView, change int64) Holding {
	held := v.Held + change
	return Holding{
		Incarnation: s.Incarnation, Held: held, Mark: StockMark(v, held, s.Heartbeats.Cover()), Slope: StockSlope(v),
		Commit: a.commit + 1, Unshown: a.held.Unshown + a.spent, ShownBusy: a.held.ShownBusy, ShownRate: a.held.ShownRate,
	}
}

// show adds the budget's new row to a plan, with all that the holder has to show.
func (s *Allocator) show(a *stockAccount, p *stockPlan, change, rate int64) {
	before, spare := a.held, p.held.Held-a.busy
	before.Unshown = p.held.Unshown
	p.held.Unshown, p.held.ShownBusy, p.held.ShownRate = 0, a.busy, rate
	if p.ends {
		p.held = Holding{}
	}
	b := a.budget.show(before, p.held, change, a.heldVersion != 0, !p.ends).withLender(s.Router, spare)
	p.budget = &b
}

// answerNeed notes that reservations of an amount have got all that there is for them.
func (a *stockAccount) answerNeed(amount int64) {
	a.need = max(a.need-amount, 0)
	a.round++
}

func distance(a, b int64) int64 {
	return max(a-b, b-a)
}

// applied takes over the last commit, which took effect.
func (a *stockAccount) applied(version uint64, now time.Time) {
	p := a.open
	a.open = nil
	a.held, a.heldVersion = p.held, version
	if p.ends {
		a.heldVersion = 0
	}
	a.spent -= p.settle
	a.answerNeed(p.need)
	if p.budget != nil {
		a.budget, a.budgetVersion, a.seenAt, a.shownAt = *p.budget, version, now, now
	}
	a.inherited = false
	a.changed = a.spent > 0 || a.need > 0
}

// takeOver takes the rows of a conflict as the platform has them now and
// resolves open commits; a row that the platform doesn't list doesn't exist.
func (s *Allocator) takeOver(names []string, rows []storer.Row, now time.Time) {
	byKey := keyed(rows)
	for _, name := range names {
		a := s.accounts[name]
		if a.open.budget != nil && !s.takeBudget(name, a, byKey[s.BudgetKey(name)], now) {
			continue
		}
		s.takeHolding(name, a, byKey[s.HoldingKey(name)])
	}
}

// takeBudget takes over a budget as the platform has it.
func (s *Allocator) takeBudget(name string, a *stockAccount, row storer.Row, now time.Time) bool {
	b, err := decodeBudget(row.Value)
	if err != nil {
		s.failed(name, err)
		return false
	}
	a.budget, a.budgetVersion, a.seenAt = b, row.Version, now
	return true
}

// check reads the budgets that had nothing left to draw when they were last seen
// and that requests wait for. It takes a commit that writes nothing, since all
// routers do this at the end of a budget and writes would conflict.
func (s *Allocator) check(ctx context.Context) {
	now := time.Now()
	s.mu.Lock()
	var names []string
	var c storer.Commit
	for name, a := range s.accounts {
		if a.open == nil && a.need > 0 && a.known && now.Sub(a.seenAt) >= freshRow && a.view(s.Horizon, now).room() == 0 &&
			len(names) < maxCommitRows {
			names = append(names, name)
			c.Conditions = append(c.Conditions, storer.Condition{Key: s.BudgetKey(name), Version: a.budgetVersion})
		}
	}
	s.mu.Unlock()
	if len(names) == 0 {
		return
	}
	_, err := s.Table.CommitWithReceipt(ctx, c)
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflict *storer.ConflictError
	switch {
	case err == nil:
		for _, name := range names {
			s.accounts[name].seenAt = now
		}
	case errors.As(err, &conflict):
		byKey := keyed(conflict.Rows)
		for _, name := range names {
			s.takeBudget(name, s.accounts[name], byKey[s.BudgetKey(name)], now)
		}
	}
	if s.OnCommit != nil {
		s.OnCommit(len(names), err)
	}
}

func keyed(rows []storer.Row) map[string]storer.Row {
	byKey := make(map[string]storer.Row, len(rows))
	for _, r := range rows {
		byKey[r.Key] = r
	}
	return byKey
}

// takeHolding takes over this router's holding as the platform has it.
func (s *Allocator) takeHolding(name string, a *stockAccount, row storer.Row) {
	h, err := decodeHolding(row.Value)
	if err != nil {
		s.failed(name, err)
		return
	}
	if a.open != nil {
		// A holding that ends by the commit is gone; its last state says no more.
		if (h.Incarnation == s.Incarnation && h.Commit == a.open.commit) || (a.open.ends && row.Version == 0) {
			a.spent -= a.open.settle
		}
		a.open = nil
	}
	a.plannedAt, a.changed = time.Time{}, true
	a.heldVersion = row.Version
	if row.Version != 0 && h.Incarnation != s.Incarnation {
		s.inherit(name, a, h)
		return
	}
	a.held, a.inherited = h, false
}

// adopt finds the holdings of earlier incarnations, so that they are usable again
// without waiting for demand.
func (s *Allocator) adopt(ctx context.Context) {
	s.mu.Lock()
	done := s.adopted
	s.mu.Unlock()
	if done {
		return
	}
	feed, err := s.Table.List(ctx, s.HoldingKey(""))
	if err != nil {
		return // tried again with the next flush; the beats report an absent platform
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adopted = true
	for _, row := range feed.Rows {
		name := strings.TrimPrefix(row.Key, s.HoldingKey(""))
		if a := s.account(name); a.open == nil && a.heldVersion == 0 {
			s.takeHolding(name, a, row)
		}
	}
}

// inherit counts as spent what an earlier incarnation of this router may have
// promised, and takes over the rest of its holding.
func (s *Allocator) inherit(organisation string, a *stockAccount, h Holding) {
	mark, silence := s.Heartbeats.Last(h.Incarnation, organisation)
	spent := h.with(mark).Authorised(silence)
	known := a.inherited
	a.held = Holding{Held: h.Held - spent, Unshown: h.Unshown + spent, ShownBusy: h.ShownBusy, ShownRate: h.ShownRate}
	a.inherited = true
	a.asked.seed(float64(h.ShownRate), time.Now())
	if s.OnRecovered != nil && !known {
		s.OnRecovered(organisation, spent, a.held.Held)
	}
}

// failed reports a row that can't be read.
func (s *Allocator) failed(organisation string, err error) {
	if s.OnUnreadable != nil {
		s.OnUnreadable(organisation, err)
	}
}
