package spender

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/process/pauser"
	"github.com/egretroute/egretroute/internal/process/storer"
)

// Errors of reservations.
var (
	// ErrExhausted is returned when what all settled requests have cost leaves
	// no room for the request.
	ErrExhausted = errors.New("the budget is spent")
	// ErrInsufficientHolding is returned when the budget may cover the request, but the
	// tokens are held elsewhere or can't be drawn now.
	ErrInsufficientHolding = errors.New("the budget's tokens are held elsewhere")
)

const (
	// maxCommitRows is how many rows one commit changes, by the platform's page
	// (100 entries, of which each row takes two).
	maxCommitRows = 50
	// maxWatched is how many organisations get a stock before their first request:
	// what one commit can open. Beyond it a first request draws.
	maxWatched = maxCommitRows / 2
	// idleInterval is how often an account without requests is looked at, so that
	// tokens that it needs no more go back.
	idleInterval = 2 * time.Second
	// paceFactor and maxInterval bound the part of the time in which a holder has
	// a commit under way, maxPause the pause after each.
	paceFactor  = 8
	maxInterval = 3 * time.Second
	maxPause    = 500 * time.Millisecond
	// showInterval is how long a holder's figures in a budget's row stay, unless
	// tokens move: some rounds of settlement.
	showInterval = 3 * time.Second
	// freshRow is the age up to which other holders' promises in a row are believed.
	freshRow = 1500 * time.Millisecond
	// commitTries is how many conflicts a flush puts up with.
	commitTries = 6
	// conflictBackoff is the bound of the random pause after a second conflict; it
	// doubles up to maxBackoffSteps times: some commits of a store that answers in 4 ms.
	conflictBackoff = 5 * time.Millisecond
	maxBackoffSteps = 2
)

// StockTable is what a Stocker needs of the platform's table.
type StockTable interface {
	storer.Committer
	// List returns all rows whose keys begin with the name of a table and a part.
	List(ctx context.Context, prefix string) (storer.RowBatch, error)
}

// Allocator holds one incarnation's stocks of all prepaid budgets and keeps them
// filled by conditional commits.
//
// Exported fields are set before Run.
type Allocator struct {
	Table StockTable
	// Router is the name that this process shares with its earlier incarnations,
	// which have ended for certain once this one runs.
	Router      string
	Incarnation string
	// BudgetKey and HoldingKey return the keys of an organisation's budget and of
	// this router's holding of it; HoldingKey("") names all holdings of this router.
	BudgetKey  func(organisation string) string
	HoldingKey func(organisation string) string
	// Heartbeats tells how long ago this and earlier incarnations were in touch.
	Heartbeats *Heartbeater
	// Horizon is the time for which stocks should last.
	Horizon time.Duration
	// Interval is how often settlements are committed.
	Interval time.Duration
	// OnCommit is called after every commit with its outcome.
	OnCommit func(rows int, err error)
	// OnUnreadable is called for a row that can't be decoded.
	OnUnreadable func(organisation string, err error)
	// OnRecovered is called when an earlier incarnation's holding was taken over.
	OnRecovered func(organisation string, spent, returned int64)

	mu       sync.Mutex // guards all below
	accounts map[string]*stockAccount
	// limits are those of all organisations by the newest configuration.
	limits  map[string]int64
	waiters []chan struct{}
	kick    chan struct{}
	// flushing lets one flush run at a time, so that no plan is sent twice at once: a
	// stop closes the stock while the last flush of Run may be under way.
	flushing chan struct{}
	failing  bool
	// batch is how many budgets one commit changes: fewer after each conflict.
	batch int
	// adopted is set once all holdings of earlier incarnations are known.
	adopted bool
	// loans are reservations of other routers, by voucher.
	loans   map[string]loan
	closing bool
}

