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
	// ErrElsewhere is returned when the budget may cover the request, but the
	// tokens are held elsewhere or can't be drawn now.
	ErrElsewhere = errors.New("the budget's tokens are held elsewhere")
)

const (
	// maxCommitRows is how many rows one commit changes, by the platform's page
	// (100 entries, of which each row takes two).
	maxCommitRows = 50
	// idleInterval is how often an account without requests is looked at, so that
	// tokens that it needs no more go back.
	idleInterval = 2 * time.Second
	// paceFactor and maxInterval bound the part of the time in which a holder has
	// a commit under way, maxPause the pause after each.
	paceFactor  = 8
	maxInterval = 3 * time.Second
	maxPause    = 500 * time.Millisecond
	// freshRow is the age up to which other holders' promises in a row are believed.
	freshRow = 1500 * time.Millisecond
	// commitTries is how often a commit is tried anew with the rows that it
	// conflicted with.
	commitTries = 4
	// conflictBackoff is the bound of the random pause before a third try; it
	// doubles with each one: some commits of a store that answers in 4 ms.
	conflictBackoff = 5 * time.Millisecond
)

// Stocker holds one incarnation's stocks of all prepaid budgets and keeps them
// filled by conditional commits.
//
// Exported fields are set before Run.
type Stocker struct {
	Table storer.Committer
	// Router is the name that this process shares with its earlier incarnations,
	// which have ended for certain once this one runs.
	Router      string
	Incarnation string
	// Prefix is the prefix of the rows' keys.
	Prefix string
	// Beats tells how long ago this and earlier incarnations were in touch.
	Beats *Beater
	// Horizon is the time for which stocks should last.
	Horizon time.Duration
	// Interval is how often settlements are committed.
	Interval time.Duration
	// Committed is called after every commit with its outcome.
	Committed func(rows int, err error)
	// Unreadable is called for a row that can't be decoded.
	Unreadable func(organisation string, err error)
	// Recovered is called when an earlier incarnation's holding was taken over.
	Recovered func(organisation string, spent, returned int64)

	mu       sync.Mutex // guards all below
	accounts map[string]*stockAccount
	waiters  []chan struct{}
	kick     chan struct{}
	failing  bool
	// loans are reservations of other routers, by voucher.
	loans   map[string]loan
	closing bool
}

// Reserve sets aside the most that a request may cost.
//
// limit is the budget by the newest configuration. It returns ErrElsewhere if
// more tokens must be drawn first.
func (s *Stocker) Reserve(organisation string, limit, amount int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(organisation)
	a.limit = limit
	return s.reserve(organisation, a, amount)
}

func (s *Stocker) reserve(organisation string, a *stockAccount, amount int64) error {
	if free := s.free(organisation, a); free >= amount {
		a.busy += amount
		if free < 2*amount {
			s.Beats.Wake() // so that the next request need not wait for a beat
		}
		return nil
	}
	now := time.Now()
	v := a.view(s.Incarnation, s.Horizon, now)
	if v.Spent+amount > v.Limit || (now.Sub(a.seenAt) < freshRow && !v.Covers(amount)) {
		return ErrExhausted
	}
	a.need += amount
	a.changed = true
	if a.unheld(amount) {
		s.wake()
	} else {
		s.Beats.Wake()
	}
	return ErrElsewhere
}

func (s *Stocker) free(organisation string, a *stockAccount) int64 {
	return a.free(s.Beats.Credit(organisation))
}

// Marks hands the marks that the next beat should carry to seal, for accounts
// whose mark has to rise. Nothing is reserved until seal returns: what the beat
// doesn't cover must not be promised by what was allowed before.
func (s *Stocker) Marks(seal func(marks map[string]BeatMark)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	marks := make(map[string]BeatMark)
	for name, a := range s.accounts {
		if a.held.Held == 0 && a.open == nil {
			continue
		}
		v := a.view(s.Incarnation, s.Horizon, now)
		mark := BeatMark{
			Commit: a.held.Commit, Mark: min(a.held.Held, a.spent+StockMark(v, v.Held, s.Beats.Renewal())), Slope: StockSlope(v),
		}
		if last := s.Beats.Credit(name).Beaten; last.Commit == mark.Commit {
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
			a.need = 0 // the marks cover it
		}
	}
	seal(marks)
}

