// Package treasurer pays for requests from the tokens that this router holds,
// that the platform still has, or that other routers hold.
//
// # Usage
//
//	t := &treasurer.Treasurer{Table: table, Router: "router-1", Policy: policy, Peers: peers}
//	err := t.Start(ctx)
//	parts, err := t.Reserve(ctx, "alpha", 700)
//	if errors.Is(err, treasurer.ErrExhausted) {
//		// nothing on this side of any cut covers the request
//	}
//	t.Settle(bills)
//
// A request may be paid in parts by several routers. A borrowed part stays with
// its lender: the borrower spends it under a voucher and sends the bill back,
// so no tokens change hands outside the platform.
//
// Lock order: Treasurer.mu before Flusher.mu before Purse.mu.
package treasurer

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/spender"
	"github.com/egretroute/egretroute/internal/process/storer"
)

const (
	// drawTimeout bounds the wait of one request for a draw.
	drawTimeout = 400 * time.Millisecond
	// dryPause is how long a budget found empty at the platform is not asked again.
	dryPause = 500 * time.Millisecond
	// reviewEvery is the time between two looks at every budget held.
	reviewEvery = 2 * time.Second
	// walletCloseInterval is the time between two tries to settle an old wallet.
	walletCloseInterval = time.Second
)

// ErrExhausted is returned when no reachable holder covers a reservation.
var ErrExhausted = errors.New("the budget does not cover the request")

// PeerClient reaches the other routers.
type PeerClient interface {
	// Live returns the names of the routers that answer.
	Live() []string
	// Lend asks a router for a voucher of up to amount tokens.
	Lend(ctx context.Context, router string, r *framer.Reserve) (framer.Part, error)
	// ReturnBills sends bills of borrowed parts to the router whose incarnation is payer.
	//
	// It returns the sequences that are in the ledger, and ErrNoPayer if that
	// incarnation is gone.
	ReturnBills(ctx context.Context, payer string, bills []framer.Bill) ([]uint64, error)
}

// ErrNoPayer is returned by a Lender when the payer's incarnation is gone.
var ErrNoPayer = errors.New("the payer is gone")

// wallet is the purse and flusher of one incarnation.
type wallet struct {
	purse   *spender.TokenPool
	flusher *spender.Flusher
}

// Treasurer pays for the requests of one router.
//
// Exported fields are set before Start.
type Treasurer struct {
	Table    storer.Table
	Policy   spender.Policy
	Router   string
	Domain   string
	Address  string
	Interval time.Duration
	Peers    PeerClient
	Log      *slog.Logger
	// OnDurable is called with the bills that a flush has put into the ledger.
	OnDurable func(bills []framer.Bill)
	// OnNewIncarnation is called when a new incarnation has begun.
	OnNewIncarnation func(incarnation string)

	mu      sync.Mutex // guards current and old
	current *wallet
	old     []*wallet

	watched  []string // guarded by mu
	agents   agentSet
	outbox   outbox
	kick     chan *flushWaiter
	vouchers atomic.Uint64
	dry      dryList
	down     atomic.Bool // the last flush failed
}

// NewIncarnation returns a fresh name for one start of a process.
func NewIncarnation(name string) string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	return name + "@" + hex.EncodeToString(b[:])
}

// Start begins a first incarnation and flushes until ctx ends.
//
// While the platform does not answer, the incarnation holds nothing, and every
// request is paid with vouchers of other routers.
func (t *Treasurer) Start(ctx context.Context) {
	t.kick = make(chan *flushWaiter, 256)
	t.outbox.treasurer = t
	t.current = t.newWallet()
	go t.flushLoop(ctx)
	go t.outbox.run(ctx)
}

// newWallet returns the empty wallet of a new incarnation.
func (t *Treasurer) newWallet() *wallet {
	purse := spender.NewTokenPool(NewIncarnation(t.Router))
	return &wallet{purse: purse, flusher: &spender.Flusher{
		Pool: purse, Table: t.Table, Policy: t.Policy, Router: t.Router, Domain: t.Domain, Address: t.Address,
		OnDurable: t.OnDurable, ReviewInterval: reviewEvery,
	}}
}