// Reservation is what a request asks to have set aside.
type Reservation struct {
	Organisation string
	// Limit is the budget by the newest configuration, Amount the most that the
	// request may cost, in tokens.
	Limit  int64
	Amount int64
	// FailedRounds counts the commits and beats that were made for it and did
	// not bring enough.
	FailedRounds int
	// counted is set while the account's need of the round includes it.
	counted bool
	round   uint64
}

// Reserve sets aside the most that a request may cost.
//
// It returns ErrElsewhere if more tokens must be drawn first; the same
// reservation may then be tried again after a Wait.
func (s *Allocator) Reserve(r *Reservation) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(r.Organisation)
	a.limit, a.known = r.Limit, true
	if free := s.free(r.Organisation, a); free >= r.Amount {
		a.busy += r.Amount
		if free < 2*r.Amount {
			s.Heartbeats.Wake() // so that the next request need not wait for a beat
		}
		return nil
	}
	now := time.Now()
	v := a.view(s.Horizon, now)
	if v.Spent+r.Amount > v.Limit || (now.Sub(a.seenAt) < freshRow && !v.Covers(r.Amount)) {
		return ErrExhausted
	}
	if r.counted && r.round != a.round {
		r.FailedRounds++
	}
	if !r.counted || r.round != a.round {
		a.need += r.Amount
		r.counted, r.round = true, a.round
	}
	a.changed = true
	if a.unheld(r.Amount) {
		s.wake()
	} else {
		s.Heartbeats.Wake()
	}
	return ErrInsufficientHolding
}

func (s *Allocator) free(organisation string, a *stockAccount) int64 {
	return a.free(s.Heartbeats.Credit(organisation))
}

// CollectAllowances hands the marks that the next beat should carry to seal, for accounts
// whose mark has to rise. Nothing is reserved until seal returns: what the beat
// doesn't cover must not be promised by what was allowed before.
func (s *Allocator) CollectAllowances(seal func(marks map[string]Allowance)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	marks := make(map[string]Allowance)
	for name, a := range s.accounts {
		if (a.held.Held == 0 || a.inherited) && a.open == nil {
			continue
		}
		v := a.view(s.Horizon, now)
		mark := Allowance{
			Commit: a.held.Commit, Mark: min(a.held.Held, a.spent+StockMark(v, v.Held, s.Heartbeats.Cover())), Slope: StockSlope(v),
		}
		if last := s.Heartbeats.Credit(name).Beaten; last.Commit == mark.Commit {
			mark.Mark, mark.Slope = max(mark.Mark, last.Mark), max(mark.Slope, last.Slope)
		}
		if a.open != nil {
			mark.NextCommit = a.open.commit
			mark.NextMark = min(a.open.held.Held, mark.Mark-a.open.settle)
		}
		if a.open != nil || mark.Mark > a.held.Mark || mark.Slope > a.held.Slope {
			marks[name] = mark
		}
		if !a.unheld(a.need) {
			a.answerNeed(a.need) // the marks cover it
		}
	}
	seal(marks)
}

// HeartbeatConfirmed wakes those that wait for a higher mark.
func (s *Allocator) HeartbeatConfirmed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wakeWaiters()
}

func (s *Allocator) wakeWaiters() {
	for _, ch := range s.waiters {
		close(ch)
	}
	s.waiters = nil
}

// RecordDemand counts what a request asks for, granted or not.
func (s *Allocator) RecordDemand(organisation string, amount int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account(organisation).asked.add(amount, now)
}

// Settle ends a reservation with its cost.
func (s *Allocator) Settle(organisation string, amount, cost int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle(s.account(organisation), amount, cost, now)
}

func (s *Allocator) settle(a *stockAccount, amount, cost int64, now time.Time) {
	a.busy -= amount
	cost = min(max(cost, 0), amount)
	a.spent += cost
	a.cost.add(cost, now)
	a.bound.add(amount, now)
	a.changed = true
}

