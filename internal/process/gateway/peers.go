package gateway

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/egretroute/egretroute/internal/connection/connector"
	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/connection/linker"
	"github.com/egretroute/egretroute/internal/connection/rotator"
	"github.com/egretroute/egretroute/internal/process/elector"
	"github.com/egretroute/egretroute/internal/process/enroller"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/pauser"
	"github.com/egretroute/egretroute/internal/process/storer"
	"github.com/egretroute/egretroute/internal/request/assessor"
	"github.com/egretroute/egretroute/internal/request/sharer"
	"github.com/egretroute/egretroute/internal/request/suspecter"
)

const (
	// reportInterval is how often routers exchange reports of their running requests.
	reportInterval = 250 * time.Millisecond
	// pushInterval is the maximum delay until peers are told of a long request; it is
	// within the time of one batch step of an engine. Nothing is pushed with more than
	// maxPushPeers peers.
	pushInterval = 40 * time.Millisecond
	maxPushPeers = 12
	// companionPingInterval is how often a link to a companion is probed.
	companionPingInterval = 2 * time.Second
	// maxCompanions is how many companions a router keeps links to, besides all that record its draws.
	maxCompanions = elector.MaxRecorders
	// reportBytesPerSecond bounds the exchange of reports in a large fleet, as the
	// users limit control traffic.
	reportBytesPerSecond = 1500
	// membersTable holds the rows of the fleet's processes.
	membersTable = "processes"
)

// peerLinks holds the links to the fleet's other processes.
type peerLinks struct {
	self       string
	routers    *connector.Connector
	companions *connector.Connector

	mu      sync.Mutex // guards all below
	members *elector.Elector
	// own holds the sets of members that record this router's draws, as of ownAt and ownVersion.
	own        []elector.Set
	ownAt      time.Time
	ownVersion int
	// silentSince holds when a peer last left a request for a loan unanswered.
	silentSince map[string]time.Time
	// rotations holds the newest report of each linked router on its load.
	rotations map[string]rotator.Peer
	// routerHashes holds the hashes of the names of the routers that share the fleet's budgets.
	routerHashes atomic.Pointer[[]uint64]
	// endedWindow returns the time for which requests of a router count that has ended.
	endedWindow func() time.Duration
	// pushing holds the names of routers with a push under way.
	pushing sync.Map
}

// newPeerLinks returns peerLinks that opens no link before a member is known.
func (g *Gateway) newPeerLinks() *peerLinks {
	self := func() linker.Identity { return linker.Identity{Name: g.Name, Incarnation: g.Incarnation} }
	up := func(name string, link *linker.Link) {
		logger.PeerLinked.Log(g.Log, "peer", name, "incarnation", link.Peer.Incarnation)
	}
	return &peerLinks{
		self:        g.Name,
		endedWindow: func() time.Duration { return max(g.limits.Load().Retries.Window, memberFreshTime) },
		members:     &elector.Elector{StartedAt: time.Now()}, silentSince: make(map[string]time.Time), rotations: make(map[string]rotator.Peer),
		routers: &connector.Connector{
			Self: self, Secret: g.Secret, Interval: reportInterval, BytesPerSecond: reportBytesPerSecond, Heartbeat: g.exchangeReports,
			OnUp: up,
			OnDown: func(name string, link *linker.Link) {
				g.tracker.removePeer(name)
				g.crashes.Drop(link)
				logger.PeerLost.Log(g.Log, "peer", name)
			},
		},
		companions: &connector.Connector{
			Self: self, Secret: g.Secret, Interval: companionPingInterval, Heartbeat: ping, OnUp: up,
			OnDown: func(name string, _ *linker.Link) { logger.PeerLost.Log(g.Log, "peer", name) },
		},
	}
}

// links returns the links over which store calls may be relayed, those to companions
// first.
func (p *peerLinks) links() []*linker.Link {
	return append(p.companionLinks(), liveLinks(p.routers)...)
}

// companionLinks returns the links to companions. Each router begins with another one, since all
// ask for the same change at the same time.
func (p *peerLinks) companionLinks() []*linker.Link {
	links := liveLinks(p.companions)
	if len(links) == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(p.self) % uint64(len(links)))
	return slices.Concat(links[first:], links[:first])
}

func liveLinks(c *connector.Connector) (links []*linker.Link) {
	for _, name := range c.Live() {
		if link := c.Link(name); link != nil {
			links = append(links, link)
		}
	}
	return links
}

// markSilent records that a peer left a request for a loan unanswered.
func (p *peerLinks) markSilent(name string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silentSince[name] = now
}