// register creates the row of a new incarnation, trying until the platform answers.
func (t *Treasurer) register(ctx context.Context, w *wallet) {
	for ctx.Err() == nil {
		named := t.agents.wanted(w.purse.NextSequence())
		err := w.flusher.Register(ctx, named)
		t.note(err)
		if err == nil {
			t.agents.recorded(named)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(t.Interval):
		}
	}
}

// OpenAccounts has this router hold a share of these budgets even before any demand,
// for a cut may come before the first request.
func (t *Treasurer) OpenAccounts(organisations []string) {
	t.mu.Lock()
	t.watched = organisations
	t.current.purse.OpenAccounts(organisations)
	t.mu.Unlock()
	t.requestFlush()
}

// HeldBudgetCount returns of how many budgets this router holds tokens.
func (t *Treasurer) HeldBudgetCount() int {
	purse, n := t.wallet().purse, 0
	for _, name := range purse.Organisations() {
		if purse.Held(name) > 0 {
			n++
		}
	}
	return n
}

// Incarnation returns the incarnation that new reservations are made under.
func (t *Treasurer) Incarnation() string {
	return t.wallet().purse.Incarnation
}

func (t *Treasurer) wallet() *wallet {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// find returns the wallet of an incarnation, or nil.
func (t *Treasurer) find(incarnation string) *wallet {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current.purse.Incarnation == incarnation {
		return t.current
	}
	for _, w := range t.old {
		if w.purse.Incarnation == incarnation {
			return w
		}
	}
	return nil
}

// Settle closes parts with their bills; those of other payers are sent to them.
//
// It returns the sequences, of this router's own parts, that are in the ledger.
func (t *Treasurer) Settle(bills []framer.Bill) []uint64 {
	var durable []uint64
	for _, b := range bills {
		w := t.find(b.Payer)
		if w == nil {
			t.outbox.add(b)
			continue
		}
		if w.purse.Settle(b) {
			durable = append(durable, b.Sequence)
		}
	}
	return durable
}

// Owns reports whether an incarnation is one of this router's that still settles.
func (t *Treasurer) Owns(incarnation string) bool {
	return t.find(incarnation) != nil
}

// AgentUp has the holder's row name an agent's incarnation.
func (t *Treasurer) AgentUp(target, incarnation string) {
	t.agents.add(target, incarnation, t.wallet().purse.NextSequence())
	t.requestFlush()
}

// AgentDraining notes that an agent's incarnation takes no new work.
func (t *Treasurer) AgentDraining(incarnation string) {
	t.agents.gone(incarnation, t.wallet().purse.NextSequence())
}

// AgentListed reports whether the holder's row names an agent's incarnation, so that
// tokens may be spent there.
func (t *Treasurer) AgentListed(incarnation string) bool {
	return t.agents.named(incarnation)
}

// Registered reports whether the current incarnation has a row, and so may
// hold tokens. Until then everything is paid with vouchers.
func (t *Treasurer) Registered() bool {
	_, ok := t.wallet().flusher.Holder()
	return ok
}

// Stop returns all tokens and closes the incarnations; it tries until ctx ends.
func (t *Treasurer) Stop(ctx context.Context) error {
	for !t.outbox.empty() && ctx.Err() == nil {
		t.outbox.send(ctx)
		time.Sleep(outboxInterval / 4)
	}
	t.mu.Lock()
	wallets := append([]*wallet{t.current}, t.old...)
	t.mu.Unlock()
	var err error
	for _, w := range wallets {
		err = t.closeWallet(ctx, w)
	}
	return err
}

func (t *Treasurer) closeWallet(ctx context.Context, w *wallet) error {
	for {
		err := w.flusher.Close(ctx, time.Now())
		if err == nil || errors.Is(err, spender.ErrFenced) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "close incarnation")
		case <-time.After(walletCloseInterval / 5):
		}
	}
}

// renew begins a new incarnation after the current one was fenced.
func (t *Treasurer) renew(ctx context.Context, fenced *wallet) {
	logger.IncarnationFenced.Log(t.Log, "incarnation", fenced.purse.Incarnation)
	t.agents.renew()
	w := t.newWallet()
	t.mu.Lock()
	t.old = append(t.old, t.current)
	t.current = w
	w.purse.OpenAccounts(t.watched)
	t.mu.Unlock()
	t.register(ctx, w)
	if t.OnNewIncarnation != nil {
		t.OnNewIncarnation(w.purse.Incarnation)
	}
}