// SetLimit opens the account of an organisation, so that it has a stock before its
// first request, unless many are open already.
func (s *Allocator) SetLimit(organisation string, limit int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limits == nil {
		s.limits = make(map[string]int64)
	}
	s.limits[organisation] = limit
	a, open := s.accounts[organisation]
	if !open && len(s.accounts) >= maxWatched {
		return
	}
	if !open {
		a = s.account(organisation)
	}
	a.limit, a.known, a.changed = limit, true, true
}

// Wait returns a channel that closes after the next commit, and whether
// commits succeed at the moment.
func (s *Allocator) Wait() (done <-chan struct{}, answering bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ch := make(chan struct{})
	s.waiters = append(s.waiters, ch)
	return ch, !s.failing && !s.Heartbeats.Failing()
}

// Balance describes an account for logs.
type Balance struct {
	Limit int64
	// Spent is what is settled everywhere, as far as known.
	Spent int64
	// Held, Free and Elsewhere are this holder's tokens, those it could reserve,
	// and those of the other holders.
	Held         int64
	Free         int64
	HeldByOthers int64
	// Lenders names routers that could spare tokens, and how many.
	Lenders string
	// RowAge is how old the platform's row is, Silence how long ago the last beat that
	// took effect was made up.
	RowAge         time.Duration
	SinceHeartbeat time.Duration
}

// Balance returns the state of an account.
func (s *Allocator) Balance(organisation string, now time.Time) Balance {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(organisation)
	v := a.view(s.Horizon, now)
	return Balance{
		Limit: a.limit, Spent: v.Spent, Held: a.held.Held, Free: s.free(organisation, a), HeldByOthers: v.OthersHeld,
		Lenders: a.budget.describe(s.Router), RowAge: now.Sub(a.seenAt), SinceHeartbeat: s.Heartbeats.Credit(organisation).BeatenAge,
	}
}

// Run keeps the stocks until ctx ends; then it returns all tokens that are free.
func (s *Allocator) Run(ctx context.Context) {
	if !s.Heartbeats.WaitKnown(ctx) {
		return
	}
	timer := time.NewTimer(s.Interval)
	defer timer.Stop()
	for ctx.Err() == nil {
		urgent := false
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.kicked():
			urgent = true
		}
		begun := time.Now()
		s.adopt(ctx)
		s.flush(ctx, urgent, false)
		took := time.Since(begun)
		if !urgent {
			timer.Reset(s.pace(took))
		}
		pauser.Pause(ctx, min(took, maxPause))
	}
}

// pace returns the time to the next commit: a store that is slow or turns calls
// away gets fewer of them, since commits that wait for each other only take longer.
func (s *Allocator) pace(took time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failing {
		return maxInterval
	}
	return min(max(s.Interval, paceFactor*took), maxInterval)
}

// Close settles and gives back all free tokens again and again, until idle
// reports that no request runs and nothing is left, or ctx ends.
func (s *Allocator) Close(ctx context.Context, idle func() bool) {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	for ctx.Err() == nil {
		last := idle()
		if s.flush(ctx, false, true) && last {
			return
		}
		pauser.Pause(ctx, s.Interval/4)
	}
}

func (s *Allocator) kicked() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.kick == nil {
		s.kick = make(chan struct{}, 1)
	}
	return s.kick
}

// wake asks for a commit at once; the caller holds mu.
func (s *Allocator) wake() {
	if s.kick == nil {
		s.kick = make(chan struct{}, 1)
	}
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// account returns the account of an organisation, made on first use; the caller holds mu.
func (s *Allocator) account(organisation string) *stockAccount {
	a, ok := s.accounts[organisation]
	if !ok {
		a = &stockAccount{
			asked: meter{window: stockWindow}, cost: meter{window: stockWindow}, bound: meter{window: stockWindow},
		}
		a.limit, a.known = s.limits[organisation]
		if s.accounts == nil {
			s.accounts = make(map[string]*stockAccount)
		}
		s.accounts[organisation] = a
	}
	return a
}
