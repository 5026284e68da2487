// Package reconciler decides when a router may draw tokens again after the platform's store
// has come back from an older copy.
//
// The copy lacks what routers have drawn since. Each router that lives adds its own draws to the
// rows again and says so in a row of the table of eras. For a router that doesn't, another one
// counts the draws that it has recorded with other processes, and if these records are not
// complete, all of the budgets. A router that has joined since has drawn nothing, one that had left before the
// copy nothing that it lacks. Once all routers are counted, the rows show every token that
// anybody may have, and draws are safe.
//
// # Usage
//
//	r := &reconciler.Reconciler{Store: store, Router: "router-1", Holdings: allocator, ...}
//	go r.Run(ctx)
//	r.SetEra(2, false, 1) // from storer.Guard.OnEra
package reconciler

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/process/pauser"
	"github.com/egretroute/egretroute/internal/process/recorder"
	"github.com/egretroute/egretroute/internal/process/storer"
)

const (
	// pollInterval is the time between two looks at the table of eras; a large fleet polls
	// more slowly, at pollPerRouter for each router.
	pollInterval  = 200 * time.Millisecond
	pollPerRouter = 5 * time.Millisecond
	// countAfter is how long a router may take to count itself before others do. Most
	// processes have started again by then.
	countAfter = 3 * time.Second
	// atMostAfter is how long to ask for records before all budgets count as drawn.
	atMostAfter = 8 * time.Second
	// MaxCopyAge is the age of the oldest copy from which the store comes back.
	MaxCopyAge = 15 * time.Second
	// maxMissed is how long a process may not have read the store and still knows which routers have left: a router
	// that has started again meanwhile would be taken for one that has left.
	maxMissed = 5 * time.Second
	// MaxUnseen is how long an era may have lasted when a process starts and sees it first.
	MaxUnseen = 15 * time.Second
)

// Method is how a router's draws were counted.
type Method string

// Methods of counting.
const (
	// Own means that the router has counted its draws itself.
	Own Method = "own"
	// Recorded means that the draws recorded with other processes were counted.
	Recorded Method = "recorded"
	// AtMost means that all budgets count as drawn.
	AtMost Method = "atMost"
)

// Holdings are this router's holdings of budgets.
type Holdings interface {
	// Rebased reports whether the rows show all that this incarnation has drawn, and all that
	// earlier ones have.
	Rebased(era storer.Era) (rebased, counted bool)
	// SetCounted is called once the rows show all that earlier incarnations have drawn,
	// OpenDraws once they show all that any router has.
	SetCounted(era storer.Era)
	OpenDraws(era storer.Era)
}

// Counter counts the draws of other routers; see spender.Counter.
type Counter interface {
	CountRecorded(ctx context.Context, era storer.Era, router string, draws map[string]framer.Draw) (tokens int64, err error)
	CountAtMost(ctx context.Context, era storer.Era, router string, limits map[string]int64) (tokens int64, err error)
}

// Reconciler counts draws after each new era. Exported fields are set before the first call.
type Reconciler struct {
	Store  storer.Store
	Router string
	// FirstStart is set if this process was started while the whole fleet started for the first
	// time.
	FirstStart bool
	// Table is the table of eras, Key the key of a router's row in it.
	Table    string
	Key      func(router string) string
	Holdings Holdings
	Counter  Counter
	// Routers returns all routers that may have drawn tokens, Known those of them that this process
	// knows of without asking the store; Limits returns all budgets' limits.
	Routers func(ctx context.Context) ([]string, error)
	Known   func() []string
	Limits  func() map[string]int64
	// LeftFor returns for how long this process has known that a router has left, 0 if it doesn't know of that.
	LeftFor func(router string) time.Duration
	// Unseen returns for how long the store may have been in a new era when this process sees it first; nil means
	// not at all.
	Unseen func() time.Duration
	// HasRows reports whether the store has rows of a router's holdings.
	HasRows func(ctx context.Context, router string) (bool, error)
	// Fetch returns the draws that other processes remember of a router, and whether these
	// are all that it has made within minAge.
	Fetch func(ctx context.Context, router string, minAge time.Duration) (map[string]framer.Draw, recorder.Completeness)
	// OnCounted is called after a router was counted, OnOpen once all are.
	OnCounted func(era storer.Era, router string, method Method, tokens int64)
	OnOpen    func(era storer.Era, after time.Duration)
	// OnWaiting is called with the routers that are not counted yet, when others begin to
	// count them.
	OnWaiting func(era storer.Era, routers []string)

	mu      sync.Mutex // guards all below
	current eraState
	// begun holds the eras that this process knows, oldest first.
	begun   []begin
	changed chan struct{}
}

// begin is the earliest time at which an era can have begun, as far as a process knows.
type begin struct {
	era storer.Era
	at  time.Time
	// unseen is how much earlier it may have begun, if this process could not read the store.
	unseen time.Duration
}

