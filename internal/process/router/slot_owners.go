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
	ownersRefreshInterval = 2 * time.Second
	// ownersUrgentInterval is the refresh interval while a slot has no owner.
	ownersUrgentInterval = 250 * time.Millisecond
	// ownersMinRefreshGap is the shortest time between two refreshes that requests ask for.
	ownersMinRefreshGap = 250 * time.Millisecond
	// ownerWaitTimeout is how long a request waits for its slot to have a reachable owner.
	ownerWaitTimeout  = 8 * time.Second
	ownerPollInterval = 50 * time.Millisecond
	// ownersReadTimeout bounds one read of the rows.
	ownersReadTimeout = time.Second
)

// slotID identifies a slot of a service.
type slotID struct {
	service string
	slot    int
}

// slotOwners caches which agent's incarnation owns each slot, as last read from the
// platform.
//
// A router that has not read the rows since it registered dispatches nothing.
type slotOwners struct {
	// onRead is called with the rows of each read and the time from which they were read.
	onRead func(rows []claimer.SlotRow, readAt time.Time)

	mu     sync.RWMutex // guards all below
	bySlot map[slotID]claimer.Owner
	wake   chan struct{}
}

// run refreshes the owners periodically and on request until ctx ends.
func (o *slotOwners) run(ctx context.Context, table storer.Table, services func() int) {
	o.mu.Lock()
	o.wake = make(chan struct{}, 1)
	o.mu.Unlock()
	for ctx.Err() == nil {
		o.refresh(ctx, table)
		interval := ownersRefreshInterval
		if o.count() < services()*claimer.SlotsPerService {
			interval = ownersUrgentInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		case <-o.wake:
			sleep(ctx, ownersMinRefreshGap)
		}
	}
}

// count returns how many slots have an owner.
func (o *slotOwners) count() int {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return len(o.bySlot)
}

func (o *slotOwners) refresh(ctx context.Context, table storer.Table) {
	ctx, cancel := context.WithTimeout(ctx, ownersReadTimeout)
	defer cancel()
	readAt := time.Now()
	rows, err := claimer.ReadSlots(ctx, table, "")
	if err != nil {
		return
	}
	bySlot := make(map[slotID]claimer.Owner, len(rows))
	for _, row := range rows {
		bySlot[slotID{row.Service, row.Slot}] = row.Owner
	}
	o.mu.Lock()
	o.bySlot = bySlot
	o.mu.Unlock()
	o.onRead(rows, readAt)
}

// requestRefresh makes run read the owners again soon.
func (o *slotOwners) requestRefresh() {
	o.mu.RLock()
	defer o.mu.RUnlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *slotOwners) get(id slotID) (claimer.Owner, bool) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	owner, ok := o.bySlot[id]
	return owner, ok
}

// requiresSlotOwner reports whether a request may run only at the owner of its slot.
func (creq *clientRequest) requiresSlotOwner() bool {
	return creq.nonIdempotent && !creq.model
}

// claimKey returns the key under which a non-idempotent request is claimed.
func (creq *clientRequest) claimKey() claimer.Key {
	key := creq.key
	if key == "" {
		key = creq.id
	}
	return claimer.Key{Service: creq.serves, Organisation: creq.organisation.Name, Key: key}
}

// awaitSlotOwner waits until the owner of the request's slot can be reached and
// returns its target, or nil after ownerWaitTimeout.
func (r *Router) awaitSlotOwner(ctx context.Context, creq *clientRequest) *chooser.Candidate {
	ctx, cancel := context.WithTimeout(ctx, ownerWaitTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if c := r.slotOwner(creq); c != nil {
			return c
		}
		r.slotOwners.requestRefresh()
		sleep(ctx, ownerPollInterval)
	}
	return nil
}

// slotOwner returns the target that owns the request's slot, or nil if the owner
// is unknown, unreachable or draining.
func (r *Router) slotOwner(creq *clientRequest) *chooser.Candidate {
	owner, ok := r.slotOwners.get(slotID{creq.serves, creq.claimKey().Slot()})
	if !ok {
		return nil
	}
	link := r.agents.Link(owner.Target)
	c := r.directory.candidate(owner.Target)
	if link == nil || c == nil || link.Peer.Incarnation != owner.Incarnation || c.Draining() {
		return nil
	}
	return c
}
