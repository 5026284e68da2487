package gateway

import (
	"time"

	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/registrar"
	"github.com/egretroute/egretroute/internal/request/assessor"
	"github.com/egretroute/egretroute/internal/request/throttler"
)

// warmup returns what a cold target of a service takes.
func (g *Gateway) warmup(service string) throttler.Warmup {
	m := g.matcher.Load()
	if m == nil {
		return throttler.Warmup{}
	}
	s, ok := m.Service(service)
	if !ok || s.WarmupPerSecond <= 0 {
		return throttler.Warmup{}
	}
	limits := g.limits.Load()
	return throttler.Warmup{PerSecond: s.WarmupPerSecond, Most: s.WarmupPerSecond*limits.ColdOverage + limits.ColdTolerance, Lasts: s.Warmup}
}

// isCold reports whether a target is cold and takes only so many requests then; t.mu must be held.
func (t *targetTracker) isCold(e registrar.Entry, now time.Time) bool {
	return now.Before(t.coldUntil(e))
}

// coldUntil returns the end of the last time in which a target is cold and takes only so many requests, zero if
// there was none. Targets in a domain that is no longer drained may have become cold without having said so. t.mu must
// be held.
func (t *targetTracker) coldUntil(e registrar.Entry) time.Time {
	w := t.warmup(e.Service)
	if !w.Bounded() {
		return time.Time{}
	}
	until := t.target(e.ID).WarmsUntil(e.StartedAt)
	if !e.RestoredAt.IsZero() {
		until = maxTime(until, e.RestoredAt.Add(w.Lasts))
	}
	return until
}

// recordWarmup records that a target is cold for d from f.At on, and reports whether that is news.
func (t *targetTracker) recordWarmup(target string, f assessor.Fact, d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.target(target)
	news := s.RecordWarmup(f, d)
	if news {
		s.sawStart(f.Start)
	}
	return news
}

// recordWarmups records which targets are cold by their entries, or since they have just appeared.
func (g *Gateway) recordWarmups(entries []registrar.Entry) {
	m := g.matcher.Load()
	if m == nil {
		return // they are recorded with the configuration
	}
	for _, e := range entries {
		s, ok := m.Service(e.Service)
		if !ok || s.WarmupPerSecond <= 0 || e.Draining {
			continue
		}
		g.recordWarmup(e, assessor.Fact{Start: e.StartedAt, At: e.ReadAt, Source: assessor.Entry}, e.WarmupRemaining)
		if !e.AppearedAt.IsZero() {
			g.recordWarmup(e, assessor.Fact{Start: e.StartedAt, At: e.AppearedAt, Source: assessor.Appearance}, s.Warmup)
		}
	}
}

// recordWarmup records that a target is cold for d from f.At on.
func (g *Gateway) recordWarmup(e registrar.Entry, f assessor.Fact, d time.Duration) {
	if left := d - time.Since(f.At); left > 0 && g.tracker.recordWarmup(e.ID, f, d) {
		g.logCold(e.ID, f.Source, left, "start", e.StartedAt)
	}
}

// logCold logs and counts that a target is cold; attrs name what this router knows it from.
func (g *Gateway) logCold(target string, source assessor.Source, left time.Duration, attrs ...any) {
	g.metrics.warmups.WithLabelValues(source.String()).Inc()
	logger.TargetCold.Log(g.Log, append([]any{"target", target, "source", source.String(), "left", left}, attrs...)...)
	g.watchWarmup(target, left)
}

// coldTargets returns the listed targets that are cold.
func (g *Gateway) coldTargets(now time.Time) map[string]bool {
	cold := make(map[string]bool)
	entries, _ := g.inOpenDomains(nil, g.targets.All(), now)
	g.tracker.mu.Lock()
	defer g.tracker.mu.Unlock()
	for _, e := range entries {
		if g.tracker.isCold(e, now) {
			cold[e.ID] = true
		}
	}
	return cold
}

// watchWarmup logs when a target is cold no longer; left is how much longer it is.
func (g *Gateway) watchWarmup(target string, left time.Duration) {
	time.AfterFunc(left, func() {
		e, listed := g.targets.Entry(target)
		if !listed {
			return
		}
		if left := g.tracker.coldLeft(e, time.Now()); left > 0 { // it was prolonged
			g.watchWarmup(target, left)
			return
		}
		logger.TargetWarm.Log(g.Log, "target", target)
	})
}

// coldLeft returns how much longer a target is cold.
func (t *targetTracker) coldLeft(e registrar.Entry, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.target(e.ID).WarmsUntil(e.StartedAt).Sub(now)
}
