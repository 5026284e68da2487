package throttler

import (
	"cmp"
	"slices"
	"time"
)

const (
	// waitShare is the share of the time to its deadline that a request may wait for a permit.
	waitShare = 0.25
	// maxReturn bounds the time after which a refused request may return: limits change sooner.
	maxReturn = 10 * time.Second
)

// Supply is what a service's limited targets let through, while it has no other target.
type Supply struct {
	// Next is when the next permit is available; PerSecond is the rate of permits after it. It is 0
	// if this router holds none.
	Next      time.Time
	PerSecond float64
	// Total is the sum of the targets' limits, in requests a second.
	Total float64
}

// Waiter is a request that waits for a permit.
type Waiter struct {
	priority int
	number   uint64
}

// Queue orders the requests of one service that wait for permits: the most urgent ones first, and
// equally urgent ones in order of arrival. Its zero value is an empty queue.
type Queue struct {
	waiting  []*Waiter
	arrivals uint64
	// returnAt is when the last refused request was told to return.
	returnAt time.Time
}

// Join adds a request; priority 0 is the most urgent.
func (q *Queue) Join(priority int) *Waiter {
	q.arrivals++
	w := &Waiter{priority: priority, number: q.arrivals}
	i, _ := slices.BinarySearchFunc(q.waiting, w, func(a, b *Waiter) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.number, b.number))
	})
	q.waiting = slices.Insert(q.waiting, i, w)
	return w
}

// Leave removes a request that waits no longer.
func (q *Queue) Leave(w *Waiter) {
	if i := slices.Index(q.waiting, w); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// Ahead returns the number of requests that get permits before a request: w, or one that is not in
// the queue if w is nil.
func (q *Queue) Ahead(w *Waiter, priority int) int {
	if w != nil {
		return slices.Index(q.waiting, w)
	}
	for i, other := range q.waiting {
		if other.priority > priority {
			return i
		}
	}
	return len(q.waiting)
}

// Decision says whether a request without a target waits for a permit.
type Decision struct {
	// Wait is set if it waits; At is then when its permit is expected, and otherwise when the
	// client may return.
	Wait bool
	At   time.Time
}

// Decide decides on a request with the given number of requests ahead of it. Clients that are told
// to return do so one after the other, at the rate at which permits are available.
func (q *Queue) Decide(s Supply, ahead int, deadline, now time.Time) Decision {
	if s.PerSecond > 0 {
		expected := s.Next.Add(interval(float64(ahead), s.PerSecond))
		if expected.Sub(now) <= time.Duration(waitShare*float64(deadline.Sub(now))) {
			return Decision{Wait: true, At: expected}
		}
		return Decision{At: q.reserveReturn(expected, s.PerSecond, now)}
	}
	total := max(s.Total, minLimit)
	return Decision{At: q.reserveReturn(now.Add(interval(1, total)), total, now)}
}

// reserveReturn returns when the next refused client may return, not before the given time.
func (q *Queue) reserveReturn(notBefore time.Time, perSecond float64, now time.Time) time.Time {
	q.returnAt = q.returnAt.Add(interval(1, perSecond))
	if q.returnAt.Before(notBefore) {
		q.returnAt = notBefore
	}
	if latest := now.Add(maxReturn); q.returnAt.After(latest) {
		q.returnAt = latest
	}
	return q.returnAt
}

// interval returns the time in which n permits become available.
func interval(n, perSecond float64) time.Duration {
	return time.Duration(min(n/perSecond, maxReturn.Seconds()) * float64(time.Second))
}
