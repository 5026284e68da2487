package queuer

import (
	"fmt"
	"time"
)

// DeadlineError is returned for an entry that can't run before its deadline, or that
// finds the queue too long.
type DeadlineError struct {
	// RetryAfter is the estimated wait of such an entry.
	RetryAfter time.Duration
}

// Error implements error.
func (e *DeadlineError) Error() string {
	return fmt.Sprintf("the queue is too long for the deadline; retry after %s", e.RetryAfter)
}

// maxWaitOf returns the longest time for which an entry may wait.
func (q *Queue) maxWaitOf(e *Entry) time.Duration {
	if e.Deadline.IsZero() {
		return maxWait
	}
	return e.Deadline.Sub(q.now())
}

// deadlineTimer returns a channel that fires at the entry's deadline, and a function
// that stops the timer.
func (q *Queue) deadlineTimer(e *Entry) (<-chan time.Time, func()) {
	if e.Deadline.IsZero() {
		return nil, func() {}
	}
	timer := time.NewTimer(time.Until(e.Deadline))
	return timer.C, func() { timer.Stop() }
}

// estimateWait returns the wait that an entry like e would have if it were enqueued now.
func (q *Queue) estimateWait(e *Entry) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.estimateWaitLocked(e)
}

// estimateWaitLocked estimates the wait from the number of entries that start before
// e. With fair shares that is at most its organisation's queue length times the
// number of organisations with waiting entries.
func (q *Queue) estimateWaitLocked(e *Entry) time.Duration {
	ahead := 0
	for priority, waiting := range q.queuesByPriority {
		if priority >= e.Priority {
			ahead += waiting.Len()
		}
	}
	fairShareAhead := q.queuedByOrganisation[e.Organisation] * max(len(q.queuedByOrganisation), 1)
	ahead = min(ahead, fairShareAhead)
	if ahead == 0 {
		return 0
	}
	return time.Duration(ahead) * q.meanServiceTime / time.Duration(max(q.capacity, 1))
}

// wouldMissDeadline reports whether an entry would likely end after its deadline.
// Starting it would take the slot from an entry that can still meet its deadline.
func (q *Queue) wouldMissDeadline(e *Entry) bool {
	if e.Deadline.IsZero() {
		return false
	}
	timeLeft := e.Deadline.Sub(q.now())
	waited := q.now().Sub(e.enqueuedAt)
	if waited < timeLeft {
		return timeLeft <= 0
	}
	return timeLeft < q.longServiceTime()
}

// longServiceTime returns a service time that few requests exceed.
func (q *Queue) longServiceTime() time.Duration {
	return q.meanServiceTime + serviceTimeDeviations*q.serviceTimeDeviation
}
