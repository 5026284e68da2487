package gateway

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/pauser"
	"github.com/egretroute/egretroute/internal/process/registrar"
	"github.com/egretroute/egretroute/internal/process/storer"
	"github.com/egretroute/egretroute/internal/request/suspecter"
)

const (
	// crashTable holds one row for each router, with the crashes that it has seen.
	crashTable = "crashes"
	// crashFeedWait is how long the store may hold a Watch call for crashes open: longer
	// than for other tables, since routers tell each other of crashes too.
	crashFeedWait = 5 * time.Second
	// maxStoredCrashes bounds the observations in a row, maxCachedCrashes those that a
	// router which starts without the store gets from a peer.
	maxStoredCrashes = 64
	maxCachedCrashes = 256
	// crashCommitDelay collects the requests of one crash in one commit, crashRetryDelay
	// is the pause after a failed one.
	crashCommitDelay = 10 * time.Millisecond
	crashRetryDelay  = 300 * time.Millisecond
	// crashSettleTime is within what routers need to tell each other of a crash.
	crashSettleTime = 100 * time.Millisecond
	// probeTimeout bounds the dial that tells a crash from a broken connection. Only a
	// refusal counts, which takes one round trip.
	probeTimeout = 100 * time.Millisecond
	// maxCrashesPerRequest is how many targets one request may crash, whether it or one
	// that ran beside it is to blame.
	maxCrashesPerRequest = 2
)

// runOf identifies one start of a target.
func runOf(target registrar.Entry) string {
	if target.StartedAt.IsZero() {
		return target.ID
	}
	return target.ID + "@" + strconv.FormatInt(target.StartedAt.UnixMilli(), 36)
}

// hasCrashed reports whether a target that broke a connection off has crashed: nothing
// listens at its address any more, although it has not announced that it leaves.
func (g *Gateway) hasCrashed(ctx context.Context, target registrar.Entry) bool {
	if !g.targets.Serving(target) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return g.pool.Refused(ctx, target.Address)
}

// recordCrash records that a target crashed while it ran a request.
func (g *Gateway) recordCrash(q *request, target registrar.Entry) {
	q.crashes++
	run := runOf(target)
	verdict := g.suspects.Observe(suspecter.Observation{
		Digest: q.digest, Run: run, At: time.Now(), Isolated: q.verdict == suspecter.Suspect && g.tracker.runningAt(target.ID) == 1,
	})
	g.metrics.crashes.WithLabelValues(verdict.String()).Inc()
	logger.TargetCrashedUnderRequest.Log(g.Log, "request", q.ID, "digest", q.digest, "target", target.ID, "run", run,
		"verdict", verdict.String(), "crashes", describeCrashes(g.suspects.Crashes(q.digest)))
	g.signalCrash()
}

// recordAnswer records that a target has answered a request and thus not crashed.
func (g *Gateway) recordAnswer(q *request, target registrar.Entry) {
	if g.suspects.Answered(q.digest) {
		logger.SuspicionCleared.Log(g.Log, "request", q.ID, "digest", q.digest, "target", target.ID)
		g.signalCrash()
	}
}

// refuseIfPoison refuses a request that is known to crash targets.
func (g *Gateway) refuseIfPoison(q *request) *refusal {
	q.verdict = g.suspects.Verdict(q.digest)
	switch {
	case q.verdict == suspecter.Poison:
		logger.PoisonRefused.Log(g.Log, "request", q.ID, "digest", q.digest, "crashes", describeCrashes(g.suspects.Crashes(q.digest)))
	case q.crashes < maxCrashesPerRequest:
		return nil
	}
	if q.mayHaveRun {
		return failedRefusal()
	}
	return &refusal{
		status: http.StatusServiceUnavailable, reason: "requests with these contents crash the targets that run them",
		retryAfter: g.suspects.ForgottenIn(q.digest),
	}
}

// logPoison logs the requests that have become poison by a peer's observations.
func (g *Gateway) logPoison(source string, digests []string) {
	for _, digest := range digests {
		logger.PoisonLearned.Log(g.Log, "digest", digest, "source", source, "crashes", describeCrashes(g.suspects.Crashes(digest)))
	}
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
	select {
	case g.crashSignal <- struct{}{}:
	default:
	}
}

// crashKey returns the key of this router's row of crashes.
func (g *Gateway) crashKey() string {
	return g.Schema.RowKey(crashTable, "", g.Name)
}

// storeCrashes writes this router's observations to its row whenever they have changed,
// until ctx ends. A conflict shows what an earlier process of this host has stored.
func (g *Gateway) storeCrashes(ctx context.Context) {
	version, failing := uint64(0), false
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.crashSignal:
			pauser.Pause(ctx, crashCommitDelay)
		}
		value := suspecter.Encode(g.suspects.Newest(maxStoredCrashes, suspecter.Own))
		if stored := g.storedCrashes.Load(); stored != nil && bytes.Equal(*stored, value) {
			continue
		}
		var c storer.Commit
		c.Update(g.crashKey(), version, value)
		receipt, err := g.store.CommitWithReceipt(ctx, c)
		var conflict *storer.ConflictError
		switch {
		case err == nil:
			version = receipt.Version
			g.storedCrashes.Store(&value)
			if failing {
				logger.CrashesStored.Log(g.Log, "router", g.Name)
			}
			failing = false
			continue
		case errors.As(err, &conflict):
			version = 0
			for _, row := range conflict.Rows {
				version = row.Version
				g.restoreCrashes(row)
			}
		case ctx.Err() != nil:
			return
		default:
			if !failing {
				logger.CrashesNotStored.Log(g.Log, "router", g.Name, "error", err)
			}
			failing = true
			pauser.Pause(ctx, crashRetryDelay)
		}
		g.signalCrash()
	}
}

// restoreCrashes takes over what this host's row holds.
func (g *Gateway) restoreCrashes(row storer.Row) {
	if observations, ok := g.decodeCrashes(row); ok {
		g.suspects.Restore(observations)
	}
}

func (g *Gateway) decodeCrashes(row storer.Row) ([]suspecter.Observation, bool) {
	observations, err := suspecter.Decode(row.Value)
	if err != nil {
		logger.CrashRowUnreadable.Log(g.Log, "key", row.Key, "revision", row.Version, "error", err)
	}
	return observations, err == nil
}

// followCrashes follows the rows of all routers.
func (g *Gateway) followCrashes(ctx context.Context) {
	g.follow(ctx, tableFollower{
		table: crashTable, wait: crashFeedWait,
		change: func(row storer.Row, _ bool) { g.applyCrashes(row) },
		replace: func(rows []storer.Row, _ bool) {
			for _, row := range rows {
				g.applyCrashes(row)
			}
			g.crashesKnown.Store(true)
		},
	})
}

// applyCrashes applies a router's row. If this router's own row is not what it has
// written last, it is written again.
func (g *Gateway) applyCrashes(row storer.Row) {
	if row.Key == g.crashKey() {
		if stored := g.storedCrashes.Load(); stored != nil && bytes.Equal(*stored, row.Value) {
			return
		}
		if row.Value != nil {
			g.restoreCrashes(row)
		}
		g.signalCrash()
		return
	}
	if row.Value == nil {
		return // what it held is kept until it expires
	}
	if observations, ok := g.decodeCrashes(row); ok {
		g.logPoison(row.Key, g.suspects.Merge(observations))
	}
}
