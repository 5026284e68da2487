package gateway

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/egretroute/egretroute/internal/connection/exchanger"
	"github.com/egretroute/egretroute/internal/process/archiver"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/registrar"
	"github.com/egretroute/egretroute/internal/process/storer"
	"github.com/egretroute/egretroute/internal/request/sharer"
	"github.com/egretroute/egretroute/internal/request/suspecter"
)

const (
	// crashTable holds one row for each router, with the crashes that it has seen.
	crashTable = "crashes"
	// crashFeedWait is how long the store may hold a Watch call for crashes open: longer
	// than for other tables, since routers tell each other of crashes too.
	crashFeedWait = 5 * time.Second
	// maxCachedCrashes bounds the observations that a router which starts without the
	// store gets from a peer.
	maxCachedCrashes = 256
	// crashSettleTime is within what routers need to tell each other of a crash.
	crashSettleTime = 100 * time.Millisecond
	// probeTimeout bounds the dials that tell a crash from a broken connection. A refusal,
	// the only answer that counts, usually takes one round trip.
	probeTimeout = 100 * time.Millisecond
	// maxCrashesPerRequest is how many targets one request may crash, whether it or one
	// that ran beside it is to blame.
	maxCrashesPerRequest = 2
	// memberFreshTime and memberSettleTime say when this router knows its turn among the others to
	// try a cause again; uncertainTurn is how much later it may try otherwise.
	memberFreshTime  = 3 * time.Second
	memberSettleTime = 3 * time.Second
	uncertainTurn    = time.Minute
	// maxLoggedFeatures bounds the features, and the crashes with one, in a log line.
	maxLoggedFeatures = 16
)

// runOf identifies one start of a target as far as the list of targets tells them apart.
func runOf(target registrar.Entry) string {
	if target.StartedAt.IsZero() {
		return target.ID
	}
	return target.ID + "@" + strconv.FormatInt(target.StartedAt.UnixMilli(), 36)
}

