package spender

import (
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/process/bookkeeper"
	"github.com/egretroute/egretroute/internal/process/storer"
)

// plan is a commit built from rows just read, with the changes that it makes.
type plan struct {
	batch     batch
	transfers map[string]transfer
	holder    *bookkeeper.Holder
	commit    storer.Commit
}

// plan reads the affected budget rows and builds the commit, or returns nil if there is
// nothing to commit.
func (f *Flusher) plan(ctx context.Context, now time.Time, review bool) (*plan, error) {
	b := f.Pool.nextBatch(maxBillsPerFlush)
	names := f.affectedBudgets(b, now, review)
	rows, err := f.readBudgets(ctx, names)
	if err != nil {
		return nil, err
	}
	b.bills = slices.DeleteFunc(b.bills, func(bill framer.Bill) bool { return f.holder.InLedger(bill.Sequence) })
	b.open = slices.DeleteFunc(b.open, f.holder.InLedger)
	p := &plan{batch: b, transfers: make(map[string]transfer), holder: f.nextHolder(b)}
	spent := sumBills(b.bills)
	for i, name := range names {
		if rows[i].Version == 0 {
			continue
		}
		if err := f.planBudget(p, name, rows[i], spent[name], now); err != nil {
			f.abandon(p)
			return nil, err
		}
	}
	if len(p.commit.Writes)+len(b.bills) == 0 && !f.rowChanged(p.holder) {
		return nil, nil
	}
	key := bookkeeper.HolderKey(f.Pool.Incarnation)
	p.commit.Update(key, f.version, bookkeeper.EncodeHolder(p.holder))
	if charged := chargedBills(b.bills); len(charged) > 0 {
		segment := bookkeeper.SegmentKey(f.Pool.Incarnation, p.holder.FlushNumber)
		p.commit.Update(segment, 0, bookkeeper.EncodeBills(charged))
	}
	return p, nil
}

// chargedBills returns the bills of more than zero tokens. A bill of zero tokens only
// closes its part, which the holder's row records.
func chargedBills(bills []framer.Bill) []framer.Bill {
	return slices.DeleteFunc(slices.Clone(bills), func(b framer.Bill) bool { return b.Amount+b.Uncertain == 0 })
}

// affectedBudgets returns the budgets that this flush reads, sorted: those with bills or
// unmet demand, or all if it is a review.
func (f *Flusher) affectedBudgets(b batch, now time.Time, review bool) []string {
	set := make(map[string]bool)
	for _, bill := range b.bills {
		set[bill.Organisation] = true
	}
	for _, name := range f.Pool.Organisations() {
		s := f.Pool.state(name, now)
		if s.unmet > 0 || review {
			set[name] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}

func (f *Flusher) readBudgets(ctx context.Context, names []string) ([]storer.Row, error) {
	if len(names) == 0 {
		return nil, nil
	}
	keys := make([]string, len(names))
	for i, name := range names {
		keys[i] = bookkeeper.BudgetKey(name)
	}
	return f.Table.Read(ctx, keys...)
}

// planBudget adds the settlements, draw or return of one budget to p.
func (f *Flusher) planBudget(p *plan, name string, row storer.Row, bill billSum, now time.Time) error {
	budget, err := bookkeeper.DecodeBudget(row.Value)
	if err != nil {
		return err
	}
	self := f.Pool.Incarnation
	if err := budget.Settle(self, bill.spent, bill.uncertain); err != nil {
		return err
	}
	s := f.Pool.state(name, now)
	v := newBudgetView(budget, self, s)
	t := transfer{othersRate: v.OthersRate}
	switch delta := f.adjustment(v, bill.spent > 0); {
	case delta > 0 && !f.holder.Fenced:
		t.drawn = min(delta, budget.Remaining)
	case delta < 0:
		t.returned = f.Pool.withhold(name, -delta)
	}
	p.transfers[name] = t
	changed := t.drawn + t.returned + bill.spent + bill.uncertain
	if changed == 0 && !rateChanged(budget.Holders[self].Rate, s.rate) && !f.mustPublish(budget) {
		return nil
	}
	if err := budget.Draw(self, f.Domain, t.drawn-t.returned); err != nil {
		return err
	}
	budget.SetDemand(self, s.rate, s.slow)
	if f.closing {
		budget.RemoveIfEmpty(self)
	}
	p.commit.Update(bookkeeper.BudgetKey(name), row.Version, bookkeeper.EncodeBudget(budget))
	if !slices.Contains(p.holder.Budgets, name) {
		p.holder.Budgets = append(p.holder.Budgets, name)
	}
	return nil
}

// mustPublish reports whether the row must be written even if no tokens move: to list
// this holder, so that the others leave it a share, or to remove it when it closes.
func (f *Flusher) mustPublish(b *bookkeeper.Budget) bool {
	_, listed := b.Holders[f.Pool.Incarnation]
	return listed == f.closing && !f.holder.Fenced
}

// rateChanged reports whether demand has changed enough to be published.
func rateChanged(old, now float64) bool {
	return math.Abs(now-old) > rateThreshold*(now+old)
}

// adjustment returns how many tokens to draw, or to return if negative; written is set
// if the row is written anyway.
func (f *Flusher) adjustment(v BudgetView, written bool) int64 {
	threshold := transferThreshold
	if written {
		threshold = piggybackThreshold
	}
	wanted := f.Policy.WantedHolding(v)
	delta := wanted - v.Held
	if v.Unmet > v.Free {
		return max(delta, v.Unmet-v.Free)
	}
	if delta > 0 && float64(delta) < threshold*float64(wanted) {
		return 0
	}
	if delta < 0 && float64(-delta) < threshold*float64(v.Held) {
		return 0
	}
	return delta
}

// nextHolder returns the holder's row as the flush writes it.
func (f *Flusher) nextHolder(b batch) *bookkeeper.Holder {
	h := *f.holder
	h.FlushNumber++
	h.NextSequence = b.next
	h.OpenSequences = b.open
	h.SuspectedBy = ""
	h.Budgets = slices.Clone(h.Budgets)
	h.Agents = maps.Clone(f.agents)
	if h.Fenced {
		h.SuspectedBy = f.holder.SuspectedBy
	}
	return &h
}

// rowChanged reports whether the holder's row must be written even if no tokens move.
func (f *Flusher) rowChanged(next *bookkeeper.Holder) bool {
	return f.holder.SuspectedBy != next.SuspectedBy || !maps.Equal(f.holder.Agents, next.Agents)
}

// billSum is the sum of the bills of one budget, in tokens.
type billSum struct {
	spent     int64
	uncertain int64
}

func sumBills(bills []framer.Bill) map[string]billSum {
	sums := make(map[string]billSum)
	for _, b := range bills {
		s := sums[b.Organisation]
		s.spent += b.Amount
		s.uncertain += b.Uncertain
		sums[b.Organisation] = s
	}
	return sums
}

func newBudgetView(b *bookkeeper.Budget, self string, s accountState) BudgetView {
	v := BudgetView{Remaining: b.Remaining, Held: b.Holders[self].Held, Unmet: s.unmet, Free: s.free, Rate: s.rate, SlowRate: s.slow, Holders: 1}
	for name, h := range b.Holders {
		if name == self {
			continue
		}
		v.Holders++
		v.OthersHeld += h.Held
		v.OthersRate += h.Rate
		v.OthersSlowRate += h.SlowRate
	}
	return v
}
