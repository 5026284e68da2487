package router

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/connection/linker"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/treasurer"
	"github.com/egretroute/egretroute/internal/request/suspecter"
)

// listedPollInterval is how often heartbeatOnceListed checks whether the
// holder's row lists a new agent.
const listedPollInterval = 20 * time.Millisecond

// crashTimeout bounds the broadcast of a crash.
const crashTimeout = 250 * time.Millisecond

// errNoLink is returned for a call to a process that this router has no link to.
var errNoLink = errors.New("no link to the process")

// heartbeatAgent sends a heartbeat to an agent and applies the reply.
func (r *Router) heartbeatAgent(ctx context.Context, target string, link *linker.Link) error {
	listed := r.treasury.AgentListed(link.Peer.Incarnation)
	sent := time.Now()
	crashes := r.crashes.Request(link)
	pong, err := linker.Call[*framer.Pong](ctx, link, &framer.Ping{
		Incarnation: r.treasury.Incarnation(), Version: r.follower.Version(),
		Crashes: crashes, Listed: listed,
	})
	if err != nil {
		r.directory.recordFailure(target)
		return err
	}
	switch {
	case listed || !r.directory.billable(target) || !r.treasury.Registered():
		// While this router is unregistered, it spends only under the vouchers of
		// other routers whose rows list the agent.
		r.directory.markLinked(target)
	case !listed:
		r.treasury.AgentUp(target, link.Peer.Incarnation)
	}
	r.directory.reportLoad(target, pong.Load)
	if pong.UncommittedClaims == 0 {
		r.dispatches.dropCommitted(r, link.Peer.Incarnation, sent)
	}
	r.crashes.Finish(link, crashes, pong.Crashes)
	if pong.Load.Draining {
		r.treasury.AgentDraining(link.Peer.Incarnation)
	}
	r.updateAgent(ctx, link, pong.Version)
	r.settleOverdue(ctx, link, pong.Bills)
	return nil
}

// shortDocumentBytes is the length up to which a document is sent on the link of the heartbeats: so
// that an agent has it before it is linked, however many agents there are.
const shortDocumentBytes = 32 << 10

// updateAgent sends the configuration to an agent that has an older version.
func (r *Router) updateAgent(ctx context.Context, link *linker.Link, agentVersion uint64) {
	version, document := r.follower.Document()
	switch {
	case version <= agentVersion:
	case len(document) <= shortDocumentBytes:
		pushFleet(ctx, link, version, document)
	default:
		r.transfers.run(ctx, r, link.Address, link, func(ctx context.Context, own *linker.Link) { pushFleet(ctx, own, version, document) })
	}
}

func pushFleet(ctx context.Context, link *linker.Link, version uint64, document []byte) {
	_, _ = linker.Call[*framer.Done](ctx, link, &framer.FleetDocument{Version: version, Document: document})
}

// settleOverdue settles the bills that an agent keeps because it has not been
// told that they are in the ledger, and tells it which of them are.
func (r *Router) settleOverdue(ctx context.Context, link *linker.Link, bills []framer.Bill) {
	byPayer := make(map[string][]framer.Bill)
	for _, b := range bills {
		byPayer[b.Payer] = append(byPayer[b.Payer], b)
	}
	for payer, list := range byPayer {
		durable := r.settleFor(ctx, payer, list)
		if len(durable) > 0 {
			_, _ = linker.Call[*framer.Done](ctx, link, &framer.BillsDurable{Payer: payer, Sequences: durable})
		}
	}
}

// settleFor settles bills here or at their payer and returns the sequence numbers
// of those in the ledger.
func (r *Router) settleFor(ctx context.Context, payer string, bills []framer.Bill) []uint64 {
	if r.treasury.Owns(payer) {
		return r.treasury.Settle(bills)
	}
	durable, _ := peerClient{r}.ReturnBills(ctx, payer, bills)
	return durable
}

func (r *Router) agentUp(target string, link *linker.Link) {
	logger.AgentLinked.Log(r.Log, "target", target, "incarnation", link.Peer.Incarnation)
	if !r.directory.billable(target) {
		r.directory.markLinked(target) // no tokens are spent there, so no row has to list it
		return
	}
	r.treasury.AgentUp(target, link.Peer.Incarnation)
	go r.heartbeatOnceListed(target, link)
}

