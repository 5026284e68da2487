package spender

import (
	"time"

	"github.com/egretroute/egretroute/internal/connection/framer"
)

// loanLifetime is how long a lender waits for the cost of a loan before it counts
// the whole loan as spent. It is longer than any request may take.
const loanLifetime = 2 * time.Minute

// cancelLifetime is how long a request for a loan may arrive after its cancellation: longer than a
// call may take.
const cancelLifetime = 5 * time.Second

// loan is a reservation made for a request of another router.
type loan struct {
	organisation string
	amount       int64
	expires      time.Time
}

// Lend reserves tokens for a request of another router: the whole amount, or what is free of it if
// that is at least m.Least. A repeated voucher reserves nothing more. After a refusal that MayLend, the
// next commit or heartbeat may bring what the loan lacks, so that a second call succeeds.
func (a *Allocator) Lend(m framer.Reserve, now time.Time) framer.Reserved {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expireLoans(now)
	if l, ok := a.loans[m.Voucher]; ok {
		return framer.Reserved{Part: framer.Part{Amount: l.amount}}
	}
	_, canceled := a.canceledLoans[m.Voucher]
	_, known := a.limits[m.Organisation]
	switch {
	case a.closing:
		return framer.Reserved{Refusal: framer.LoanClosing}
	case canceled:
		return framer.Reserved{Refusal: framer.LoanCanceled}
	case !known || m.Amount <= 0:
		return framer.Reserved{Refusal: framer.LoanUnknownBudget}
	}
	amount, refusal := a.lendable(m, now)
	if refusal != framer.LoanNotRefused {
		return framer.Reserved{Refusal: refusal}
	}
	a.account(m.Organisation).reserved += amount
	if a.loans == nil {
		a.loans = make(map[string]loan)
	}
	a.loans[m.Voucher] = loan{organisation: m.Organisation, amount: amount, expires: now.Add(loanLifetime)}
	return framer.Reserved{Part: framer.Part{Amount: amount}}
}

// lendable returns how much can be lent now, or why nothing can; it requests the commit or heartbeat
// that may bring what the loan lacks. a.mu must be held.
func (a *Allocator) lendable(m framer.Reserve, now time.Time) (int64, framer.LoanRefusal) {
	acct, amount := a.account(m.Organisation), m.Amount
	if acct.holdsForOthers() && m.Least == 0 {
		// Demand that reaches this router by way of others.
		acct.addDemand(amount, now)
	}
	free := a.free(m.Organisation, acct)
	short := acct.exceedsHolding(amount)
	switch {
	case free >= amount:
		return amount, framer.LoanNotRefused
	case m.Least > 0 && free >= m.Least:
		return free, framer.LoanNotRefused
	case !acct.inherited && !short:
		acct.unmet += amount
		a.Heartbeats.Wake() // a higher allowance may cover the loan when it is requested again
		return 0, framer.LoanAllowance
	case acct.holdsForOthers() && acct.view(a.Horizon, now).undrawn() >= amount:
		acct.unmet += amount
		acct.changed = true
		a.wake()
	}
	if acct.inherited {
		return 0, framer.LoanInherited
	}
	return 0, framer.LoanShort
}

// MayLend reports whether a loan that Lend has refused may be granted after the next commit or
// heartbeat.
func (a *Allocator) MayLend(organisation string, amount int64, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	acct, ok := a.accounts[organisation]
	if !ok || a.closing {
		return false
	}
	return acct.inherited || !acct.exceedsHolding(amount) || (acct.unmet > 0 && acct.view(a.Horizon, now).undrawn() >= amount)
}

// Repay settles a loan at the cost of its request. An unknown voucher is refused from then on, as its
// request for a loan may arrive late.
func (a *Allocator) Repay(voucher string, cost int64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expireLoans(now)
	l, ok := a.loans[voucher]
	if !ok {
		if a.canceledLoans == nil {
			a.canceledLoans = make(map[string]time.Time)
		}
		a.canceledLoans[voucher] = now.Add(cancelLifetime)
		return
	}
	delete(a.loans, voucher)
	a.settle(a.account(l.organisation), l.amount, cost, now)
}

// expireLoans settles expired loans, whose cost was not reported, at their full amount, and forgets
// cancellations.
func (a *Allocator) expireLoans(now time.Time) {
	for voucher, l := range a.loans {
		if now.After(l.expires) {
			delete(a.loans, voucher)
			a.settle(a.account(l.organisation), l.amount, l.amount, now)
		}
	}
	for voucher, expires := range a.canceledLoans {
		if now.After(expires) {
			delete(a.canceledLoans, voucher)
		}
	}
}

// ReserveUpTo reserves as much of an amount as is free and returns how much that is.
func (a *Allocator) ReserveUpTo(organisation string, amount int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	acct := a.account(organisation)
	part := max(min(amount, a.free(organisation, acct)), 0)
	acct.reserved += part
	return part
}

// Release ends a reservation that was not used.
func (a *Allocator) Release(organisation string, amount int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	acct := a.account(organisation)
	acct.reserved -= amount
	acct.changed = true
}

// Lenders returns the other routers that may have tokens of an organisation to lend,
// in descending order of spare tokens.
func (a *Allocator) Lenders(organisation string) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var names []string
	for _, l := range a.account(organisation).budget.Lenders {
		if l.Router != a.Router {
			names = append(names, l.Router)
		}
	}
	return names
}
