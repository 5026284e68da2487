package admitter

import (
	"sync"
	"time"
)

const (
	// maxLag is how late the process may be before it is overloaded: a small part of the time in
	// which clients expect a first token.
	maxLag = 20 * time.Millisecond
	// decrease and increase are the factors by which the limit follows the lag at each Adjust.
	decrease = 0.85
	increase = 1.08
	// minLimit is the least limit. With fewer requests in progress it is something else that makes
	// the process late, such as other programs of the host, and none is refused.
	minLimit = 64
	// organisationFactor bounds the requests of an organisation to a multiple of the
	// room that is left to all. One organisation alone gets four fifths of the limit.
	organisationFactor = 4
	// freeFactor is the ratio of the limit to the requests in progress from which there is no
	// limit.
	freeFactor = 4
)

// Concurrency limits the requests in progress to those for which the process has processor time.
//
// It answers more requests than a router can forward, most of them from one organisation: without a
// limit all requests are late, also those of other organisations, and clients leave before
// they are served. The limit follows how late the process is. An organisation may only have a
// multiple of the room left, so that the others find some, or an equal share if that is more. The
// zero value has no limit.
type Concurrency struct {
	mu             sync.Mutex // guards all below
	limit          float64    // 0 means none
	total          int
	byOrganisation map[string]int
}

// Enter reports whether another request of an organisation may be processed; Leave ends it.
func (c *Concurrency) Enter(organisation string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byOrganisation == nil {
		c.byOrganisation = make(map[string]int)
	}
	own := c.byOrganisation[organisation]
	room := organisationFactor * (c.limit - float64(c.total))
	equalShare := c.limit / float64(len(c.byOrganisation)+1)
	if c.limit > 0 && c.total >= minLimit && float64(own) >= max(room, equalShare) {
		return false
	}
	c.total++
	c.byOrganisation[organisation] = own + 1
	return true
}

// Leave ends a request that Enter has admitted.
func (c *Concurrency) Leave(organisation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total--
	if c.byOrganisation[organisation]--; c.byOrganisation[organisation] == 0 {
		delete(c.byOrganisation, organisation)
	}
}

// Adjust sets the limit by how late the process was since the last call, and returns it with the
// number of requests in progress. It is called every tenth of a second.
func (c *Concurrency) Adjust(lag time.Duration) (limit float64, inProgress int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case lag > maxLag:
		if c.limit == 0 {
			c.limit = float64(c.total)
		}
		c.limit = max(decrease*min(c.limit, float64(c.total)), minLimit)
	case c.limit > 0 && lag < maxLag/2:
		c.limit *= increase
		if c.limit > freeFactor*float64(max(c.total, minLimit)) {
			c.limit = 0
		}
	}
	return c.limit, c.total
}
