// Package registrar keeps the list of targets as the platform's entries tell it.
//
// A deleted entry takes its target out at once while the platform is stable.
// Around an outage an entry may have lapsed though its target lives, so the
// target stays for a grace time and counts as gone if it is still missing then.
//
// # Usage
//
//	r := registrar.New()
//	r.Put(entry, now)
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

// RemovalGrace is how long a target stays whose entry went missing around an
// outage: the users' letter says that entries are back within two seconds.
const RemovalGrace = 2 * time.Second

// Entry is what a target says of itself.
type Entry struct {
	ID      string
	Service string
	Address string
	Domain  string
	Slots   int
	// Draining targets take no new work.
	Draining bool
	// WarmupRemaining is how much longer the target is slow after its start.
	WarmupRemaining time.Duration
	// StartedAt tells two starts under one id apart; zero if it isn't said.
	StartedAt time.Time
	// Revision is the version of the entry at the platform.
	Revision uint64
}

// target is an entry with what is known of its end.
type target struct {
	Entry
	removeAt time.Time // zero while the entry stands
	// misdirected is set once another target answered at the address.
	misdirected bool
}

// Registrar is the list of targets.
type Registrar struct {
	mu      sync.Mutex // guards all below
	targets map[string]*target
	synced  bool
}

// New returns an empty list.
func New() *Registrar {
	return &Registrar{targets: make(map[string]*target)}
}

// Put takes over an entry, unless a newer one is known. A target that has
// started again under its id knows nothing of before.
func (r *Registrar) Put(e Entry) (changed, restarted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, ok := r.targets[e.ID]
	if ok && old.Revision > e.Revision {
		return false, false
	}
	r.targets[e.ID] = &target{Entry: e}
	restarted = ok && !old.StartedAt.Equal(e.StartedAt)
	changed = !ok || restarted || old.Draining != e.Draining || old.Address != e.Address || !old.removeAt.IsZero()
	return changed, restarted
}

// Delete takes a target out whose entry is gone; if the platform isn't stable
// it stays for LapseGrace.
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
		delete(r.targets, id)
	case t.removeAt.IsZero():
		t.removeAt = now.Add(RemovalGrace)
	}
}

// MarkMisdirected takes a target out at whose address another one answered, until its
// entry changes.
func (r *Registrar) MarkMisdirected(id string, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t, ok := r.targets[id]; ok && t.Revision == revision {
		t.misdirected = true
	}
}

// Replace takes over a whole list; targets that it lacks are gone.
func (r *Registrar) Replace(entries []Entry, now time.Time, stable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.synced = true
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		if old, ok := r.targets[e.ID]; ok && old.Revision == e.Revision {
			old.removeAt = time.Time{}
			continue
		}
		r.targets[e.ID] = &target{Entry: e}
	}
	for id := range r.targets {
		if !listed[id] {
			r.remove(id, now, stable)
		}
	}
}

// Synced reports whether a whole list was ever taken over.
func (r *Registrar) Synced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.synced
}

// Service returns the targets of a service that take new work, sorted by id.
func (r *Registrar) Service(name string, now time.Time) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Entry
	for id, t := range r.targets {
		if !t.removeAt.IsZero() && now.After(t.removeAt) {
			delete(r.targets, id)
			continue
		}
		if t.Service == name && !t.Draining && !t.misdirected {
			out = append(out, t.Entry)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// All returns every entry, sorted by id.
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
