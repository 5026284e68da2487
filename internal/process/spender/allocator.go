package spender

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/process/pauser"
	"github.com/egretroute/egretroute/internal/process/storer"
)

// Errors of Allocator.Reserve.
var (
	// ErrExhausted is returned when the budget does not cover the request, given the cost
	// of settled requests and the expected cost of running ones.
	ErrExhausted = errors.New("budget is exhausted")
	// ErrInsufficientHolding is returned when the budget may cover the request, but its
	// tokens are held by other routers or can't be drawn now.
	ErrInsufficientHolding = errors.New("router's holding does not cover the reservation")
)

const (
	// maxCommitRows is how many rows one commit may change: the platform allows 100 entries
	// in a commit, and each row takes two.
	maxCommitRows = 50
	// maxPreopened is how many organisations get a holding before their first request: as
	// many as one commit can open. For further organisations the first request draws.
	maxPreopened = maxCommitRows / 2
	// idleInterval is how often an account without requests is considered, so that it
	// returns tokens that it no longer needs.
	idleInterval = 2 * time.Second
	// intervalFactor is the least ratio of the interval between flushes to the duration of
	// the last one, up to maxInterval: it bounds the share of time in which a holder has a
	// commit in flight. maxPause bounds the pause after each flush.
	intervalFactor = 8
	maxInterval    = 3 * time.Second
	maxPause       = 500 * time.Millisecond
	// briefOutage is how long the store may have failed while requests still wait for tokens.
	briefOutage = 500 * time.Millisecond
	// failurePause is the least pause after a flush that failed. A refusal may take no time, and
	// each request that waits for tokens requests a flush.
	failurePause = 50 * time.Millisecond
	// publishInterval is the least time between two updates of a holder's figures in a
	// budget's row, unless tokens move: a few settlement intervals.
	publishInterval = 3 * time.Second
	// maxRowAge is the age up to which other holders' reservations in a row are trusted.
	maxRowAge = 1500 * time.Millisecond
	// maxConflicts is how many conflicts end the flush of a scope.
	maxConflicts = 6
	// conflictBackoff bounds the random pause after the second and later conflicts. It
	// doubles with each conflict, at most maxBackoffSteps times, to the duration of a few
	// commits of a store that replies in 4 ms.
	conflictBackoff = 5 * time.Millisecond
	maxBackoffSteps = 2
)

// HoldingTable is the part of the platform's table that an Allocator uses.
type HoldingTable interface {
	storer.Committer
	// List returns all rows whose keys begin with prefix: the name of a table and a part.
	List(ctx context.Context, prefix string) (storer.RowBatch, error)
}

