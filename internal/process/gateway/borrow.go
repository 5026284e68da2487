package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/connection/linker"
	"github.com/egretroute/egretroute/internal/process/logger"
)

const (
	// maxLenders is how many routers a request may try to borrow from.
	maxLenders = 3
	// lendTimeout bounds one Reserve call to a lender: many times a round trip
	// between domains.
	lendTimeout = 150 * time.Millisecond
	// lenderPause is how long a lender that did not answer is not asked: its host may be frozen
	// or cut off long before the link to it counts as down.
	lenderPause = 2 * time.Second
	// repayAttempts and repayInterval bound the retries of reporting a loan's cost to
	// the lender, which counts a loan that is never reported as spent in full.
	repayAttempts = 5
	repayInterval = 500 * time.Millisecond
)

// lenders returns the routers that may have tokens of an organisation to spare.
func (g *Gateway) lenders(organisation string) []string {
	if lenders := g.allocator.Lenders(organisation); len(lenders) > 0 {
		return lenders
	}
	return g.peers.routers.Live() // a router that has just started knows no lenders yet
}

// borrow reserves amount tokens of one of the lenders for a request and reports whether
// it succeeded.
func (g *Gateway) borrow(ctx context.Context, q *request, organisation string, amount int64, lenders []string) bool {
	// Clients choose request IDs and may use one twice at once.
	voucher := g.Incarnation + "/" + strconv.FormatUint(g.loans.Add(1), 10) + "/" + q.ID
	asked := 0
	for _, name := range lenders {
		if asked == maxLenders {
			break
		}
		if g.peers.isSilent(name, time.Now()) {
			continue
		}
		asked++
		link := g.peers.routers.Link(name)
		if link == nil {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, lendTimeout)
		reserved, err := linker.Call[*framer.Reserved](callCtx, link, &framer.Reserve{
			Voucher: voucher, Organisation: organisation, Amount: amount,
		})
		cancel()
		if err == nil && reserved.Part.Amount >= amount {
			q.reserved, q.lender, q.voucher = amount, name, voucher
			return true
		}
		if err != nil {
			g.peers.markSilent(name, time.Now())
			// The lender may have reserved the tokens; the report releases them.
			go g.repay(name, voucher, 0)
		}
	}
	return false
}

// repay reports the cost of a borrowed reservation to its lender.
func (g *Gateway) repay(name, voucher string, cost int64) {
	for range repayAttempts {
		if link := g.peers.routers.Link(name); link != nil {
			ctx, cancel := context.WithTimeout(context.Background(), repayInterval)
			_, err := linker.Call[*framer.Settled](ctx, link, &framer.Settle{Bills: []framer.Bill{{RequestID: voucher, Amount: cost}}})
			cancel()
			if err == nil {
				return
			}
		}
		time.Sleep(repayInterval)
	}
	logger.LoanUnreported.Log(g.Log, "lender", name, "voucher", voucher, "cost", cost)
}

// lend handles a peer's request to reserve tokens, which may wait for one draw.
func (g *Gateway) lend(s *linker.Stream, m *framer.Reserve) {
	reply := &framer.Reserved{}
	ctx, cancel := context.WithTimeout(context.Background(), lendTimeout)
	defer cancel()
	lent := g.allocator.Lend(m.Voucher, m.Organisation, m.Amount, time.Now())
	if !lent && g.allocator.MayLend(m.Organisation, m.Amount, time.Now()) && g.waitForDraw(ctx, time.Now().Add(lendTimeout/2)) {
		lent = g.allocator.Lend(m.Voucher, m.Organisation, m.Amount, time.Now())
	}
	if lent {
		reply.Part.Amount = m.Amount
		logger.TokensLent.Log(g.Log, "borrower", s.Peer.Name, "voucher", m.Voucher, "organisation", m.Organisation, "amount", m.Amount)
	}
	_ = s.Write(reply) // on failure the borrower sees the stream end
}

// settleLoans settles loans with the costs that a borrower reports.
func (g *Gateway) settleLoans(s *linker.Stream, m *framer.Settle) {
	for _, bill := range m.Bills {
		g.allocator.Repay(bill.RequestID, bill.Amount, time.Now())
	}
	_ = s.Write(&framer.Settled{}) // if the reply is lost, the borrower reports again
}
