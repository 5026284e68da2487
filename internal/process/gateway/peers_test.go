package gateway

import (
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/process/enroller"
	"github.com/egretroute/egretroute/internal/process/registrar"
	"github.com/egretroute/egretroute/internal/request/placer"
	"github.com/egretroute/egretroute/internal/request/retrier"
	"github.com/egretroute/egretroute/internal/request/sharer"
	"github.com/egretroute/egretroute/internal/request/throttler"
)

// TestUnreachedSinceItHasEnrolled starts a process again whose host has refused connections for long. It guards against a new
// process that is declared gone since the one before it could not be reached.
func TestUnreachedSinceItHasEnrolled(t *testing.T) {
	const down = 300 * time.Millisecond
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := ln.Addr().String()
	assert.NilError(t, ln.Close())
	g := &Gateway{Name: "self", Log: slog.New(slog.DiscardHandler)}
	g.SetLimits(Limits{})
	g.peers = g.newPeerLinks()
	g.peers.members.StartedAt = time.Now().Add(-time.Hour)
	m := enroller.Member{Name: "other", Incarnation: "other@1", Kind: enroller.Router, Address: address}
	g.peers.add(m)
	g.updateLinks(t.Context())
	time.Sleep(down)
	since, refused := g.peers.unreached(m)
	assert.Assert(t, refused && since >= down*2/3, "%s", since)
	m.Incarnation = "other@2"
	g.peers.add(m)
	g.updateLinks(t.Context())
	since, _ = g.peers.unreached(m)
	assert.Assert(t, since < down/3, "%s", since)
}

// TestEndedRoutersTakeNoPart compares a router whose fleet had many others once with one whose fleet never had them. It
// guards against parts of the fleet's retries, of what cold targets take, of retrials and of heartbeats that are kept
// for routers that have ended for good.
func TestEndedRoutersTakeNoPart(t *testing.T) {
	const running, ended = 3, 30
	now := time.Now()
	fleet := func(ended int, state enroller.State) *Gateway {
		g := &Gateway{Name: "router-0", Log: slog.New(slog.DiscardHandler)}
		g.SetLimits(Limits{Retries: retrier.Limits{Window: 10 * time.Second, Slack: 50}})
		g.peers = g.newPeerLinks()
		enrolledAt := now.Add(-time.Hour)
		g.enrolledAt.Store(&enrolledAt)
		g.feeds.Store(membersTable, feedState{succeededAt: now})
		for n := range running + ended {
			m := enroller.Member{Name: fmt.Sprint("router-", n), Incarnation: fmt.Sprint("router-", n, "@1"), Kind: enroller.Router}
			g.peers.members.Apply(m, enrolledAt)
			if n >= running {
				m.State = state
				g.peers.members.Apply(m, now.Add(-time.Minute))
			}
		}
		g.peers.recountRouters(now)
		return g
	}
	uses := map[string]func(g *Gateway) int{
		"retries": func(g *Gateway) (n int) {
			for b := (&retrier.Budget{Limits: func() retrier.Limits { return g.limits.Load().Retries }}); b.Allow("notes", g.membership(), now); n++ {
			}
			return n
		},
		"requests of a cold target in a second": func(g *Gateway) (n int) {
			warmup := throttler.Warmup{PerSecond: 60, Most: 100, Lasts: time.Minute}
			tracker := newTargetTracker(func() int { return running - 1 }, g.membership, func(string) throttler.Warmup { return warmup })
			e := registrar.Entry{ID: "i-1", RestoredAt: now}
			for i := range 100 {
				if r, _ := tracker.begin(e, placer.Request{}, nil, false, now.Add(time.Duration(i)*10*time.Millisecond)); r != nil {
					n++
				}
			}
			return n
		},
		"last turn of a retrial": func(g *Gateway) (last int) {
			for n := range 1000 {
				last = max(last, g.membership().Rank(sharer.Hash(fmt.Sprint("cause-", n))))
			}
			return last
		},
		"routers that send heartbeats": func(g *Gateway) int { return int(g.peers.routerCount()) },
	}
	for name, use := range uses {
		for _, state := range []enroller.State{enroller.Left, enroller.Gone} {
			want := use(fleet(0, state))
			assert.Check(t, want > 0, name)
			assert.Check(t, use(fleet(ended, state)) == want, "%s: %d with %d routers that have ended (state %v), %d without", name, use(fleet(ended, state)), ended, state, want)
		}
	}
}