// probe tells whether a target that broke a connection off has crashed: nothing listens at its
// address any more, although it has not announced that it leaves. A target that is not listed
// as it was is not dialed.
func (g *Gateway) probe(ctx context.Context, target registrar.Entry) exchanger.Probe {
	if !g.targets.Serving(target) || g.tracker.isLeaving(target, time.Now()) {
		return exchanger.ProbeUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return g.pool.Probe(ctx, target.Address)
}

// recordCrashUnder records that a target crashed while it ran a request.
func (g *Gateway) recordCrashUnder(q *request, target registrar.Entry) {
	q.crashes++
	g.recordCrash(q.ID, target, g.observation(q, target))
}

// observation returns the observation that a target has crashed now while it ran a request.
func (g *Gateway) observation(q *request, target registrar.Entry) suspecter.Observation {
	return suspecter.Observation{
		Digest: q.traits.Digest, Run: q.targetStart, At: time.Now(), Isolated: g.runsIsolated(q, target),
		SentAt: q.inFlight.startedAt, Organisation: q.traits.Organisation, Features: q.traits.Features,
	}
}

// recordCrash records that a target crashed while it ran a request.
func (g *Gateway) recordCrash(id string, target registrar.Entry, crash suspecter.Observation) {
	g.tracker.recordCrash(target, crash.At)
	g.suspects.Observe(crash)
	verdict := g.suspects.Assess(suspecter.Traits{Digest: crash.Digest, Organisation: crash.Organisation, Features: crash.Features}).Verdict.String()
	g.metrics.crashes.WithLabelValues(verdict).Inc()
	logger.TargetCrashedUnderRequest.Log(g.Log, "request", id, "digest", crash.Digest, "target", target.ID, "run", crash.Run,
		"organisation", crash.Organisation, "features", crash.Features[:min(len(crash.Features), maxLoggedFeatures)],
		"verdict", verdict, "crashes", describeCrashes(g.suspects.Crashes(crash.Digest)))
	g.logCauses("")
	g.signalCrash()
}

// recordAnswer records that a target has answered a request, and thus not crashed. A response that
// ends with its connection shows that only if the target lives on.
func (g *Gateway) recordAnswer(q *request, target registrar.Entry, resp *exchanger.Response) {
	if !resp.Delimited {
		g.recordAbandoned(q, target)
		return
	}
	answered := q.traits
	if resp.Status/100 != 2 {
		answered.Features = nil // a failure may come before what they cause
	}
	cleared := g.suspects.Completed(answered)
	if len(cleared) == 0 {
		return
	}
	logger.SuspicionCleared.Log(g.Log, "request", q.ID, "digest", q.traits.Digest, "target", target.ID, "cleared", cleared)
	g.logCauses("")
	g.signalCrash()
}

// refuseIfPoison refuses a request that is known to crash targets, or that has crashed as
// many as one request may. Otherwise it sets the request's assessment and returns nil.
func (g *Gateway) refuseIfPoison(q *request) *refusal {
	q.assessment = g.suspects.Assess(q.traits)
	retryAfter := g.suspects.ForgottenIn(q.traits.Digest)
	switch {
	case len(q.assessment.Cause) > 0:
		cause := q.assessment.Cause[0]
		if q.crashes == 0 && g.mayTry(cause, q.assessment.RetrialIn) {
			logger.CauseRetried.Log(g.Log, "request", q.ID, "cause", q.assessment.Cause)
			q.assessment.Verdict = suspecter.Suspect
			return nil
		}
		crashes := g.suspects.CrashesWith(cause)
		logger.PoisonRefused.Log(g.Log, "request", q.ID, "digest", q.traits.Digest, "cause", q.assessment.Cause,
			"crashes", describeCrashes(crashes[max(0, len(crashes)-maxLoggedFeatures):]))
		retryAfter = max(q.assessment.RetrialIn, suspecter.MinRetrialTime)
	case q.assessment.Verdict == suspecter.Poison:
		logger.PoisonRefused.Log(g.Log, "request", q.ID, "digest", q.traits.Digest, "crashes", describeCrashes(g.suspects.Crashes(q.traits.Digest)))
	case q.crashes < maxCrashesPerRequest:
		return nil
	}
	if q.mayHaveRun {
		return failedRefusal()
	}
	return &refusal{
		status: http.StatusServiceUnavailable, reason: "requests with these contents crash the targets that run them",
		retryAfter: retryAfter,
	}
}

// mayTry reports whether this router may try a cause once more, from the given time on: the others
// follow one after the other, in the order of rendezvous hashing, since some may be gone.
func (g *Gateway) mayTry(cause string, in time.Duration) bool {
	m := g.membership()
	turn := time.Duration(m.Rank(sharer.Hash(cause))) * suspecter.MinRetrialTime
	if !m.Certain(memberFreshTime, memberSettleTime, time.Now()) {
		turn += uncertainTurn
	}
	return in+turn <= 0
}

// logCauses logs the features that are now, or no longer, taken for causes of crashes; source is
// the router whose observations have changed that, empty for this one.
func (g *Gateway) logCauses(source string) {
	found, ended := g.causes.replace(g.suspects.Causes())
	for _, cause := range found {
		logger.CauseFound.Log(g.Log, "cause", cause, "source", source, "crashes", describeCrashes(g.suspects.CrashesWith(cause)))
	}
	for _, cause := range ended {
		logger.CauseEnded.Log(g.Log, "cause", cause, "source", source)
	}
}

// logCrashes logs the requests that have crashed several targets according to a peer.
func (g *Gateway) logCrashes(source string, digests []string) {
	for _, digest := range digests {
		logger.CrashesLearned.Log(g.Log, "digest", digest, "source", source, "crashes", describeCrashes(g.suspects.Crashes(digest)))
	}
	g.logCauses(source)
}

// describeCrashes returns the runs that crashed, with the times of the crashes.
func describeCrashes(crashes []suspecter.Observation) []string {
	out := make([]string, 0, len(crashes))
	for _, c := range crashes {
		out = append(out, c.Run+" "+c.At.UTC().Format(time.RFC3339Nano))
	}
	return out
}

// signalCrash lets this router's observations be stored and sent to its peers.
func (g *Gateway) signalCrash() {
	g.tracker.markUrgentChange()
	g.archiver.Signal()
}

// newArchiver returns the Archiver of this router's row of crashes.
func (g *Gateway) newArchiver() *archiver.Archiver {
	return &archiver.Archiver{
		Suspects: g.suspects, Store: g.store, Key: g.Schema.RowKey(crashTable, "", g.Name),
		OnLost:     func(err error) { logger.CrashesNotStored.Log(g.Log, "router", g.Name, "error", err) },
		OnRestored: func() { logger.CrashesStored.Log(g.Log, "router", g.Name) },
		OnUnreadable: func(row storer.Row, err error) {
			logger.CrashRowUnreadable.Log(g.Log, "key", row.Key, "revision", row.Version, "error", err)
		},
	}
}

// followCrashes follows the rows of all routers.
func (g *Gateway) followCrashes(ctx context.Context) {
	g.follow(ctx, tableFollower{
		table: crashTable, wait: crashFeedWait,
		change: func(row storer.Row, _ bool) { g.logCrashes(row.Key, g.archiver.Apply(row)) },
		replace: func(rows []storer.Row, _ bool) {
			for _, row := range rows {
				g.logCrashes(row.Key, g.archiver.Apply(row))
			}
			g.crashesKnown.Store(true)
		},
	})
}

// causeList holds the features that are taken for causes of crashes.
type causeList struct {
	mu     sync.Mutex // guards causes
	causes []string
}

// replace replaces the causes, and returns the new ones and those that have ended.
func (l *causeList) replace(causes []string) (found, ended []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	found, ended = without(causes, l.causes), without(l.causes, causes)
	l.causes = causes
	return found, ended
}

// count returns the number of causes.
func (l *causeList) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.causes)
}

// without returns the elements of a that are not in b.
func without(a, b []string) (rest []string) {
	for _, e := range a {
		if !slices.Contains(b, e) {
			rest = append(rest, e)
		}
	}
	return rest
}
