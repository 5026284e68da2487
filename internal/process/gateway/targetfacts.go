package gateway

import (
	"slices"
	"time"

	"github.com/egretroute/egretroute/internal/process/registrar"
	"github.com/egretroute/egretroute/internal/request/assessor"
	"github.com/egretroute/egretroute/internal/request/throttler"
)

// closedTargets counts the targets of a service that take no requests from this router.
type closedTargets struct {
	leaving int
	paused  int
	// pausedUntil is the earliest end of a pause.
	pausedUntil time.Time
	// limited counts the targets that take no request now since they limit the rate, supply what
	// they take.
	limited int
	supply  throttler.Supply
	// cold counts those of them that are cold.
	cold    int
	domains closedDomains
}

// open returns the targets that take the request from this router, and counts the others. The
// permits of limited targets go to the requests that wait for them first. Targets whose limit has
// just ended take requests if there are no others.
func (t *targetTracker) open(q *request, entries []registrar.Entry, now time.Time) (open []registrar.Entry, closed closedTargets) {
	m := t.membership()
	t.mu.Lock()
	defer t.mu.Unlock()
	ahead := t.service(q.service.Name).queue.Ahead(q.waiter, q.priority)
	open = make([]registrar.Entry, 0, len(entries))
	var returning []registrar.Entry
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
			th := t.throttle(e, m, now)
			switch {
			case !th.limited:
				open = append(open, e)
			case q.triedRuns[runOf(e)]: // a permit would not help
			case th.returning:
				returning = append(returning, e)
			case ahead == 0 && th.open(now):
				open = append(open, e)
			default:
				if th.open(now) {
					ahead--
				}
				closed.addLimited(th)
			}
		}
	}
	if len(open) == 0 {
		open = returning
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
	changed := s.RecordLimit(limit)
	t.tellLimit(s, target.StartedAt, changed, now)
	return limit, changed
}

// tellLimit has peers told of a limit that has changed, or of which nothing has been told for a
// while; t.mu must be held.
func (t *targetTracker) tellLimit(s *targetState, start time.Time, changed bool, now time.Time) {
	l := s.Limit(start)
	switch {
	case changed:
		s.limitToldAt, s.tellLimitUntil, t.urgentChange = l.At, now.Add(limitToldTime), true
	case l.Stated && l.At.Sub(s.limitToldAt) >= limitNewsInterval:
		s.limitToldAt, s.tellLimitUntil = l.At, maxTime(s.tellLimitUntil, now.Add(limitNewsTime))
	}
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

// maxFirstFacts bounds them in the first report to a process, which is told of all limits.
const maxFirstFacts = 64

// isNew reports whether nothing has come from this start of a router since its link came up.
func (t *targetTracker) isNew(peer, incarnation string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peerLoads[peer]
	return !ok || p.incarnation != incarnation
}

// ownReports returns what this router tells its peers of targets: the load of those with
// running requests, and the newest facts about others. Of limits only news are told, unless it is
// the first report to a peer.
func (t *targetTracker) ownReports(first bool, now time.Time) (reports []assessor.Report) {
	most := maxReportedFacts
	if first {
		most = maxFirstFacts
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var idle []assessor.Report
	for id, s := range t.targets {
		r := s.Report(id, s.start, now)
		if !first && now.After(s.tellLimitUntil) {
			r.Limit = assessor.LimitReport{}
		}
		switch {
		case r.Load.Running() > 0:
			reports = append(reports, r)
		case !r.Empty():
			idle = append(idle, r)
		}
	}
	slices.SortFunc(idle, func(a, b assessor.Report) int {
		return t.targets[b.Target].LearnedAt().Compare(t.targets[a.Target].LearnedAt())
	})
	return append(reports, idle[:min(len(idle), most)]...)
}

// peerNews is what a router's report says that is new.
type peerNews struct {
	leaving []assessor.Report
	limits  map[string]assessor.Limit // by target
	cold    []assessor.Report
}

// setPeerReports replaces the reports of another router and returns what is new.
func (t *targetTracker) setPeerReports(name, incarnation string, reports []assessor.Report, now time.Time) (news peerNews) {
	p := peerLoads{receivedAt: now, incarnation: incarnation, targets: make(map[string]assessor.Report, len(reports))}
	news.limits = make(map[string]assessor.Limit)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		p.targets[r.Target] = r
		if !r.Leaving && r.PauseLeft == 0 && !r.Crashed && !r.Limit.Known && r.WarmupLeft == 0 {
			continue
		}
		s := t.target(r.Target)
		leaves, limitChanged, cold := s.RecordReport(r, now)
		if leaves {
			news.leaving = append(news.leaving, r)
		}
		if cold {
			s.sawStart(r.Start)
			news.cold = append(news.cold, r)
		}
		if limitChanged {
			s.sawStart(r.Start)
			news.limits[r.Target] = s.Limit(r.Start)
		}
		if r.Limit.Known {
			t.tellLimit(s, r.Start, limitChanged, now)
		}
	}
	t.peerLoads[name] = p
	return news
}
