package treasurer

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/framer"
)

// lendTimeout bounds one call to another router.
const lendTimeout = 250 * time.Millisecond

// Reserve sets the whole amount aside, in as few parts as it can, or returns
// ErrExhausted at once when no reachable holder has it.
func (t *Treasurer) Reserve(ctx context.Context, organisation string, amount int64) ([]framer.Part, error) {
	if amount == 0 {
		return nil, nil
	}
	w := t.wallet()
	w.purse.RecordDemand(organisation, amount, time.Now())
	part, err := w.purse.Reserve(organisation, amount)
	if err == nil {
		return []framer.Part{part}, nil
	}
	if t.draw(ctx, organisation) {
		w = t.wallet()
		if part, err = w.purse.Reserve(organisation, amount); err == nil {
			return []framer.Part{part}, nil
		}
		t.dry.mark(organisation, time.Now())
	}
	return t.gatherParts(ctx, w, organisation, amount)
}

// draw waits for a flush that may bring tokens; it reports whether one was made.
func (t *Treasurer) draw(ctx context.Context, organisation string) bool {
	if t.down.Load() || t.dry.marked(organisation, time.Now()) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	t.awaitFlush(ctx)
	return true
}

// gatherParts covers a reservation from this purse and the other routers'.
func (t *Treasurer) gatherParts(ctx context.Context, w *wallet, organisation string, amount int64) ([]framer.Part, error) {
	var parts []framer.Part
	missing := amount
	if p := w.purse.ReserveUpTo(organisation, missing); p.Amount > 0 {
		parts = append(parts, p)
		missing -= p.Amount
	}
	for _, router := range t.Peers.Live() {
		if missing == 0 {
			break
		}
		p := t.borrow(ctx, router, organisation, missing)
		if p.Amount > 0 {
			parts = append(parts, p)
			missing -= p.Amount
		}
	}
	if missing == 0 {
		return parts, nil
	}
	t.Settle(unusedBills(organisation, parts))
	return nil, errors.Wrapf(ErrExhausted, "%d of %d tokens missing", missing, amount)
}

// borrow asks one router for a voucher and cancels it if the answer is lost.
func (t *Treasurer) borrow(ctx context.Context, router, organisation string, amount int64) framer.Part {
	voucher := fmt.Sprintf("%s/%d", t.Incarnation(), t.vouchers.Add(1))
	r := &framer.Reserve{Voucher: voucher, Organisation: organisation, Amount: amount}
	callCtx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	part, err := t.Peers.Lend(callCtx, router, r)
	if err != nil {
		t.outbox.cancelVoucher(router, voucher)
		return framer.Part{}
	}
	return part
}

// Lend serves another router's Reserve.
func (t *Treasurer) Lend(r *framer.Reserve) framer.Part {
	w := t.wallet()
	if r.Cancel {
		t.cancelVoucher(r.Voucher)
		return framer.Part{}
	}
	return w.purse.Lend(r.Voucher, r.Organisation, r.Amount)
}

// cancelVoucher takes a voucher back from whichever wallet lent it.
func (t *Treasurer) cancelVoucher(voucher string) {
	t.mu.Lock()
	wallets := append([]*wallet{t.current}, t.old...)
	t.mu.Unlock()
	for _, w := range wallets {
		w.purse.CancelVoucher(voucher)
	}
}

// unusedBills returns bills of zero tokens, which give reserved parts back.
func unusedBills(organisation string, parts []framer.Part) []framer.Bill {
	bills := make([]framer.Bill, len(parts))
	for i, p := range parts {
		bills[i] = framer.Bill{Organisation: organisation, Payer: p.Payer, Sequence: p.Sequence}
	}
	return bills
}

// Release gives parts back whose request did not run.
func (t *Treasurer) Release(organisation string, parts []framer.Part) {
	t.Settle(unusedBills(organisation, parts))
}
