package gateway

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/connection/linker"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/spender"
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
	// maxGatheredParts is how many routers a request asks for parts at once.
	maxGatheredParts = 16
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

// loanPart is a part of a request's reservation that another router has lent.
type loanPart struct {
	lender  string
	voucher string
	amount  int64
}

// newVoucher returns a voucher for a request. Clients choose request IDs and may use one twice at once.
func (g *Gateway) newVoucher(q *request) string {
	return g.Incarnation + "/" + strconv.FormatUint(g.loans.Add(1), 10) + "/" + q.ID
}

// borrow reserves amount tokens of one of the lenders for a request and reports whether
// it succeeded.
func (g *Gateway) borrow(ctx context.Context, q *request, organisation string, amount int64, lenders []string) bool {
	voucher := g.newVoucher(q)
	asked := 0
	for _, name := range lenders {
		if asked == maxLenders {
			break
		}
		if g.peers.isSilent(name, time.Now()) {
			g.recordLoan(q, name, framer.LoanSilent)
			continue
		}
		reserved := g.askLoan(ctx, name, framer.Reserve{Voucher: voucher, Organisation: organisation, Amount: amount})
		g.recordLoan(q, name, reserved.Refusal)
		if reserved.Refusal != framer.LoanUnlinked {
			asked++
		}
		if reserved.Part.Amount >= amount {
			q.reserved, q.loans = amount, []loanPart{{lender: name, voucher: voucher, amount: amount}}
			return true
		}
	}
	return false
}

// gather reserves amount tokens for a request in parts, of this router and of others that are asked at
// once, and reports whether they sufficed. Parts that are not needed are given back.
func (g *Gateway) gather(ctx context.Context, q *request, organisation string, amount int64) bool {
	own := g.allocator.ReserveUpTo(organisation, amount)
	var names []string
	if own < amount {
		names = g.gatherFrom(organisation)
	}
	loans, parts := make([]loanPart, len(names)), make([]int64, len(names))
	var wg sync.WaitGroup
	for i, name := range names {
		loans[i] = loanPart{lender: name, voucher: g.newVoucher(q)}
		wg.Go(func() {
			reserved := g.askLoan(ctx, name, framer.Reserve{
				Voucher: loans[i].voucher, Organisation: organisation, Amount: amount - own, Least: max((amount-own)/maxGatheredParts, 1),
			})
			loans[i].amount, parts[i] = reserved.Part.Amount, reserved.Part.Amount
			g.metrics.loans.WithLabelValues(reserved.Refusal.String()).Inc()
		})
	}
	wg.Wait()
	q.offered = own
	for _, part := range parts {
		q.offered += part
	}
	used, ok := spender.Gather(parts, amount-own)
	for i, l := range loans {
		switch {
		case slices.Contains(used, i):
			q.loans = append(q.loans, l)
		case l.amount > 0:
			go g.repay(l.lender, l.voucher, 0)
		}
	}
	if !ok {
		g.allocator.Release(organisation, own)
		return false
	}
	q.reserved, q.reservedOwn = amount, own
	logger.LoansGathered.Log(g.Log, "request", q.ID, "organisation", organisation, "amount", amount, "own", own, "lenders", q.lenders())
	return true
}

// gatherFrom returns the routers to ask for parts: those that told that they have tokens to spare, and
// others in an order that differs by organisation.
func (g *Gateway) gatherFrom(organisation string) []string {
	names, now := g.allocator.Lenders(organisation), time.Now()
	others := g.peers.routers.Live()
	sortByStockScore(organisation, others)
	for _, name := range others {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	names = slices.DeleteFunc(names, func(name string) bool { return g.peers.isSilent(name, now) })
	return names[:min(len(names), maxGatheredParts)]
}

// askLoan asks a router for a loan. If it doesn't answer, the loan is canceled.
func (g *Gateway) askLoan(ctx context.Context, name string, m framer.Reserve) framer.Reserved {
	link := g.peers.routers.Link(name)
	if link == nil {
		return framer.Reserved{Refusal: framer.LoanUnlinked}
	}
	callCtx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	reserved, err := linker.Call[*framer.Reserved](callCtx, link, &m)
	if err == nil {
		g.metrics.movedTokens.WithLabelValues("borrowed").Add(float64(max(reserved.Part.Amount, 0)))
		return *reserved
	}
	g.peers.markSilent(name, time.Now())
	go g.repay(name, m.Voucher, 0) // the lender may have reserved the tokens
	if callCtx.Err() != nil {
		return framer.Reserved{Refusal: framer.LoanTimedOut}
	}
	return framer.Reserved{Refusal: framer.LoanLinkFailed}
}

// recordLoan counts a request for a loan and keeps why it failed for the log.
func (g *Gateway) recordLoan(q *request, lender string, refusal framer.LoanRefusal) {
	g.metrics.loans.WithLabelValues(refusal.String()).Inc()
	if refusal != framer.LoanNotRefused {
		q.loanRefusals = append(q.loanRefusals, lender+":"+refusal.String())
	}
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

// lend handles a peer's request to reserve tokens, which may wait for a draw or a heartbeat.
func (g *Gateway) lend(s *linker.Stream, m *framer.Reserve) {
	ctx, cancel := context.WithTimeout(context.Background(), lendTimeout)
	defer cancel()
	reply := g.allocator.Lend(*m, time.Now())
	until := time.Now().Add(lendTimeout / 2)
	for reply.Part.Amount == 0 && m.Least == 0 && g.allocator.MayLend(m.Organisation, m.Amount, time.Now()) && g.waitForDraw(ctx, until) {
		reply = g.allocator.Lend(*m, time.Now())
	}
	if reply.Part.Amount > 0 {
		g.metrics.movedTokens.WithLabelValues("lent").Add(float64(reply.Part.Amount))
		logger.TokensLent.Log(g.Log, "borrower", s.Peer.Name, "voucher", m.Voucher, "organisation", m.Organisation, "amount", reply.Part.Amount)
	}
	_ = s.Write(&reply) // on failure the borrower sees the stream end
}

// settleLoans settles loans with the costs that a borrower reports.
func (g *Gateway) settleLoans(s *linker.Stream, m *framer.Settle) {
	for _, bill := range m.Bills {
		g.allocator.Repay(bill.RequestID, bill.Amount, time.Now())
	}
	_ = s.Write(&framer.Settled{}) // if the reply is lost, the borrower reports again
}
