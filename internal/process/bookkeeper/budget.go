package bookkeeper

import (
	"github.com/pkg/errors"
)

// Errors of budget arithmetic.
var (
	// ErrInsufficient is returned when a movement exceeds the available tokens.
	ErrInsufficient = errors.New("not enough tokens in the budget")
	// ErrUnbalanced is returned when the amounts of a budget do not add up to its limit.
	ErrUnbalanced = errors.New("budget does not add up to its limit")
)

// Holding is the share of a budget that one incarnation of a router holds, in tokens.
type Holding struct {
	Held   int64
	Domain string
	// Rate and SlowRate are the holder's demand, in tokens per second, averaged
	// over a short and a long window.
	Rate     float64
	SlowRate float64
}

// Budget is the durable state of an organisation's prepaid budget, in tokens.
//
// Invariant: Limit = Remaining + Spent + Uncertain + the sum of all holdings.
type Budget struct {
	Organisation string
	Limit        int64
	Remaining    int64
	Spent        int64
	Uncertain    int64
	Holders      map[string]Holding
}

// NewBudget returns a budget with no tokens spent or held.
func NewBudget(organisation string, limit int64) *Budget {
	return &Budget{Organisation: organisation, Limit: limit, Remaining: limit, Holders: make(map[string]Holding)}
}

// Draw moves amount tokens from the remainder to a holder; a negative amount
// returns tokens.
func (b *Budget) Draw(holder, domain string, amount int64) error {
	h := b.Holders[holder]
	if amount > b.Remaining || h.Held+amount < 0 {
		return errors.Wrapf(ErrInsufficient, "draw %d of %d remaining tokens from budget %q", amount, b.Remaining, b.Organisation)
	}
	b.Remaining -= amount
	h.Held += amount
	h.Domain = domain
	b.Holders[holder] = h
	return nil
}

// SetDemand sets the published demand of a holder, in tokens per second.
func (b *Budget) SetDemand(holder string, rate, slowRate float64) {
	h := b.Holders[holder]
	h.Rate, h.SlowRate = rate, slowRate
	b.Holders[holder] = h
}

// Settle moves held tokens of a holder to the spent and uncertain amounts.
func (b *Budget) Settle(holder string, spent, uncertain int64) error {
	if spent == 0 && uncertain == 0 {
		return nil
	}
	h := b.Holders[holder]
	if spent < 0 || uncertain < 0 || spent+uncertain > h.Held {
		return errors.Wrapf(ErrInsufficient, "settle %d+%d of %d held tokens of budget %q", spent, uncertain, h.Held, b.Organisation)
	}
	h.Held -= spent + uncertain
	b.Spent += spent
	b.Uncertain += uncertain
	b.Holders[holder] = h
	return nil
}

// Release moves all but keep of a dead holder's tokens to the remainder and
// returns the amount released.
func (b *Budget) Release(holder string, keep int64) int64 {
	h := b.Holders[holder]
	freed := max(h.Held-keep, 0)
	h.Held -= freed
	b.Remaining += freed
	b.Holders[holder] = h
	b.RemoveIfEmpty(holder)
	return freed
}

// SetLimit raises or lowers the limit. It returns ErrInsufficient if the new limit
// is below the tokens that are held, spent or uncertain.
func (b *Budget) SetLimit(limit int64) error {
	delta := limit - b.Limit
	if b.Remaining+delta < 0 {
		return errors.Wrapf(ErrInsufficient, "budget %q can be lowered by %d at most", b.Organisation, b.Remaining)
	}
	b.Limit = limit
	b.Remaining += delta
	return nil
}

// Held returns the sum of all holdings.
func (b *Budget) Held() int64 {
	var sum int64
	for _, h := range b.Holders {
		sum += h.Held
	}
	return sum
}

// Check returns ErrUnbalanced if tokens were created or lost.
func (b *Budget) Check() error {
	sum := b.Remaining + b.Spent + b.Uncertain + b.Held()
	if sum != b.Limit || b.Remaining < 0 {
		return errors.Wrapf(ErrUnbalanced, "budget %q: limit is %d, amounts add up to %d", b.Organisation, b.Limit, sum)
	}
	return nil
}

// RemoveIfEmpty removes a holder that holds no tokens.
func (b *Budget) RemoveIfEmpty(holder string) {
	if b.Holders[holder].Held == 0 {
		delete(b.Holders, holder)
	}
}
