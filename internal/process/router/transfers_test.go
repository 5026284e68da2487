package router_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/connection/linker"
	"github.com/egretroute/egretroute/internal/process/router"
	"github.com/egretroute/egretroute/internal/process/spender"
	"github.com/egretroute/egretroute/internal/process/storer"
	"github.com/egretroute/egretroute/internal/version/declarer"
	"github.com/egretroute/egretroute/internal/version/patcher"
)

// narrowLink returns the address of a proxy that passes on bytesPerSecond in each direction.
func narrowLink(t *testing.T, address string, bytesPerSecond int) string {
	t.Helper()
	ln := listenLoopback(t)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			peer, err := net.Dial("tcp", address)
			if err != nil {
				_ = conn.Close()
				continue
			}
			go passOn(conn, peer, bytesPerSecond)
			go passOn(peer, conn, bytesPerSecond)
		}
	}()
	return ln.Addr().String()
}

func passOn(from, to net.Conn, bytesPerSecond int) {
	defer from.Close()
	defer to.Close()
	const interval = 20 * time.Millisecond
	buffer := make([]byte, bytesPerSecond/int(time.Second/interval))
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
		time.Sleep(interval)
	}
}

// newWideFleet returns a table with a configuration of more than minBytes, whose targets are behind
// the agent's address.
func newWideFleet(t *testing.T, agentAddress string, minBytes int) storer.Table {
	t.Helper()
	f := &declarer.Fleet{
		Models:  []declarer.Model{{Name: "m", MaxTokens: 100, BytesPerToken: 1}},
		Targets: []declarer.Target{{Name: "engine-1", Serves: "m", Agent: agentAddress, Domain: "d", Capacity: 1}},
	}
	for len(declarer.Encode(f)) < minBytes {
		for range 100 {
			name := fmt.Sprint("organisation-", len(f.Organisations))
			f.Organisations = append(f.Organisations, declarer.Organisation{Name: name, KeyHash: declarer.HashKey(name), Budget: 1, Weight: 1})
		}
	}
	table := storer.NewMemory()
	_, err := (&patcher.Patcher{Table: table}).Apply(t.Context(), f, "wide")
	assert.NilError(t, err)
	return table
}

// cutTable can't read the configuration.
type cutTable struct {
	storer.Table
}

// Read implements storer.Table.
func (c cutTable) Read(ctx context.Context, keys ...string) ([]storer.Row, error) {
	for _, k := range keys {
		if k == patcher.CurrentKey {
			return nil, storer.ErrUnavailable
		}
	}
	return c.Table.Read(ctx, keys...)
}

// runRouter runs a router until the test ends.
func runRouter(t *testing.T, name string, table storer.Table, peers map[string]string) *router.Router {
	t.Helper()
	r := &router.Router{
		Name: name, Domain: "d", Secret: []byte(testSecret), Table: table, Peers: peers,
		Policy: spender.NewProportional(0, spender.DefaultTrendFactor), FlushInterval: 20 * time.Millisecond,
		ShutdownLimit: 5 * time.Second, Log: slog.New(slog.DiscardHandler), Registry: prometheus.NewRegistry(),
		ClientListener: listenLoopback(t), OperatorListener: listenLoopback(t), FleetListener: listenLoopback(t),
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- r.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.Check(t, <-stopped)
	})
	return r
}

// followingAgent counts the documents that it is sent.
type followingAgent struct {
	version   atomic.Uint64
	documents atomic.Int64
}

// ServeStream implements linker.Handler.
func (a *followingAgent) ServeStream(s *linker.Stream, first any) {
	switch m := first.(type) {
	case *framer.Ping:
		_ = s.Write(&framer.Pong{Version: a.version.Load(), Load: framer.Load{Capacity: 1}})
	case *framer.FleetDocument:
		a.documents.Add(1)
		a.version.Store(m.Version)
		_ = s.Write(&framer.Done{})
	}
}

const (
	wideBytes      = 600_000
	narrowBytes    = 300_000 // a second
	maxTransferFor = 6 * time.Second
)

// TestWideConfigurationNeverReachesAnAgent sends an agent a configuration that its link takes 2 s for. Each
// heartbeat began to send it anew, and gave it up after a second.
func TestWideConfigurationNeverReachesAnAgent(t *testing.T) {
	t.Parallel()
	ln := listenLoopback(t)
	a := &followingAgent{}
	srv := &linker.Server{Secret: []byte(testSecret), Self: linker.Identity{Name: "engine", Incarnation: "engine@1"}, Handler: a}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(srv.Close)
	runRouter(t, "router", newWideFleet(t, narrowLink(t, ln.Addr().String(), narrowBytes), wideBytes), nil)
	for startedAt := time.Now(); a.version.Load() == 0; time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Since(startedAt) < maxTransferFor)
	}
	time.Sleep(3 * time.Second)
	assert.Equal(t, a.documents.Load(), int64(1))
}

// TestWideConfigurationNeverReachesARouter starts a router that can't read the configuration, and gets it from
// another one over a link that takes 2 s for it. It gave up each attempt after a second.
func TestWideConfigurationNeverReachesARouter(t *testing.T) {
	t.Parallel()
	table := newWideFleet(t, "127.0.0.1:1", wideBytes)
	first := runRouter(t, "first", table, nil)
	peer := narrowLink(t, first.FleetListener.Addr().String(), narrowBytes)
	second := runRouter(t, "second", cutTable{table}, map[string]string{"first": peer})
	for startedAt := time.Now(); !second.Ready(0); time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Since(startedAt) < maxTransferFor)
	}
}
