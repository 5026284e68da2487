// Package queuer implements the request queue of a target. It orders requests by
// priority and, within a priority, by weighted fair queueing among organisations,
// and it refuses requests that can't meet their deadline.
//
// # Usage
//
//	q := queuer.New(16)
//	release, err := q.Acquire(ctx, &queuer.Entry{Organisation: "alpha", Priority: 10, Weight: 1, Cost: 700})
//	var deadlineErr *queuer.DeadlineError
//	if errors.As(err, &deadlineErr) {
//		// refused; retry after deadlineErr.RetryAfter
//	}
//	defer release()
//
// An entry that can't end before its deadline is refused as soon as that is
// known. Urgent entries start first, but at least one of sixteen starts is an
// ordinary entry if one waits: the head of the ordinary queue waits for at most
// fifteen urgent starts.
package queuer

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// urgentPriority is the lowest priority that may use the reserved slots.
	urgentPriority = 20
	// ordinaryStartInterval is the number of consecutive starts of which at least
	// one is an ordinary entry if one waits.
	ordinaryStartInterval = 16
	// reservedSlotDivisor divides the capacity to give the minimum number of slots
	// reserved for urgent entries.
	reservedSlotDivisor = 16
	// urgentWindow is the time constant of the moving average of urgent entries.
	urgentWindow = 30 * time.Second
	// urgentDeviations is the number of standard deviations above that average for
	// which slots are reserved.
	urgentDeviations = 1.5
	// serviceTimeDeviations is the number of mean deviations above the mean service
	// time that an entry must have left before its deadline, once it has waited for
	// half of its time.
	serviceTimeDeviations = 3
	// maxQueued bounds the number of waiting entries.
	maxQueued = 4096
	// maxWait is the longest estimated wait at which an entry without a deadline is
	// accepted.
	maxWait = 20 * time.Second
	// serviceTimeGain is the gain of the moving average of service times.
	serviceTimeGain = 0.1
)

// ErrDraining is returned for new entries once the queue is draining.
var ErrDraining = errors.New("target is draining")

// Entry is one request that waits for a slot or has one.
type Entry struct {
	Organisation string
	Priority     int
	// Weight is the organisation's weight in fair queueing, 1 if not positive; Cost is
	// the size of the request in tokens.
	Weight float64
	Cost   int64
	// Deadline is the time after which a response is useless; zero means none.
	Deadline time.Time
	// Exclusive entries run alone on the target.
	Exclusive bool

	finishTag  float64
	index      int
	started    chan struct{}
	enqueuedAt time.Time
	startedAt  time.Time
	isStarted  bool
	isRejected bool // could no longer meet its deadline when its turn came
}

// Queue assigns the slots of one target to requests.
type Queue struct {
	mu                    sync.Mutex // guards all below
	capacity              int
	running               int
	ordinaryRunning       int // running entries below urgentPriority
	exclusiveRunning      bool
	draining              bool
	queuesByPriority      map[int]*entryHeap
	queued                int
	queuedByOrganisation  map[string]int
	lastTagByOrganisation map[string]float64
	virtualTime           float64
	consecutiveUrgent     int
	meanServiceTime       time.Duration
	serviceTimeDeviation  time.Duration // mean deviation of service times
	urgentEntries         int           // urgent entries, running and waiting
	meanUrgentEntries     float64       // moving average of urgentEntries
	meanUrgentUpdatedAt   time.Time
	now                   func() time.Time
}

// New returns a queue with capacity slots.
func New(capacity int) *Queue {
	return &Queue{
		capacity:              capacity,
		queuesByPriority:      make(map[int]*entryHeap),
		queuedByOrganisation:  make(map[string]int),
		lastTagByOrganisation: make(map[string]float64),
		now:                   time.Now,
	}
}

// SetCapacity changes the number of slots.
func (q *Queue) SetCapacity(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.capacity = n
	q.startEntries()
}

