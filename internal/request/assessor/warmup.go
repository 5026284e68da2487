package assessor

import "time"

// maxWarmup bounds the time for which a target may say that it is cold.
const maxWarmup = time.Hour

// Warmup is a time in which a target is cold. Its zero value means that nothing is known.
type Warmup struct {
	Fact
	Until time.Time
}

// RecordWarmup records that the target is cold for d from f.At on, and reports whether it was not
// known to be cold then. Of two words on the same start the one with the later end counts.
func (t *Target) RecordWarmup(f Fact, d time.Duration) bool {
	if d <= 0 || f.Start.Before(t.warmup.Start) {
		return false
	}
	until := f.At.Add(min(d, maxWarmup))
	first := t.warmup.superseded(f.Start)
	if f.Source == Peer && !first && until.Sub(t.warmup.Until) <= maxReportDelay {
		return false // it tells the same end, late
	}
	news := first || !f.At.Before(t.warmup.Until)
	if news || t.warmup.Until.Before(until) {
		t.warmup = Warmup{Fact: f, Until: until}
	}
	return news
}

// WarmsUntil returns the end of the last time in which the start with the given time is cold, or zero if
// none is known.
func (t *Target) WarmsUntil(start time.Time) time.Time {
	if !t.warmup.about(start) {
		return time.Time{}
	}
	return t.warmup.Until
}

// warmupLeft returns what to tell others of how much longer the target is cold. What others have told is left
// out: each passing on would add its delay to the end.
func (t *Target) warmupLeft(start, now time.Time) time.Duration {
	if t.warmup.Source == Peer {
		return 0
	}
	return max(t.WarmsUntil(start).Sub(now), 0)
}
