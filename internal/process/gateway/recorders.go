package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/egretroute/egretroute/internal/connection/connector"
	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/connection/linker"
	"github.com/egretroute/egretroute/internal/process/elector"
	"github.com/egretroute/egretroute/internal/process/enroller"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/pauser"
	"github.com/egretroute/egretroute/internal/process/recorder"
)

const (
	// tendInterval is how often a router looks for members that are gone.
	tendInterval = time.Second
	// goneAfter is how long a member can't be reached until it is declared gone: longer than the
	// restart of a host and the partitions that the users expect. refusedAfter is the same if its host
	// replies that no process listens: longer than the restart of a process.
	goneAfter    = 12 * time.Second
	refusedAfter = 4 * time.Second
	// cutOffFactor is the multiple of goneAfter for a router that reaches no process at all: it may
	// itself be cut off.
	cutOffFactor = 3
	// maxRejoinSteps bounds how often the time doubles until a router counts as gone again that has come back.
	maxRejoinSteps = 2
	// recordsMargin is added to the age of the records to fetch, for changes of the members that
	// others have seen later.
	recordsMargin = 5 * time.Second
)

// recordDraws records this router's draws.
func (g *Gateway) recordDraws(ctx context.Context, draws []framer.Draw) error {
	if _, ok := g.feeds.Load(membersTable); !ok {
		return recorder.ErrNoQuorum // the members are not known yet
	}
	startedAt := time.Now()
	ended := func(v elector.Voter) bool {
		_, refused := g.peers.connectorOf(v.Member).Unreached(v.Member.Name)
		return v.Ended || refused
	}
	peers := make(map[string]recorder.Peer)
	var sets []recorder.Set
	var unreached []string
	for _, s := range g.peers.ownRecorders(g.Name) {
		set := recorder.Set{Quorum: recorder.Quorum{Write: s.WriteQuorum(ended)}}
		for _, v := range s.Voters {
			if !s.Current && ended(v) {
				continue
			}
			set.Members = append(set.Members, v.Member.Name)
			if p := g.peers.recorderPeer(v.Member); p != nil {
				peers[v.Member.Name] = p
			} else if !slices.Contains(unreached, v.Member.Name) {
				unreached = append(unreached, v.Member.Name)
			}
		}
		sets = append(sets, set)
	}
	err := recorder.Record(ctx, peers, sets, &framer.RecordDraws{Router: g.Name, Draws: draws})
	switch {
	case err != nil && g.unrecordedSince.CompareAndSwap(nil, &startedAt):
		logger.DrawsNotRecorded.Log(g.Log, "router", g.Name, "organisations", len(draws), "sets", len(sets), "unreached", unreached, "error", err)
	case err == nil:
		if since := g.unrecordedSince.Swap(nil); since != nil {
			logger.DrawsRecorded.Log(g.Log, "router", g.Name, "after", time.Since(*since))
		}
	}
	return err
}

// fetchDraws returns the recorded draws of a router; see reconciler.Reconciler.Fetch.
func (g *Gateway) fetchDraws(ctx context.Context, router string, minAge time.Duration) (map[string]framer.Draw, recorder.Completeness) {
	g.peers.mu.Lock()
	elected := g.peers.members.Sets(router, time.Now().Add(-minAge-recordsMargin))
	g.peers.mu.Unlock()
	voters := make(map[string]enroller.Member)
	var sets []recorder.Set
	for _, s := range elected {
		set := recorder.Set{Quorum: recorder.Quorum{Read: s.ReadQuorum()}}
		for _, v := range s.Voters {
			set.Members = append(set.Members, v.Member.Name)
			voters[v.Member.Name] = v.Member
		}
		sets = append(sets, set)
	}
	peers, closeLinks := g.dialRecorders(ctx, voters)
	defer closeLinks()
	return recorder.Fetch(ctx, peers, sets, router, minAge)
}

// dialRecorders connects to those of the members that can be reached and are not linked to.
func (g *Gateway) dialRecorders(ctx context.Context, members map[string]enroller.Member) (peers map[string]recorder.Peer, closeLinks func()) {
	var mu sync.Mutex // guards peers and dialed
	var dialed []*linker.Link
	peers = make(map[string]recorder.Peer)
	dialCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var unlinked []enroller.Member
	for _, m := range members {
		peer := g.peers.recorderPeer(m)
		switch {
		case m.Name == g.Name:
			peers[m.Name] = localRecorder{g.recorder}
		case peer != nil:
			peers[m.Name] = peer
		default:
			unlinked = append(unlinked, m)
		}
	}
	var dials sync.WaitGroup
	for _, m := range unlinked {
		dials.Go(func() {
			link, err := linker.Dial(dialCtx, m.Address, g.Secret, linker.Identity{Name: g.Name, Incarnation: g.Incarnation})
			if err != nil {
				return // it counts as one that can't be reached
			}
			mu.Lock()
			defer mu.Unlock()
			peers[m.Name], dialed = linkedRecorder{link}, append(dialed, link)
		})
	}
	dials.Wait()
	return peers, func() {
		for _, link := range dialed {
			link.Close()
		}
	}
}

