// Package ejector decides how long a target is left out of placement after failures
// (outlier ejection).
//
// Health is plain data with no clock of its own. It handles two load patterns:
//
//   - Targets that crash. One lost connection ejects the target; the other requests of
//     the same crash do not prolong the ejection.
//   - Targets that fail requests at once. Such a target always looks idle, so placement
//     by load would send it most of its service's requests. A run of failure responses
//     ejects it; single ones do not, as services fail some requests in normal operation.
//
// An ejection ends by itself, so that real requests probe the target; each one in a row
// is twice as long as the one before.
//
// # Usage
//
//	var h ejector.Health
//	h.RecordFailure(now)     // a failure response
//	h.RecordLoss(now)        // no usable response
//	h.RecordSuccess(sentAt)  // a success
//	h.Ejected(now)
package ejector

import "time"

const (
	// minEjection and maxEjection bound how long a target stays ejected.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// maxDoublings is the number of doublings from minEjection that exceeds maxEjection.
	maxDoublings = 8
	// ejectingFailures is the number of failure responses in a row that ejects a target.
	ejectingFailures = 5
)

// Health is what one router knows of a target's failures. Its zero value is a target
// without any.
type Health struct {
	// failures counts failure responses in a row, the last of them at failedAt.
	failures int
	failedAt time.Time
	// ejections counts ejections in a row.
	ejections    int
	ejectedUntil time.Time
}

// Ejected reports whether the target is ejected.
func (h *Health) Ejected(now time.Time) bool {
	return now.Before(h.ejectedUntil)
}

// RecordLoss records a request without a usable response and returns the time until the
// target is offered requests again.
func (h *Health) RecordLoss(now time.Time) time.Duration {
	return h.eject(now)
}

// RecordFailure records a failure response and returns the time until the target is
// offered requests again, or 0 if it is not ejected.
func (h *Health) RecordFailure(now time.Time) time.Duration {
	h.failures++
	h.failedAt = now
	if h.failures < ejectingFailures {
		return 0
	}
	return h.eject(now)
}

// RecordSuccess records a successful response to a request that was sent at sentAt. A
// request that was sent before the last failure response does not show that the target
// has recovered.
func (h *Health) RecordSuccess(sentAt time.Time) {
	if h.failures > 0 && sentAt.Before(h.failedAt) {
		return
	}
	*h = Health{}
}

// eject ejects the target, or returns the rest of the current ejection: a crash fails
// many requests at once.
func (h *Health) eject(now time.Time) time.Duration {
	if h.Ejected(now) {
		return h.ejectedUntil.Sub(now)
	}
	ejection := min(minEjection<<min(h.ejections, maxDoublings), maxEjection)
	h.ejections++
	h.ejectedUntil = now.Add(ejection)
	return ejection
}
