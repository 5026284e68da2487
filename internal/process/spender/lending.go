package spender

import "time"

// loanLifetime is how long a lender waits for the cost of a loan before it counts
// the whole loan as spent. It is longer than any request may take.
const loanLifetime = 2 * time.Minute

// loan is a reservation made for a request of another router.
type loan struct {
	organisation string
	amount       int64
	expires      time.Time
}

// Lend reserves tokens for a request of another router and reports whether they are
// reserved; a repeated voucher reserves nothing more. After a refusal the next heartbeat
// may raise the allowance, so that a second call succeeds.
func (a *Allocator) Lend(voucher, organisation string, amount int64, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.loans[voucher]; ok {
		return true
	}
	if _, known := a.limits[organisation]; !known || amount <= 0 || a.closing {
		return false
	}
	acct := a.account(organisation)
	if acct.holdsForOthers() {
		// Demand that reaches this router by way of others.
		acct.requested.add(amount, now)
		acct.arrivals.add(1, now)
	}
	if acct.inherited || acct.exceedsHolding(amount) {
		if acct.holdsForOthers() && acct.view(a.Horizon, now).undrawn() >= amount {
			acct.unmet += amount
			acct.changed = true
			a.wake()
		}
		return false
	}
	if a.free(organisation, acct) < amount {
		acct.unmet += amount
		a.Heartbeats.Wake() // a higher allowance may cover the loan when it is requested again
		return false
	}
	a.expireLoans(now)
	acct.reserved += amount
	if a.loans == nil {
		a.loans = make(map[string]loan)
	}
	a.loans[voucher] = loan{organisation: organisation, amount: amount, expires: now.Add(loanLifetime)}
	return true
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

// Repay settles a loan at the cost of its request; an unknown voucher is ignored.
func (a *Allocator) Repay(voucher string, cost int64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l, ok := a.loans[voucher]
	if !ok {
		return
	}
	delete(a.loans, voucher)
	a.settle(a.account(l.organisation), l.amount, cost, now)
}

// expireLoans settles expired loans, whose cost was not reported, at their full amount.
func (a *Allocator) expireLoans(now time.Time) {
	for voucher, l := range a.loans {
		if now.After(l.expires) {
			delete(a.loans, voucher)
			a.settle(a.account(l.organisation), l.amount, l.amount, now)
		}
	}
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
