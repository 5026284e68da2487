// Package registrar keeps the list of targets in step with the platform's entries.
//
// While the platform is stable, deleting an entry removes its target at once. Around
// an outage an entry may expire although its target still runs, so the target is kept
// for a grace period and removed if the entry is still missing after it.
//
// # Usage
//
//	r := registrar.New()
//	changed, restarted := r.Put(entry)
//	r.Delete("i-1", now, stable)
//	targets := r.Service("small-llm", now)
//
// The decisions depend only on the entries and the times passed in.
package registrar

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// RemovalGrace is how long a target is kept after its entry went missing around an
// outage. The users state that entries are back within two seconds.
const RemovalGrace = 2 * time.Second

// Entry is the registration that a target writes about itself.
type Entry struct {
	ID      string
	Service string
	Address string
	Domain  string
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Draining targets take no new work.
	Draining bool
	// WarmupRemaining is how much longer the target is cold, as of ReadAt, when the entry was read.
	WarmupRemaining time.Duration
	ReadAt          time.Time
	// AppearedAt is when this start was first listed; if the first list held it, it is StartedAt. The
	// Registrar sets it.
	AppearedAt time.Time
	// StartedAt tells apart two starts of a target under one ID; zero if the target
	// doesn't state it.
	StartedAt time.Time
	// RestoredAt is when the target's domain was last drained no longer; zero if it never was. The registrar doesn't
	// set it.
	RestoredAt time.Time
	// Revision is the version of the entry's row at the platform. It only compares to those of
	// the same Era, which rises when the platform's store comes back from an older copy.
	Revision uint64
	Era      uint64
}

// olderThan reports whether an entry was read before another one of the same target.
func (e Entry) olderThan(other Entry) bool {
	return e.Era < other.Era || (e.Era == other.Era && e.Revision < other.Revision)
}

// startedAfter reports whether an entry is of a later start than one of another target at the same address.
func (e Entry) startedAfter(other Entry) bool {
	if e.StartedAt.IsZero() || other.StartedAt.IsZero() {
		return other.olderThan(e)
	}
	return e.StartedAt.After(other.StartedAt)
}

// target is an entry with the state of its removal.
type target struct {
	Entry
	removeAt time.Time // end of the grace period; zero while the entry exists
	// misdirected is set once another target responded at the address.
	misdirected bool
	// announced is when the last start under the ID began that has announced that it leaves.
	announced time.Time
	// newest is the highest revision with which the start was listed, in any era.
	newest uint64
}

// Registrar holds the list of targets. It is safe for concurrent use.
type Registrar struct {
	mu      sync.Mutex // guards all below
	targets map[string]*target
	synced  bool
	// left holds the starts of targets that have left, with the time at which that was known: an
	// older copy of the platform's store lists them again.
	left map[string]leftTarget
	// sorted holds the targets of services by ID, as far as it was asked for since a target was added or
	// removed. inGrace is set while an entry may be in its grace period.
	sorted  map[string][]*target
	inGrace bool
}

// leftTarget is one start of a target that has left.
type leftTarget struct {
	startedAt time.Time
	era       uint64
	at        time.Time
	// draining is set if it had announced that it leaves, lapsed if its entry may have expired
	// although it still runs.
	draining   bool
	lapsed     bool
	appearedAt time.Time
	newest     uint64
}

// leftMemory is how long a start that has left is remembered: longer than any copy is old.
const leftMemory = time.Minute

// New returns an empty Registrar.
func New() *Registrar {
	return &Registrar{targets: make(map[string]*target), left: make(map[string]leftTarget)}
}

// Put adds or replaces an entry, unless it has a newer revision already. It reports
// whether the target has changed and whether it has restarted under its ID, which
// loses its earlier state.
func (r *Registrar) Put(e Entry) (changed, restarted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, ok := r.targets[e.ID]
	if ok && e.olderThan(old.Entry) {
		return false, false
	}
	restarted = ok && !old.StartedAt.Equal(e.StartedAt)
	changed = !ok || restarted || old.Draining != e.Draining || old.Address != e.Address || !old.removeAt.IsZero()
	r.set(e, r.synced)
	return changed, restarted
}

// appearedAt returns when the entry's start was first listed; synced is set if a list was known before. An entry
// that lapsed and is back is of the same start, unless the target states another one.
func (r *Registrar) appearedAt(e Entry, synced bool) time.Time {
	old, ok := r.targets[e.ID]
	left, was := r.left[e.ID]
	switch {
	case ok && old.StartedAt.Equal(e.StartedAt):
		return old.AppearedAt
	case !ok && was && left.startedAt.Equal(e.StartedAt) && (left.lapsed || !e.StartedAt.IsZero()):
		return left.appearedAt
	case !synced:
		return e.StartedAt
	}
	return e.ReadAt
}

// set adds or replaces an entry; synced is set if a list was known before.
func (r *Registrar) set(e Entry, synced bool) {
	old := r.targets[e.ID]
	e.AppearedAt = r.appearedAt(e, synced)
	t := target{Entry: e, announced: announced(e, old), newest: e.Revision}
	if old != nil && old.StartedAt.Equal(e.StartedAt) {
		t.newest = max(t.newest, old.newest)
	}
	if old != nil && old.Service == e.Service {
		*old = t
		return
	}
	r.targets[e.ID], r.sorted = &t, nil
}

// announced returns when the last start under an ID began that has announced that it leaves; old is
// nil for a new ID.
func announced(e Entry, old *target) time.Time {
	switch {
	case e.Draining:
		return e.StartedAt
	case old != nil:
		return old.announced
	}
	return time.Time{}
}

// Delete removes a target whose entry was deleted. If the platform isn't stable, a
// target that isn't draining is kept for RemovalGrace.
func (r *Registrar) Delete(id string, now time.Time, stable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remove(id, now, stable)
}