// heartbeatOnceListed sends a heartbeat as soon as the holder's row lists the
// agent, so that the agent learns of it without waiting for the next interval.
func (r *Router) heartbeatOnceListed(target string, link *linker.Link) {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatInterval)
	defer cancel()
	for !r.treasury.AgentListed(link.Peer.Incarnation) {
		if ctx.Err() != nil {
			return // the regular heartbeats will tell the agent
		}
		sleep(ctx, listedPollInterval)
	}
	_ = r.heartbeatAgent(ctx, target, link)
}

func (r *Router) agentDown(target string, link *linker.Link) {
	r.crashes.Drop(link)
	logger.AgentLost.Log(r.Log, "target", target)
	r.directory.markUnlinked(target)
}

// heartbeatPeer sends a heartbeat to another router and applies the reply.
func (r *Router) heartbeatPeer(ctx context.Context, name string, link *linker.Link) error {
	crashes := r.crashes.Request(link)
	pong, err := linker.Call[*framer.Pong](ctx, link, &framer.Ping{
		Incarnation: r.treasury.Incarnation(), Version: r.follower.Version(), Crashes: crashes,
	})
	if err != nil {
		return err
	}
	r.directory.setPeerIncarnation(name, pong.Incarnation)
	r.crashes.Finish(link, crashes, pong.Crashes)
	if pong.Version > r.follower.Version() {
		r.transfers.run(ctx, r, fetchKey, link, r.fetchFleet)
	}
	return nil
}

// fetchFleet fetches a newer configuration from another router.
func (r *Router) fetchFleet(ctx context.Context, link *linker.Link) {
	doc, err := linker.Call[*framer.FleetDocument](ctx, link, &framer.FetchFleet{NewerThan: r.follower.Version()})
	if err != nil || doc.Version == 0 {
		return
	}
	if _, err := r.follower.OfferDocument(doc.Document); err != nil {
		logger.VersionUnreadable.Log(r.Log, "version", doc.Version, "error", err)
	}
}

// broadcastCrashes sends the crashes seen to the other routers at once: a request
// that crashes targets is retried sooner than the next regular heartbeat.
func (r *Router) broadcastCrashes() {
	ctx, cancel := context.WithTimeout(context.Background(), crashTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, name := range r.peers.Live() {
		link := r.peers.Link(name)
		if link == nil {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			// A crash of a large batch has more suspects than one heartbeat takes.
			for r.heartbeatPeer(ctx, name, link) == nil && r.crashes.Pending(link) {
			}
		}()
	}
	wg.Wait()
}

func (r *Router) peerUp(name string, _ *linker.Link) {
	logger.PeerLinked.Log(r.Log, "router", name)
}

func (r *Router) peerDown(name string, link *linker.Link) {
	r.crashes.Drop(link)
	logger.PeerLost.Log(r.Log, "router", name)
	r.directory.setPeerIncarnation(name, "")
}

// billsDurable tells the agents which of their bills are in the ledger.
func (r *Router) billsDurable(bills []framer.Bill) {
	type group struct{ target, payer string }
	groups := make(map[group][]uint64)
	for _, b := range bills {
		if b.Target != "" {
			g := group{b.Target, b.Payer}
			groups[g] = append(groups[g], b.Sequence)
		}
	}
	for g, sequences := range groups {
		link := r.agents.Link(g.target)
		if link == nil {
			continue // the agent sends the bills again with a heartbeat
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), heartbeatInterval)
			defer cancel()
			_, _ = linker.Call[*framer.Done](ctx, link, &framer.BillsDurable{Payer: g.payer, Sequences: sequences})
		}()
	}
}

// isPrimary reports whether this router scans the holders on behalf of all routers
// that it can reach: the one whose name sorts first does.
func (r *Router) isPrimary() bool {
	live := r.peers.Live()
	return len(live) == 0 || r.Name < live[0]
}

// peerClient implements treasurer.PeerClient over the links to the other routers.
type peerClient struct {
	router *Router
}

// Live implements treasurer.PeerClient.Live.
func (c peerClient) Live() []string {
	return c.router.peers.Live()
}

// Lend implements treasurer.PeerClient.Lend.
func (c peerClient) Lend(ctx context.Context, name string, m *framer.Reserve) (framer.Part, error) {
	link := c.router.peers.Link(name)
	if link == nil {
		return framer.Part{}, errNoLink
	}
	reserved, err := linker.Call[*framer.Reserved](ctx, link, m)
	if err != nil {
		return framer.Part{}, err
	}
	return reserved.Part, nil
}

