package spender

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/process/pauser"
	"github.com/egretroute/egretroute/internal/process/storer"
)

const (
	// minHeartbeatInterval is the time between two heartbeats of a router in a small fleet.
	minHeartbeatInterval = 200 * time.Millisecond
	// fleetHeartbeatRate is the number of heartbeats per second that a whole fleet sends:
	// a quarter of the writes that the users' stores take (800 per second and more).
	fleetHeartbeatRate = 200
	// heartbeatSlack is the delay of a heartbeat, in addition to its latency, that
	// allowances are sized for.
	heartbeatSlack = 50 * time.Millisecond
	// minHeartbeatGap is the least time between two heartbeats, also if Wake is called.
	minHeartbeatGap = 20 * time.Millisecond
	// maxHeartbeatLatency bounds the latency by which slow heartbeats raise allowances.
	maxHeartbeatLatency = time.Second
	// latencyFactor is the multiple of the last heartbeat's latency for which an
	// allowance lasts in addition to the heartbeat intervals.
	latencyFactor = 2
	// unknownGap is the predecessorGap of an incarnation whose heartbeat was not read: over
	// FullAllowanceAfter, so that its whole holding counts as spent.
	unknownGap = 24 * time.Hour
)

// Heartbeater periodically writes a router's heartbeat row, with the time of the
// heartbeat and the router's allowances. It derives from its predecessor's row how long
// the predecessor can have run after its last heartbeat.
//
// Times are by the platform's monotonic clock; the time in a heartbeat is a lower
// bound of when it took effect. Exported fields are set before Run.
type Heartbeater struct {
	Table       storer.Committer
	Incarnation string
	Key         string
	// Routers returns how many routers send heartbeats; nil means a small fleet.
	Routers func() float64
	// CollectAllowances passes the allowances for the next heartbeat to build; no tokens
	// may be reserved until build returns. OnConfirmed is called when a heartbeat has
	// taken effect.
	CollectAllowances func(build func(allowances map[string]Allowance))
	OnConfirmed       func()
	// OnLost is called when heartbeats begin to fail, OnRestored when they take effect
	// again.
	OnLost     func(err error)
	OnRestored func(sinceHeartbeat time.Duration)

	mu      sync.Mutex // guards all below
	started time.Time
	// clock is the platform's clock as of its reply at clockAt.
	clock   time.Duration
	clockAt time.Time
	// builtAt is when the newest heartbeat was built, whether or not it took effect.
	builtAt time.Time
	// sentValue is the row of the newest heartbeat built.
	sentValue []byte
	version   uint64
	era       storer.Era
	// rebasedEra is the era in which this router's rows are known to show all its draws.
	rebasedEra  storer.Era
	predecessor string
	// predecessorGap is an upper bound of how long the predecessor ran after its last
	// heartbeat.
	predecessorGap time.Duration
	// confirmed holds the allowances of the newest heartbeat known to have taken effect,
	// sent those of the newest one built.
	confirmed   map[string]Allowance
	confirmedAt time.Time
	// latency is the time from building the last confirmed heartbeat to its confirmation,
	// at most maxHeartbeatLatency.
	latency               time.Duration
	sent                  map[string]Allowance
	predecessorAllowances map[string]Allowance
	wake                  chan struct{}
	predecessorRead       chan struct{}
	failing               bool
	failingSince          time.Time
}

// wireHeartbeat is the encoding of a heartbeat row.
type wireHeartbeat struct {
	Incarnation string `json:"incarnation"`
	AtMillis    int64  `json:"atMillis"`
	// RebasedEra is the newest era of the store in which the router's rows have shown all that
	// it had drawn.
	RebasedEra uint64 `json:"era,omitempty"`
	// Allowances is keyed by organisation.
	Allowances map[string]wireAllowance `json:"marks"`
}

type wireAllowance struct {
	Commit uint64  `json:"commit"`
	Amount int64   `json:"mark"`
	Growth float64 `json:"slope"`
	// NextCommit and NextAmount are omitted if no commit was in flight.
	NextCommit uint64 `json:"nextCommit,omitempty"`
	NextAmount int64  `json:"nextMark,omitempty"`
}

