// Package treasurer pays for requests with tokens that this router holds, draws
// from the platform, or borrows from other routers.
//
// # Usage
//
//	t := &treasurer.Treasurer{Table: table, Router: "router-1", Policy: policy, Interval: time.Second, Peers: peers, Log: log}
//	t.Start(ctx)
//	parts, err := t.Reserve(ctx, "alpha", 700)
//	if errors.Is(err, treasurer.ErrExhausted) {
//		// neither this router nor the reachable ones can cover the request
//	}
//	t.Settle(bills)
//
// A request may be paid in parts by several routers. A borrowed part stays with
// its lender: the borrower spends it under a voucher and sends the bill to the
// lender, so tokens move between routers only through the platform.
//
// Lock order: Treasurer.mu before Flusher.mu before TokenPool.mu.
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
	// drawTimeout bounds the time that a request waits for a draw.
	drawTimeout = 400 * time.Millisecond
	// exhaustedPause is the time for which requests don't wait for a draw after the
	// platform had no tokens left of the budget.
	exhaustedPause = 500 * time.Millisecond
	// reviewInterval is the time between two reviews of all budgets held.
	reviewInterval = 2 * time.Second
	// closeInterval sets the time between two attempts to close an incarnation,
	// which is a fifth of it.
	closeInterval = time.Second
)

// ErrExhausted is returned when this router and the reachable ones can't cover a
// reservation together.
var ErrExhausted = errors.New("the budget does not cover the request")

// PeerClient calls the other routers.
type PeerClient interface {
	// Live returns the names of the reachable routers.
	Live() []string
	// Lend asks a router to lend up to the requested amount under a voucher, or to
	// cancel the voucher.
	Lend(ctx context.Context, router string, r *framer.Reserve) (framer.Part, error)
	// ReturnBills sends bills of borrowed parts to the router whose incarnation is payer.
	//
	// It returns the sequences that are in the ledger, or ErrNoPayer if no router
	// is known to run that incarnation.
	ReturnBills(ctx context.Context, payer string, bills []framer.Bill) ([]uint64, error)
}

// ErrNoPayer is returned by a PeerClient when no router is known to run the
// payer's incarnation.
var ErrNoPayer = errors.New("no router is known to run the payer's incarnation")

// incarnationState holds the token pool and flusher of one incarnation.
type incarnationState struct {
	pool    *spender.TokenPool
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
	// OnDurable is called with the bills that a flush has committed to the ledger.
	OnDurable func(bills []framer.Bill)
	// OnNewIncarnation is called when a new incarnation has replaced a fenced one.
	OnNewIncarnation func(incarnation string)

	mu       sync.Mutex // guards current, previous and accounts
	current  *incarnationState
	previous []*incarnationState // fenced, with bills or tokens left to commit

	accounts     []string // organisations whose account every new token pool opens
	agents       agentSet
	outbox       outbox
	wake         chan *flushWaiter
	vouchers     atomic.Uint64
	exhausted    exhaustedBudgets
	flushFailing atomic.Bool // whether the last flush failed
}

// NewIncarnation returns a unique name of the form NAME@RANDOM for an incarnation of a
// process; routers also use it for request IDs.
func NewIncarnation(name string) string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	return name + "@" + hex.EncodeToString(b[:])
}

// Start starts the first incarnation and flushes in the background until ctx ends.
//
// Until the platform has accepted its row, the incarnation holds no tokens and
// every request is paid with vouchers of other routers.
func (t *Treasurer) Start(ctx context.Context) {
	t.wake = make(chan *flushWaiter, 256)
	t.outbox.treasurer = t
	t.current = t.newState()
	go t.flushLoop(ctx)
	go t.outbox.run(ctx)
}

// newState returns the state of a new incarnation, with an empty token pool.
func (t *Treasurer) newState() *incarnationState {
	pool := spender.NewTokenPool(NewIncarnation(t.Router))
	return &incarnationState{pool: pool, flusher: &spender.Flusher{
		Pool: pool, Table: t.Table, Policy: t.Policy, Router: t.Router, Domain: t.Domain, Address: t.Address,
		OnDurable: t.OnDurable, ReviewInterval: reviewInterval,
	}}
}

// register creates the row of a new incarnation and retries until it succeeds.
func (t *Treasurer) register(ctx context.Context, s *incarnationState) {
	for ctx.Err() == nil {
		agents := t.agents.desired(s.pool.NextSequence())
		err := s.flusher.Register(ctx, agents)
		t.logFlushState(err)
		if err == nil {
			t.agents.setCommitted(agents)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(t.Interval):
		}
	}
}