// Allocator reserves tokens for requests from one incarnation's holdings of all prepaid
// budgets, and keeps the holdings filled by conditional commits.
//
// Exported fields are set before Run.
type Allocator struct {
	Table HoldingTable
	// Router is the name that this process shares with its earlier incarnations, which
	// have certainly ended once this one runs.
	Router      string
	Incarnation string
	// BudgetKey and HoldingKey return the keys of an organisation's budget and of
	// this router's holding of it; HoldingKey("") is the key prefix of all of them.
	BudgetKey  func(organisation string) string
	HoldingKey func(organisation string) string
	// Heartbeats gives the allowances and the time since the last heartbeat of this and
	// earlier incarnations.
	Heartbeats *Heartbeater
	// Horizon is the time for which holdings should last.
	Horizon time.Duration
	// StockRank returns this router's rank among those that should hold an organisation's
	// tokens. Routers whose rank is below StockHolders hold them also for others to borrow; the
	// others hold them only if they have enough requests of their own. It must not block; nil
	// means that every router holds tokens.
	StockRank func(organisation string) int
	// SharesStocks reports whether the fleet is large enough for routers to borrow an organisation's
	// tokens; nil means that it is not. It must not block.
	SharesStocks func() bool
	// Interval is how often settlements are committed.
	Interval time.Duration
	// Record makes other processes remember what this router has drawn, or returns an error. It
	// is called before a commit that changes it; nil means that nothing is recorded.
	Record func(ctx context.Context, draws []framer.Draw) error
	// OnCommit is called after every commit with its outcome.
	OnCommit func(rows int, err error)
	// OnUnreadable is called for a row that can't be decoded.
	OnUnreadable func(organisation string, err error)
	// OnRecovered is called when an earlier incarnation's holding is taken over, with the
	// tokens of it that count as spent and those that can be reserved again.
	OnRecovered func(organisation string, spent, returned int64)
	// OnRebased is called when the rows of all accounts show again what this router has drawn,
	// after the store has come back from a copy. accounts is the number of rows written and drawn
	// the tokens that the copy did not show as drawn.
	OnRebased func(era storer.Era, accounts int, drawn int64)

	mu       sync.Mutex // guards all below
	accounts map[string]*holdingAccount
	// limits holds the limits of all organisations in the newest configuration.
	limits  map[string]int64
	waiters []chan struct{}
	wakeup  chan struct{}
	// flushing lets one flush run at a time, so that no plan is sent twice at once: Close
	// may be called while the last flush of Run is in progress.
	flushing chan struct{}
	// failing is set since failingSince if the last flush failed.
	failing      bool
	failingSince time.Time
	// batchSize is how many budgets one commit may change; it falls with conflicts.
	batchSize int
	// inheritedAll is set once all holdings of earlier incarnations are loaded.
	inheritedAll bool
	// loans holds the reservations for other routers, by voucher.
	loans map[string]loan
	// canceledLoans holds vouchers that were repaid without a loan, each with when it is forgotten.
	canceledLoans map[string]time.Time
	closing       bool
	// era is the store's era that the accounts' versions belong to.
	era storer.Era
	// drawsClosed is set while other routers' draws may be missing in the store's rows;
	// uncounted while an earlier incarnation's may be.
	drawsClosed bool
	uncounted   bool
	// rebased sums up the accounts and tokens of the running rebase; rebasing is set until it ends.
	rebasing        bool
	rebasedAccounts int
	rebasedDrawn    int64
}

// Reservation is a request's reservation; it is passed to Reserve until that succeeds.
type Reservation struct {
	Organisation string
	// Limit is the budget's limit in the newest configuration, Amount the worst-case cost
	// of the request, in tokens.
	Limit  int64
	Amount int64
	// HeldOnly is set if no tokens are to be drawn for the request.
	HeldOnly bool
	// FailedRounds counts the commits and heartbeats that were made for the reservation and
	// did not bring enough tokens.
	FailedRounds int
	// counted is set once the account's unmet demand of round has included it.
	counted bool
	round   uint64
}

// Reserve reserves the worst-case cost of a request.
//
// It returns ErrExhausted if the budget can't cover it, and ErrInsufficientHolding if
// more tokens must be drawn first; Reserve may then be called again with the same
// reservation after a Wait.
func (a *Allocator) Reserve(r *Reservation) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	acct := a.account(r.Organisation)
	acct.limit, acct.limitKnown = r.Limit, true
	if free := a.free(r.Organisation, acct); free >= r.Amount {
		acct.reserved += r.Amount
		if free < 2*r.Amount {
			a.Heartbeats.Wake() // so that the next request need not wait for a heartbeat
		}
		return nil
	}
	now := time.Now()
	v := acct.view(a.Horizon, now)
	if v.Spent+r.Amount > v.Limit || (!a.drawsClosed && now.Sub(acct.budgetReadAt) < maxRowAge && !v.MayCover(r.Amount)) {
		return ErrExhausted
	}
	if r.HeldOnly {
		return ErrInsufficientHolding
	}
	if r.counted && r.round != acct.round {
		r.FailedRounds++
	}
	if !r.counted || r.round != acct.round {
		acct.unmet += r.Amount
		r.counted, r.round = true, acct.round
	}
	acct.changed = true
	if acct.exceedsHolding(r.Amount) {
		a.wake()
	} else {
		a.Heartbeats.Wake()
	}
	return ErrInsufficientHolding
}

func (a *Allocator) free(organisation string, acct *holdingAccount) int64 {
	return acct.free(a.Heartbeats.Allowances(organisation))
}