// Allowances returns the current allowances of an organisation.
func (h *Heartbeater) Allowances(organisation string) Allowances {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.builtAt.IsZero() {
		return Allowances{}
	}
	now := time.Now()
	return Allowances{
		Confirmed: h.confirmed[organisation], ConfirmedAge: now.Sub(h.confirmedAt), Sent: h.sent[organisation], SentAge: now.Sub(h.builtAt),
	}
}

// interval returns the time between two heartbeats if Wake is not called.
func (h *Heartbeater) interval() time.Duration {
	if h.Routers == nil {
		return minHeartbeatInterval
	}
	return max(minHeartbeatInterval, time.Duration(h.Routers()/fleetHeartbeatRate*float64(time.Second)))
}

// AllowancePeriod returns the time for which an allowance should last: two heartbeat
// intervals, one of which may be late, and heartbeats with the latency of the last one.
func (h *Heartbeater) AllowancePeriod() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return 2*h.interval() + heartbeatSlack + latencyFactor*h.latency
}

// PredecessorAllowance returns the last allowance of an earlier incarnation of this
// router, and an upper bound of how long it ran after its last heartbeat.
func (h *Heartbeater) PredecessorAllowance(incarnation, organisation string) (Allowance, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if incarnation == h.predecessor {
		return h.predecessorAllowances[organisation], h.predecessorGap
	}
	return Allowance{}, unknownGap
}

// SetEra tells the heartbeater the store's era: the first one known, or a new one, after which the
// heartbeat's row is an older one. How long a predecessor ran after that is unknown.
func (h *Heartbeater) SetEra(era storer.Era, first bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.era = era
	if first {
		h.rebasedEra = era
	} else {
		h.version, h.predecessorGap = 0, unknownGap
	}
}

// SetRebased tells the heartbeater that this router's rows show in an era all its draws.
func (h *Heartbeater) SetRebased(era storer.Era) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rebasedEra = era
}

// FailingFor returns for how long heartbeats have failed, or 0 if the last one did not.
func (h *Heartbeater) FailingFor() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.failing {
		return 0
	}
	return time.Since(h.failingSince)
}

// Wake requests a heartbeat without waiting for the interval to pass.
func (h *Heartbeater) Wake() {
	select {
	case h.wakeChan() <- struct{}{}:
	default:
	}
}

func (h *Heartbeater) wakeChan() chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.wake == nil {
		h.wake = make(chan struct{}, 1)
	}
	return h.wake
}

// WaitPredecessor waits until the predecessor's heartbeat, if any, has been read; it
// returns false if ctx ends first.
func (h *Heartbeater) WaitPredecessor(ctx context.Context) bool {
	select {
	case <-h.predecessorChan():
		return true
	case <-ctx.Done():
		return false
	}
}

func (h *Heartbeater) predecessorChan() chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.predecessorRead == nil {
		h.predecessorRead = make(chan struct{})
	}
	return h.predecessorRead
}

// Run sends heartbeats until ctx ends.
func (h *Heartbeater) Run(ctx context.Context) {
	predecessorRead := h.predecessorChan()
	h.mu.Lock()
	h.started = time.Now()
	h.mu.Unlock()
	var pending *storer.Commit
	read := false
	for ctx.Err() == nil {
		if pending == nil {
			pending = h.nextCommit()
		}
		sent := time.Now()
		receipt, err := h.Table.CommitWithReceipt(ctx, *pending)
		var conflict *storer.ConflictError
		switch {
		case err == nil:
			if err = h.committed(receipt); err == nil && h.OnConfirmed != nil {
				h.OnConfirmed()
			}
			pending = nil
		case errors.As(err, &conflict):
			if eraErr := h.conflicted(conflict, sent); eraErr != nil {
				err, conflict = eraErr, nil
			}
			pending = nil
		case errors.Is(err, storer.ErrEraChanged):
			pending = nil
		}
		if !read && (err == nil || conflict != nil) {
			read = true
			close(predecessorRead)
		}
		h.report(err, conflict != nil || errors.Is(err, storer.ErrEraChanged))
		if conflict == nil {
			h.waitNext(ctx)
		}
	}
}

// waitNext waits until the next heartbeat is due.
func (h *Heartbeater) waitNext(ctx context.Context) {
	pauser.Pause(ctx, minHeartbeatGap)
	timer := time.NewTimer(h.interval() - minHeartbeatGap)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-h.wakeChan():
	}
}

