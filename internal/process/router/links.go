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
)

// namedPollInterval is how often a new agent's naming is looked for.
const namedPollInterval = 20 * time.Millisecond

// verdictTimeout bounds the spreading of a suspicion.
const verdictTimeout = 250 * time.Millisecond

// errNoLink is returned for calls to a process that does not answer.
var errNoLink = errors.New("no link to the process")

// beatAgent sends a heartbeat to an agent and acts on what it answers.
func (r *Router) beatAgent(ctx context.Context, target string, link *linker.Link) error {
	named := r.treasury.AgentListed(link.Peer.Incarnation)
	sent := time.Now()
	pong, err := linker.Call[*framer.Pong](ctx, link, &framer.Ping{
		Incarnation: r.treasury.Incarnation(), Version: r.follower.Version(),
		Poison: r.suspects.Recent(), Named: named,
	})
	if err != nil {
		r.sheet.failed(target)
		return err
	}
	switch {
	case named || !r.sheet.paid(target) || !r.treasury.Registered():
		r.sheet.up(target) // unregistered, this router spends only what others name the agent for
	case !named:
		r.treasury.AgentUp(target, link.Peer.Incarnation)
	}
	r.sheet.report(target, pong.Load)
	if pong.Loose == 0 {
		r.handovers.durable(r, link.Peer.Incarnation, sent)
	}
	r.suspects.Merge(pong.Poison)
	if pong.Load.Leaving {
		r.treasury.AgentDraining(link.Peer.Incarnation)
	}
	r.pushFleet(ctx, link, pong.Version)
	r.settleOverdue(ctx, link, pong.Bills)
	return nil
}

// pushFleet sends the configuration to an agent that has an older one.
func (r *Router) pushFleet(ctx context.Context, link *linker.Link, has uint64) {
	version, document := r.follower.Document()
	if version <= has {
		return
	}
	_, _ = linker.Call[*framer.Done](ctx, link, &framer.FleetDocument{Version: version, Document: document})
}

// settleOverdue takes bills that an agent still keeps and tells it which of
// them are in the ledger.
func (r *Router) settleOverdue(ctx context.Context, link *linker.Link, bills []framer.Bill) {
	byPayer := make(map[string][]framer.Bill)
	for _, b := range bills {
		byPayer[b.Payer] = append(byPayer[b.Payer], b)
	}
	for payer, list := range byPayer {
		durable := r.settleFor(ctx, payer, list)
		if len(durable) > 0 {
			_, _ = linker.Call[*framer.Done](ctx, link, &framer.Durable{Payer: payer, Sequences: durable})
		}
	}
}

// settleFor settles bills here or at their payer and returns those in the ledger.
func (r *Router) settleFor(ctx context.Context, payer string, bills []framer.Bill) []uint64 {
	if r.treasury.Owns(payer) {
		return r.treasury.Settle(bills)
	}
	durable, _ := lender{r}.ReturnBills(ctx, payer, bills)
	return durable
}

func (r *Router) agentUp(target string, link *linker.Link) {
	logger.AgentLinked.Log(r.Log, "target", target, "incarnation", link.Peer.Incarnation)
	if !r.sheet.paid(target) {
		r.sheet.up(target) // no tokens are spent there, so no row has to name it
		return
	}
	r.treasury.AgentUp(target, link.Peer.Incarnation)
	go r.beatOnceNamed(target, link)
}

// beatOnceNamed tells an agent without delay that the holder's row names it.
func (r *Router) beatOnceNamed(target string, link *linker.Link) {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatInterval)
	defer cancel()
	for !r.treasury.AgentListed(link.Peer.Incarnation) {
		if ctx.Err() != nil {
			return // the next heartbeats will do
		}
		pause(ctx, namedPollInterval)
	}
	_ = r.beatAgent(ctx, target, link)
}

func (r *Router) agentDown(target string, _ *linker.Link) {
	logger.AgentLost.Log(r.Log, "target", target)
	r.sheet.down(target)
}

// beatPeer sends a heartbeat to another router.
func (r *Router) beatPeer(ctx context.Context, name string, link *linker.Link) error {
	pong, err := linker.Call[*framer.Pong](ctx, link, &framer.Ping{
		Incarnation: r.treasury.Incarnation(), Version: r.follower.Version(), Poison: r.suspects.Recent(),
	})
	if err != nil {
		return err
	}
	r.sheet.peer(name, pong.Incarnation)
	r.suspects.Merge(pong.Poison)
	if pong.Version > r.follower.Version() {
		r.fetchFleet(ctx, link)
	}
	return nil
}

// fetchFleet gets a newer configuration from another router.
func (r *Router) fetchFleet(ctx context.Context, link *linker.Link) {
	doc, err := linker.Call[*framer.FleetDocument](ctx, link, &framer.FetchFleet{NewerThan: r.follower.Version()})
	if err != nil || doc.Version == 0 {
		return
	}
	if _, err := r.follower.OfferDocument(doc.Document); err != nil {
		logger.VersionUnreadable.Log(r.Log, "version", doc.Version, "error", err)
	}
}

// spreadVerdicts tells the other routers of suspicions at once: a request that
// crashes targets is sent again faster than heartbeats come.
func (r *Router) spreadVerdicts() {
	ctx, cancel := context.WithTimeout(context.Background(), verdictTimeout)
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
			_ = r.beatPeer(ctx, name, link)
		}()
	}
	wg.Wait()
}

func (r *Router) peerUp(name string, _ *linker.Link) {
	logger.PeerLinked.Log(r.Log, "router", name)
}

func (r *Router) peerDown(name string, _ *linker.Link) {
	logger.PeerLost.Log(r.Log, "router", name)
	r.sheet.peer(name, "")
}