// OpenAccounts makes this router hold a share of these budgets before any demand,
// because a partition may start before the first request.
func (t *Treasurer) OpenAccounts(organisations []string) {
	t.mu.Lock()
	t.accounts = organisations
	t.current.pool.OpenAccounts(organisations)
	t.mu.Unlock()
	t.requestFlush()
}

// HeldBudgetCount returns the number of budgets of which this router holds tokens.
func (t *Treasurer) HeldBudgetCount() int {
	pool, n := t.currentState().pool, 0
	for _, name := range pool.Organisations() {
		if pool.Held(name) > 0 {
			n++
		}
	}
	return n
}

// Incarnation returns the incarnation under which new reservations are made.
func (t *Treasurer) Incarnation() string {
	return t.currentState().pool.Incarnation
}

func (t *Treasurer) currentState() *incarnationState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// findState returns the state of an incarnation, or nil if it is not one of this
// router's.
func (t *Treasurer) findState(incarnation string) *incarnationState {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current.pool.Incarnation == incarnation {
		return t.current
	}
	for _, s := range t.previous {
		if s.pool.Incarnation == incarnation {
			return s
		}
	}
	return nil
}

// Settle closes parts with their bills; bills of other payers are sent to them.
//
// It returns the sequences of this router's own parts that are in the ledger.
func (t *Treasurer) Settle(bills []framer.Bill) []uint64 {
	var durable []uint64
	for _, b := range bills {
		s := t.findState(b.Payer)
		if s == nil {
			t.outbox.addBill(b)
			continue
		}
		if s.pool.Settle(b) {
			durable = append(durable, b.Sequence)
		}
	}
	return durable
}

// Owns reports whether an incarnation belongs to this router and still settles
// bills.
func (t *Treasurer) Owns(incarnation string) bool {
	return t.findState(incarnation) != nil
}

// AgentUp adds an agent's incarnation to those that the holder's row lists.
func (t *Treasurer) AgentUp(target, incarnation string) {
	t.agents.setCurrent(target, incarnation, t.currentState().pool.NextSequence())
	t.requestFlush()
}

// AgentDraining records that an agent's incarnation takes no new work.
func (t *Treasurer) AgentDraining(incarnation string) {
	t.agents.drain(incarnation, t.currentState().pool.NextSequence())
}

// AgentListed reports whether the holder's row lists an agent's incarnation, so
// that tokens may be spent there.
func (t *Treasurer) AgentListed(incarnation string) bool {
	return t.agents.isListed(incarnation)
}

// Registered reports whether the current incarnation has a row and may therefore
// hold tokens. Until then every request is paid with vouchers.
func (t *Treasurer) Registered() bool {
	_, ok := t.currentState().flusher.Holder()
	return ok
}

// Stop returns all tokens and closes the incarnations; it retries until ctx ends.
func (t *Treasurer) Stop(ctx context.Context) error {
	for !t.outbox.empty() && ctx.Err() == nil {
		t.outbox.send(ctx)
		time.Sleep(outboxInterval / 4)
	}
	t.mu.Lock()
	states := append([]*incarnationState{t.current}, t.previous...)
	t.mu.Unlock()
	var err error
	for _, s := range states {
		err = t.closeState(ctx, s)
	}
	return err
}

func (t *Treasurer) closeState(ctx context.Context, s *incarnationState) error {
	for {
		err := s.flusher.Close(ctx, time.Now())
		if err == nil || errors.Is(err, spender.ErrFenced) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "close incarnation")
		case <-time.After(closeInterval / 5):
		}
	}
}

// startNewIncarnation replaces the current incarnation, which has been fenced, by
// a new one.
func (t *Treasurer) startNewIncarnation(ctx context.Context, fenced *incarnationState) {
	logger.IncarnationFenced.Log(t.Log, "incarnation", fenced.pool.Incarnation)
	t.agents.reset()
	s := t.newState()
	t.mu.Lock()
	t.previous = append(t.previous, t.current)
	t.current = s
	s.pool.OpenAccounts(t.accounts)
	t.mu.Unlock()
	t.register(ctx, s)
	if t.OnNewIncarnation != nil {
		t.OnNewIncarnation(s.pool.Incarnation)
	}
}