// Beaten wakes those that wait for a higher mark.
func (s *Stocker) Beaten() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wakeWaiters()
}

func (s *Stocker) wakeWaiters() {
	for _, ch := range s.waiters {
		close(ch)
	}
	s.waiters = nil
}

// Demand counts what a request asks for, granted or not.
func (s *Stocker) Demand(organisation string, amount int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account(organisation).asked.add(amount, now)
}

// Settle ends a reservation with its cost.
func (s *Stocker) Settle(organisation string, amount, cost int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle(s.account(organisation), amount, cost, now)
}

func (s *Stocker) settle(a *stockAccount, amount, cost int64, now time.Time) {
	a.busy -= amount
	cost = min(max(cost, 0), amount)
	a.spent += cost
	a.cost.add(cost, now)
	a.bound.add(amount, now)
	a.changed = true
}

// Watch opens the account of an organisation, so that it has a stock before its
// first request.
func (s *Stocker) Watch(organisation string, limit int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(organisation)
	a.limit = limit
	a.changed = true
}

// Wait returns a channel that closes after the next commit, and whether
// commits succeed at the moment.
func (s *Stocker) Wait() (done <-chan struct{}, answering bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ch := make(chan struct{})
	s.waiters = append(s.waiters, ch)
	return ch, !s.failing && !s.Beats.Failing()
}

// Balance describes an account for logs.
type Balance struct {
	Limit int64
	// Spent is what is settled everywhere, as far as known.
	Spent int64
	// Held, Free and Elsewhere are this holder's tokens, those it could reserve,
	// and those of the other holders.
	Held      int64
	Free      int64
	Elsewhere int64
	// Holders names the others that hold tokens, with held and busy ones.
	Holders string
	// Age is how old the platform's row is.
	Age time.Duration
}

// Balance returns the state of an account.
func (s *Stocker) Balance(organisation string, now time.Time) Balance {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(organisation)
	return Balance{
		Limit: a.limit, Spent: a.row.Spent + a.spent, Held: a.held.Held, Free: s.free(organisation, a),
		Elsewhere: a.row.heldByOthers(s.Incarnation), Holders: a.row.describe(s.Incarnation), Age: now.Sub(a.seenAt),
	}
}

// Run keeps the stocks until ctx ends; then it returns all tokens that are free.
func (s *Stocker) Run(ctx context.Context) {
	if !s.Beats.WaitKnown(ctx) {
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
func (s *Stocker) pace(took time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failing {
		return maxInterval
	}
	return min(max(s.Interval, paceFactor*took), maxInterval)
}

// Close settles and gives back all free tokens again and again, until idle
// reports that no request runs and nothing is left, or ctx ends.
func (s *Stocker) Close(ctx context.Context, idle func() bool) {
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

func (s *Stocker) kicked() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.kick == nil {
		s.kick = make(chan struct{}, 1)
	}
	return s.kick
}

// wake asks for a commit at once; the caller holds mu.
func (s *Stocker) wake() {
	if s.kick == nil {
		s.kick = make(chan struct{}, 1)
	}
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// account returns the account of an organisation, made on first use; the caller holds mu.
func (s *Stocker) account(organisation string) *stockAccount {
	a, ok := s.accounts[organisation]
	if !ok {
		a = &stockAccount{
			asked: meter{window: stockWindow}, cost: meter{window: stockWindow}, bound: meter{window: stockWindow},
		}
		if s.accounts == nil {
			s.accounts = make(map[string]*stockAccount)
		}
		s.accounts[organisation] = a
	}
	return a
}