// Acquire waits for a slot; release must be called once the entry has run. It returns
// a *DeadlineError if the entry can't meet its deadline, ErrDraining if the queue is
// draining, or the error of ctx.
func (q *Queue) Acquire(ctx context.Context, e *Entry) (release func(), err error) {
	if err := q.enqueue(e); err != nil {
		return nil, err
	}
	deadline, stop := q.deadlineTimer(e)
	defer stop()
	select {
	case <-e.started:
		if e.isRejected {
			return nil, &DeadlineError{RetryAfter: q.estimateWait(e)}
		}
		return func() { q.release(e) }, nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-deadline:
		err = &DeadlineError{RetryAfter: q.estimateWait(e)}
	}
	if q.withdraw(e) {
		return nil, err
	}
	return func() { q.release(e) }, nil // it started in the meantime
}

// Drain makes the queue refuse new entries; entries that wait still run.
func (q *Queue) Drain() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.draining = true
}

// Stats returns the numbers of running and waiting entries, the capacity, and whether
// the queue is draining.
func (q *Queue) Stats() (running, queued, capacity int, draining bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, q.queued, q.capacity, q.draining
}

// enqueue adds an entry to the queue, or refuses it at once.
func (q *Queue) enqueue(e *Entry) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.draining {
		return ErrDraining
	}
	expectedWait := q.estimateWaitLocked(e)
	if q.queued >= maxQueued || (expectedWait > 0 && expectedWait+q.meanServiceTime > q.maxWaitOf(e)) {
		return &DeadlineError{RetryAfter: expectedWait}
	}
	weight := e.Weight
	if weight <= 0 {
		weight = 1
	}
	e.started = make(chan struct{})
	e.enqueuedAt = q.now()
	e.finishTag = max(q.virtualTime, q.lastTagByOrganisation[e.Organisation]) + float64(max(e.Cost, 1))/weight
	q.lastTagByOrganisation[e.Organisation] = e.finishTag
	q.push(e)
	q.startEntries()
	return nil
}

// withdraw removes a waiting entry; it returns false if the entry has started.
func (q *Queue) withdraw(e *Entry) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if e.isStarted {
		return false
	}
	if !e.isRejected {
		heap.Remove(q.queuesByPriority[e.Priority], e.index)
		q.countRemoved(e)
		q.countUrgent(e, -1)
		q.startEntries()
	}
	return true
}

func (q *Queue) release(e *Entry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	if e.Priority < urgentPriority {
		q.ordinaryRunning--
	}
	q.countUrgent(e, -1)
	if e.Exclusive {
		q.exclusiveRunning = false
	}
	serviceTime := q.now().Sub(e.startedAt)
	if q.meanServiceTime == 0 {
		q.meanServiceTime = serviceTime
	}
	deviation := serviceTime - q.meanServiceTime
	q.meanServiceTime += time.Duration(serviceTimeGain * float64(deviation))
	q.serviceTimeDeviation += time.Duration(serviceTimeGain * float64(deviation.Abs()-q.serviceTimeDeviation))
	q.startEntries()
}

func (q *Queue) push(e *Entry) {
	waiting, ok := q.queuesByPriority[e.Priority]
	if !ok {
		waiting = &entryHeap{}
		q.queuesByPriority[e.Priority] = waiting
	}
	heap.Push(waiting, e)
	q.countUrgent(e, 1)
	q.queued++
	q.queuedByOrganisation[e.Organisation]++
}

// countRemoved updates the counts after an entry was taken from the queue.
func (q *Queue) countRemoved(e *Entry) {
	q.queued--
	q.queuedByOrganisation[e.Organisation]--
	if q.queuedByOrganisation[e.Organisation] > 0 {
		return
	}
	delete(q.queuedByOrganisation, e.Organisation)
	if q.queued == 0 {
		clear(q.lastTagByOrganisation)
		q.virtualTime = 0
	}
}