// nextCommit builds a heartbeat. It is sent unchanged until its outcome is known, so
// that no heartbeat newer than builtAt can take effect.
func (h *Heartbeater) nextCommit() *storer.Commit {
	var c *storer.Commit
	if h.CollectAllowances == nil {
		return h.build(nil)
	}
	h.CollectAllowances(func(allowances map[string]Allowance) { c = h.build(allowances) })
	return c
}

// build returns the commit of a heartbeat with these allowances and records them as sent.
func (h *Heartbeater) build(allowances map[string]Allowance) *storer.Commit {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.builtAt = now
	at := h.clock
	if !h.clockAt.IsZero() {
		at += now.Sub(h.clockAt)
	}
	h.sent = allowances
	heartbeat := wireHeartbeat{Incarnation: h.Incarnation, AtMillis: at.Milliseconds(), RebasedEra: uint64(h.rebasedEra), Allowances: make(map[string]wireAllowance, len(allowances))}
	for name, allowance := range allowances {
		heartbeat.Allowances[name] = wireAllowance(allowance)
	}
	value, _ := json.Marshal(heartbeat) // always encodes
	h.sentValue = value
	c := &storer.Commit{Era: h.era}
	c.Update(h.Key, h.version, value)
	return c
}

// committed records a heartbeat that took effect. Another call may have told a newer era since, in
// which the row's version is another one.
func (h *Heartbeater) committed(r storer.Receipt) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.Era < h.era {
		return errors.Wrapf(storer.ErrEraChanged, "receipt of era %d in era %d", r.Era, h.era)
	}
	h.clock, h.clockAt, h.version = r.Clock, time.Now(), r.Version
	h.confirm()
	return nil
}

// confirm records that the newest heartbeat built has taken effect.
func (h *Heartbeater) confirm() {
	h.confirmed, h.confirmedAt = h.sent, h.builtAt
	h.latency = min(time.Since(h.builtAt), maxHeartbeatLatency)
}

// conflicted processes the row that a conflict returned: either this incarnation's own
// heartbeat, whose reply was lost, or the predecessor's. The row of an earlier era is not used.
func (h *Heartbeater) conflicted(conflict *storer.ConflictError, sent time.Time) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if conflict.Era < h.era {
		return errors.Wrapf(storer.ErrEraChanged, "conflict of era %d in era %d", conflict.Era, h.era)
	}
	h.clock, h.clockAt, h.version = conflict.Clock, time.Now(), 0
	var heartbeat wireHeartbeat
	sentUnchanged := false
	for _, row := range conflict.Rows {
		h.version = row.Version
		sentUnchanged = bytes.Equal(row.Value, h.sentValue)
		if err := json.Unmarshal(row.Value, &heartbeat); err != nil {
			return nil // an unreadable heartbeat leaves the gap unknown
		}
	}
	if sentUnchanged {
		h.confirm() // the heartbeat whose reply was lost
	}
	if heartbeat.Incarnation == "" || heartbeat.Incarnation == h.Incarnation {
		return nil
	}
	h.predecessorAllowances = make(map[string]Allowance, len(heartbeat.Allowances))
	for name, allowance := range heartbeat.Allowances {
		h.predecessorAllowances[name] = Allowance(allowance)
	}
	// The predecessor had ended when this process started, which bounds the platform
	// time between its last heartbeat and its end.
	start := conflict.Clock - sent.Sub(h.started)
	h.predecessor = heartbeat.Incarnation
	h.predecessorGap = start - time.Duration(heartbeat.AtMillis)*time.Millisecond
	if storer.Era(heartbeat.RebasedEra) != conflict.Era {
		h.predecessorGap = unknownGap // later heartbeats may be lost
	}
	return nil
}

func (h *Heartbeater) report(err error, conflict bool) {
	h.mu.Lock()
	wasFailing := h.failing
	h.failing = err != nil && !conflict
	if h.failing && !wasFailing {
		h.failingSince = time.Now()
	}
	failing, sinceHeartbeat := h.failing, time.Since(h.builtAt)
	h.mu.Unlock()
	switch {
	case failing && !wasFailing && h.OnLost != nil:
		h.OnLost(err)
	case !failing && wasFailing && h.OnRestored != nil:
		h.OnRestored(sinceHeartbeat)
	}
}