// CollectAllowances passes the allowances for the next heartbeat to build, for accounts
// whose allowance must rise. Nothing is reserved until build returns: a reservation made
// in between under the old allowances would not be covered by the heartbeat.
func (a *Allocator) CollectAllowances(build func(allowances map[string]Allowance)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	allowances := make(map[string]Allowance)
	for name, acct := range a.accounts {
		if (acct.held.Held == 0 || acct.inherited) && acct.pending == nil {
			continue
		}
		v := acct.view(a.Horizon, now)
		allowance := Allowance{
			Commit: acct.held.Commit, Amount: min(acct.held.Held, acct.spent+AllowanceAmount(v, v.Held, a.Heartbeats.AllowancePeriod())), Growth: AllowanceGrowth(v),
		}
		if last := a.Heartbeats.Allowances(name).Confirmed; last.Commit == allowance.Commit {
			allowance.Amount, allowance.Growth = max(allowance.Amount, last.Amount), max(allowance.Growth, last.Growth)
		}
		if acct.pending != nil {
			allowance.NextCommit = acct.pending.commit
			allowance.NextAmount = min(acct.pending.held.Held, allowance.Amount-acct.pending.settle)
		}
		if acct.pending != nil || allowance.Amount > acct.held.Allowance || allowance.Growth > acct.held.AllowanceGrowth {
			allowances[name] = allowance
		}
		if !acct.exceedsHolding(acct.unmet) {
			acct.resolveUnmet(acct.unmet) // the allowance covers it
		}
	}
	build(allowances)
}

// HeartbeatConfirmed wakes the reservations that wait for a higher allowance.
func (a *Allocator) HeartbeatConfirmed() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.wakeWaiters()
}

func (a *Allocator) wakeWaiters() {
	for _, ch := range a.waiters {
		close(ch)
	}
	a.waiters = nil
}

// ReserveHeld reserves the worst-case cost of a request from what this router holds and reports
// whether it could. Unlike Reserve it draws nothing.
func (a *Allocator) ReserveHeld(organisation string, amount int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	acct := a.account(organisation)
	if a.free(organisation, acct) < amount {
		return false
	}
	acct.reserved += amount
	return true
}

// Borrows reports whether this router should borrow an organisation's tokens rather than draw
// them.
func (a *Allocator) Borrows(organisation string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.account(organisation).sparse(a.Horizon, now)
}

// RecordDemand counts the tokens that a request asks for, whether or not they are reserved.
func (a *Allocator) RecordDemand(organisation string, amount int64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.account(organisation).addDemand(amount, now)
}

// Settle settles a reservation of amount tokens at its cost.
func (a *Allocator) Settle(organisation string, amount, cost int64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settle(a.account(organisation), amount, cost, now)
}

func (a *Allocator) settle(acct *holdingAccount, amount, cost int64, now time.Time) {
	acct.reserved -= amount
	cost = min(max(cost, 0), amount)
	acct.spent += cost
	acct.cost.add(cost, now)
	acct.worstCase.add(amount, now)
	acct.changed = true
}

// SetLimit sets the limit of an organisation's budget. It also opens the organisation's
// account, so that it has a holding before its first request, unless maxPreopened
// accounts are open.
func (a *Allocator) SetLimit(organisation string, limit int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.limits == nil {
		a.limits = make(map[string]int64)
	}
	a.limits[organisation] = limit
	acct, open := a.accounts[organisation]
	if !open && len(a.accounts) >= maxPreopened {
		return
	}
	if !open {
		acct = a.account(organisation)
	}
	acct.limit, acct.limitKnown, acct.changed = limit, true, true
}

// Wait returns a channel that is closed after the next flush or heartbeat, and whether commits and
// heartbeats succeed, or have failed so briefly that the next ones may.
func (a *Allocator) Wait() (done <-chan struct{}, healthy bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ch := make(chan struct{})
	a.waiters = append(a.waiters, ch)
	return ch, (!a.failing || time.Since(a.failingSince) < briefOutage) && a.Heartbeats.FailingFor() < briefOutage
}

