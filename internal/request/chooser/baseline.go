package chooser

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// random chooses uniformly at random.
type random struct{}

// NewRandom returns a baseline Chooser that chooses at random and ignores load.
func NewRandom() Chooser {
	return random{}
}

// Choose implements Chooser.Choose.
func (random) Choose(candidates []*Candidate, _ uint64, _ time.Time) int {
	if len(candidates) == 0 {
		return -1
	}
	return rand.IntN(len(candidates))
}

// roundRobin chooses the candidates in turn.
type roundRobin struct {
	next atomic.Uint64
}

// NewRoundRobin returns a baseline Chooser that chooses the candidates in turn.
func NewRoundRobin() Chooser {
	return &roundRobin{}
}

// Choose implements Chooser.Choose.
func (r *roundRobin) Choose(candidates []*Candidate, _ uint64, _ time.Time) int {
	if len(candidates) == 0 {
		return -1
	}
	return int(r.next.Add(1) % uint64(len(candidates)))
}

// leastReported chooses the least loaded candidate by the last reports, however old.
type leastReported struct{}

// NewLeastReported returns a baseline Chooser that chooses by the last load reports
// without regard to their age or to its own requests in flight.
func NewLeastReported() Chooser {
	return leastReported{}
}

// Choose implements Chooser.Choose.
func (leastReported) Choose(candidates []*Candidate, _ uint64, _ time.Time) int {
	best := -1
	for i, c := range candidates {
		if best < 0 || c.reportedOthers.Load() < candidates[best].reportedOthers.Load() {
			best = i
		}
	}
	return best
}
