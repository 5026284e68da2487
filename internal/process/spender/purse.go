package spender

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/framer"
)

// DefaultDemandWindow is the time over which demand is averaged; a second
// average, over four times as long, shows the trend.
const DefaultDemandWindow = 5 * time.Minute

// maxCanceledVouchers bounds the memory of cancellations that overtook their voucher.
const maxCanceledVouchers = 10_000

// account is the purse's view of one budget, in tokens.
type account struct {
	held     int64 // drawn, as committed
	reserved int64 // promised to running requests
	spent    int64 // settled or uncertain, not yet committed
	escrow   int64 // on its way back to the row
	need     int64 // asked for in vain since the last flush
	demand   demand
	others   float64 // demand of the other holders, tokens a second, as of the last flush
}

// free returns what a new reservation may take.
func (a *account) free() int64 {
	return a.held - a.reserved - a.spent - a.escrow
}

// reservation is an open part.
type reservation struct {
	organisation string
	amount       int64
	voucher      string
}

// TokenPool holds the tokens of one incarnation of a router.
type TokenPool struct {
	Incarnation  string
	DemandWindow time.Duration

	mu       sync.Mutex // guards all below; taken with no other lock held inside
	accounts map[string]*account
	next     uint64
	open     map[uint64]reservation
	bills    map[uint64]framer.Bill
	vouchers map[string]framer.Part
	canceled map[string]bool
	fenced   bool
}

// NewTokenPool returns an empty purse.
func NewTokenPool(incarnation string) *TokenPool {
	return &TokenPool{
		Incarnation:  incarnation,
		DemandWindow: DefaultDemandWindow,
		accounts:     make(map[string]*account),
		next:         1,
		open:         make(map[uint64]reservation),
		bills:        make(map[uint64]framer.Bill),
		vouchers:     make(map[string]framer.Part),
		canceled:     make(map[string]bool),
	}
}

// OpenAccounts opens accounts, so that flushes look after them before any demand.
func (p *TokenPool) OpenAccounts(organisations []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range organisations {
		p.account(name)
	}
}

// RecordDemand counts tokens that a request asks for, granted or not.
func (p *TokenPool) RecordDemand(organisation string, amount int64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.account(organisation).demand.add(amount, now)
}

// Reserve sets aside the whole amount, or returns ErrNoMoney.
func (p *TokenPool) Reserve(organisation string, amount int64) (framer.Part, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fenced {
		return framer.Part{}, ErrFenced
	}
	a := p.account(organisation)
	if a.free() < amount {
		a.need = max(a.need, amount)
		return framer.Part{}, ErrNoMoney
	}
	return p.reserve(a, reservation{organisation: organisation, amount: amount}), nil
}

// ReserveUpTo sets aside as much of the amount as is free; the part may be of zero tokens.
func (p *TokenPool) ReserveUpTo(organisation string, amount int64) framer.Part {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(organisation)
	take := min(amount, a.free())
	if p.fenced || take <= 0 {
		return framer.Part{}
	}
	return p.reserve(a, reservation{organisation: organisation, amount: take})
}

// Lend sets aside up to amount under a voucher that another router chose.
//
// A repeated voucher gets the same part, and a canceled one gets nothing.
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
	part := p.reserve(a, reservation{organisation: organisation, amount: take, voucher: voucher})
	p.vouchers[voucher] = part
	return part
}

// CancelVoucher takes back a voucher that was never handed to an agent.
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

// Settle closes a part with its bill and reports whether the bill is in the ledger already.
//
// Settling a part again changes nothing.
func (p *TokenPool) Settle(bill framer.Bill) (durable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.settle(bill)
}

// Fence stops all reservations.
func (p *TokenPool) Fence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fenced = true
}

// Free returns what is free of an organisation's budget, in tokens.
func (p *TokenPool) Free(organisation string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.account(organisation).free()
}

// Held returns what the purse holds of an organisation's budget, reserved or not.
func (p *TokenPool) Held(organisation string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(organisation)
	return a.held - a.spent
}

// NextSequence returns the sequence that the next part will have.
func (p *TokenPool) NextSequence() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.next
}

// OldestOpen returns the lowest sequence that is open, or Next if none is.
func (p *TokenPool) OldestOpen() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	oldest := p.next
	for seq := range p.open {
		oldest = min(oldest, seq)
	}
	return oldest
}

// Idle reports whether no part is open and no bill waits for a commit.
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

func (p *TokenPool) reserve(a *account, r reservation) framer.Part {
	seq := p.next
	p.next++
	a.reserved += r.amount
	p.open[seq] = r
	return framer.Part{Payer: p.Incarnation, Sequence: seq, Amount: r.amount}
}

func (p *TokenPool) settle(bill framer.Bill) (durable bool) {
	r, ok := p.open[bill.Sequence]
	if !ok {
		_, waiting := p.bills[bill.Sequence]
		return !waiting && bill.Sequence < p.next
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

// account returns the account of an organisation, made on first use.
func (p *TokenPool) account(organisation string) *account {
	a, ok := p.accounts[organisation]
	if !ok {
		a = &account{demand: newDemand(p.DemandWindow)}
		p.accounts[organisation] = a
	}
	return a
}

// batch is what one flush commits.
type batch struct {
	next  uint64
	open  []uint64
	bills []framer.Bill
}

// begin collects the bills that wait, at most limit of them.
func (p *TokenPool) begin(limit int) batch {
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

// setAside moves up to amount of the free tokens to escrow and returns how many.
func (p *TokenPool) setAside(organisation string, amount int64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(organisation)
	take := min(amount, a.free())
	if take <= 0 {
		return 0
	}
	a.escrow += take
	return take
}

// restore takes escrowed tokens back after a commit that did not take effect.
func (p *TokenPool) restore(organisation string, amount int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.account(organisation).escrow -= amount
}

// movement is what a committed flush changed in one account.
type movement struct {
	drawn    int64
	returned int64
	others   float64
}

// apply takes over the effects of a committed flush.
func (p *TokenPool) apply(b batch, moved map[string]movement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, bill := range b.bills {
		a := p.account(bill.Organisation)
		a.held -= bill.Amount + bill.Uncertain
		a.spent -= bill.Amount + bill.Uncertain
		delete(p.bills, bill.Sequence)
	}
	for organisation, m := range moved {
		a := p.account(organisation)
		a.held += m.drawn - m.returned
		a.escrow -= m.returned
		a.others = m.others
		a.need = 0
	}
}

// wants describes one account to a flush.
type wants struct {
	need int64
	rate float64
	slow float64
	free int64
	held int64
}

func (p *TokenPool) wants(organisation string, now time.Time) wants {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(organisation)
	fast, slow := a.demand.value(now)
	return wants{need: a.need, rate: fast, slow: slow, free: a.free(), held: a.held - a.spent - a.escrow}
}

// CheckBalance returns an error if an account holds less than it has promised.
func (p *TokenPool) CheckBalance() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, a := range p.accounts {
		if a.free() < 0 {
			return errors.Errorf("account %q has promised %d tokens more than it holds", name, -a.free())
		}
	}
	return nil
}