// eraState is what is known of an era.
type eraState struct {
	era storer.Era
	// seenAt is when this process saw its first reply.
	seenAt time.Time
	// recorded tells whether routers have recorded the draws that the store has lost.
	recorded bool
	// first is set for the first era that this process knows.
	first bool
	// known holds the routers that this process knew of when the era began, unless it is first.
	known []string
}

// eraRow is a row of the table of eras.
type eraRow struct {
	Era    uint64 `json:"era"`
	Method Method `json:"method"`
	By     string `json:"by"`
}

// openName stands in place of a router's name in the key of the row that tells that draws are open.
const openName = ".open"

// openRow tells that draws are open in an era, and which routers are counted. A router that is not
// among them was in no member's knowledge when the era began, so it has drawn nothing before that.
type openRow struct {
	Era     uint64   `json:"era"`
	Routers []string `json:"routers"`
}

// SetEra tells the reconciler the store's era. previous is the one before it, or 0 if this is the
// first one that the process knows.
func (r *Reconciler) SetEra(era storer.Era, first bool, previous storer.Era) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.current = eraState{era: era, seenAt: now, recorded: first || previous != 0, first: first}
	switch {
	case first:
		r.begun = []begin{{era: era, at: now.Add(-MaxUnseen)}}
	default:
		b := begin{era: era, at: now}
		if r.Unseen != nil {
			b.unseen = r.Unseen()
		}
		r.begun = append(r.begun, b)
		if r.Known != nil {
			r.current.known = r.Known()
		}
		if !slices.Contains(r.current.known, r.Router) {
			r.current.known = nil // the members have not been read since this process enrolled
		}
	}
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

func (r *Reconciler) state() (eraState, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.current, r.changed
}