func (r *Registrar) remove(id string, now time.Time, stable bool) {
	t, ok := r.targets[id]
	switch {
	case !ok:
	case stable || t.Draining:
		r.forget(id, now, !stable)
	case t.removeAt.IsZero():
		t.removeAt, r.inGrace = now.Add(RemovalGrace), true
	}
}

// forget removes a target that has left, or whose entry has lapsed.
func (r *Registrar) forget(id string, now time.Time, lapsed bool) {
	t := r.targets[id]
	delete(r.targets, id)
	r.sorted = nil
	for other, l := range r.left {
		if now.Sub(l.at) > leftMemory {
			delete(r.left, other)
		}
	}
	r.left[id] = leftTarget{startedAt: t.StartedAt, era: t.Era, at: now, draining: t.Draining, lapsed: lapsed, appearedAt: t.AppearedAt, newest: t.newest}
}

// hasLeft reports whether an entry of an older copy is of a start that is known to leave or
// to have left, or of one before it.
func (r *Registrar) hasLeft(e Entry) bool {
	if old, ok := r.targets[e.ID]; ok {
		return old.Draining && old.Era < e.Era && old.StartedAt.Equal(e.StartedAt)
	}
	l, ok := r.left[e.ID]
	return ok && l.era < e.Era && (l.startedAt.Equal(e.StartedAt) || e.endedBefore(l.startedAt, l.newest))
}

// endedBefore reports whether an entry of an older copy is of a start before a known one, which was listed
// up to a revision. A row that was written after that tells of a target whose clock is behind.
func (e Entry) endedBefore(start time.Time, newest uint64) bool {
	return !e.StartedAt.IsZero() && e.StartedAt.Before(start) && e.Revision < newest
}

// Serving reports whether a target is still listed as it was, neither draining nor with a
// missing entry nor started anew.
func (r *Registrar) Serving(e Entry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.targets[e.ID]
	return ok && !t.Draining && t.removeAt.IsZero() && !t.misdirected && t.StartedAt.Equal(e.StartedAt)
}

// Ended reports whether a start of a target has ended that had not announced it: it is listed with a later
// start, another target is listed at its address, or its entry has lapsed.
func (r *Registrar) Ended(e Entry, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.targets[e.ID]
	switch {
	case !ok:
		return !r.left[e.ID].draining
	case t.Draining, !t.announced.IsZero() && !e.StartedAt.After(t.announced):
		return false
	case t.StartedAt.After(e.StartedAt) || (!t.removeAt.IsZero() && now.After(t.removeAt)):
		return true
	}
	for id, other := range r.targets {
		if id != e.ID && other.Address == e.Address && e.Address != "" && other.startedAfter(t.Entry) {
			return true
		}
	}
	return false
}

// MarkMisdirected withholds a target from Service until its entry changes, because
// another target responded at its address. It does nothing if the entry has another
// revision.
func (r *Registrar) MarkMisdirected(id string, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t, ok := r.targets[id]; ok && t.Revision == revision {
		t.misdirected = true
	}
}

// Replace replaces the whole list. Targets that are missing from entries are removed as
// by Delete. After the platform's store has come back from an older copy, targets that leave or
// have left stay so, and those that have started again stay as known, until they write their
// entries again.
func (r *Registrar) Replace(entries []Entry, now time.Time, stable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	synced := r.synced
	r.synced = true
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		if old, ok := r.targets[e.ID]; ok && old.Era == e.Era && old.Revision == e.Revision {
			old.removeAt = time.Time{}
			continue
		}
		if old, ok := r.targets[e.ID]; ok && old.Era < e.Era && e.endedBefore(old.StartedAt, old.newest) {
			old.Revision, old.Era, old.removeAt = e.Revision, e.Era, time.Time{}
			continue
		}
		e.Draining = e.Draining || r.hasLeft(e)
		r.set(e, synced)
	}
	for id := range r.targets {
		if !listed[id] {
			r.remove(id, now, stable)
		}
	}
}

// Synced reports whether Replace has been called.
func (r *Registrar) Synced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.synced
}

// Service returns the targets of a service that take new work, sorted by ID. It removes
// targets whose grace period is over.
func (r *Registrar) Service(name string, now time.Time) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inGrace {
		r.endGrace(now)
	}
	targets, ok := r.sorted[name]
	if !ok {
		targets = r.sort(name)
	}
	out := make([]Entry, 0, len(targets))
	for _, t := range targets {
		if !t.Draining && !t.misdirected {
			out = append(out, t.Entry)
		}
	}
	return out
}

// endGrace removes the targets whose grace period is over.
func (r *Registrar) endGrace(now time.Time) {
	r.inGrace = false
	for id, t := range r.targets {
		switch {
		case t.removeAt.IsZero():
		case now.After(t.removeAt):
			r.forget(id, now, true)
		default:
			r.inGrace = true
		}
	}
}

// sort returns the targets of a service by ID, and keeps them until one is added or removed.
func (r *Registrar) sort(service string) (targets []*target) {
	for _, t := range r.targets {
		if t.Service == service {
			targets = append(targets, t)
		}
	}
	slices.SortFunc(targets, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
	if r.sorted == nil {
		r.sorted = make(map[string][]*target)
	}
	r.sorted[service] = targets
	return targets
}

// Entry returns the entry of a target, if it is listed.
func (r *Registrar) Entry(id string) (Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.targets[id]
	if !ok {
		return Entry{}, false
	}
	return t.Entry, true
}

// All returns all entries, sorted by ID, those in their grace period included.
func (r *Registrar) All() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Entry, 0, len(r.targets))
	for _, t := range r.targets {
		out = append(out, t.Entry)
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
