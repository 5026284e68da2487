package assessor

import (
	"math"
	"time"
)

// maxReportDelay bounds by how much a fact may be older than reports, over several routers, make it
// look.
const maxReportDelay = 500 * time.Millisecond

// Limit is the rate of requests that a target takes from all routers together, as one of its
// responses states it. Its zero value means that nothing is known.
type Limit struct {
	// Fact.At is when the response was received.
	Fact
	// SentAt is when the request was sent.
	SentAt time.Time
	// Stated is false if the response states no limit; PerSecond is the limit otherwise.
	Stated    bool
	PerSecond float64
}

// rate returns the limit, which is infinite if none is stated.
func (l Limit) rate() float64 {
	if !l.Stated {
		return math.Inf(1)
	}
	return l.PerSecond
}

// after reports whether l certainly came later than other: its request was sent after other's
// response was received. The times of what other routers say are inexact.
func (l Limit) after(other Limit) bool {
	inexact := time.Duration(0)
	if l.Source == Peer || other.Source == Peer {
		inexact = maxReportDelay
	}
	return l.SentAt.Sub(other.At) > inexact
}

// RecordLimit records what a response says of the target's limit, and reports whether the limit has
// changed. Responses arrive in any order: of two that may have been sent at the same time, the
// lower limit counts. A response is of the latest known start if that one's limit counts: else it
// could not end it.
func (t *Target) RecordLimit(l Limit) bool {
	known := t.limit
	if l.Source == Response && l.Start.Before(known.Start) && known.countsFor(l.Start) {
		l.Start = known.Start
	}
	switch {
	case l.Start.Before(known.Start):
		return false
	case known.At.IsZero() || known.Start.Before(l.Start):
		if !l.Stated && !known.countsFor(l.Start) {
			l = Limit{} // there is nothing to remember
		}
	case known.after(l), l.rate() > known.rate() && !l.after(known):
		return false
	case l.rate() == known.rate() && (!l.Stated || known.At.After(l.At)):
		return false
	}
	t.limit = l
	return l.rate() != known.rate()
}

// Limit returns the limit of the start with the given time, or of a later one. Its At is zero if
// nothing is known of them.
func (t *Target) Limit(start time.Time) Limit {
	if t.limit.countsFor(start) {
		return t.limit
	}
	return Limit{}
}

// countsFor reports whether the limit counts for the start with the given time. One that another
// router tells of a response that came after that start does: its list was behind.
func (l Limit) countsFor(start time.Time) bool {
	reportedSince := l.Source == Peer && !l.At.IsZero() && !start.IsZero() && l.At.Sub(start) > maxReportDelay
	return l.mayBeAbout(start) || reportedSince
}

// LimitReport is what one router tells another of a target's limit.
type LimitReport struct {
	// Known is set if there is something to tell.
	Known     bool
	Stated    bool
	PerSecond float64
	// Age is the time since the response was received, SentAge since its request was sent.
	Age     time.Duration
	SentAge time.Duration
}

// limitReport returns what to tell others of the limit of the start with the given time.
func (t *Target) limitReport(start, now time.Time) LimitReport {
	l := t.Limit(start)
	if l.At.IsZero() {
		return LimitReport{}
	}
	return LimitReport{Known: true, Stated: l.Stated, PerSecond: l.PerSecond, Age: max(now.Sub(l.At), 0), SentAge: max(now.Sub(l.SentAt), 0)}
}

// limit returns the limit that another router's report tells.
func (r Report) limit(now time.Time) Limit {
	return Limit{
		Fact:   Fact{Start: r.Start, At: now.Add(-max(r.Limit.Age, 0)), Source: Peer},
		SentAt: now.Add(-max(r.Limit.SentAge, 0)), Stated: r.Limit.Stated, PerSecond: max(r.Limit.PerSecond, 0),
	}
}
