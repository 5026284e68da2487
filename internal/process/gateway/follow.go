package gateway

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/pauser"
	"github.com/egretroute/egretroute/internal/process/registrar"
	"github.com/egretroute/egretroute/internal/process/storer"
	"github.com/egretroute/egretroute/internal/process/timekeeper"
	"github.com/egretroute/egretroute/internal/version/inspector"
	"github.com/egretroute/egretroute/internal/version/matcher"
)

const (
	// feedWait is how long the store may hold a Watch call open without changes. It
	// also bounds the time until an unresponsive connection is detected.
	feedWait = time.Second
	// feedBackoff is the pause after a failed call.
	feedBackoff = 100 * time.Millisecond
	// stableAfter is the time without failed calls from which the store counts as
	// stable, so that the target of a deleted entry is removed at once.
	stableAfter = 3 * time.Second
	// slowFeedCall is the time of a call that brought rows, and of their use, from which it is logged.
	slowFeedCall = 1500 * time.Millisecond
)

// feedCall records how the reply to a call arrives. recordPart may be called on any goroutine.
type feedCall struct {
	startedAt time.Time
	wait      time.Duration // the store may hold the call open for

	mu      sync.Mutex // guards the fields below
	firstAt time.Time
	parts   int
	bytes   int
	ended   bool
}

// recordPart reports whether the reply has changes in it and the call still waits for it.
func (c *feedCall) recordPart(now time.Time, n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	if c.parts == 0 {
		c.firstAt = now
	}
	c.parts++
	c.bytes += n
	return c.bytes >= inspector.MinReplyBytes
}

// end records that the call has returned: parts that still arrive are of no use.
func (c *feedCall) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
}

// currentAt returns a time up to which the reply has all changes. The store makes a reply with
// changes at some time after the call's start, and one without after the wait.
func (c *feedCall) currentAt(now time.Time, empty bool) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !empty {
		return c.startedAt
	}
	at := c.startedAt.Add(c.wait)
	if at.After(now) {
		at = now
	}
	if c.parts > 0 && at.After(c.firstAt) {
		at = c.firstAt
	}
	return at
}

// times returns how long the call waited for the first part of its reply and then read until now.
func (c *feedCall) times(now time.Time) (waited, read time.Duration, parts int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.parts == 0 {
		return now.Sub(c.startedAt), 0, 0
	}
	return c.firstAt.Sub(c.startedAt), now.Sub(c.firstAt), c.parts
}

// feedState records the health of a table's change feed.
type feedState struct {
	// succeededAt is the time of the last successful call, failedAt that of the last
	// failure.
	succeededAt time.Time
	failedAt    time.Time
}

// tableFollower handles the rows of one table. The flag stable reports that no call
// has failed for stableAfter.
type tableFollower struct {
	table string
	// wait is how long the store may hold a Watch call open; 0 means feedWait.
	wait time.Duration
	// replace is called with all rows of the table, change with one changed row.
	replace func(rows []storer.Row, stable bool)
	change  func(row storer.Row, stable bool)
	// currency, if set, is told of the replies.
	currency *currency
}

// follow lists a table and then watches its changes until ctx ends. It lists the
// table again if the store has dropped the history that it needs.
func (g *Gateway) follow(ctx context.Context, f tableFollower) {
	state := feedState{failedAt: time.Now()}
	var next storer.Position
	listed := false
	for ctx.Err() == nil {
		var batch storer.RowBatch
		var err error
		call := &feedCall{startedAt: time.Now()}
		if listed {
			call.wait = cmp.Or(f.wait, feedWait)
		}
		callCtx := timekeeper.Watch(ctx, func(n int) {
			if call.recordPart(time.Now(), n) && f.currency != nil {
				f.currency.recordArrival(time.Now())
			}
		})
		if listed {
			batch, err = g.store.Watch(callCtx, f.table, next, call.wait)
		} else {
			batch, err = g.store.List(callCtx, f.table)
		}
		now := time.Now()
		call.end()
		switch {
		case errors.Is(err, storer.ErrHistoryLost):
			logger.FeedReset.Log(g.Log, "table", f.table, "version", next.Version, "era", next.Era, "cause", err)
			listed = false
			state.failedAt = now
			continue
		case err != nil:
			g.recordFeedFailure(ctx, f.table, &state, call, err, now)
			continue
		}
		if state.failedAt.After(state.succeededAt) {
			logger.FeedRecovered.Log(g.Log, "table", f.table, "silentFor", now.Sub(state.succeededAt))
		}
		state.succeededAt = now
		g.feeds.Store(f.table, state)
		stable := now.Sub(state.failedAt) > stableAfter
		if listed {
			for _, row := range batch.Rows {
				f.change(row, stable)
			}
		} else {
			f.replace(batch.Rows, stable)
		}
		if f.currency != nil {
			f.currency.recordReply(call.currentAt(now, len(batch.Rows) == 0))
		}
		if applied := time.Since(now); call.startedAt.Add(slowFeedCall).Before(now.Add(applied)) && len(batch.Rows) > 0 {
			waited, read, parts := call.times(now)
			logger.FeedSlow.Log(g.Log, "table", f.table, "version", batch.Next.Version, "rows", len(batch.Rows), "waitedMs", waited.Milliseconds(),
				"readMs", read.Milliseconds(), "parts", parts, "appliedMs", applied.Milliseconds(), "lag", g.currentLag(now))
		}
		next, listed = batch.Next, true
	}
}

