// Package sharer divides what a whole fleet may use among routers that can't ask each other.
//
// A budget of the fleet, such as its retries or the requests a second that a target takes, belongs
// to no router. Each router works out its own part from what it knows of the others. Membership is
// that knowledge, as plain data. What routers know differs for a while after a start, and for as
// long as one can't read the list of members, so a router takes a full part only while its knowledge
// is certain: then every other router whose knowledge is certain has counted it, and it has
// counted them, however they are partitioned.
//
// # Usage
//
//	m := sharer.Membership{Self: sharer.Hash("router-1"), Routers: hashes, ReadAt: readAt, EnrolledAt: enrolledAt}
//	if m.Certain(fresh, settled, time.Now()) {
//		part := total / float64(m.Count())
//	}
//	if m.Rank(key) < holders {
//		// This router is one of the few that hold what belongs to the key.
//	}
package sharer

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Membership is what a router knows of the routers of its fleet.
type Membership struct {
	// Self is the hash of this router's name, Routers the hashes of the names of all routers that
	// may use a part.
	Self    uint64
	Routers []uint64
	// ReadAt is when Routers was known to be up to date, EnrolledAt when this process was
	// enrolled; zero if never.
	ReadAt     time.Time
	EnrolledAt time.Time
}

// Hash returns the hash of a router's name, or of a key.
func Hash(name string) uint64 {
	return xxhash.Sum64String(name)
}

// Certain reports whether Routers was up to date within the time fresh and this process has been
// enrolled for the time settled. If settled is not less than fresh, all routers for which it is true
// at the same time know each other, and an earlier process of this router has ended before the
// time settled.
func (m Membership) Certain(fresh, settled time.Duration, now time.Time) bool {
	return !m.ReadAt.IsZero() && now.Sub(m.ReadAt) <= fresh && !m.EnrolledAt.IsZero() && now.Sub(m.EnrolledAt) >= settled
}

// Count returns the number of routers, at least one.
func (m Membership) Count() int {
	return max(len(m.Routers), 1)
}

// Rank returns the position of this router in the order that rendezvous hashing gives all routers
// for a key, from 0. Routers that know of the same others agree on it; one that knows of fewer
// ranks itself no lower than others do.
func (m Membership) Rank(key uint64) int {
	own, rank := score(m.Self, key), 0
	for _, r := range m.Routers {
		if r != m.Self && score(r, key) < own {
			rank++
		}
	}
	return rank
}

// score orders the routers for a key.
func score(router, key uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], router)
	binary.LittleEndian.PutUint64(b[8:], key)
	return xxhash.Sum64(b[:])
}
