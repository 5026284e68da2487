package chooser

import (
	"sync/atomic"
	"time"
)

const (
	// reportLifetime is the age from which a load report is ignored.
	reportLifetime = 2 * time.Second
	// failuresToEject is the number of consecutive failures that eject a candidate.
	failuresToEject = 3
	// minEjection and maxEjection bound the time of an ejection, which doubles with
	// each further failure.
	minEjection = time.Second
	maxEjection = 30 * time.Second
)

// Candidate is a target with the state that one router keeps of it.
type Candidate struct {
	Name     string
	Domain   string
	Capacity int // in slots

	inFlight            atomic.Int64
	reportedOthers      atomic.Int64 // requests of other routers as of the last report
	reportedAt          atomic.Int64 // nanoseconds since the epoch
	draining            atomic.Bool
	consecutiveFailures atomic.Int64
	ejectedUntil        atomic.Int64 // nanoseconds since the epoch
}

// Begin counts one request in flight until the returned function is called.
func (c *Candidate) Begin() (end func()) {
	c.inFlight.Add(1)
	return func() { c.inFlight.Add(-1) }
}

// Report records an agent's load report: its running and queued requests, and whether
// it is draining.
func (c *Candidate) Report(load int, draining bool, now time.Time) {
	c.reportedOthers.Store(max(int64(load)-c.inFlight.Load(), 0))
	c.reportedAt.Store(now.UnixNano())
	c.draining.Store(draining)
}

// Draining reports whether the target takes no new requests.
func (c *Candidate) Draining() bool {
	return c.draining.Load()
}

// RecordSuccess resets the failure count and ends an ejection.
func (c *Candidate) RecordSuccess() {
	c.consecutiveFailures.Store(0)
	c.ejectedUntil.Store(0)
}

// RecordFailure counts a failure and ejects the candidate after several consecutive ones.
func (c *Candidate) RecordFailure(now time.Time) {
	failures := c.consecutiveFailures.Add(1)
	if failures < failuresToEject {
		return
	}
	ejectionTime := min(minEjection<<min(failures-failuresToEject, 10), maxEjection)
	c.ejectedUntil.Store(now.Add(ejectionTime).UnixNano())
}

// isEjected reports whether the candidate is ejected; once the time has passed, the next
// requests probe it.
func (c *Candidate) isEjected(now int64) bool {
	return c.ejectedUntil.Load() > now
}

// load estimates the number of requests per slot at the target: this router's requests in
// flight, plus those of other routers as reported, weighted by the report's freshness.
func (c *Candidate) load(now int64) float64 {
	total := float64(c.inFlight.Load()) + c.freshness(now)*float64(c.reportedOthers.Load())
	return total / float64(max(c.Capacity, 1))
}

// freshness falls linearly from 1 for a new report to 0 at reportLifetime.
func (c *Candidate) freshness(now int64) float64 {
	age := time.Duration(now - c.reportedAt.Load())
	return max(1-float64(age)/float64(reportLifetime), 0)
}

// Snapshot is the state of a candidate at one moment.
type Snapshot struct {
	InFlight int64
	// Load is the estimated number of requests per slot.
	Load     float64
	Draining bool
	Ejected  bool
}

// Snapshot returns the candidate's state at the given time.
func (c *Candidate) Snapshot(now time.Time) Snapshot {
	nowNanos := now.UnixNano()
	return Snapshot{
		InFlight: c.inFlight.Load(), Load: c.load(nowNanos), Draining: c.Draining(), Ejected: c.isEjected(nowNanos),
	}
}
