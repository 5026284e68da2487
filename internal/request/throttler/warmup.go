package throttler

import (
	"time"

	"github.com/egretroute/egretroute/internal/request/sharer"
)

const (
	// warmupShare is the share of what a cold target takes that its holders use, youngShare the share of that
	// which young routers use: those that have read the list of members lately and not been enrolled for settleTime.
	warmupShare = 0.8
	youngShare  = 0.5
	// holderRoom is the room above the rate, in requests, for which there is one holder.
	holderRoom = 4
)

// Warmup is what a cold target takes from all routers together. Its zero value means that cold targets are
// as good as others.
type Warmup struct {
	// PerSecond is the rate of requests, Most the number of them in any one second.
	PerSecond float64
	Most      float64
	// Lasts is how long a target is cold after its start.
	Lasts time.Duration
}

// Bounded reports whether a cold target takes only so many requests.
func (w Warmup) Bounded() bool {
	return w.PerSecond > 0
}

// Part returns this router's part of what a cold target takes; key identifies the target. In one second k
// holders with buckets of b permits send at most k*b more than the rate lets through. A part of the room above
// the rate is for the holders, the rest for routers that don't know all others: when all start anew, the young
// ones that rank themselves first hold smaller parts, and of those that can't read the list of members only the first.
func (w Warmup) Part(key uint64, m sharer.Membership, now time.Time) Part {
	perSecond := min(w.PerSecond, w.Most/2)
	if w.Most-perSecond >= holderRoom {
		perSecond = min(warmupShare*w.PerSecond, perSecond)
	}
	room := w.Most - perSecond
	if room < 0.5 {
		return Part{} // not one request is allowed
	}
	rank, holders := m.Rank(key), int(max(min(room/holderRoom, float64(m.Count())), 1))
	part := Part{
		PerSecond: perSecond / float64(holders), Initial: (float64(rank) + 0.5) / float64(holders),
		Burst: max(min(perSecond*burstTime.Seconds(), room/holderRoom)/float64(holders), 1),
	}
	unused := room - part.Burst*float64(holders)
	young, lone := youngShare*perSecond+float64(holders), uncertainShare*perSecond+1
	switch {
	case m.ReadAt.IsZero():
	case m.Certain(freshTime, settleTime, now):
		if rank < holders {
			return part
		}
	case now.Sub(m.ReadAt) <= freshTime && unused >= young+lone:
		if rank < holders {
			return Part{PerSecond: youngShare * part.PerSecond, Burst: 1}
		}
	case rank == 0 && unused >= 2*lone:
		return Part{PerSecond: uncertainShare * perSecond, Burst: 1}
	}
	return Part{}
}

// Tighter returns a part that keeps within both of two parts of what one target takes.
func (p Part) Tighter(other Part) Part {
	return Part{
		PerSecond: min(p.PerSecond, other.PerSecond), Initial: min(p.Initial, other.Initial), Burst: min(p.capacity(), other.capacity()),
	}
}
