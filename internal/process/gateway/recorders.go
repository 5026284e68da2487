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
	"github.com/egretroute/egretroute/internal/process/recorder"
)

// recordsMargin is added to the age of the records to fetch, for changes of the members that
// others have seen later.
const recordsMargin = 5 * time.Second

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
