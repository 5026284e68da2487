package gateway

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/connection/rotator"
	"github.com/egretroute/egretroute/internal/process/enroller"
	"github.com/egretroute/egretroute/internal/process/registrar"
	"github.com/egretroute/egretroute/internal/request/sharer"
	"github.com/egretroute/egretroute/internal/version/matcher"
)

// bareCodec decodes requests without headers.
type bareCodec struct{ HeaderCodec }

func (bareCodec) DecodeRequest(http.Header) (RequestMetadata, error) {
	return RequestMetadata{}, nil
}

// TestReadinessFollowsRotation loads the link of a small host whose domain has a large one with room. The
// gateway must stop being ready, but close its clients' connections only once the load balancer has asked
// twice, and it must serve all the while.
func TestReadinessFollowsRotation(t *testing.T) {
	g := &Gateway{Name: "small", Domain: "d", LinkMbps: 10, HeaderCodec: bareCodec{}, Log: slog.New(slog.DiscardHandler), Schema: PlatformSchema{ReadyPath: "/ready"}}
	g.targets, g.metrics = registrar.New(), newMetrics(nil, gauges{})
	g.tracker = newTargetTracker(func() int { return 0 }, func() sharer.Membership { return sharer.Membership{} }, unbounded)
	g.SetLimits(Limits{})
	g.peers = g.newPeerLinks()
	g.matcher.Store(matcher.New(&matcher.Document{}))
	g.crashesKnown.Store(true)
	g.targets.Replace(nil, time.Now(), true)
	now := time.Now()
	g.currency.recordReply(now)
	for _, name := range []string{"large", "b", "c", "d", "e", "f", "g", "h", "i"} {
		g.peers.add(enroller.Member{Name: name, Incarnation: name + "@1", Kind: enroller.Router, Domain: "d"})
		g.peers.setRotation(name, rotator.Report{Phase: rotator.In, Load: rotator.Load{LinkRate: 200}}, now)
	}
	ask := func() int {
		w := httptest.NewRecorder()
		g.serveReady(w, httptest.NewRequest(http.MethodGet, "/ready", nil))
		return w.Code
	}
	closes := func() bool {
		w := httptest.NewRecorder()
		g.serveRequest(w, httptest.NewRequest(http.MethodGet, "/", nil))
		assert.Equal(t, w.Code, http.StatusNotFound) // there are no routes
		return w.Header().Get("Connection") == "close"
	}
	for range 12 {
		assert.Equal(t, ask(), http.StatusOK)
		now = now.Add(rotationInterval)
		g.decideRotation(t.Context(), usage{link: 15}, now)
		if g.rotationReport().Phase == rotator.Out {
			break
		}
	}
	for range 2 {
		assert.Assert(t, !closes())
		assert.Equal(t, ask(), http.StatusServiceUnavailable)
		g.decideRotation(t.Context(), usage{}, now)
	}
	assert.Assert(t, closes())
	now = now.Add(time.Minute)
	g.decideRotation(t.Context(), usage{}, now)
	assert.Assert(t, !closes())
	assert.Equal(t, ask(), http.StatusOK)
}
