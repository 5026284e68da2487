package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/connection/linker"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/pauser"
	"github.com/egretroute/egretroute/internal/process/registrar"
	"github.com/egretroute/egretroute/internal/process/storer"
	"github.com/egretroute/egretroute/internal/process/timekeeper"
	"github.com/egretroute/egretroute/internal/request/suspecter"
)

const (
	// fetchInterval is how often a router that isn't ready fetches rows from its seeds.
	fetchInterval = 300 * time.Millisecond
	// fetchTimeout bounds one fetch until the reply begins to arrive, the dial included, and then the
	// time between two parts of the reply. maxFetchTime bounds all of it.
	fetchTimeout = time.Second
	maxFetchTime = 20 * time.Second
)

// rowCache holds the platform's rows as they were read, for routers that start while
// the platform can't be reached.
type rowCache struct {
	mu            sync.Mutex // guards all below
	configuration []byte
	targets       map[string]storer.Row
	members       map[string]storer.Row
	drains        map[string]storer.Row
}

func newRowCache() *rowCache {
	return &rowCache{targets: make(map[string]storer.Row), members: make(map[string]storer.Row), drains: make(map[string]storer.Row)}
}

// put stores a row in one of the cache's tables, or deletes it if it has no value.
func (c *rowCache) put(table map[string]storer.Row, row storer.Row) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if row.Value == nil {
		delete(table, row.Key)
		return
	}
	table[row.Key] = row
}

// replace replaces all rows of one of the cache's tables.
func (c *rowCache) replace(table map[string]storer.Row, rows []storer.Row) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(table)
	for _, row := range rows {
		table[row.Key] = row
	}
}

// membersWithout returns the cached members that are not among rows.
func (c *rowCache) membersWithout(rows []storer.Row) (missing []storer.Row) {
	listed := make(map[string]bool, len(rows))
	for _, row := range rows {
		listed[row.Key] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, row := range c.members {
		if !listed[key] {
			missing = append(missing, row)
		}
	}
	return missing
}

// message returns all cached rows for a peer.
func (c *rowCache) message() *framer.RowCache {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := &framer.RowCache{Configuration: c.configuration}
	for _, row := range c.targets {
		m.Targets = append(m.Targets, framer.RowValue{Key: row.Key, Version: row.Version, Value: row.Value})
	}
	for _, row := range c.members {
		m.Members = append(m.Members, framer.RowValue{Key: row.Key, Version: row.Version, Value: row.Value})
	}
	for _, row := range c.drains {
		m.Drains = append(m.Drains, framer.RowValue{Key: row.Key, Version: row.Version, Value: row.Value})
	}
	return m
}

// cachedRows returns all cached rows for a peer, or none until this router has read them
// all: a peer would take a part for the complete lists.
func (g *Gateway) cachedRows() *framer.RowCache {
	if !g.ready() {
		return &framer.RowCache{}
	}
	m := g.rowCache.message()
	m.Crashes = g.suspects.Newest(maxCachedCrashes, suspecter.All)
	return m
}

// fetchFromPeers fetches the seeds' cached rows until this router is ready.
func (g *Gateway) fetchFromPeers(ctx context.Context) {
	for ctx.Err() == nil && !g.ready() {
		pauser.Pause(ctx, fetchInterval)
		for _, address := range g.Seeds {
			if g.ready() {
				return
			}
			if address != g.FleetListener.Addr().String() {
				g.fetchFromPeer(ctx, address)
			}
		}
	}
}

// ready reports whether a configuration, a full list of targets and the crashes that
// others have seen have been loaded.
func (g *Gateway) ready() bool {
	return g.matcher.Load() != nil && g.targets.Synced() && g.crashesKnown.Load()
}

func (g *Gateway) fetchFromPeer(ctx context.Context, address string) {
	ctx, cancel := timekeeper.Bounds{First: fetchTimeout, Stall: fetchTimeout, Whole: maxFetchTime}.Start(ctx)
	defer cancel()
	link, err := linker.Dial(ctx, address, g.Secret, linker.Identity{Name: g.Name, Incarnation: g.Incarnation})
	if err != nil {
		return // the seed may be stale; the caller tries the next one
	}
	defer link.Close()
	cached, err := linker.Call[*framer.RowCache](ctx, link, &framer.FetchRowCache{})
	if err != nil || len(cached.Configuration) == 0 {
		return // the seed has only just started itself
	}
	if !g.drains.Synced() {
		for _, row := range cached.Drains {
			g.applyDrain(rowOf(row))
		}
	}
	g.applyConfiguration(cached.Configuration)
	g.logCrashes(link.Peer.Name, g.suspects.Merge(cached.Crashes))
	g.crashesKnown.Store(true)
	if !g.targets.Synced() {
		var entries []registrar.Entry
		for _, row := range cached.Targets {
			g.rowCache.put(g.rowCache.targets, rowOf(row))
			if e, ok := g.decodeTarget(rowOf(row)); ok {
				entries = append(entries, e)
			}
		}
		g.targets.Replace(entries, time.Now(), false)
		g.recordWarmups(g.targets.All())
	}
	for _, row := range cached.Members {
		g.applyMember(rowOf(row))
	}
	g.updateLinks(context.WithoutCancel(ctx))
	logger.RowsFetchedFromPeer.Log(g.Log, "peer", link.Peer.Name, "targets", len(cached.Targets), "members", len(cached.Members))
}

func rowOf(r framer.RowValue) storer.Row {
	return storer.Row{Key: r.Key, Version: r.Version, Value: r.Value}
}