func (g *Gateway) recordFeedFailure(ctx context.Context, table string, state *feedState, call *feedCall, err error, now time.Time) {
	if ctx.Err() != nil {
		return
	}
	if !state.failedAt.After(state.succeededAt) {
		waited, read, parts := call.times(now)
		logger.FeedFailed.Log(g.Log, "table", table, "error", err, "waitedMs", waited.Milliseconds(), "readMs", read.Milliseconds(),
			"parts", parts, "lag", g.currentLag(now))
	}
	state.failedAt = now
	g.feeds.Store(table, *state)
	pauser.Pause(ctx, feedBackoff)
}

// feedAge returns the time since the last successful feed call for a table, or an
// hour if there was none.
func (g *Gateway) feedAge(table string) time.Duration {
	v, ok := g.feeds.Load(table)
	if !ok {
		return time.Hour
	}
	return time.Since(v.(feedState).succeededAt)
}

func (g *Gateway) followConfiguration(ctx context.Context) {
	change := func(row storer.Row, _ bool) {
		if g.Schema.KeyOf(row) == g.Schema.ConfigurationKey && row.Value != nil {
			g.applyConfiguration(row.Value)
			return
		}
		g.applyDrain(row)
	}
	g.follow(ctx, tableFollower{
		table: g.Schema.ConfigurationTable, change: change, currency: &g.currency,
		replace: func(rows []storer.Row, stable bool) {
			g.replaceDrains(rows, g.era.Load())
			for _, row := range rows {
				change(row, stable)
			}
		},
	})
}

// applyConfiguration decodes and applies a configuration document, unless the active
// one has the same or a newer version.
func (g *Gateway) applyConfiguration(value []byte) {
	doc, err := g.Schema.DecodeConfiguration(value)
	if err != nil {
		logger.ConfigurationUnreadable.Log(g.Log, "error", err)
		return
	}
	active := g.matcher.Load()
	if active != nil && active.Document.Version >= doc.Version {
		return
	}
	g.matcher.Store(matcher.New(doc))
	g.recordWarmups(g.targets.All())
	g.rowCache.mu.Lock()
	g.rowCache.configuration = value
	g.rowCache.mu.Unlock()
	for _, o := range doc.Organisations {
		if o.HasBudget {
			g.allocator.SetLimit(o.Name, o.Budget)
		}
	}
	logger.ConfigurationApplied.Log(g.Log, "version", doc.Version, "routes", len(doc.Routes), "organisations", len(doc.Organisations))
}

func (g *Gateway) followTargets(ctx context.Context) {
	g.follow(ctx, tableFollower{
		table: g.Schema.TargetTable,
		change: func(row storer.Row, stable bool) {
			g.rowCache.put(g.rowCache.targets, row)
			if row.Value == nil {
				logger.TargetRemoved.Log(g.Log, "target", g.Schema.KeyOf(row), "revision", row.Version, "stable", stable)
				g.targets.Delete(g.Schema.KeyOf(row), time.Now(), stable)
				g.pruneTargets()
				return
			}
			if e, ok := g.decodeTarget(row); ok {
				g.putTarget(e)
			}
		},
		replace: func(rows []storer.Row, stable bool) {
			var entries []registrar.Entry
			g.rowCache.replace(g.rowCache.targets, rows)
			for _, row := range rows {
				if e, ok := g.decodeTarget(row); ok {
					entries = append(entries, e)
				}
			}
			g.targets.Replace(entries, time.Now(), stable)
			g.recordWarmups(g.targets.All())
			logger.TargetsListed.Log(g.Log, "targets", len(entries), "stable", stable)
		},
	})
}

// pruneTargets drops the tracked state of targets that the registrar has removed.
func (g *Gateway) pruneTargets() {
	listed := make(map[string]bool)
	for _, e := range g.targets.All() {
		listed[e.ID] = true
	}
	g.tracker.prune(listed, time.Now())
}

func (g *Gateway) putTarget(e registrar.Entry) {
	changed, restarted := g.targets.Put(e)
	if restarted {
		g.tracker.resetTarget(e.ID)
		g.pool.CloseIdle(e.Address)
	}
	if e, ok := g.targets.Entry(e.ID); ok {
		g.recordWarmups([]registrar.Entry{e})
	}
	if changed {
		logger.TargetUpdated.Log(g.Log, "target", e.ID, "service", e.Service, "leaving", e.Draining, "revision", e.Revision,
			"restarted", restarted)
	}
}

func (g *Gateway) decodeTarget(row storer.Row) (registrar.Entry, bool) {
	e, err := g.Schema.DecodeTarget(row)
	if err != nil {
		logger.TargetUnreadable.Log(g.Log, "target", g.Schema.KeyOf(row), "revision", row.Version, "error", err)
		return e, false
	}
	e.ReadAt = time.Now()
	return e, true
}