// ReturnBills implements treasurer.PeerClient.ReturnBills.
func (c peerClient) ReturnBills(ctx context.Context, payer string, bills []framer.Bill) ([]uint64, error) {
	name, found := c.router.directory.peerByIncarnation(payer)
	if !found {
		return nil, treasurer.ErrNoPayer
	}
	link := c.router.peers.Link(name)
	if link == nil {
		return nil, errNoLink
	}
	settled, err := linker.Call[*framer.Settled](ctx, link, &framer.Settle{Bills: bills})
	if err != nil {
		return nil, err
	}
	return settled.DurableSequences, nil
}

// fleetClient implements recoverer.FleetClient.
type fleetClient struct {
	router *Router
}

// DownFor implements recoverer.FleetClient.DownFor.
func (c fleetClient) DownFor(name, incarnation string) time.Duration {
	r := c.router
	if r.treasury.Owns(incarnation) {
		return 0
	}
	if peer, ok := r.directory.peerByIncarnation(incarnation); ok && peer == name {
		return r.peers.DownFor(name)
	}
	if down := r.peers.DownFor(name); down > 0 {
		return down
	}
	return time.Hour // the router is up under another incarnation
}

// Fence implements recoverer.FleetClient.Fence.
func (c fleetClient) Fence(ctx context.Context, target string, m *framer.Fence) (*framer.Fenced, error) {
	link := c.router.agents.Link(target)
	if link == nil {
		return nil, errNoLink
	}
	return linker.Call[*framer.Fenced](ctx, link, m)
}

// peerHandler serves calls from other routers.
type peerHandler struct {
	router *Router
}

// ServeStream implements linker.Handler.
func (h peerHandler) ServeStream(s *linker.Stream, first any) {
	r := h.router
	switch m := first.(type) {
	case *framer.Ping:
		crashes, _ := r.suspects.Reply(m.Crashes, suspecter.All)
		_ = s.Write(&framer.Pong{
			Incarnation: r.treasury.Incarnation(), Version: r.follower.Version(), Crashes: crashes,
		})
	case *framer.Reserve:
		_ = s.Write(&framer.Reserved{Part: r.treasury.Lend(m)})
	case *framer.Settle:
		_ = s.Write(&framer.Settled{DurableSequences: r.settleOwn(m.Bills)})
	case *framer.BackUpDispatch:
		if r.dispatches.serveBackup(m) {
			_ = s.Write(&framer.Done{})
		} // otherwise the peer sees the stream end, and asks another router
	case *framer.RevokeAgent:
		_ = s.Write(r.revokeAgent(m))
	case *framer.FetchFleet:
		_ = s.Write(r.fleetNewerThan(m.NewerThan))
	default:
		r.metrics.malformed.Inc()
	}
}

// settleOwn settles those of a peer's bills whose payer is this router.
func (r *Router) settleOwn(bills []framer.Bill) []uint64 {
	var own []framer.Bill
	for _, b := range bills {
		if r.treasury.Owns(b.Payer) {
			own = append(own, b)
		}
	}
	return r.treasury.Settle(own)
}

func (r *Router) fleetNewerThan(newerThan uint64) *framer.FleetDocument {
	current, document := r.follower.Document()
	if current <= newerThan {
		return &framer.FleetDocument{}
	}
	return &framer.FleetDocument{Version: current, Document: document}
}

// AgentDown implements recoverer.FleetClient.AgentDown.
func (c fleetClient) AgentDown(target, incarnation string) bool {
	const downAfter = 3 * time.Second
	if link := c.router.agents.Link(target); link != nil {
		return link.Peer.Incarnation != incarnation
	}
	if c.router.directory.candidate(target) == nil {
		return false // the target is not in this router's configuration, so its state is unknown
	}
	return c.router.agents.DownFor(target) >= downAfter
}

// revokeAgent stops further dispatches to an agent's incarnation, but refuses if the
// link to that incarnation is up.
func (r *Router) revokeAgent(m *framer.RevokeAgent) *framer.AgentRevoked {
	if r.agents.IncarnationUp(m.Agent) {
		return &framer.AgentRevoked{Refused: true}
	}
	return r.dispatches.revoke(m.Agent)
}

// RevokeAgent implements recoverer.FleetClient.RevokeAgent.
func (c fleetClient) RevokeAgent(ctx context.Context, name, incarnation string, m *framer.RevokeAgent) (*framer.AgentRevoked, error) {
	r := c.router
	if r.treasury.Owns(incarnation) {
		return r.revokeAgent(m), nil
	}
	if peer, ok := r.directory.peerByIncarnation(incarnation); !ok || peer != name {
		return nil, errNoLink
	}
	link := r.peers.Link(name)
	if link == nil {
		return nil, errNoLink
	}
	return linker.Call[*framer.AgentRevoked](ctx, link, m)
}
