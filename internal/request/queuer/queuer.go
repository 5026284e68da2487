// Package queuer orders requests before a target: by priority, inside a
// priority by weighted fair share of organisations, and with deadlines.
//
// # Usage
//
//	q := queuer.New(16)
//	release, err := q.Acquire(ctx, &queuer.Entry{Organisation: "alpha", Priority: 10, Weight: 1, Cost: 700})
//	var late *queuer.LateError
//	if errors.As(err, &late) {
//		// refused at once; late.RetryAfter says when to come back
//	}
//	defer release()
//
// An entry that can't end before its deadline is refused as soon as that is
// known. Urgent entries go first, but every sixteenth start goes to an ordinary entry
// if one waits: the head of the ordinary queue waits for at most fifteen
// urgent starts.
package queuer

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// urgentPriority is the least priority that may use the reserved slots.
	urgentPriority = 20
	// ordinaryEvery is the number of starts of which at least one is ordinary.
	ordinaryEvery = 16
	// reservedShare is the divisor that gives the least number of slots kept for
	// urgent work.
	reservedShare = 16
	// urgentWindow is the time over which the urgent work in hand is averaged.
	urgentWindow = 30 * time.Second
	// urgentSpread is how many standard deviations of it are reserved for.
	urgentSpread = 1.5
	// serviceSpread is how many mean deviations a service time may be longer
	// than the mean before an entry that has waited is too late.
	serviceSpread = 3
	// maxQueued bounds the entries that wait.
	maxQueued = 4096
	// maxWait bounds the wait that an entry without a deadline is let in for.
	maxWait = 20 * time.Second
	// serviceTimeGain is the gain of the moving average of service times.
	serviceTimeGain = 0.1
)

// ErrLeaving is returned once the queue is closed for new entries.
var ErrLeaving = errors.New("target is leaving")

// Entry is one request that waits for a slot.
type Entry struct {
	Organisation string
	Priority     int
	// Weight is the organisation's share; Cost is in tokens.
	Weight float64
	Cost   int64
	// Deadline is when an answer has lost its worth; zero means none.
	Deadline time.Time
	// Exclusive entries run with nothing else beside them.
	Exclusive bool

	tag     float64
	index   int
	started chan struct{}
	entered time.Time
	begun   time.Time
	isBegun bool
	isLate  bool // its deadline came too near while it waited
}

// Queue hands out the slots of one target.
type Queue struct {
	mu           sync.Mutex // guards all below
	capacity     int
	running      int
	ordinary     int // running entries below urgentPriority
	exclusive    bool
	leaving      bool
	waiting      map[int]*entries
	queued       int
	perOrg       map[string]int
	lastTag      map[string]float64
	virtual      float64
	urgentStarts int
	serviceTime  time.Duration
	serviceDev   time.Duration // mean deviation of service times
	urgent       int           // urgent entries that run or wait
	urgentMean   float64       // their moving average
	urgentAt     time.Time
	now          func() time.Time
}

// New returns a queue with capacity slots.
func New(capacity int) *Queue {
	return &Queue{
		capacity: capacity,
		waiting:  make(map[int]*entries),
		perOrg:   make(map[string]int),
		lastTag:  make(map[string]float64),
		now:      time.Now,
	}
}

// SetCapacity changes the number of slots.
func (q *Queue) SetCapacity(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.capacity = n
	q.dispatch()
}

// Acquire waits for a slot; release must be called once the entry has run.
func (q *Queue) Acquire(ctx context.Context, e *Entry) (release func(), err error) {
	if err := q.enter(e); err != nil {
		return nil, err
	}
	deadline, stop := q.deadline(e)
	defer stop()
	select {
	case <-e.started:
		if e.isLate {
			return nil, &DeadlineError{RetryAfter: q.estimate(e)}
		}
		return func() { q.release(e) }, nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-deadline:
		err = &DeadlineError{RetryAfter: q.estimate(e)}
	}
	if q.withdraw(e) {
		return nil, err
	}
	return func() { q.release(e) }, nil // it started meanwhile
}

// Drain refuses all new entries and those that wait.
func (q *Queue) Drain() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.leaving = true
}

// Stats returns the running and waiting entries, the capacity and whether the queue is leaving.
func (q *Queue) Stats() (running, queued, capacity int, leaving bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, q.queued, q.capacity, q.leaving
}

// enter puts an entry into the queue, or refuses it at once.
func (q *Queue) enter(e *Entry) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.leaving {
		return ErrLeaving
	}
	wait := q.estimateLocked(e)
	if q.queued >= maxQueued || (wait > 0 && wait+q.serviceTime > q.allowance(e)) {
		return &DeadlineError{RetryAfter: wait}
	}
	weight := e.Weight
	if weight <= 0 {
		weight = 1
	}
	e.started = make(chan struct{})
	e.entered = q.now()
	e.tag = max(q.virtual, q.lastTag[e.Organisation]) + float64(max(e.Cost, 1))/weight
	q.lastTag[e.Organisation] = e.tag
	q.push(e)
	q.dispatch()
	return nil
}

// withdraw takes a waiting entry out; false means that it has started.
func (q *Queue) withdraw(e *Entry) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if e.isBegun {
		return false
	}
	if !e.isLate {
		heap.Remove(q.waiting[e.Priority], e.index)
		q.left(e)
		q.countUrgent(e, -1)
		q.dispatch()
	}
	return true
}

func (q *Queue) release(e *Entry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	if e.Priority < urgentPriority {
		q.ordinary--
	}
	q.countUrgent(e, -1)
	if e.Exclusive {
		q.exclusive = false
	}
	took := q.now().Sub(e.begun)
	if q.serviceTime == 0 {
		q.serviceTime = took
	}
	off := took - q.serviceTime
	q.serviceTime += time.Duration(serviceTimeGain * float64(off))
	q.serviceDev += time.Duration(serviceTimeGain * float64(off.Abs()-q.serviceDev))
	q.dispatch()
}

func (q *Queue) push(e *Entry) {
	list, ok := q.waiting[e.Priority]
	if !ok {
		list = &entries{}
		q.waiting[e.Priority] = list
	}
	heap.Push(list, e)
	q.countUrgent(e, 1)
	q.queued++
	q.perOrg[e.Organisation]++
}

// left updates the counts after an entry has left the queue.
func (q *Queue) left(e *Entry) {
	q.queued--
	q.perOrg[e.Organisation]--
	if q.perOrg[e.Organisation] > 0 {
		return
	}
	delete(q.perOrg, e.Organisation)
	if q.queued == 0 {
		clear(q.lastTag)
		q.virtual = 0
	}
}