// isSilent reports whether a peer has left a request for a loan unanswered within lenderPause.
func (p *peerLinks) isSilent(name string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	since, ok := p.silentSince[name]
	if ok && now.Sub(since) >= lenderPause {
		delete(p.silentSince, name)
		return false
	}
	return ok
}

// routerCount returns the number of routers that share the fleet's budgets, as far as this one
// knows.
func (p *peerLinks) routerCount() float64 {
	n := 1
	if routers := p.routerHashes.Load(); routers != nil {
		n = max(len(*routers), 1)
	}
	return float64(n)
}

// add adds a member, or what is new of it.
func (p *peerLinks) add(m enroller.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.members.Apply(m, time.Now()) && m.Kind == enroller.Router {
		p.countRouters(time.Now())
	}
}

// remove removes a member that has ended.
func (p *peerLinks) remove(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members.Remove(name, time.Now())
	delete(p.rotations, name)
	p.countRouters(time.Now())
}

// countRouters sets the routers that share the fleet's budgets; p.mu must be held. A router that has left shares
// them until the window of its last requests is over. One that is gone may use its part until it knows that, or
// doesn't know the members for a window.
func (p *peerLinks) countRouters(now time.Time) {
	window := p.endedWindow()
	var routers []uint64
	for _, name := range p.members.Routers(now.Add(-window), now.Add(-2*window)) {
		routers = append(routers, sharer.Hash(name))
	}
	p.routerHashes.Store(&routers)
}

// recountRouters sets the routers that share the fleet's budgets at a time.
func (p *peerLinks) recountRouters(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countRouters(now)
}

// running returns the members that run, as far as known.
func (p *peerLinks) running() []enroller.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.Running()
}

// unreached returns for how long a process that runs could not be reached since it has enrolled, and whether its host
// replies that no process listens.
func (p *peerLinks) unreached(m enroller.Member) (since time.Duration, refused bool) {
	since, refused = p.connectorOf(m).Unreached(m.Name)
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(since, p.members.RunsFor(m.Name, time.Now())), refused
}

// takenBack returns the members that have ended though the store's rows say that they run.
func (p *peerLinks) takenBack() []enroller.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.TakenBack()
}

// membership returns what this router knows of the routers that share the fleet's budgets.
func (g *Gateway) membership() sharer.Membership {
	m := sharer.Membership{Self: sharer.Hash(g.Name)}
	if routers := g.peers.routerHashes.Load(); routers != nil {
		m.Routers = *routers
	}
	if v, ok := g.feeds.Load(membersTable); ok {
		m.ReadAt = v.(feedState).succeededAt
	}
	if at := g.enrolledAt.Load(); at != nil {
		m.EnrolledAt = *at
	}
	return m
}

func ping(ctx context.Context, _ string, link *linker.Link) error {
	_, err := linker.Call[*framer.Pong](ctx, link, &framer.Ping{})
	return err
}

// exchangeReports sends what this router knows of targets and the crashes that it has seen
// to a peer and applies the peer's report from the reply.
func (g *Gateway) exchangeReports(ctx context.Context, name string, link *linker.Link) error {
	crashes := g.crashes.Request(link)
	report := g.report(crashes, g.tracker.isNew(name, link.Peer.Incarnation))
	report.Estimates = g.tracker.offerEstimates(time.Now())
	reply, err := linker.Call[*framer.PeerReport](ctx, link, report)
	if err != nil {
		return err
	}
	g.applyReport(name, reply)
	g.tracker.finishEstimates(report.Estimates, reply.Estimates, time.Now())
	g.logCrashes(name, g.crashes.Finish(link, crashes, reply.Crashes))
	return nil
}

// report returns the report to a peer; first is set if it is the first one to its start.
func (g *Gateway) report(crashes suspecter.Message, first bool) *framer.PeerReport {
	return &framer.PeerReport{Incarnation: g.Incarnation, Targets: g.tracker.ownReports(first, time.Now()), Crashes: crashes, Rotation: g.rotationReport()}
}

func (g *Gateway) applyReport(name string, r *framer.PeerReport) {
	g.peers.setRotation(name, r.Rotation, time.Now())
	news := g.tracker.setPeerReports(name, r.Incarnation, r.Targets, time.Now())
	for _, leaving := range news.leaving {
		g.logLeaving(leaving.Target, leaving.Start, assessor.Peer, "peer", name)
	}
	for _, r := range news.cold {
		g.logCold(r.Target, assessor.Peer, r.WarmupLeft, "peer", name)
	}
	for target, limit := range news.limits {
		g.logLimit(target, limit, "peer", name)
	}
}

