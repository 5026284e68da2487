package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/spender"
)

const (
	// drawTimeout is how long a request waits for tokens to be drawn: long enough for
	// several commits of a store that replies.
	drawTimeout = time.Second
	// maxDrawRounds is how many commits may fail to cover a request before it tries to
	// borrow from other routers. The first commit may only raise an allowance.
	maxDrawRounds = 3
	// maxConfigurationAge is the time since the last reply of the configuration's
	// change feed up to which a budget counts as exhausted. Beyond it the budget may
	// have been raised without this router's knowledge.
	maxConfigurationAge = 2500 * time.Millisecond
	// budgetRetryAfter is when tokens held by other routers may have been returned:
	// after two settlement intervals.
	budgetRetryAfter = 2 * settlementInterval
)

// reserve reserves the maximum cost of the request in the organisation's budget, from
// this router's holding or from another router's.
func (g *Gateway) reserve(ctx context.Context, q *request) *refusal {
	if q.organisation == nil || !q.organisation.HasBudget {
		return nil
	}
	name, amount := q.organisation.Name, q.PromptTokens+q.MaxOutputTokens
	if amount == 0 {
		return nil
	}
	g.allocator.RecordDemand(name, amount, q.startedAt)
	reservation := &spender.Reservation{Organisation: name, Limit: q.organisation.Budget, Amount: amount}
	reservation.HeldOnly = !g.shortages.Search(name, amount, time.Now())
	err := g.reserveTokens(ctx, q, reservation)
	switch {
	case err == nil:
		g.shortages.Found(name, amount)
		return nil
	case errors.Is(err, spender.ErrInsufficientHolding) && reservation.HeldOnly:
		return &refusal{status: http.StatusServiceUnavailable, reason: "budget held elsewhere, as found for another request", retryAfter: budgetRetryAfter}
	case errors.Is(err, spender.ErrInsufficientHolding):
		g.shortages.Missing(name, amount, time.Now())
	}
	balance := g.allocator.Balance(name, time.Now())
	logger.BudgetRefused.Log(g.Log, "request", q.ID, "organisation", name, "amount", amount, "limit", balance.Limit,
		"spent", balance.Spent, "held", balance.Held, "free", balance.Free, "elsewhere", balance.HeldByOthers, "lenders", balance.Lenders, "loans", strings.Join(q.loanRefusals, ","), "offered", q.offered, "rowAge", balance.RowAge, "silence", balance.SinceHeartbeat, "error", err)
	if errors.Is(err, spender.ErrExhausted) && g.feedAge(g.Schema.ConfigurationTable) < maxConfigurationAge {
		return &refusal{status: http.StatusPaymentRequired, reason: "budget spent"}
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: "budget held elsewhere", retryAfter: budgetRetryAfter}
}

// reserveTokens reserves the tokens of a reservation in this router's holding, after a draw if
// needed, or another router's.
func (g *Gateway) reserveTokens(ctx context.Context, q *request, r *spender.Reservation) error {
	if r.HeldOnly {
		return g.reserveDrawn(ctx, q, r)
	}
	if g.allocator.Borrows(r.Organisation, q.startedAt) {
		// A draw would leave tokens here that this router's next request may need much later.
		if g.allocator.ReserveHeld(r.Organisation, r.Amount) {
			q.reserved, q.reservedOwn = r.Amount, r.Amount
			return nil
		}
		if g.borrow(ctx, q, r.Organisation, r.Amount, g.stockHolders(r.Organisation)) {
			return nil
		}
	}
	err := g.reserveDrawn(ctx, q, r)
	if !errors.Is(err, spender.ErrInsufficientHolding) {
		return err
	}
	if g.borrow(ctx, q, r.Organisation, r.Amount, g.lenders(r.Organisation)) || (g.sharesStocks() && g.gather(ctx, q, r.Organisation, r.Amount)) {
		return nil
	}
	return err
}

// reserveDrawn reserves the tokens of a reservation in this router's holding, and waits for draws
// unless it may not draw.
func (g *Gateway) reserveDrawn(ctx context.Context, q *request, r *spender.Reservation) error {
	waitUntil := q.startedAt.Add(min(drawTimeout, q.deadline.Sub(q.startedAt)/3))
	err := g.allocator.Reserve(r)
	for !r.HeldOnly && errors.Is(err, spender.ErrInsufficientHolding) && r.FailedRounds < maxDrawRounds && g.waitForDraw(ctx, waitUntil) {
		err = g.allocator.Reserve(r)
	}
	if err == nil {
		q.reserved, q.reservedOwn = r.Amount, r.Amount
	}
	return err
}

// waitForDraw waits for the next commit and reports whether to try the reservation
// again.
func (g *Gateway) waitForDraw(ctx context.Context, until time.Time) bool {
	done, healthy := g.allocator.Wait()
	left := time.Until(until)
	if !healthy || left <= 0 {
		return false
	}
	waitFor(ctx, done, until)
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// settle ends the reservation with the cost of the request: the tokens of its prompt,
// charged once, and of the delivered events, or nothing if no target can have run it.
func (g *Gateway) settle(q *request) {
	if q.reserved == 0 {
		return
	}
	cost := int64(0)
	if q.mayHaveRun {
		eventTokens := int64(1)
		if q.service.Engine != nil {
			eventTokens = q.service.Engine.TokensPerEvent
		}
		cost = q.PromptTokens + min(q.deliveredEvents*eventTokens, q.MaxOutputTokens)
	}
	q.cost = cost
	parts := []int64{q.reservedOwn}
	for _, l := range q.loans {
		parts = append(parts, l.amount)
	}
	costs := spender.SplitCost(parts, cost)
	for i, l := range q.loans {
		go g.repay(l.lender, l.voucher, costs[i+1])
	}
	if q.reservedOwn > 0 {
		g.allocator.Settle(q.organisation.Name, q.reservedOwn, costs[0], time.Now())
	}
}

// lenders lists the routers whose tokens a request runs on.
func (q *request) lenders() string {
	names := make([]string, len(q.loans))
	for i, l := range q.loans {
		names[i] = l.lender
	}
	return strings.Join(names, ",")
}
