package queuer

import (
	"container/heap"
	"math"
)

// startEntries starts entries while slots are free.
func (q *Queue) startEntries() {
	for {
		e := q.nextEntry()
		if e == nil {
			return
		}
		heap.Remove(q.queuesByPriority[e.Priority], e.index)
		q.countRemoved(e)
		if q.wouldMissDeadline(e) {
			e.isRejected = true
			q.countUrgent(e, -1)
			close(e.started)
			continue
		}
		q.start(e)
	}
}

// nextEntry returns the entry that may start next, or nil.
func (q *Queue) nextEntry() *Entry {
	if q.exclusiveRunning || q.running >= q.capacity {
		return nil
	}
	urgent, ordinary := q.heads()
	if ordinary != nil && q.ordinaryRunning >= q.capacity-q.reservedSlots() {
		ordinary = nil
	}
	e := urgent
	if e == nil || (ordinary != nil && q.consecutiveUrgent >= ordinaryStartInterval-1) {
		e = ordinary
	}
	if e != nil && e.Exclusive && q.running > 0 {
		return nil // wait until nothing else runs
	}
	return e
}

// heads returns the first urgent and the first ordinary entry.
func (q *Queue) heads() (urgent, ordinary *Entry) {
	for priority, waiting := range q.queuesByPriority {
		if waiting.Len() == 0 {
			continue
		}
		head := (*waiting)[0]
		switch {
		case priority >= urgentPriority && (urgent == nil || priority > urgent.Priority):
			urgent = head
		case priority < urgentPriority && (ordinary == nil || priority > ordinary.Priority):
			ordinary = head
		}
	}
	return urgent, ordinary
}

// reservedSlots returns the number of slots kept for urgent entries: their recent
// mean number plus urgentDeviations standard deviations, at most half the capacity.
func (q *Queue) reservedSlots() int {
	needed := int(math.Ceil(q.meanUrgentEntries + urgentDeviations*math.Sqrt(q.meanUrgentEntries)))
	return min(max(q.capacity/reservedSlotDivisor, needed), q.capacity/2)
}

// countUrgent updates the number of urgent entries and its moving average.
func (q *Queue) countUrgent(e *Entry, change int) {
	if e.Priority < urgentPriority {
		return
	}
	now := q.now()
	if !q.meanUrgentUpdatedAt.IsZero() {
		gain := 1 - math.Exp(-float64(now.Sub(q.meanUrgentUpdatedAt))/float64(urgentWindow))
		q.meanUrgentEntries += gain * (float64(q.urgentEntries) - q.meanUrgentEntries)
	}
	q.meanUrgentUpdatedAt = now
	q.urgentEntries += change
}

func (q *Queue) start(e *Entry) {
	q.running++
	q.virtualTime = max(q.virtualTime, e.finishTag-float64(max(e.Cost, 1))/max(e.Weight, 1e-9))
	if e.Priority < urgentPriority {
		q.ordinaryRunning++
		q.consecutiveUrgent = 0
	} else {
		q.consecutiveUrgent++
	}
	q.exclusiveRunning = e.Exclusive
	e.startedAt = q.now()
	e.isStarted = true
	close(e.started)
}