// ServeStream implements linker.Handler.
func (g *Gateway) ServeStream(s *linker.Stream, first any) {
	if g.relayServer.Serve(s, first) || g.recorder.Serve(s, first) {
		return
	}
	switch m := first.(type) {
	case *framer.PeerReport:
		first := g.tracker.isNew(s.Peer.Name, s.Peer.Incarnation)
		g.applyReport(s.Peer.Name, m)
		crashes, repeated := g.suspects.Reply(m.Crashes, suspecter.Own)
		g.logCrashes(s.Peer.Name, repeated)
		report := g.report(crashes, first)
		report.Estimates = g.tracker.replyEstimates(m.Estimates, time.Now())
		_ = s.Write(report) // on failure the peer sees the stream end
	case *framer.FetchRowCache:
		_ = s.Write(g.cachedRows()) // on failure the peer sees the stream end
	case *framer.Reserve:
		g.lend(s, m)
	case *framer.Settle:
		g.settleLoans(s, m)
	}
}

// followMembers follows the members table and keeps links to the members.
func (g *Gateway) followMembers(ctx context.Context) {
	g.follow(ctx, tableFollower{
		table: membersTable,
		change: func(row storer.Row, _ bool) {
			g.applyMember(row)
			g.updateLinks(ctx)
		},
		replace: func(rows []storer.Row, _ bool) {
			for _, row := range rows {
				g.applyMember(row)
			}
			g.updateLinks(ctx)
			if storer.Era(g.era.Load()).Restored() {
				g.workers.Go(func() { g.restoreMembers(ctx, rows) })
			}
		},
	})
}

func (g *Gateway) applyMember(row storer.Row) {
	if row.Value == nil {
		g.rowCache.put(g.rowCache.members, row)
		g.peers.remove(g.Schema.KeyOf(row))
		return
	}
	m, err := enroller.Decode(row)
	if err != nil {
		logger.MemberUnreadable.Log(g.Log, "key", row.Key, "error", err)
		return
	}
	g.rowCache.put(g.rowCache.members, row)
	g.peers.add(m)
	if m.Incarnation == g.Incarnation && m.State == enroller.Gone {
		g.enrolledAt.Store(nil) // others don't count this process any more
		g.requestEnrolment()
	}
}

// updateLinks sets the links to all other routers, to some companions, and to those that record or
// have just recorded this router's draws.
func (g *Gateway) updateLinks(ctx context.Context) {
	recorders := g.peers.ownRecorders(g.Name)
	g.peers.mu.Lock()
	routers := make(map[string]string)
	var companions []enroller.Member
	for _, m := range g.peers.members.Running() {
		switch {
		case m.Kind == enroller.Companion:
			companions = append(companions, m)
		case m.Name != g.Name:
			routers[m.Name] = m.Address
		}
	}
	g.peers.mu.Unlock()
	linked := make(map[string]string)
	for _, m := range elector.Choose(g.Name, companions, maxCompanions) {
		linked[m.Name] = m.Address
	}
	for _, set := range recorders {
		for _, v := range set.Voters {
			switch {
			case v.Ended:
			case v.Member.Kind == enroller.Companion:
				linked[v.Member.Name] = v.Member.Address
			default:
				routers[v.Member.Name] = v.Member.Address
			}
		}
	}
	g.peers.routers.SetMembers(ctx, routers)
	g.peers.companions.SetMembers(ctx, linked)
}

// pushReports sends reports to peers as soon as a long request begins or ends, or a target
// has crashed, leaves or wants nothing. Peers that don't know of a long request would place
// their own behind it.
func (g *Gateway) pushReports(ctx context.Context) {
	for ctx.Err() == nil {
		pauser.Pause(ctx, pushInterval)
		if names := g.peers.routers.Live(); len(names) <= maxPushPeers && g.tracker.takeUrgentChange() {
			g.pushReport(ctx, names)
		}
	}
}

// pushReport exchanges reports with the given routers, except those with which a push is under way.
func (g *Gateway) pushReport(ctx context.Context, names []string) {
	for _, name := range names {
		link := g.peers.routers.Link(name)
		if link == nil {
			continue
		}
		if _, pushing := g.peers.pushing.LoadOrStore(name, true); pushing {
			continue
		}
		go func() {
			defer g.peers.pushing.Delete(name)
			callCtx, cancel := context.WithTimeout(ctx, reportInterval)
			defer cancel()
			_ = g.exchangeReports(callCtx, name, link) // the next report makes up for a lost push
		}()
	}
}
