package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/process/enroller"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/pauser"
	"github.com/egretroute/egretroute/internal/process/reconciler"
	"github.com/egretroute/egretroute/internal/process/spender"
	"github.com/egretroute/egretroute/internal/process/storer"
)

const (
	// erasTable tells of each router in which era of the store its draws were counted.
	erasTable = "eras"
	// holdingsTable has a part for each router.
	holdingsTable = "holdings"
)

// onEra handles the era of the store's first reply and of each later one that is newer.
func (g *Gateway) onEra(era storer.Era, first bool, previous storer.Era) {
	g.metrics.storeEra.Set(float64(era))
	g.era.Store(uint64(era))
	g.heartbeats.SetEra(era, first)
	g.allocator.SetEra(era, first)
	g.reconciler.SetEra(era, first, previous)
	if first {
		logger.StoreEraKnown.Log(g.Log, "router", g.Name, "era", era)
		return
	}
	logger.StoreWentBack.Log(g.Log, "router", g.Name, "era", era, "previous", previous)
	g.archiver.Forget()
	g.requestEnrolment()
}

// maxRestoredRows is how many rows one commit may write: the platform allows 100 entries in a
// commit, and each row takes two.
const maxRestoredRows = 50

// restoreMembers writes the rows of members that this router knows and that the store has lost.
// Companions don't see that it came back from a copy.
func (g *Gateway) restoreMembers(ctx context.Context, listed []storer.Row) {
	lost := g.rowCache.membersWithout(listed)
	for len(lost) > 0 && ctx.Err() == nil {
		batch := lost[:min(len(lost), maxRestoredRows)]
		c := storer.Commit{Era: storer.Era(g.era.Load())}
		for _, row := range batch {
			c.Update(row.Key, 0, row.Value)
		}
		_, err := g.store.CommitWithReceipt(ctx, c)
		var conflict *storer.ConflictError
		switch {
		case err == nil:
			logger.MembersRestored.Log(g.Log, "rows", len(batch), "era", c.Era)
			lost = lost[len(batch):]
		case errors.As(err, &conflict) && len(conflict.Rows) > 0: // others have restored some
			lost = slices.DeleteFunc(lost, func(row storer.Row) bool {
				return slices.ContainsFunc(conflict.Rows, func(r storer.Row) bool { return r.Key == row.Key })
			})
		case errors.Is(err, storer.ErrEraChanged):
			return // the members are listed again
		default:
			pauser.Pause(ctx, feedBackoff)
		}
	}
}

func (g *Gateway) onStaleReply(reply, newest storer.Era) {
	logger.StaleReplyDropped.Log(g.Log, "era", reply, "newest", newest)
}

// newReconciler returns the reconciler of this router's holdings.
func (g *Gateway) newReconciler() *reconciler.Reconciler {
	return &reconciler.Reconciler{
		Store: g.store, Router: g.Name, FirstStart: g.FirstStart, Table: erasTable, Key: func(router string) string { return g.Schema.RowKey(erasTable, "", router) },
		Holdings: g.allocator, Counter: &spender.Counter{Table: g.store, BudgetKey: g.budgetKey, HoldingKey: g.holdingKey},
		Routers: g.listRouters, Known: g.peers.routerNames, Limits: g.budgetLimits, HasRows: g.hasHoldings, Fetch: g.fetchDraws, LeftFor: g.peers.leftFor, Unseen: g.storeUnseen,
		OnCounted: func(era storer.Era, router string, method reconciler.Method, tokens int64) {
			// Records of returned tokens make the sum negative, which a counter doesn't take.
			g.metrics.countedTokens.WithLabelValues(string(method)).Add(float64(max(tokens, 0)))
			logger.DrawsCounted.Log(g.Log, "era", era, "router", router, "method", method, "tokens", tokens)
		},
		OnOpen: func(era storer.Era, after time.Duration) { logger.DrawsOpen.Log(g.Log, "era", era, "after", after) },
		OnWaiting: func(era storer.Era, routers []string) {
			logger.DrawsWithheld.Log(g.Log, "era", era, "uncounted", routers)
		},
	}
}

func (g *Gateway) holdingKey(router, organisation string) string {
	return g.Schema.RowKey(holdingsTable, router, organisation)
}

// listRouters returns the routers in the members table and those that this process has known.
func (g *Gateway) listRouters(ctx context.Context) ([]string, error) {
	batch, err := g.store.List(ctx, membersTable)
	if err != nil {
		return nil, err
	}
	for _, row := range batch.Rows {
		g.applyMember(row)
	}
	return g.peers.routerNames(), nil
}

// routerNames returns the names of all routers that are known, sorted.
func (p *peerLinks) routerNames() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := []string{}
	for _, m := range p.members.All() {
		if m.Kind == enroller.Router {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return names
}

// storeUnseen returns for how long the store may have done what this process hasn't seen, if it sees it now.
func (g *Gateway) storeUnseen() time.Duration {
	v, ok := g.feeds.Load(membersTable)
	if !ok {
		return time.Since(g.startedAt)
	}
	return time.Since(v.(feedState).succeededAt) + feedWait
}

// leftFor returns for how long a router is known to have left, or 0 if it hasn't.
func (p *peerLinks) leftFor(name string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.LeftFor(name, time.Now())
}

func (g *Gateway) hasHoldings(ctx context.Context, router string) (bool, error) {
	batch, err := g.store.List(ctx, g.holdingKey(router, ""))
	return len(batch.Rows) > 0, err
}

func (g *Gateway) budgetLimits() map[string]int64 {
	limits := make(map[string]int64)
	if m := g.matcher.Load(); m != nil {
		for _, o := range m.Document.Organisations {
			if o.HasBudget {
				limits[o.Name] = o.Budget
			}
		}
	}
	return limits
}
