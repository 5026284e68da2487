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
)

const (
	// learnInterval is how often a router without a configuration asks others.
	learnInterval = 300 * time.Millisecond
	// learnTimeout bounds one question.
	learnTimeout = time.Second
)

// knownRows are the rows as the platform wrote them, for routers that start
// while it is away.
type knownRows struct {
	mu            sync.Mutex // guards all below
	configuration []byte
	targets       map[string]storer.Row
	members       map[string]storer.Row
}

func newKnownRows() *knownRows {
	return &knownRows{targets: make(map[string]storer.Row), members: make(map[string]storer.Row)}
}

// put keeps a row of a table, or drops it.
func (k *knownRows) put(table map[string]storer.Row, row storer.Row) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if row.Value == nil {
		delete(table, row.Key)
		return
	}
	table[row.Key] = row
}

// message returns all that is known.
func (k *knownRows) message() *framer.Known {
	k.mu.Lock()
	defer k.mu.Unlock()
	m := &framer.Known{Configuration: k.configuration}
	for _, row := range k.targets {
		m.Targets = append(m.Targets, framer.RowValue{Key: row.Key, Version: row.Version, Value: row.Value})
	}
	for _, row := range k.members {
		m.Members = append(m.Members, framer.RowValue{Key: row.Key, Version: row.Version, Value: row.Value})
	}
	return m
}

// learn asks the seeds for what they know until this router knows enough to serve.
func (g *Gateway) learn(ctx context.Context) {
	for ctx.Err() == nil && !g.serving() {
		pauser.Pause(ctx, learnInterval)
		for _, address := range g.Seeds {
			if g.serving() {
				return
			}
			if address != g.FleetListener.Addr().String() {
				g.learnFrom(ctx, address)
			}
		}
	}
}

// serving reports whether a configuration and a list of targets are known.
func (g *Gateway) serving() bool {
	return g.matcher.Load() != nil && g.targets.Known()
}

func (g *Gateway) learnFrom(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	link, err := linker.Dial(ctx, address, g.Secret, linker.Identity{Name: g.Name, Incarnation: g.Incarnation})
	if err != nil {
		return // a seed may be stale; the next one is asked
	}
	defer link.Close()
	known, err := linker.Call[*framer.Known](ctx, link, &framer.FetchKnown{})
	if err != nil || len(known.Configuration) == 0 {
		return // the seed has just started itself
	}
	g.takeConfiguration(known.Configuration)
	if !g.targets.Known() {
		var entries []registrar.Entry
		for _, r := range known.Targets {
			if e, ok := g.decodeTarget(rowOf(r)); ok {
				entries = append(entries, e)
			}
		}
		g.targets.Replace(entries, time.Now(), false)
	}
	for _, r := range known.Members {
		g.takeMember(rowOf(r))
	}
	g.link(context.WithoutCancel(ctx))
	logger.RowsFetchedFromPeer.Log(g.Log, "peer", link.Peer.Name, "targets", len(known.Targets), "members", len(known.Members))
}

func rowOf(r framer.RowValue) storer.Row {
	return storer.Row{Key: r.Key, Version: r.Version, Value: r.Value}
}
