package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/pauser"
	"github.com/egretroute/egretroute/internal/process/registrar"
	"github.com/egretroute/egretroute/internal/process/storer"
	"github.com/egretroute/egretroute/internal/version/matcher"
)

const (
	// feedWait is how long the store may keep a feed call waiting; a connection
	// that has gone silent is found out after it.
	feedWait = time.Second
	// feedBackoff is the pause after a failed call.
	feedBackoff = 100 * time.Millisecond
	// stableAfter is how long the store must have answered before a deleted
	// entry counts at once.
	stableAfter = 3 * time.Second
)

// feedState is what is known of a table's feed.
type feedState struct {
	// answeredAt is when the last call was answered, failedAt when one failed.
	answeredAt time.Time
	failedAt   time.Time
}

// tableFollower takes over the rows of one table and their changes.
type tableFollower struct {
	table   string
	replace func(rows []storer.Row, stable bool)
	change  func(row storer.Row, stable bool)
}

// follow reads a table whole and then its changes, until ctx ends.
func (g *Gateway) follow(ctx context.Context, f tableFollower) {
	state := feedState{failedAt: time.Now()}
	next, listed := uint64(0), false
	for ctx.Err() == nil {
		var feed storer.RowBatch
		var err error
		if listed {
			feed, err = g.store.Watch(ctx, f.table, next, feedWait)
		} else {
			feed, err = g.store.List(ctx, f.table)
		}
		now := time.Now()
		switch {
		case errors.Is(err, storer.ErrHistoryLost):
			logger.FeedReset.Log(g.Log, "table", f.table, "version", next)
			listed = false
			state.failedAt = now
			continue
		case err != nil:
			g.feedFailed(ctx, f.table, &state, err, now)
			continue
		}
		if state.failedAt.After(state.answeredAt) {
			logger.FeedRecovered.Log(g.Log, "table", f.table, "silentFor", now.Sub(state.answeredAt))
		}
		state.answeredAt = now
		g.feeds.Store(f.table, state)
		stable := now.Sub(state.failedAt) > stableAfter
		if listed {
			for _, row := range feed.Rows {
				f.change(row, stable)
			}
		} else {
			f.replace(feed.Rows, stable)
		}
		next, listed = feed.NextVersion, true
	}
}

func (g *Gateway) feedFailed(ctx context.Context, table string, state *feedState, err error, now time.Time) {
	if ctx.Err() != nil {
		return
	}
	if !state.failedAt.After(state.answeredAt) {
		logger.FeedFailed.Log(g.Log, "table", table, "error", err)
	}
	state.failedAt = now
	g.feeds.Store(table, *state)
	pauser.Pause(ctx, feedBackoff)
}

// feedAge returns how long ago the feed of a table was last answered.
func (g *Gateway) feedAge(table string) time.Duration {
	v, ok := g.feeds.Load(table)
	if !ok {
		return time.Hour
	}
	return time.Since(v.(feedState).answeredAt)
}

func (g *Gateway) followConfiguration(ctx context.Context) {
	change := func(row storer.Row, _ bool) {
		if g.Schema.KeyOf(row) == g.Schema.ConfigurationKey && row.Value != nil {
			g.takeConfiguration(row.Value)
		}
	}
	g.follow(ctx, tableFollower{
		table: g.Schema.ConfigurationTable, change: change,
		replace: func(rows []storer.Row, stable bool) {
			for _, row := range rows {
				change(row, stable)
			}
		},
	})
}

// takeConfiguration puts a configuration in force unless a newer one is.
func (g *Gateway) takeConfiguration(value []byte) {
	doc, err := g.Schema.DecodeConfiguration(value)
	if err != nil {
		logger.ConfigurationUnreadable.Log(g.Log, "error", err)
		return
	}
	before := g.matcher.Load()
	if before != nil && before.Document.Version >= doc.Version {
		return
	}
	g.matcher.Store(matcher.New(doc))
	g.known.mu.Lock()
	g.known.configuration = value
	g.known.mu.Unlock()
	for _, o := range doc.Organisations {
		if o.Limited {
			g.stock.SetLimit(o.Name, o.Prepaid)
		}
	}
	logger.ConfigurationApplied.Log(g.Log, "version", doc.Version, "routes", len(doc.Routes), "organisations", len(doc.Organisations))
}

func (g *Gateway) followTargets(ctx context.Context) {
	g.follow(ctx, tableFollower{
		table: g.Schema.TargetTable,
		change: func(row storer.Row, stable bool) {
			g.known.put(g.known.targets, row)
			if row.Value == nil {
				logger.TargetRemoved.Log(g.Log, "target", g.Schema.KeyOf(row), "revision", row.Version, "stable", stable)
				g.targets.Delete(g.Schema.KeyOf(row), time.Now(), stable)
				g.forgetTargets()
				return
			}
			if e, ok := g.decodeTarget(row); ok {
				g.putTarget(e)
			}
		},
		replace: func(rows []storer.Row, stable bool) {
			var entries []registrar.Entry
			for _, row := range rows {
				g.known.put(g.known.targets, row)
				if e, ok := g.decodeTarget(row); ok {
					entries = append(entries, e)
				}
			}
			g.targets.Replace(entries, time.Now(), stable)
			logger.TargetsListed.Log(g.Log, "targets", len(entries), "stable", stable)
		},
	})
}

// forgetTargets drops what was seen of targets that are gone.
func (g *Gateway) forgetTargets() {
	listed := make(map[string]bool)
	for _, e := range g.targets.All() {
		listed[e.ID] = true
	}
	g.fleet.prune(listed)
}

func (g *Gateway) putTarget(e registrar.Entry) {
	changed, restarted := g.targets.Put(e)
	if restarted {
		g.fleet.restarted(e.ID)
		g.pool.Drop(e.Address)
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
	return e, true
}
