package assessor

import "time"

// Report is what one router tells another of a target: the load that it has placed there, and
// what the target has told it.
type Report struct {
	Target string
	// Start is the start of the target that the report is about; zero if it isn't known.
	Start time.Time
	Load  Load
	// Leaving is set if the target has said that it leaves.
	Leaving bool
	// PauseLeft is how much longer the target wants nothing from the reporting router.
	PauseLeft time.Duration
	// Crashed is set if the router has seen the target crash, CrashAge ago.
	Crashed  bool
	CrashAge time.Duration
	Limit    LimitReport
	// WarmupLeft is how much longer the target is cold, as far as the router knows this from others than
	// routers.
	WarmupLeft time.Duration
}

// Empty reports whether there is nothing to tell.
func (r Report) Empty() bool {
	return r.Load == Load{} && !r.Leaving && r.PauseLeft == 0 && !r.Crashed && !r.Limit.Known && r.WarmupLeft == 0
}

// LoadOn returns the reported load on the start of the target with the given time. A load
// on an earlier start is gone.
func (r Report) LoadOn(start time.Time) Load {
	if !r.Start.IsZero() && r.Start.Before(start) {
		return Load{}
	}
	return r.Load
}

// Report returns what to tell others of the start of the target with the given time. What
// this router has only heard from others is left out, but for the target's limit: others tell the
// rest themselves, while few routers send requests to a limited target.
func (t *Target) Report(id string, start, now time.Time) Report {
	r := Report{Target: id, Start: start, Load: t.Load, Leaving: t.leaving.about(start) && t.leaving.Source == Response}
	if until := t.paused.active(start, now); !until.IsZero() {
		r.PauseLeft = until.Sub(now)
	}
	if age := now.Sub(t.crashed.At); t.crashed.about(start) && t.crashed.Source == Response && age < crashLifetime {
		r.Crashed, r.CrashAge = true, max(age, 0)
	}
	r.Limit, r.WarmupLeft = t.limitReport(start, now), t.warmupLeft(start, now)
	return r
}

// RecordReport records another router's report, except for its load, and reports whether it
// is news that the target leaves, whether its limit has changed and whether it is news that it is cold.
func (t *Target) RecordReport(r Report, now time.Time) (leaves, limitChanged, cold bool) {
	f := Fact{Start: r.Start, At: now, Source: Peer}
	if r.Crashed {
		t.RecordCrash(Fact{Start: r.Start, At: now.Add(-max(r.CrashAge, 0)), Source: Peer})
	}
	if r.PauseLeft > 0 {
		t.RecordPause(f, r.PauseLeft)
	}
	return r.Leaving && t.RecordLeaving(f), r.Limit.Known && t.RecordLimit(r.limit(now)), t.RecordWarmup(f, r.WarmupLeft)
}
