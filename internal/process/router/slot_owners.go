package router

import (
	"context"
	"sync"
	"time"

	"github.com/egretroute/egretroute/internal/process/storer"
	"github.com/egretroute/egretroute/internal/request/chooser"
	"github.com/egretroute/egretroute/internal/request/claimer"
)

const (
	ownersInterval = 2 * time.Second
	// ownersHurry is the interval while a slot has no owner.
	ownersHurry = 250 * time.Millisecond
	// ownersFresh is the least time between two readings that requests ask for.
	ownersFresh = 250 * time.Millisecond
	// ownerWait is how long a request waits for its slot to have an owner that answers.
	ownerWait = 8 * time.Second
	ownerPoll = 50 * time.Millisecond
	// ownersTimeout bounds one reading.
	ownersTimeout = time.Second
)

// slotID identifies a slot of a service.
type slotID struct {
	service string
	slot    int
}

// owners knows which agent's incarnation owns each slot, as the platform last said.
//
// A router that has not read the rows since it registered hands over nothing.
type owners struct {
	mu   sync.RWMutex // guards all below
	by   map[slotID]claimer.Owner
	wake chan struct{}
}

// run reads the owners again and again until ctx ends.
func (o *owners) run(ctx context.Context, table storer.Table, services func() int) {
	o.mu.Lock()
	o.wake = make(chan struct{}, 1)
	o.mu.Unlock()
	for ctx.Err() == nil {
		o.refresh(ctx, table)
		interval := ownersInterval
		if o.count() < services()*claimer.SlotsPerService {
			interval = ownersHurry
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		case <-o.wake:
			pause(ctx, ownersFresh)
		}
	}
}

// count returns how many slots have an owner.
func (o *owners) count() int {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return len(o.by)
}

func (o *owners) refresh(ctx context.Context, table storer.Table) {
	ctx, cancel := context.WithTimeout(ctx, ownersTimeout)
	defer cancel()
	rows, err := claimer.ReadSlots(ctx, table, "")
	if err != nil {
		return
	}
	by := make(map[slotID]claimer.Owner, len(rows))
	for _, row := range rows {
		by[slotID{row.Service, row.Slot}] = row.Owner
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.by = by
}

// ask has the owners read again soon.
func (o *owners) ask() {
	o.mu.RLock()
	defer o.mu.RUnlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *owners) of(id slotID) (claimer.Owner, bool) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	owner, ok := o.by[id]
	return owner, ok
}

// owned reports whether a job may run only at the owner of its slot.
func (j *job) owned() bool {
	return j.nonIdempotent && !j.model
}

// claimKey returns the key that a non-idempotent job is claimed under.
func (j *job) claimKey() claimer.Key {
	key := j.key
	if key == "" {
		key = j.id
	}
	return claimer.Key{Service: j.serves, Organisation: j.organisation.Name, Key: key}
}

// awaitOwner returns the target that owns the job's slot, once its agent
// answers; nil if that takes too long.
func (r *Router) awaitOwner(ctx context.Context, j *job) *chooser.Candidate {
	ctx, cancel := context.WithTimeout(ctx, ownerWait)
	defer cancel()
	for ctx.Err() == nil {
		if c := r.ownerOf(j); c != nil {
			return c
		}
		r.owners.ask()
		pause(ctx, ownerPoll)
	}
	return nil
}

// ownerOf returns the target that owns the job's slot if it can be reached.
func (r *Router) ownerOf(j *job) *chooser.Candidate {
	owner, ok := r.owners.of(slotID{j.serves, j.claimKey().Slot()})
	if !ok {
		return nil
	}
	link := r.agents.Link(owner.Target)
	c := r.sheet.candidate(owner.Target)
	if link == nil || c == nil || link.Peer.Incarnation != owner.Incarnation || c.Draining() {
		return nil
	}
	return c
}
