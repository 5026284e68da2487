package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/connection/linker"
	"github.com/egretroute/egretroute/internal/process/enroller"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/pauser"
	"github.com/egretroute/egretroute/internal/process/reconciler"
	"github.com/egretroute/egretroute/internal/process/recorder"
	"github.com/egretroute/egretroute/internal/process/spender"
	"github.com/egretroute/egretroute/internal/process/storer"
)

const (
	// erasTable tells of each router in which era of the store its draws were counted.
	erasTable = "eras"
	// holdingsTable has a part for each router.
	holdingsTable = "holdings"
	// maxRecorders is how many processes are asked to record a router's draws. Any two may be
	// down.
	maxRecorders = 5
	// minCompanions is the number of companions from which routers need not record draws too:
	// they often end together.
	minCompanions = 3
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
	select {
	case g.enrollAgain <- struct{}{}:
	default:
	}
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
		Routers: g.listRouters, Limits: g.budgetLimits, HasRows: g.hasHoldings, Fetch: g.fetchDraws,
		OnCounted: func(era storer.Era, router string, method reconciler.Method, tokens int64) {
			g.metrics.countedTokens.WithLabelValues(string(method)).Add(float64(tokens))
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
	g.peers.mu.Lock()
	defer g.peers.mu.Unlock()
	var names []string
	for name, m := range g.peers.members {
		if m.Kind == enroller.Router {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, nil
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

// recordDraws records this router's draws.
func (g *Gateway) recordDraws(ctx context.Context, draws []framer.Draw) error {
	if _, ok := g.feeds.Load(membersTable); !ok {
		return recorder.ErrNoQuorum // the members are not known yet
	}
	startedAt := time.Now()
	members := g.peers.recordersOf(g.Name)
	peers := make([]recorder.Peer, len(members))
	for i, m := range members {
		peers[i] = g.peers.recorderPeer(m)
	}
	err := recorder.NewQuorum(len(peers)).Record(ctx, peers, &framer.RecordDraws{Router: g.Name, Draws: draws})
	switch {
	case err != nil && g.unrecordedSince.CompareAndSwap(nil, &startedAt):
		logger.DrawsNotRecorded.Log(g.Log, "router", g.Name, "organisations", len(draws), "error", err)
	case err == nil:
		if since := g.unrecordedSince.Swap(nil); since != nil {
			logger.DrawsRecorded.Log(g.Log, "router", g.Name, "after", time.Since(*since))
		}
	}
	return err
}

// fetchDraws returns the recorded draws of a router; see reconciler.Reconciler.Fetch.
func (g *Gateway) fetchDraws(ctx context.Context, router string, minAge time.Duration) (map[string]framer.Draw, recorder.Completeness) {
	members := g.peers.recordersOf(router)
	peers := make([]recorder.Peer, len(members))
	for i, m := range members {
		if m.Name == g.Name {
			peers[i] = localRecorder{g.recorder}
			continue
		}
		peers[i] = g.peers.recorderPeer(m)
		if peers[i] != nil {
			continue
		}
		dialCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		link, err := linker.Dial(dialCtx, m.Address, g.Secret, linker.Identity{Name: g.Name, Incarnation: g.Incarnation})
		cancel()
		if err != nil {
			continue // it counts as one that can't be reached
		}
		defer link.Close()
		peers[i] = linkedRecorder{link}
	}
	return recorder.NewQuorum(len(peers)).Fetch(ctx, peers, router, minAge)
}

// recordersOf returns the members that record a router's draws. All routers that know the same
// members agree on them.
func (p *peerLinks) recordersOf(router string) []enroller.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	var companions, all []enroller.Member
	for _, m := range p.members {
		if m.Kind == enroller.Companion {
			companions = append(companions, m)
		}
		if m.Name != router {
			all = append(all, m)
		}
	}
	if len(companions) >= minCompanions {
		all = companions
	}
	return chooseMembers(router, all, maxRecorders)
}

// recorderPeer returns a member that is linked to, or nil.
func (p *peerLinks) recorderPeer(m enroller.Member) recorder.Peer {
	links := p.routers
	if m.Kind == enroller.Companion {
		links = p.companions
	}
	if link := links.Link(m.Name); link != nil {
		return linkedRecorder{link}
	}
	return nil
}

// linkedRecorder is a process that records draws, at the end of a link.
type linkedRecorder struct{ link *linker.Link }

// Record implements recorder.Peer.
func (r linkedRecorder) Record(ctx context.Context, m *framer.RecordDraws) (*framer.DrawsRecorded, error) {
	return linker.Call[*framer.DrawsRecorded](ctx, r.link, m)
}

// Fetch implements recorder.Peer.
func (r linkedRecorder) Fetch(ctx context.Context, m *framer.FetchDraws) (*framer.RecordedDraws, error) {
	return linker.Call[*framer.RecordedDraws](ctx, r.link, m)
}

// localRecorder is this process's own recorder.
type localRecorder struct{ *recorder.Recorder }

// Record implements recorder.Peer.
func (r localRecorder) Record(_ context.Context, m *framer.RecordDraws) (*framer.DrawsRecorded, error) {
	return r.Recorder.Record(m), nil
}

// Fetch implements recorder.Peer.
func (r localRecorder) Fetch(_ context.Context, m *framer.FetchDraws) (*framer.RecordedDraws, error) {
	return r.Recorder.Fetch(m), nil
}