// ownRecorders returns the sets of members that record this router's draws.
func (p *peerLinks) ownRecorders(router string) []elector.Set {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.own == nil || p.ownVersion != p.members.Version() || (len(p.own) > 1 && now.Sub(p.ownAt) > tendInterval) {
		p.own, p.ownVersion, p.ownAt = p.members.Sets(router, now.Add(-elector.Window)), p.members.Version(), now
	}
	return p.own
}

// recorderPeer returns a member that is linked to, or nil.
func (p *peerLinks) recorderPeer(m enroller.Member) recorder.Peer {
	if link := p.connectorOf(m).Link(m.Name); link != nil {
		return linkedRecorder{link}
	}
	return nil
}

func (p *peerLinks) connectorOf(m enroller.Member) *connector.Connector {
	if m.Kind == enroller.Companion {
		return p.companions
	}
	return p.routers
}

// tendMembers keeps the members table true until ctx ends: it declares members gone that can't be reached, and
// deletes the rows of those that have ended long ago.
func (g *Gateway) tendMembers(ctx context.Context) {
	for ctx.Err() == nil {
		pauser.Pause(ctx, tendInterval)
		now := time.Now()
		g.peers.recountRouters(now)
		g.updateLinks(ctx)
		g.declareGone(ctx)
		g.declareEnded(ctx)
		g.deleteExpired(ctx, now)
	}
}

// declareGone declares members gone that have not been reached for long: those that are elected to record this
// router's draws, and routers, each of which one of the others watches.
func (g *Gateway) declareGone(ctx context.Context) {
	limit := goneAfter
	if g.peers.companions.LiveCount()+g.peers.routers.LiveCount() == 0 {
		limit *= cutOffFactor
	}
	var recorders []string
	for _, v := range g.peers.ownRecorders(g.Name)[0].Voters {
		recorders = append(recorders, v.Member.Name)
	}
	for _, m := range g.peers.running() {
		since, refused := g.peers.unreached(m)
		if !isGone(m, since, refused, limit) {
			continue
		}
		if !slices.Contains(recorders, m.Name) && (m.Kind != enroller.Router || !g.tends(m)) {
			continue // another router declares it
		}
		if err := enroller.Declare(ctx, g.store, g.Schema.RowKey(membersTable, "", m.Name), m, enroller.Gone); err != nil {
			continue // tried again
		}
		logger.MemberGone.Log(g.Log, "member", m.Name, "kind", m.Kind.String(), "unreachedFor", since, "refused", refused)
	}
}

// isGone reports whether a member counts as gone that could not be reached for a time; limit is the one for a
// member that never was gone. A router that has come back from that was out of this one's reach only, and
// gets more time.
func isGone(m enroller.Member, unreachedFor time.Duration, refused bool, limit time.Duration) bool {
	if m.Kind == enroller.Router {
		limit <<= min(m.Joins, maxRejoinSteps)
	}
	return unreachedFor >= limit || (refused && unreachedFor >= refusedAfter)
}

// declareEnded declares again what the store's copy has taken back: that members have ended.
func (g *Gateway) declareEnded(ctx context.Context) {
	for _, m := range g.peers.takenBack() {
		if !g.tends(m) {
			continue
		}
		running := m
		running.State = enroller.Running
		_ = enroller.Declare(ctx, g.store, g.Schema.RowKey(membersTable, "", m.Name), running, m.State) // tried again
	}
}

// tends reports whether this router keeps a member's row: of the routers that are linked, one does so for each
// member.
func (g *Gateway) tends(m enroller.Member) bool {
	routers := []enroller.Member{{Name: g.Name}}
	for _, name := range g.peers.routers.Live() {
		routers = append(routers, enroller.Member{Name: name})
	}
	return elector.Choose(m.Name, routers, 1)[0].Name == g.Name
}

// deleteExpired deletes the rows of members that have ended long ago.
func (g *Gateway) deleteExpired(ctx context.Context, now time.Time) {
	g.peers.mu.Lock()
	expired := g.peers.members.Expired(now)
	g.peers.mu.Unlock()
	for _, m := range expired {
		key := g.Schema.RowKey(membersTable, "", m.Name)
		if !g.tends(m) || enroller.Delete(ctx, g.store, key, m) != nil {
			continue // tried again, here or elsewhere
		}
		g.peers.remove(m.Name)
		logger.MemberDeleted.Log(g.Log, "member", m.Name, "kind", m.Kind.String(), "state", m.State)
	}
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
