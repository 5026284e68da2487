// Package throttler decides when a router may send a request to a target that limits the rate of
// requests from all routers together.
//
// The limit is often smaller than the number of routers, which can't ask each other before each
// request. A few routers, chosen by rendezvous hashing, hold equal parts of a target's limit
// (PartOf); the others send it nothing unless they hear nothing of it for long (ProbeAt). Each
// holder has a Bucket of few permits, mostly one, which its part refills. So in a window of length
// t, k holders of a limit l send at most k + l*t requests if no bucket holds more than one, also if
// all of them have waited for long: the number of holders keeps the sum within what a target
// tolerates. It handles these load patterns:
//
//   - Targets that take fewer requests a second than there are routers. An equal part for each
//     router would let all of them send a request at the same moment.
//   - Routers that know little: that have just started, or can't read the list of members. Of
//     these only the one that ranks itself first sends, at a small part of the limit, so that two
//     views of the members, each with a first router of its own, stay within the sum too.
//   - Callers that want more than all targets of a service take. Queue lets the most urgent ones
//     wait for the next permits and tells the others when to return, one after the other.
//
// # Usage
//
//	part := throttler.PartOf(limit, sharer.Hash(target), membership, now)
//	if bucket.Take(part, now) {
//		// Send the request; call bucket.Return() if no byte of it was sent.
//	}
package throttler

import (
	"time"

	"github.com/egretroute/egretroute/internal/request/sharer"
)

const (
	// minLimit is the rate, in requests a second, that counts as a lower limit: only a response
	// tells that the limit has risen or ended, and callers wait for that.
	minLimit = 0.4
	// minHolders is the number of routers that hold parts of a limit of one request a second;
	// each request a second more has one holder more. A lower limit has a single one, so that
	// its requests don't come in pairs with a long gap after them.
	minHolders = 2
	// probeAfter is the time without news of a limit after which the first router that holds no part
	// of it sends a request: the holders may be gone. The others follow ever later, so that the sum
	// stays small if none of them hears of the others.
	probeAfter = 8 * time.Second
	// uncertainShare is the share of the limit that a router uses which doesn't know all others.
	uncertainShare = 1.0 / 8
	// freshTime is the age up to which the list of members counts as up to date: a few times as
	// long as the store holds a call without changes. settleTime is how long a process is enrolled
	// before others rely on it; all others have read its row by then.
	freshTime  = 3 * time.Second
	settleTime = 5 * time.Second
	// burstTime is how long a part takes to fill its bucket, if that is more than one permit.
	burstTime = 500 * time.Millisecond
	// returnTime is the time over which the routers return to a target whose limit has ended.
	returnTime = 2 * time.Second
)

// Part is a router's part of a target's limit. The zero value lets nothing through.
type Part struct {
	// PerSecond is the rate of requests that the router may send.
	PerSecond float64
	// Initial is the number of permits, at most one, that the router begins with: the holders
	// begin at different ones, so that their requests are spread.
	Initial float64
	// Burst is the most permits that the router's bucket holds, 0 for what comes in burstTime.
	Burst float64
}

// PartOf returns this router's part of a limit in requests a second; key identifies the target.
func PartOf(limit float64, key uint64, m sharer.Membership, now time.Time) Part {
	limit = max(limit, minLimit)
	rank := m.Rank(key)
	if !m.Certain(freshTime, settleTime, now) {
		if rank > 0 || m.ReadAt.IsZero() {
			return Part{}
		}
		return Part{PerSecond: limit * uncertainShare}
	}
	holders := holdersOf(limit, m.Count())
	if rank >= holders {
		return Part{}
	}
	return Part{PerSecond: limit / float64(holders), Initial: (float64(rank) + 0.5) / float64(holders)}
}

// holdersOf returns how many of the routers hold parts of a limit.
func holdersOf(limit float64, routers int) int {
	if limit < 1 {
		return 1
	}
	return int(min(minHolders+limit, float64(routers)))
}

// ProbeAt returns when a router without a part of a limit may send a request to learn whether the
// limit holds, if it has had no news of it since heardAt. false means that the router needs none.
func ProbeAt(key uint64, m sharer.Membership, heardAt time.Time) (time.Time, bool) {
	rank := m.Rank(key)
	if rank == 0 || m.ReadAt.IsZero() {
		return time.Time{}, false
	}
	return heardAt.Add(time.Duration(rank*(rank+1)/2) * probeAfter), true
}

// capacity returns the most permits that a bucket holds.
func (p Part) capacity() float64 {
	if p.Burst > 0 {
		return p.Burst
	}
	return max(p.PerSecond*burstTime.Seconds(), 1)
}

// ReturnDelay returns how long after the end of a target's limit this router uses the target again.
// The routers return one after the other.
func ReturnDelay(key uint64, m sharer.Membership) time.Duration {
	return returnTime * time.Duration(m.Rank(key)) / time.Duration(m.Count())
}

// Bucket holds the permits of one router for one target. Its zero value is a bucket that has not
// been used.
type Bucket struct {
	permits   float64
	updatedAt time.Time
}

// refill adds the permits since the last call.
func (b *Bucket) refill(p Part, now time.Time) {
	if b.updatedAt.IsZero() {
		b.permits, b.updatedAt = p.Initial, now
	}
	if now.After(b.updatedAt) { // callers may have read the clock before another one's call
		b.permits += p.PerSecond * now.Sub(b.updatedAt).Seconds()
		b.updatedAt = now
	}
	b.permits = min(b.permits, p.capacity())
}

// Next returns when the next permit is available, not before now; false means never.
func (b *Bucket) Next(p Part, now time.Time) (time.Time, bool) {
	b.refill(p, now)
	switch {
	case b.permits >= 1:
		return now, true
	case p.PerSecond <= 0:
		return time.Time{}, false
	}
	return now.Add(time.Duration((1 - b.permits) / p.PerSecond * float64(time.Second))).Add(1), true
}

// Take takes a permit, if one is available.
func (b *Bucket) Take(p Part, now time.Time) bool {
	b.refill(p, now)
	if b.permits < 1 {
		return false
	}
	b.permits--
	return true
}

// Return gives a permit back that was not used.
func (b *Bucket) Return() {
	b.permits++ // the next refill keeps it within the capacity
}
