package gateway

import (
	"slices"
	"time"

	"github.com/egretroute/egretroute/internal/process/registrar"
	"github.com/egretroute/egretroute/internal/request/assessor"
)

// closedTargets counts the targets of a service that take no requests from this router.
type closedTargets struct {
	leaving int
	paused  int
	// pausedUntil is the earliest end of a pause.
	pausedUntil time.Time
}

// open returns the targets that take requests from this router, and counts the others.
func (t *targetTracker) open(entries []registrar.Entry, now time.Time) (open []registrar.Entry, closed closedTargets) {
	t.mu.Lock()
	defer t.mu.Unlock()
	open = make([]registrar.Entry, 0, len(entries))
	for _, e := range entries {
		switch a := t.target(e.ID).Assess(e.StartedAt, now); a.State {
		case assessor.Leaving:
			closed.leaving++
		case assessor.Paused:
			closed.paused++
			if closed.pausedUntil.IsZero() || a.Until.Before(closed.pausedUntil) {
				closed.pausedUntil = a.Until
			}
		default:
			open = append(open, e)
		}
	}
	return open, closed
}

// sawStart records that the target has a start at the given time.
func (s *targetState) sawStart(start time.Time) {
	if start.After(s.start) {
		s.start = start
	}
}

// fact returns a fact that a target's response to this router has shown.
func (t *targetTracker) fact(target registrar.Entry, now time.Time) (*targetState, assessor.Fact) {
	s := t.target(target.ID)
	s.sawStart(target.StartedAt)
	return s, assessor.Fact{Start: target.StartedAt, At: now, Source: assessor.Response}
}

// recordLeaving records that a target says that it leaves, and reports whether that is news.
func (t *targetTracker) recordLeaving(target registrar.Entry, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, f := t.fact(target, now)
	news := s.RecordLeaving(f)
	t.urgentChange = t.urgentChange || news
	return news
}

// recordPause records that a target wants nothing from this router for d, and returns the
// time until it takes requests again.
func (t *targetTracker) recordPause(target registrar.Entry, d time.Duration, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, f := t.fact(target, now)
	t.urgentChange = true
	return s.RecordPause(f, d).Sub(now)
}

// recordLimit records what the response to a request that was sent at sentAt says of the target's
// limit. It returns the response's word and reports whether the limit has changed.
func (t *targetTracker) recordLimit(target registrar.Entry, l RateLimit, sentAt, now time.Time) (assessor.Limit, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, f := t.fact(target, now)
	limit := assessor.Limit{Fact: f, SentAt: sentAt, Stated: l.Stated, PerSecond: l.PerSecond}
	return limit, s.RecordLimit(limit)
}

// recordCrash records that a target has crashed.
func (t *targetTracker) recordCrash(target registrar.Entry, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, f := t.fact(target, now)
	s.RecordCrash(f)
	t.urgentChange = true
}

// isLeaving reports whether a target has said that it leaves.
func (t *targetTracker) isLeaving(target registrar.Entry, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.target(target.ID).Assess(target.StartedAt, now).State == assessor.Leaving
}

// maxReportedFacts bounds the targets without a running request in a report: facts that no
// report has room for are also in the targets' entries soon.
const maxReportedFacts = 8

// ownReports returns what this router tells its peers of targets: the load of those with
// running requests, and the newest facts about others.
func (t *targetTracker) ownReports(now time.Time) (reports []assessor.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var idle []assessor.Report
	for id, s := range t.targets {
		switch r := s.Report(id, s.start, now); {
		case r.Load.Running() > 0:
			reports = append(reports, r)
		case !r.Empty():
			idle = append(idle, r)
		}
	}
	slices.SortFunc(idle, func(a, b assessor.Report) int {
		return t.targets[b.Target].LearnedAt().Compare(t.targets[a.Target].LearnedAt())
	})
	return append(reports, idle[:min(len(idle), maxReportedFacts)]...)
}

// setPeerReports replaces the reports of another router. It returns the targets of which it
// is news that they leave.
func (t *targetTracker) setPeerReports(name string, reports []assessor.Report, now time.Time) (leaving []assessor.Report) {
	p := peerLoads{receivedAt: now, targets: make(map[string]assessor.Report, len(reports))}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		p.targets[r.Target] = r
		if r.Leaving || r.PauseLeft > 0 || r.Crashed {
			if t.target(r.Target).RecordReport(r, now) {
				leaving = append(leaving, r)
			}
		}
	}
	t.peerLoads[name] = p
	return leaving
}
