package spender

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/framer"
)

// DefaultDemandWindow is the time over which demand is averaged; a second average over
// four times as long gives the trend.
const DefaultDemandWindow = 5 * time.Minute

// maxCanceledVouchers bounds the number of canceled vouchers that are remembered, since a
// cancellation may arrive before its voucher.
const maxCanceledVouchers = 10_000

// poolAccount is the local state of one budget, in tokens.
type poolAccount struct {
	held       int64 // drawn and committed
	reserved   int64 // amounts of open parts
	spent      int64 // settled or uncertain, not yet committed
	returning  int64 // being returned to the budget row
	unmet      int64 // largest reservation refused since the last flush
	demand     demand
	othersRate float64 // demand of the other holders, tokens per second, as of the last flush
}

// free returns how many tokens a new reservation may take.
func (a *poolAccount) free() int64 {
	return a.held - a.reserved - a.spent - a.returning
}

// openPart is a reservation whose bill has not arrived.
type openPart struct {
	organisation string
	amount       int64
	voucher      string
}

// TokenPool holds the tokens that one incarnation of a router has drawn, by organisation.
type TokenPool struct {
	Incarnation  string
	DemandWindow time.Duration

	mu       sync.Mutex // guards all below; no other lock is taken while it is held
	accounts map[string]*poolAccount
	next     uint64
	open     map[uint64]openPart
	bills    map[uint64]framer.Bill
	vouchers map[string]framer.Part
	canceled map[string]bool
	fenced   bool
}

// NewTokenPool returns an empty pool.
func NewTokenPool(incarnation string) *TokenPool {
	return &TokenPool{
		Incarnation:  incarnation,
		DemandWindow: DefaultDemandWindow,
		accounts:     make(map[string]*poolAccount),
		next:         1,
		open:         make(map[uint64]openPart),
		bills:        make(map[uint64]framer.Bill),
		vouchers:     make(map[string]framer.Part),
		canceled:     make(map[string]bool),
	}
}

// OpenAccounts opens the accounts of organisations, so that flushes draw tokens for them
// before any demand.
func (p *TokenPool) OpenAccounts(organisations []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range organisations {
		p.account(name)
	}
}

// RecordDemand counts the tokens that a request asks for, whether or not they are reserved.
func (p *TokenPool) RecordDemand(organisation string, amount int64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.account(organisation).demand.add(amount, now)
}

// Reserve reserves the whole amount, or returns ErrInsufficientTokens, or ErrFenced once
// the pool is fenced.
func (p *TokenPool) Reserve(organisation string, amount int64) (framer.Part, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fenced {
		return framer.Part{}, ErrFenced
	}
	a := p.account(organisation)
	if a.free() < amount {
		a.unmet = max(a.unmet, amount)
		return framer.Part{}, ErrInsufficientTokens
	}
	return p.reserve(a, openPart{organisation: organisation, amount: amount}), nil
}

// ReserveUpTo reserves as much of the amount as is free; the part may be of zero tokens.
func (p *TokenPool) ReserveUpTo(organisation string, amount int64) framer.Part {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(organisation)
	take := min(amount, a.free())
	if p.fenced || take <= 0 {
		return framer.Part{}
	}
	return p.reserve(a, openPart{organisation: organisation, amount: take})
}

// Lend reserves up to amount under a voucher that another router chose.
//
// A repeated voucher gets the same part, a canceled one a part of zero tokens.
func (p *TokenPool) Lend(voucher, organisation string, amount int64) framer.Part {
	p.mu.Lock()
	defer p.mu.Unlock()
	if part, ok := p.vouchers[voucher]; ok {
		return part
	}
	a := p.account(organisation)
	take := min(amount, a.free())
	if p.fenced || p.canceled[voucher] || take <= 0 {
		return framer.Part{}
	}
	part := p.reserve(a, openPart{organisation: organisation, amount: take, voucher: voucher})
	p.vouchers[voucher] = part
	return part
}

// CancelVoucher settles the part of a voucher at zero tokens and refuses the voucher from
// then on. The voucher must not have been sent to an agent.
func (p *TokenPool) CancelVoucher(voucher string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.canceled) >= maxCanceledVouchers {
		clear(p.canceled)
	}
	p.canceled[voucher] = true
	part, ok := p.vouchers[voucher]
	if ok {
		p.settle(framer.Bill{Sequence: part.Sequence})
	}
}

// Settle closes a part with its bill and reports whether the bill is already in the ledger.
//
// Settling a part again has no effect.
func (p *TokenPool) Settle(bill framer.Bill) (durable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.settle(bill)
}

// Fence refuses all further reservations.
func (p *TokenPool) Fence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fenced = true
}

// Free returns how many tokens of an organisation's budget are free.
func (p *TokenPool) Free(organisation string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.account(organisation).free()
}

