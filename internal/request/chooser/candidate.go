package chooser

import (
	"sync/atomic"
	"time"
)

const (
	// reportLifetime is the age at which a load report counts for nothing.
	reportLifetime = 2 * time.Second
	// failuresToSetAside is how many failures in a row set a candidate aside.
	failuresToSetAside = 3
	minAside           = time.Second
	maxAside           = 30 * time.Second
)

// Candidate is a target as one router sees it.
type Candidate struct {
	Name     string
	Domain   string
	Capacity int

	inFlight   atomic.Int64
	others     atomic.Int64 // load by other routers as of the last report
	reportedAt atomic.Int64 // nanoseconds since the epoch
	leaving    atomic.Bool
	failures   atomic.Int64
	asideUntil atomic.Int64 // nanoseconds since the epoch
}

// Begin counts one request handed over; the returned function ends it.
func (c *Candidate) Begin() (end func()) {
	c.inFlight.Add(1)
	return func() { c.inFlight.Add(-1) }
}

// Report takes over what the agent says of its running and queued requests.
func (c *Candidate) Report(load int, leaving bool, now time.Time) {
	c.others.Store(max(int64(load)-c.inFlight.Load(), 0))
	c.reportedAt.Store(now.UnixNano())
	c.leaving.Store(leaving)
}

// Draining reports whether the target takes no new work.
func (c *Candidate) Draining() bool {
	return c.leaving.Load()
}

// RecordSuccess forgets earlier failures.
func (c *Candidate) RecordSuccess() {
	c.failures.Store(0)
	c.asideUntil.Store(0)
}

// RecordFailure counts a failure and sets the candidate aside after several in a row.
func (c *Candidate) RecordFailure(now time.Time) {
	n := c.failures.Add(1)
	if n < failuresToSetAside {
		return
	}
	aside := min(minAside<<min(n-failuresToSetAside, 10), maxAside)
	c.asideUntil.Store(now.Add(aside).UnixNano())
}

// aside reports whether the candidate is set aside; after the time it is probed.
func (c *Candidate) aside(now int64) bool {
	return c.asideUntil.Load() > now
}

// load estimates the requests at the target per slot: own ones in flight, plus
// the others' as reported, aged out.
func (c *Candidate) load(now int64) float64 {
	total := float64(c.inFlight.Load()) + c.freshness(now)*float64(c.others.Load())
	return total / float64(max(c.Capacity, 1))
}

// freshness is 1 for a report just made and 0 for one that counts no more.
func (c *Candidate) freshness(now int64) float64 {
	age := time.Duration(now - c.reportedAt.Load())
	return max(1-float64(age)/float64(reportLifetime), 0)
}

// Snapshot is a candidate's state at one moment.
type Snapshot struct {
	InFlight int64
	// Load is the estimated number of requests per slot.
	Load     float64
	Draining bool
	Ejected  bool
}

// Snapshot returns the candidate's state.
func (c *Candidate) Snapshot(now time.Time) Snapshot {
	nanos := now.UnixNano()
	return Snapshot{
		InFlight: c.inFlight.Load(), Load: c.load(nanos), Draining: c.Draining(), Ejected: c.aside(nanos),
	}
}
