package spender

import "time"

// loanLifetime is how long a lender waits for the cost of a loan before it counts
// the whole loan as spent: longer than any request may take.
const loanLifetime = 2 * time.Minute

// loan is a reservation that another router uses.
type loan struct {
	organisation string
	amount       int64
	until        time.Time
}

// Lend reserves tokens for a request of another router; a repeated voucher
// changes nothing. A refusal may turn into a loan after the next beat.
func (s *Allocator) Lend(voucher, organisation string, amount int64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.loans[voucher]; ok {
		return true
	}
	a, ok := s.accounts[organisation]
	if !ok || amount <= 0 || s.closing || a.inherited || a.unheld(amount) {
		return false
	}
	if s.free(organisation, a) < amount {
		a.need += amount
		s.Heartbeats.Wake() // a higher mark may cover the loan when it is asked for again
		return false
	}
	s.expireLoans(now)
	a.busy += amount
	if s.loans == nil {
		s.loans = make(map[string]loan)
	}
	s.loans[voucher] = loan{organisation: organisation, amount: amount, until: now.Add(loanLifetime)}
	return true
}

// Repay ends a loan with what the request cost.
func (s *Allocator) Repay(voucher string, cost int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.loans[voucher]
	if !ok {
		return
	}
	delete(s.loans, voucher)
	s.settle(s.account(l.organisation), l.amount, cost, now)
}

// expireLoans counts loans as spent whose cost never came.
func (s *Allocator) expireLoans(now time.Time) {
	for voucher, l := range s.loans {
		if now.After(l.until) {
			delete(s.loans, voucher)
			s.settle(s.account(l.organisation), l.amount, l.amount, now)
		}
	}
}

// Lenders returns the routers that may have tokens of an organisation to lend,
// those with the most first.
func (s *Allocator) Lenders(organisation string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for _, l := range s.account(organisation).budget.Lenders {
		if l.Router != s.Router {
			names = append(names, l.Router)
		}
	}
	return names
}
