package treasurer

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/framer"
)

const (
	outboxInterval = 200 * time.Millisecond
	outboxTimeout  = time.Second
	// maxOutboxBills is the maximum number of bills in one call.
	maxOutboxBills = 500
)

// outbox sends bills of borrowed parts to their payers and voucher cancellations
// to lenders, and retries until they are acknowledged.
type outbox struct {
	treasurer *Treasurer

	mu      sync.Mutex               // guards all below
	bills   map[string][]framer.Bill // by payer
	cancels map[string][]string      // vouchers by router
}

func (o *outbox) addBill(b framer.Bill) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.bills == nil {
		o.bills = make(map[string][]framer.Bill)
	}
	o.bills[b.Payer] = append(o.bills[b.Payer], b)
}

func (o *outbox) addCancel(router, voucher string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.cancels == nil {
		o.cancels = make(map[string][]string)
	}
	o.cancels[router] = append(o.cancels[router], voucher)
}

// run sends queued bills and cancellations periodically until ctx ends.
func (o *outbox) run(ctx context.Context) {
	ticker := time.NewTicker(outboxInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		o.send(ctx)
	}
}

// send attempts once to deliver every queued bill and cancellation.
func (o *outbox) send(ctx context.Context) {
	bills, cancels := o.takeAll()
	for payer, list := range bills {
		o.sendBills(ctx, payer, list)
	}
	for router, vouchers := range cancels {
		for _, v := range vouchers {
			o.sendCancel(ctx, router, v)
		}
	}
}

func (o *outbox) takeAll() (bills map[string][]framer.Bill, cancels map[string][]string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	bills, cancels = o.bills, o.cancels
	o.bills, o.cancels = nil, nil
	return bills, cancels
}

func (o *outbox) sendBills(ctx context.Context, payer string, list []framer.Bill) {
	for len(list) > 0 {
		n := min(len(list), maxOutboxBills)
		callCtx, cancel := context.WithTimeout(ctx, outboxTimeout)
		_, err := o.treasurer.Peers.ReturnBills(callCtx, payer, list[:n])
		cancel()
		if errors.Is(err, ErrNoPayer) {
			return // the agents hand the bills to the router that recovers the payer
		}
		if err != nil {
			for _, b := range list {
				o.addBill(b)
			}
			return
		}
		list = list[n:]
	}
}

func (o *outbox) sendCancel(ctx context.Context, router, voucher string) {
	callCtx, cancel := context.WithTimeout(ctx, outboxTimeout)
	defer cancel()
	_, err := o.treasurer.Peers.Lend(callCtx, router, &framer.Reserve{Voucher: voucher, Cancel: true})
	if err != nil {
		o.addCancel(router, voucher)
	}
}

// empty reports whether no bill or cancellation is queued.
func (o *outbox) empty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.bills) == 0 && len(o.cancels) == 0
}
