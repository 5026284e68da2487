package gateway

import (
	"context"
	"time"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/connection/linker"
	"github.com/egretroute/egretroute/internal/process/logger"
)

const (
	// maxLenders is how many routers are asked for tokens.
	maxLenders = 3
	// lendTimeout bounds one question: many times a round trip between domains.
	lendTimeout = 150 * time.Millisecond
	// repayTries and repayPause bound the report of a loan's cost; a loan that is
	// never reported counts as spent whole.
	repayTries = 5
	repayPause = 500 * time.Millisecond
)

// borrow reserves the cost of a request from another router's tokens.
func (g *Gateway) borrow(ctx context.Context, q *request, organisation string, amount int64) bool {
	voucher := g.Incarnation + "/" + q.ID
	lenders := g.stock.Lenders(organisation)
	if len(lenders) == 0 {
		lenders = g.peers.routers.Live() // a router that has just started knows no lenders yet
	}
	for i, name := range lenders {
		if i == maxLenders {
			break
		}
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
			// The lender may have reserved; it waits for the cost in vain then.
			go g.repay(name, voucher, 0)
		}
	}
	return false
}

// repay tells a lender what a request cost.
func (g *Gateway) repay(name, voucher string, cost int64) {
	for range repayTries {
		if link := g.peers.routers.Link(name); link != nil {
			ctx, cancel := context.WithTimeout(context.Background(), repayPause)
			_, err := linker.Call[*framer.Settled](ctx, link, &framer.Settle{Bills: []framer.Bill{{RequestID: voucher, Amount: cost}}})
			cancel()
			if err == nil {
				return
			}
		}
		time.Sleep(repayPause)
	}
	logger.LoanUnreported.Log(g.Log, "lender", name, "voucher", voucher, "cost", cost)
}

// lend answers a router that asks for tokens.
func (g *Gateway) lend(s *linker.Stream, m *framer.Reserve) {
	reply := &framer.Reserved{}
	ctx, cancel := context.WithTimeout(context.Background(), lendTimeout)
	defer cancel()
	lent := g.stock.Lend(m.Voucher, m.Organisation, m.Amount, time.Now())
	if !lent && g.waitForDraw(ctx, time.Now().Add(lendTimeout/2)) {
		lent = g.stock.Lend(m.Voucher, m.Organisation, m.Amount, time.Now())
	}
	if lent {
		reply.Part.Amount = m.Amount
		logger.TokensLent.Log(g.Log, "borrower", s.Peer.Name, "voucher", m.Voucher, "organisation", m.Organisation, "amount", m.Amount)
	}
	_ = s.Write(reply) // the borrower sees the stream end
}

// settleLoans takes the cost of requests that ran on this router's tokens.
func (g *Gateway) settleLoans(s *linker.Stream, m *framer.Settle) {
	for _, bill := range m.Bills {
		g.stock.Repay(bill.RequestID, bill.Amount, time.Now())
	}
	_ = s.Write(&framer.Settled{}) // the borrower tries again if it is lost
}
