package gateway

import (
	"time"

	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/registrar"
	"github.com/egretroute/egretroute/internal/request/assessor"
)

// recordWithdrawal records what a target's response to the request says of the requests after it:
// that the target leaves, or for how long it wants none from this router. The caller has checked that
// the response is the request's own.
func (g *Gateway) recordWithdrawal(q *request, target registrar.Entry, m ResponseMetadata) {
	if m.Misdirected {
		return // another target responded
	}
	now := time.Now()
	if m.Leaving && g.tracker.recordLeaving(target, now) {
		g.logLeaving(target.ID, target.StartedAt, assessor.Response, "request", q.ID)
	}
	if m.PauseFor > 0 {
		left := g.tracker.recordPause(target, m.PauseFor, now)
		g.metrics.withdrawals.WithLabelValues("pause", assessor.Response.String()).Inc()
		logger.TargetPaused.Log(g.Log, "target", target.ID, "start", target.StartedAt, "request", q.ID, "asked", m.PauseFor, "left", left)
	}
	if m.RateLimit.Unreadable {
		logger.TargetLimitUnreadable.Log(g.Log, "target", target.ID, "request", q.ID, "limit", m.RateLimit.Text)
	} else if limit, changed := g.tracker.recordLimit(target, m.RateLimit, q.inFlight.startedAt, now); changed {
		g.logLimit(target.ID, limit, "request", q.ID)
	}
}

// logLeaving logs and counts that a target leaves; attrs name what this router knows it from.
func (g *Gateway) logLeaving(target string, start time.Time, source assessor.Source, attrs ...any) {
	g.metrics.withdrawals.WithLabelValues("leaving", source.String()).Inc()
	logger.TargetLeaving.Log(g.Log, append([]any{"target", target, "start", start, "source", source.String()}, attrs...)...)
}
