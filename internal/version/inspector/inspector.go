// Package inspector decides whether a router may answer by the configuration that it has.
//
// Load pattern: clients send a router more than its link takes, some of it repeats of what was
// refused, while the configuration grows by more than a thousand routes. The reply that brings the
// change then arrives for seconds. Until it is whole the router answers that new routes don't exist,
// serves withdrawn keys, and what it accepts takes room from the reply.
//
// A router has all changes up to the last reply of its change feed. While that is recent, no change
// can be overdue. Afterwards the router knows that it is late if a reply is arriving; if nothing
// arrives, the store may be away for all, so what the configuration allows is still served.
//
// # Usage
//
//	switch inspector.Inspect(inspector.Feed{CurrentAt: currentAt, ArrivingAt: arrivingAt}, now) {
//	case inspector.Late: // refuse all requests
//	case inspector.Unsure: // refuse what the configuration doesn't know, without saying that it doesn't exist
//	}
package inspector

import "time"

const (
	// maxAge is the age from which a configuration may lack a change that is overdue: callers rely on
	// a change 3 s after it was made, and a request takes some of that time.
	maxAge = 2500 * time.Millisecond
	// arrivalTime is how long after a part of a reply the rest is expected.
	arrivalTime = 1500 * time.Millisecond
	// MinReplyBytes is the length from which a reply has changes in it.
	MinReplyBytes = 4 << 10
)

// Feed is what a router knows of its change feed.
type Feed struct {
	// CurrentAt is a time up to which all changes are in use, zero if no reply has been complete yet.
	CurrentAt time.Time
	// ArrivingAt is when the last part of a reply of MinReplyBytes or more arrived that wasn't
	// complete, zero if there was none since CurrentAt.
	ArrivingAt time.Time
}

// Verdict is whether a router may answer by its configuration.
type Verdict int

const (
	// Current means that no change is overdue.
	Current Verdict = iota
	// Unsure means that a change may be overdue.
	Unsure
	// Late means that a change that may be overdue is arriving.
	Late
)

// String returns the verdict's name.
func (v Verdict) String() string {
	switch v {
	case Current:
		return "current"
	case Unsure:
		return "unsure"
	case Late:
		return "late"
	default:
		return "unknown"
	}
}

// Inspect returns the verdict at a time.
func Inspect(f Feed, now time.Time) Verdict {
	switch {
	case now.Sub(f.CurrentAt) < maxAge:
		return Current
	case f.CurrentAt.IsZero():
		return Unsure // the router has just started, with another one's configuration
	case now.Sub(f.ArrivingAt) < arrivalTime:
		return Late
	default:
		return Unsure
	}
}