// billsDurable tells the agents which bills are in the ledger.
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
			continue // the agent offers the bills again
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), heartbeatInterval)
			defer cancel()
			_, _ = linker.Call[*framer.Done](ctx, link, &framer.Durable{Payer: g.payer, Sequences: sequences})
		}()
	}
}

// isScanner reports whether this router scans holders for all it can reach:
// the one whose name sorts first does.
func (r *Router) isScanner() bool {
	live := r.peers.Live()
	return len(live) == 0 || r.Name < live[0]
}

// lender implements treasurer.Lender over the links to the other routers.
type lender struct {
	router *Router
}

// Live implements treasurer.Lender.Live.
func (l lender) Live() []string {
	return l.router.peers.Live()
}

// Lend implements treasurer.Lender.Lend.
func (l lender) Lend(ctx context.Context, name string, m *framer.Reserve) (framer.Part, error) {
	link := l.router.peers.Link(name)
	if link == nil {
		return framer.Part{}, errNoLink
	}
	reserved, err := linker.Call[*framer.Reserved](ctx, link, m)
	if err != nil {
		return framer.Part{}, err
	}
	return reserved.Part, nil
}

// ReturnBills implements treasurer.Lender.ReturnBills.
func (l lender) ReturnBills(ctx context.Context, payer string, bills []framer.Bill) ([]uint64, error) {
	name, known := l.router.sheet.peerOf(payer)
	if !known {
		return nil, treasurer.ErrNoPayer
	}
	link := l.router.peers.Link(name)
	if link == nil {
		return nil, errNoLink
	}
	settled, err := linker.Call[*framer.Settled](ctx, link, &framer.Settle{Bills: bills})
	if err != nil {
		return nil, err
	}
	return settled.Durable, nil
}

// recoveryLinks implements recoverer.Links.
type recoveryLinks struct {
	router *Router
}

// DownFor implements recoverer.Links.DownFor.
func (l recoveryLinks) DownFor(name, incarnation string) time.Duration {
	r := l.router
	if r.treasury.Owns(incarnation) {
		return 0
	}
	if peer, ok := r.sheet.peerOf(incarnation); ok && peer == name {
		return r.peers.DownFor(name)
	}
	if down := r.peers.DownFor(name); down > 0 {
		return down
	}
	return time.Hour // the router answers under another incarnation
}

// Fence implements recoverer.Links.Fence.
func (l recoveryLinks) Fence(ctx context.Context, target string, m *framer.Fence) (*framer.Fenced, error) {
	link := l.router.agents.Link(target)
	if link == nil {
		return nil, errNoLink
	}
	return linker.Call[*framer.Fenced](ctx, link, m)
}

// peerHandler serves the calls of other routers.
type peerHandler struct {
	router *Router
}

// ServeStream implements linker.Handler.
func (h peerHandler) ServeStream(s *linker.Stream, first any) {
	r := h.router
	switch m := first.(type) {
	case *framer.Ping:
		r.suspects.Merge(m.Poison)
		_ = s.Write(&framer.Pong{
			Incarnation: r.treasury.Incarnation(), Version: r.follower.Version(), Poison: r.suspects.Recent(),
		})
	case *framer.Reserve:
		_ = s.Write(&framer.Reserved{Part: r.treasury.Lend(m)})
	case *framer.Settle:
		_ = s.Write(&framer.Settled{Durable: r.settleOwn(m.Bills)})
	case *framer.Witness:
		r.handovers.witness(m)
		_ = s.Write(&framer.Done{})
	case *framer.Forsake:
		_ = s.Write(r.forsake(m))
	case *framer.FetchFleet:
		_ = s.Write(r.fleetNewerThan(m.NewerThan))
	default:
		r.metrics.malformed.Inc()
	}
}

// settleOwn settles those bills of a peer whose payer is this router.
func (r *Router) settleOwn(bills []framer.Bill) []uint64 {
	var own []framer.Bill
	for _, b := range bills {
		if r.treasury.Owns(b.Payer) {
			own = append(own, b)
		}
	}
	return r.treasury.Settle(own)
}

func (r *Router) fleetNewerThan(version uint64) *framer.FleetDocument {
	has, document := r.follower.Document()
	if has <= version {
		return &framer.FleetDocument{}
	}
	return &framer.FleetDocument{Version: has, Document: document}
}

// AgentDown implements recoverer.Links.AgentDown.
func (l recoveryLinks) AgentDown(target, incarnation string) bool {
	const goneAfter = 3 * time.Second
	if link := l.router.agents.Link(target); link != nil {
		return link.Peer.Incarnation != incarnation
	}
	if l.router.sheet.candidate(target) == nil {
		return false // not known here, so nothing is known against it
	}
	return l.router.agents.DownFor(target) >= goneAfter
}

// forsake promises to hand nothing more to an agent, unless it still answers.
func (r *Router) forsake(m *framer.Forsake) *framer.Forsaken {
	if r.agents.Answers(m.Agent) {
		return &framer.Forsaken{Refused: true}
	}
	return r.handovers.forsake(m.Agent)
}

// RevokeAgent implements recoverer.Links.RevokeAgent.
func (l recoveryLinks) RevokeAgent(ctx context.Context, name, incarnation string, m *framer.Forsake) (*framer.Forsaken, error) {
	r := l.router
	if r.treasury.Owns(incarnation) {
		return r.forsake(m), nil
	}
	if peer, ok := r.sheet.peerOf(incarnation); !ok || peer != name {
		return nil, errNoLink
	}
	link := r.peers.Link(name)
	if link == nil {
		return nil, errNoLink
	}
	return linker.Call[*framer.Forsaken](ctx, link, m)
}
