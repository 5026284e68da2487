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

// Reserve reserves the whole amount, in as few parts as possible.
//
// It waits for one draw at most, and returns ErrExhausted if this router and the
// reachable ones can't cover the amount together.
func (t *Treasurer) Reserve(ctx context.Context, organisation string, amount int64) ([]framer.Part, error) {
	if amount == 0 {
		return nil, nil
	}
	s := t.currentState()
	s.pool.RecordDemand(organisation, amount, time.Now())
	part, err := s.pool.Reserve(organisation, amount)
	if err == nil {
		return []framer.Part{part}, nil
	}
	if t.waitForDraw(ctx, organisation) {
		s = t.currentState()
		if part, err = s.pool.Reserve(organisation, amount); err == nil {
			return []framer.Part{part}, nil
		}
		t.exhausted.add(organisation, time.Now())
	}
	return t.gatherParts(ctx, s, organisation, amount)
}

// waitForDraw waits for a flush that may draw tokens, and reports whether it
// requested one. It requests none while flushes fail or the budget is exhausted.
func (t *Treasurer) waitForDraw(ctx context.Context, organisation string) bool {
	if t.flushFailing.Load() || t.exhausted.contains(organisation, time.Now()) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	t.awaitFlush(ctx)
	return true
}

// gatherParts covers a reservation from this router's token pool and those of
// the other routers.
func (t *Treasurer) gatherParts(ctx context.Context, s *incarnationState, organisation string, amount int64) ([]framer.Part, error) {
	var parts []framer.Part
	missing := amount
	if p := s.pool.ReserveUpTo(organisation, missing); p.Amount > 0 {
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

// borrow asks one router for a voucher and cancels it if no reply arrives.
func (t *Treasurer) borrow(ctx context.Context, router, organisation string, amount int64) framer.Part {
	voucher := fmt.Sprintf("%s/%d", t.Incarnation(), t.vouchers.Add(1))
	r := &framer.Reserve{Voucher: voucher, Organisation: organisation, Amount: amount}
	callCtx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	part, err := t.Peers.Lend(callCtx, router, r)
	if err != nil {
		t.outbox.addCancel(router, voucher)
		return framer.Part{}
	}
	return part
}

// Lend handles a Reserve message of another router: it lends tokens under a
// voucher, or cancels one.
func (t *Treasurer) Lend(r *framer.Reserve) framer.Part {
	s := t.currentState()
	if r.Cancel {
		t.cancelVoucher(r.Voucher)
		return framer.Part{}
	}
	return s.pool.Lend(r.Voucher, r.Organisation, r.Amount)
}

// cancelVoucher cancels a voucher in the token pools of all incarnations, since
// any of them may have lent it.
func (t *Treasurer) cancelVoucher(voucher string) {
	t.mu.Lock()
	states := append([]*incarnationState{t.current}, t.previous...)
	t.mu.Unlock()
	for _, s := range states {
		s.pool.CancelVoucher(voucher)
	}
}

// unusedBills returns bills of zero tokens, which release reserved parts.
func unusedBills(organisation string, parts []framer.Part) []framer.Bill {
	bills := make([]framer.Bill, len(parts))
	for i, p := range parts {
		bills[i] = framer.Bill{Organisation: organisation, Payer: p.Payer, Sequence: p.Sequence}
	}
	return bills
}

// Release releases the parts of a request that did not run.
func (t *Treasurer) Release(organisation string, parts []framer.Part) {
	t.Settle(unusedBills(organisation, parts))
}
