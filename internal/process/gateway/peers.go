package gateway

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/egretroute/egretroute/internal/connection/connector"
	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/connection/linker"
	"github.com/egretroute/egretroute/internal/process/enroller"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/pauser"
	"github.com/egretroute/egretroute/internal/process/storer"
)

const (
	// reportInterval is how often routers exchange what they have running.
	reportInterval = 250 * time.Millisecond
	// pushInterval is how soon peers learn of a long request: within the time that
	// one batch step of an engine takes. maxPushPeers bounds the peers told so.
	pushInterval = 40 * time.Millisecond
	maxPushPeers = 12
	// companionInterval is how often a link to a companion is probed.
	companionInterval = 2 * time.Second
	// maxCompanions is how many companions a router keeps links to: one for each
	// of a few failure domains.
	maxCompanions = 3
	// reportBytes bounds the exchange with many routers, for the users' bound of
	// control traffic.
	reportBytes = 1500
	// membersTable holds the rows of the fleet's processes.
	membersTable = "processes"
)

// peers are the links to the fleet's other processes.
type peers struct {
	routers    *connector.Connector
	companions *connector.Connector

	mu      sync.Mutex // guards members
	members map[string]enroller.Member
}

// newPeers prepares links; none is opened before a member is known.
func (g *Gateway) newPeers() *peers {
	self := func() linker.Identity { return linker.Identity{Name: g.Name, Incarnation: g.Incarnation} }
	up := func(name string, link *linker.Link) {
		logger.PeerLinked.Log(g.Log, "peer", name, "incarnation", link.Peer.Incarnation)
	}
	return &peers{
		members: make(map[string]enroller.Member),
		routers: &connector.Connector{
			Self: self, Secret: g.Secret, Interval: reportInterval, BytesPerSecond: reportBytes, Beat: g.exchangeReports,
			Up: up,
			Down: func(name string, _ *linker.Link) {
				g.fleet.forgetPeer(name)
				logger.PeerLost.Log(g.Log, "peer", name)
			},
		},
		companions: &connector.Connector{
			Self: self, Secret: g.Secret, Interval: companionInterval, Beat: ping, Up: up,
			Down: func(name string, _ *linker.Link) { logger.PeerLost.Log(g.Log, "peer", name) },
		},
	}
}

// links returns the links over which the store may be reached, best first.
func (p *peers) links() []*linker.Link {
	var out []*linker.Link
	for _, c := range []*connector.Connector{p.companions, p.routers} {
		for _, name := range c.Live() {
			if l := c.Link(name); l != nil {
				out = append(out, l)
			}
		}
	}
	return out
}

func ping(ctx context.Context, _ string, link *linker.Link) error {
	_, err := linker.Call[*framer.Pong](ctx, link, &framer.Ping{})
	return err
}

// exchangeReports tells a peer what this router has running and learns the same of it.
func (g *Gateway) exchangeReports(ctx context.Context, name string, link *linker.Link) error {
	reply, err := linker.Call[*framer.PeerReport](ctx, link, g.report())
	if err != nil {
		return err
	}
	g.takeReport(name, reply)
	return nil
}

func (g *Gateway) report() *framer.PeerReport {
	return &framer.PeerReport{Incarnation: g.Incarnation, Loads: g.fleet.ownLoads()}
}

func (g *Gateway) takeReport(name string, r *framer.PeerReport) {
	g.fleet.takePeer(name, r.Loads, time.Now())
}

// ServeStream implements linker.Handler for the links of other processes.
func (g *Gateway) ServeStream(s *linker.Stream, first any) {
	if g.relays.Serve(s, first) {
		return
	}
	switch m := first.(type) {
	case *framer.PeerReport:
		g.takeReport(s.Peer.Name, m)
		_ = s.Write(g.report()) // the caller sees the stream end
	case *framer.FetchKnown:
		_ = s.Write(g.known.message()) // the caller sees the stream end
	case *framer.Reserve:
		g.lend(s, m)
	case *framer.Settle:
		g.settleLoans(s, m)
	}
}

// followMembers keeps links to the fleet's processes.
func (g *Gateway) followMembers(ctx context.Context) {
	g.follow(ctx, tableFollower{
		table: membersTable,
		change: func(row storer.Row, _ bool) {
			g.takeMember(row)
			g.link(ctx)
		},
		replace: func(rows []storer.Row, _ bool) {
			for _, row := range rows {
				g.takeMember(row)
			}
			g.link(ctx)
		},
	})
}

func (g *Gateway) takeMember(row storer.Row) {
	if row.Value == nil {
		return
	}
	m, err := enroller.Decode(row)
	if err != nil {
		logger.MemberUnreadable.Log(g.Log, "key", row.Key, "error", err)
		return
	}
	g.known.put(g.known.members, row)
	g.peers.mu.Lock()
	defer g.peers.mu.Unlock()
	g.peers.members[m.Name] = m
}

// link opens links to all routers and some companions.
func (g *Gateway) link(ctx context.Context) {
	g.peers.mu.Lock()
	routers := make(map[string]string)
	var companions []enroller.Member
	for _, m := range g.peers.members {
		switch {
		case m.Kind == enroller.Companion:
			companions = append(companions, m)
		case m.Name != g.Name:
			routers[m.Name] = m.Address
		}
	}
	g.peers.mu.Unlock()
	g.peers.routers.Set(ctx, routers)
	g.peers.companions.Set(ctx, chooseCompanions(g.Name, companions))
}

// chooseCompanions picks a few companions by rendezvous hashing, from different
// failure domains where there are some.
func chooseCompanions(self string, all []enroller.Member) map[string]string {
	score := func(m enroller.Member) uint64 { return xxhash.Sum64String(self + "/" + m.Name) }
	slices.SortFunc(all, func(a, b enroller.Member) int { return cmp.Compare(score(a), score(b)) })
	chosen := make(map[string]string)
	domains := make(map[string]bool)
	for _, sameDomain := range []bool{false, true} {
		for _, m := range all {
			if len(chosen) < maxCompanions && domains[m.Domain] == sameDomain && chosen[m.Name] == "" {
				chosen[m.Name] = m.Address
				domains[m.Domain] = true
			}
		}
	}
	return chosen
}

// pushReports tells peers of long requests at once, since what they don't know
// of they would place theirs behind.
func (g *Gateway) pushReports(ctx context.Context) {
	var busy sync.Map // link names with a push under way
	for ctx.Err() == nil {
		pauser.Pause(ctx, pushInterval)
		names := g.peers.routers.Live()
		if len(names) > maxPushPeers || !g.fleet.takeChanged() {
			continue
		}
		for _, name := range names {
			link := g.peers.routers.Link(name)
			if link == nil {
				continue
			}
			if _, pushing := busy.LoadOrStore(name, true); pushing {
				continue
			}
			go func() {
				defer busy.Delete(name)
				callCtx, cancel := context.WithTimeout(ctx, reportInterval)
				defer cancel()
				_ = g.exchangeReports(callCtx, name, link) // a lost push is made up for by the next report
			}()
		}
	}
}