// Run reconciles each era until ctx ends.
func (r *Reconciler) Run(ctx context.Context) {
	for ctx.Err() == nil {
		state, changed := r.state()
		if state.era.Restored() {
			r.reconcile(ctx, state)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// reconcile runs until draws are open in an era, a new era has begun, or ctx ends.
func (r *Reconciler) reconcile(ctx context.Context, state eraState) {
	told := false
	for ctx.Err() == nil {
		if now, _ := r.state(); now.era != state.era {
			return
		}
		look, err := r.look(ctx, state.era)
		missing := look.missing
		switch {
		case err != nil:
		case len(missing) == 0:
			r.Holdings.SetCounted(state.era)
			r.writeOpen(ctx, state.era, look)
			r.Holdings.OpenDraws(state.era)
			if r.OnOpen != nil {
				r.OnOpen(state.era, time.Since(state.seenAt))
			}
			return
		case missing[r.Router] != nil:
			r.countSelf(ctx, state, look, *missing[r.Router])
		default:
			r.Holdings.SetCounted(state.era)
			if time.Since(state.seenAt) >= countAfter {
				if !told && r.OnWaiting != nil {
					r.OnWaiting(state.era, slices.Sorted(maps.Keys(missing)))
				}
				told = true
				for router, last := range missing {
					r.count(ctx, state, look, router, *last)
				}
			}
		}
		pauser.Pause(ctx, max(pollInterval, time.Duration(len(look.routers))*pollPerRouter))
	}
}

// look is what the table of eras shows.
type look struct {
	// missing holds the routers that are not counted, with their rows of earlier eras; routers are
	// all that may have drawn.
	missing map[string]*eraRow
	routers []string
	// open is the row that tells that draws are open; isOpen is set if it is of this era.
	open    storer.Row
	isOpen  bool
	counted []string
}

// look reads the table of eras.
func (r *Reconciler) look(ctx context.Context, era storer.Era) (l look, err error) {
	batch, err := r.Store.List(ctx, r.Table)
	if err != nil {
		return look{}, err
	}
	if batch.Next.Era != era {
		return look{}, storer.ErrEraChanged
	}
	rows := make(map[string]eraRow)
	for _, row := range batch.Rows {
		if row.Key == r.Key(openName) {
			var w openRow
			if err := json.Unmarshal(row.Value, &w); err == nil { // another row opens nothing
				l.open, l.isOpen, l.counted = row, storer.Era(w.Era) == era, w.Routers
			}
			continue
		}
		var w eraRow
		if err := json.Unmarshal(row.Value, &w); err == nil { // another row counts nobody
			rows[row.Key] = w
		}
	}
	names, err := r.Routers(ctx)
	if err != nil {
		return look{}, err
	}
	if !slices.Contains(names, r.Router) {
		names = append(names, r.Router)
	}
	l.routers, l.missing = names, make(map[string]*eraRow)
	for _, name := range names {
		if row := rows[r.Key(name)]; storer.Era(row.Era) != era {
			l.missing[name] = &row
		}
	}
	return l, nil
}

// writeOpen records that draws are open, unless another router has done so. If it fails, routers that
// join have less evidence that they are new.
func (r *Reconciler) writeOpen(ctx context.Context, era storer.Era, l look) {
	if l.isOpen {
		return
	}
	value, _ := json.Marshal(openRow{Era: uint64(era), Routers: l.routers}) // always encodes
	c := storer.Commit{Era: era}
	c.Update(r.Key(openName), l.open.Version, value)
	_, _ = r.Store.CommitWithReceipt(ctx, c) // see above
}

// countSelf writes this router's row once its own rows show all that it has drawn.
func (r *Reconciler) countSelf(ctx context.Context, state eraState, l look, last eraRow) {
	rebased, counted := r.Holdings.Rebased(state.era)
	switch {
	case counted && rebased:
		r.write(ctx, state.era, r.Router, Own, 0)
	case counted:
	default:
		r.count(ctx, state, l, r.Router, last) // for an earlier incarnation
	}
}

// count counts the draws of a router that can't do so itself. last is the router's row of an
// earlier era.
func (r *Reconciler) count(ctx context.Context, state eraState, l look, router string, last eraRow) {
	elapsed := time.Since(state.seenAt)
	age, unseen, known := r.lostFor(storer.Era(last.Era))
	draws, completeness := r.Fetch(ctx, router, age)
	hasRows, err := r.HasRows(ctx, router)
	if err != nil {
		return
	}
	complete := completeness == recorder.Complete && known && age <= recorder.KeepFor && state.recorded
	if known && unseen <= maxMissed && completeness != recorder.Unreached && r.LeftFor != nil && r.LeftFor(router) >= age+unseen {
		complete = true // the copy shows all that it has drawn
	}
	isNew := !hasRows && last.Era == 0 && r.isNew(ctx, state, l, router, completeness, elapsed)
	switch {
	case complete || isNew:
		if tokens, err := r.Counter.CountRecorded(ctx, state.era, router, draws); err == nil {
			r.write(ctx, state.era, router, Recorded, tokens)
		}
	case elapsed >= atMostAfter:
		if tokens, err := r.Counter.CountAtMost(ctx, state.era, router, r.Limits()); err == nil {
			r.write(ctx, state.era, router, AtMost, tokens)
		}
	}
}

// lostFor returns how long ago draws may have been made that the rows of a router lack, if the router was
// counted last in a given era, by whatever method. Its rows show all draws up to then, or the row that tells of
// the count would be lost too. The next era began with a copy that may lack draws of MaxCopyAge. known is not set if
// this process doesn't know when that was; unseen is how much earlier it may have begun.
func (r *Reconciler) lostFor(counted storer.Era) (age, unseen time.Duration, known bool) {
	const firstEra = 1 // of which nothing is lost
	counted = max(counted, firstEra)
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, b := range r.begun {
		if b.era <= counted {
			continue
		}
		return time.Since(b.at) + MaxCopyAge, b.unseen, i > 0 || b.era == counted+1
	}
	return MaxCopyAge, 0, false // a newer era has begun
}

// isNew reports whether a router without any row has drawn nothing. Without a row it has not before the
// copy, but it may have since.
func (r *Reconciler) isNew(ctx context.Context, state eraState, l look, router string, c recorder.Completeness, elapsed time.Duration) bool {
	joined := l.joined(router) || state.joined(router)
	switch {
	case c == recorder.Unreached:
		return joined && elapsed >= atMostAfter // records would have told more
	case c == recorder.Complete || joined:
		return true
	default:
		return state.first && r.fleetIsNew(ctx)
	}
}

// joined reports whether a router has joined after draws were opened.
func (l look) joined(router string) bool {
	return l.isOpen && !slices.Contains(l.counted, router)
}

// joined reports whether a router was unknown when the era began, in the knowledge of this process.
func (s eraState) joined(router string) bool {
	return s.known != nil && !slices.Contains(s.known, router)
}

// fleetIsNew reports whether the fleet starts for the first time, with a store that has come back
// from a copy before. Otherwise a store that has no rows of any router's holdings has lost them.
func (r *Reconciler) fleetIsNew(ctx context.Context) bool {
	if !r.FirstStart {
		return false
	}
	routers, err := r.Routers(ctx)
	if err != nil {
		return false
	}
	for _, router := range routers {
		if hasRows, err := r.HasRows(ctx, router); err != nil || hasRows {
			return false
		}
	}
	return true
}

// write records that a router is counted.
func (r *Reconciler) write(ctx context.Context, era storer.Era, router string, method Method, tokens int64) {
	value, _ := json.Marshal(eraRow{Era: uint64(era), Method: method, By: r.Router}) // always encodes
	c := storer.Commit{Era: era}
	c.Update(r.Key(router), 0, value)
	_, err := r.Store.CommitWithReceipt(ctx, c)
	var conflict *storer.ConflictError
	if errors.As(err, &conflict) && len(conflict.Rows) > 0 {
		c = storer.Commit{Era: era}
		c.Update(r.Key(router), conflict.Rows[0].Version, value)
		_, err = r.Store.CommitWithReceipt(ctx, c)
	}
	if err == nil && r.OnCounted != nil {
		r.OnCounted(era, router, method, tokens)
	}
}
