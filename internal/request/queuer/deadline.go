package queuer

import (
	"fmt"
	"time"
)

// DeadlineError is returned for an entry that could not start in time.
type DeadlineError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *DeadlineError) Error() string {
	return fmt.Sprintf("the queue is longer than the deadline allows; come back in %s", e.RetryAfter)
}

// allowance returns how long an entry may wait.
func (q *Queue) allowance(e *Entry) time.Duration {
	if e.Deadline.IsZero() {
		return maxWait
	}
	return e.Deadline.Sub(q.now())
}

func (q *Queue) deadline(e *Entry) (<-chan time.Time, func()) {
	if e.Deadline.IsZero() {
		return nil, func() {}
	}
	t := time.NewTimer(time.Until(e.Deadline))
	return t.C, func() { t.Stop() }
}

// estimate returns how long an entry like e would wait now.
func (q *Queue) estimate(e *Entry) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.estimateLocked(e)
}

// estimateLocked counts what will start before e: for an ordinary entry the
// smaller of the whole queue and its organisation's queue times the number of
// organisations that wait.
func (q *Queue) estimateLocked(e *Entry) time.Duration {
	ahead := 0
	for priority, list := range q.waiting {
		if priority >= e.Priority {
			ahead += list.Len()
		}
	}
	own := q.perOrg[e.Organisation] * max(len(q.perOrg), 1)
	ahead = min(ahead, own)
	if ahead == 0 {
		return 0
	}
	return time.Duration(ahead) * q.serviceTime / time.Duration(max(q.capacity, 1))
}

// tooLate reports whether an entry would likely end after its deadline: to
// start it would only take the slot from one that can still be in time.
func (q *Queue) tooLate(e *Entry) bool {
	if e.Deadline.IsZero() {
		return false
	}
	left := e.Deadline.Sub(q.now())
	waited := q.now().Sub(e.entered)
	if waited < left {
		return left <= 0
	}
	return left < q.longService()
}

// longService is a service time that few requests take longer than.
func (q *Queue) longService() time.Duration {
	return q.serviceTime + serviceSpread*q.serviceDev
}