// Held returns how many tokens of an organisation's budget the pool holds, reserved or not.
func (p *TokenPool) Held(organisation string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(organisation)
	return a.held - a.spent
}

// NextSequence returns the sequence number of the next part.
func (p *TokenPool) NextSequence() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.next
}

// OldestOpen returns the lowest sequence number of an open part, or NextSequence if none
// is open.
func (p *TokenPool) OldestOpen() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	oldest := p.next
	for seq := range p.open {
		oldest = min(oldest, seq)
	}
	return oldest
}

// Idle reports whether no part is open and all bills are committed.
func (p *TokenPool) Idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.open) == 0 && len(p.bills) == 0
}

// Organisations returns the names of all budgets with an account, sorted.
func (p *TokenPool) Organisations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.accounts))
}

func (p *TokenPool) reserve(a *poolAccount, r openPart) framer.Part {
	seq := p.next
	p.next++
	a.reserved += r.amount
	p.open[seq] = r
	return framer.Part{Payer: p.Incarnation, Sequence: seq, Amount: r.amount}
}

func (p *TokenPool) settle(bill framer.Bill) (durable bool) {
	r, ok := p.open[bill.Sequence]
	if !ok {
		_, uncommitted := p.bills[bill.Sequence]
		return !uncommitted && bill.Sequence < p.next
	}
	bill.Organisation = r.organisation
	bill.Payer = p.Incarnation
	bill.Amount = min(max(bill.Amount, 0), r.amount)
	bill.Uncertain = min(max(bill.Uncertain, 0), r.amount-bill.Amount)
	a := p.account(r.organisation)
	a.reserved -= r.amount
	a.spent += bill.Amount + bill.Uncertain
	delete(p.open, bill.Sequence)
	if r.voucher != "" {
		delete(p.vouchers, r.voucher)
	}
	p.bills[bill.Sequence] = bill
	return false
}

// account returns the account of an organisation, opening it on first use.
func (p *TokenPool) account(organisation string) *poolAccount {
	a, ok := p.accounts[organisation]
	if !ok {
		a = &poolAccount{demand: newDemand(p.DemandWindow)}
		p.accounts[organisation] = a
	}
	return a
}

// batch holds the bills that one flush commits, the next sequence number, and the sequence
// numbers below it whose bills stay uncommitted.
type batch struct {
	next  uint64
	open  []uint64
	bills []framer.Bill
}

// nextBatch collects up to limit uncommitted bills, lowest sequence number first.
func (p *TokenPool) nextBatch(limit int) batch {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := batch{next: p.next, open: slices.Collect(maps.Keys(p.open))}
	for _, seq := range slices.Sorted(maps.Keys(p.bills)) {
		if len(b.bills) < limit {
			b.bills = append(b.bills, p.bills[seq])
			continue
		}
		b.open = append(b.open, seq)
	}
	slices.Sort(b.open)
	return b
}

// withhold marks up to amount of the free tokens as being returned and returns how many.
func (p *TokenPool) withhold(organisation string, amount int64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(organisation)
	take := min(amount, a.free())
	if take <= 0 {
		return 0
	}
	a.returning += take
	return take
}

// cancelReturn makes withheld tokens free again after a commit that did not take effect.
func (p *TokenPool) cancelReturn(organisation string, amount int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.account(organisation).returning -= amount
}

// transfer is the change that a flush makes to one account, besides its bills.
type transfer struct {
	drawn      int64
	returned   int64
	othersRate float64
}

// apply applies a committed flush to the accounts.
func (p *TokenPool) apply(b batch, transfers map[string]transfer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, bill := range b.bills {
		a := p.account(bill.Organisation)
		a.held -= bill.Amount + bill.Uncertain
		a.spent -= bill.Amount + bill.Uncertain
		delete(p.bills, bill.Sequence)
	}
	for organisation, t := range transfers {
		a := p.account(organisation)
		a.held += t.drawn - t.returned
		a.returning -= t.returned
		a.othersRate = t.othersRate
		a.unmet = 0
	}
}

// accountState is a snapshot of one account, in tokens and tokens per second.
type accountState struct {
	unmet int64
	rate  float64
	slow  float64
	free  int64
	held  int64
}

func (p *TokenPool) state(organisation string, now time.Time) accountState {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(organisation)
	fast, slow := a.demand.rates(now)
	return accountState{unmet: a.unmet, rate: fast, slow: slow, free: a.free(), held: a.held - a.spent - a.returning}
}

// CheckBalance returns an error if an account has reserved, spent or withheld more than it
// holds.
func (p *TokenPool) CheckBalance() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, a := range p.accounts {
		if a.free() < 0 {
			return errors.Errorf("account %q has reserved or spent %d tokens more than it holds", name, -a.free())
		}
	}
	return nil
}