// Balance is the state of an account for log lines, in tokens.
type Balance struct {
	Limit int64
	// Spent is what all holders have settled, as far as published.
	Spent int64
	// Held is what this holder holds, Free the part of it that it could reserve, and
	// HeldByOthers what other holders hold.
	Held         int64
	Free         int64
	HeldByOthers int64
	// Lenders lists other routers with tokens to spare as ROUTER:SPARE.
	Lenders string
	// RowAge is the time since the budget's row was read, SinceHeartbeat the time since the
	// newest heartbeat known to have taken effect was built.
	RowAge         time.Duration
	SinceHeartbeat time.Duration
}

// Balance returns the state of an account.
func (a *Allocator) Balance(organisation string, now time.Time) Balance {
	a.mu.Lock()
	defer a.mu.Unlock()
	acct := a.account(organisation)
	v := acct.view(a.Horizon, now)
	return Balance{
		Limit: acct.limit, Spent: v.Spent, Held: acct.held.Held, Free: a.free(organisation, acct), HeldByOthers: v.OthersHeld,
		Lenders: acct.budget.formatLenders(a.Router), RowAge: now.Sub(acct.budgetReadAt), SinceHeartbeat: a.Heartbeats.Allowances(organisation).ConfirmedAge,
	}
}

// Run keeps the holdings filled and commits settlements until ctx ends; Close returns the
// free tokens.
func (a *Allocator) Run(ctx context.Context) {
	if !a.Heartbeats.WaitPredecessor(ctx) {
		return
	}
	timer := time.NewTimer(a.Interval)
	defer timer.Stop()
	for ctx.Err() == nil {
		urgent := false
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-a.wakeChan():
			urgent = true
		}
		started := time.Now()
		a.inheritAll(ctx)
		a.flush(ctx, urgent, false)
		elapsed := time.Since(started)
		if !urgent {
			timer.Reset(a.nextInterval(elapsed))
		}
		pauser.Pause(ctx, a.pauseAfter(elapsed))
	}
}

// pauseAfter returns the pause after a flush that took elapsed.
func (a *Allocator) pauseAfter(elapsed time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.failing {
		elapsed = max(elapsed, failurePause)
	}
	return min(elapsed, maxPause)
}

// nextInterval returns the time until the next flush after one that took elapsed. A store
// that is slow or refuses calls gets fewer of them, since queued commits only take longer.
func (a *Allocator) nextInterval(elapsed time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.failing {
		return maxInterval
	}
	return min(max(a.Interval, intervalFactor*elapsed), maxInterval)
}

// Close repeatedly commits settlements and returns all free tokens, until idle reports that
// no request runs and nothing is left to commit, or ctx ends.
func (a *Allocator) Close(ctx context.Context, idle func() bool) {
	a.mu.Lock()
	a.closing = true
	a.mu.Unlock()
	for ctx.Err() == nil {
		last := idle()
		if a.flush(ctx, false, true) && last {
			return
		}
		pauser.Pause(ctx, a.Interval/4)
	}
}

func (a *Allocator) wakeChan() chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.wakeup == nil {
		a.wakeup = make(chan struct{}, 1)
	}
	return a.wakeup
}

// wake requests an immediate flush; the caller must hold mu.
func (a *Allocator) wake() {
	if a.wakeup == nil {
		a.wakeup = make(chan struct{}, 1)
	}
	select {
	case a.wakeup <- struct{}{}:
	default:
	}
}

// account returns the account of an organisation, opening it on first use; the caller must
// hold mu.
func (a *Allocator) account(organisation string) *holdingAccount {
	acct, ok := a.accounts[organisation]
	if !ok {
		acct = &holdingAccount{
			requested: meter{window: rateWindow}, cost: meter{window: rateWindow}, worstCase: meter{window: rateWindow},
			arrivals: meter{window: arrivalWindow},
		}
		if a.StockRank != nil {
			acct.stockRank = func() int { return a.StockRank(organisation) }
			acct.sharesStocks = a.SharesStocks
		}
		acct.limit, acct.limitKnown = a.limits[organisation]
		if a.accounts == nil {
			a.accounts = make(map[string]*holdingAccount)
		}
		a.accounts[organisation] = acct
	}
	return acct
}
