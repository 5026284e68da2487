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

// plan is a commit that has been made up from rows just read.
type plan struct {
	batch  batch
	moved  map[string]movement
	holder *bookkeeper.Holder
	commit storer.Commit
}

// plan reads the budget rows concerned and makes up the commit; nil means there is nothing to do.
func (f *Flusher) plan(ctx context.Context, now time.Time) (*plan, error) {
	b := f.Pool.begin(maxBillsPerFlush)
	names := f.concerned(b, now)
	rows, err := f.readBudgets(ctx, names)
	if err != nil {
		return nil, err
	}
	b.bills = slices.DeleteFunc(b.bills, func(bill framer.Bill) bool { return f.holder.InLedger(bill.Sequence) })
	b.open = slices.DeleteFunc(b.open, f.holder.InLedger)
	p := &plan{batch: b, moved: make(map[string]movement), holder: f.nextHolder(b)}
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

// chargedBills returns the bills that are not of zero tokens; those only close
// their part, which the holder's row records.
func chargedBills(bills []framer.Bill) []framer.Bill {
	return slices.DeleteFunc(slices.Clone(bills), func(b framer.Bill) bool { return b.Amount+b.Uncertain == 0 })
}

// concerned returns the budgets that this flush looks at, sorted.
func (f *Flusher) concerned(b batch, now time.Time) []string {
	set := make(map[string]bool)
	for _, bill := range b.bills {
		set[bill.Organisation] = true
	}
	review := now.Sub(f.lastReview) >= f.ReviewInterval
	if review {
		f.lastReview = now
	}
	for _, name := range f.Pool.Organisations() {
		w := f.Pool.wants(name, now)
		if w.need > 0 || review {
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

// planBudget settles, draws or returns tokens of one budget.
func (f *Flusher) planBudget(p *plan, name string, row storer.Row, bill billSum, now time.Time) error {
	budget, err := bookkeeper.DecodeBudget(row.Value)
	if err != nil {
		return err
	}
	self := f.Pool.Incarnation
	if err := budget.Settle(self, bill.spent, bill.uncertain); err != nil {
		return err
	}
	w := f.Pool.wants(name, now)
	v := viewOf(budget, self, w)
	m := movement{others: v.OthersRate}
	switch delta := f.adjustment(v, bill.spent > 0); {
	case delta > 0 && !f.holder.Fenced:
		m.drawn = min(delta, budget.Remaining)
	case delta < 0:
		m.returned = f.Pool.setAside(name, -delta)
	}
	p.moved[name] = m
	moved := m.drawn + m.returned + bill.spent + bill.uncertain
	if moved == 0 && !rateMoved(budget.Holders[self].Rate, w.rate) && !f.mustShow(budget) {
		return nil
	}
	if err := budget.Draw(self, f.Domain, m.drawn-m.returned); err != nil {
		return err
	}
	budget.SetDemand(self, w.rate, w.slow)
	if f.closing {
		budget.RemoveIfEmpty(self)
	}
	p.commit.Update(bookkeeper.BudgetKey(name), row.Version, bookkeeper.EncodeBudget(budget))
	if !slices.Contains(p.holder.Budgets, name) {
		p.holder.Budgets = append(p.holder.Budgets, name)
	}
	return nil
}

// mustShow reports whether the row has to be written only to say that this
// holder is there, so that the others leave it a share, or that it is gone.
func (f *Flusher) mustShow(b *bookkeeper.Budget) bool {
	_, shown := b.Holders[f.Pool.Incarnation]
	return shown == f.closing && !f.holder.Fenced
}

// rateMoved reports whether demand has changed enough for the others to know.
func rateMoved(old, now float64) bool {
	return math.Abs(now-old) > rateThreshold*(now+old)
}

// adjustment returns how many tokens to draw, or to return if negative; written
// tells that the row is written anyway.
func (f *Flusher) adjustment(v View, written bool) int64 {
	threshold := moveThreshold
	if written {
		threshold = freeThreshold
	}
	target := f.Policy.Target(v)
	delta := target - v.Held
	if v.Need > v.Free {
		return max(delta, v.Need-v.Free)
	}
	if delta > 0 && float64(delta) < threshold*float64(target) {
		return 0
	}
	if delta < 0 && float64(-delta) < threshold*float64(v.Held) {
		return 0
	}
	return delta
}

// nextHolder returns the holder's row as it will be after a flush.
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

// rowChanged reports whether a flush without money is still worth a commit.
func (f *Flusher) rowChanged(next *bookkeeper.Holder) bool {
	return f.holder.SuspectedBy != next.SuspectedBy || !maps.Equal(f.holder.Agents, next.Agents)
}

// billSum adds up the bills of one budget, in tokens.
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

func viewOf(b *bookkeeper.Budget, self string, w wants) View {
	v := View{Remaining: b.Remaining, Held: b.Holders[self].Held, Need: w.need, Free: w.free, Rate: w.rate, SlowRate: w.slow, Holders: 1}
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
