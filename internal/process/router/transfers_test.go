package router_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
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

// narrowLink returns the address of a proxy whose connections share bytesPerSecond in each direction.
func narrowLink(t *testing.T, address string, bytesPerSecond int) string {
	t.Helper()
	up, down := &narrowPipe{bytesPerSecond: bytesPerSecond}, &narrowPipe{bytesPerSecond: bytesPerSecond}
	return proxy(t, address, up, down)
}

// proxy returns an address whose connections are passed on through the pipes.
func proxy(t *testing.T, address string, up, down *narrowPipe) string {
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
			go up.passOn(conn, peer)
			go down.passOn(peer, conn)
		}
	}()
	return ln.Addr().String()
}

// narrowPipe is one direction of a link. Its connections take turns.
type narrowPipe struct {
	bytesPerSecond int
	mu             sync.Mutex // held while a piece passes
}

func (p *narrowPipe) passOn(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 2<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		time.Sleep(time.Duration(n) * time.Second / time.Duration(p.bytesPerSecond))
		p.mu.Unlock()
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// logText collects a log.
type logText struct {
	mu   sync.Mutex // guards text
	text strings.Builder
}

// Write implements io.Writer.
func (l *logText) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// String returns what has been logged.
func (l *logText) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// newWideFleet returns a table with a configuration of more than minBytes, whose target is behind the
// agent's address.
func newWideFleet(t *testing.T, agentAddress string, minBytes int) storer.Table {
	t.Helper()
	table := storer.NewMemory()
	f := &declarer.Fleet{
		Models:  []declarer.Model{{Name: "m", MaxTokens: 100, BytesPerToken: 1}},
		Targets: []declarer.Target{{Name: "engine-1", Serves: "m", Agent: agentAddress, Domain: "d", Capacity: 1}},
	}
	addOrganisations(t, table, f, minBytes)
	return table
}

// widen adds more than minBytes to a configuration.
func widen(t *testing.T, table storer.Table, minBytes int) {
	t.Helper()
	row, err := storer.ReadOne(t.Context(), table, patcher.CurrentKey)
	assert.NilError(t, err)
	f, err := declarer.Decode(row.Value)
	assert.NilError(t, err)
	f.Organisations = nil
	addOrganisations(t, table, f, minBytes)
}

func addOrganisations(t *testing.T, table storer.Table, f *declarer.Fleet, minBytes int) {
	t.Helper()
	for len(declarer.Encode(f)) < minBytes {
		for range max(minBytes/2000, 1) {
			name := fmt.Sprintf("organisation-%d-%d", f.Version, len(f.Organisations))
			f.Organisations = append(f.Organisations, declarer.Organisation{Name: name, KeyHash: declarer.HashKey(name), Budget: 1, Weight: 1})
		}
	}
	_, err := (&patcher.Patcher{Table: table}).Apply(t.Context(), f, fmt.Sprint("wide-", f.Version))
	assert.NilError(t, err)
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

// runRouter runs a router until the test ends, and returns it with its log.
func runRouter(t *testing.T, name string, table storer.Table, peers map[string]string) (*router.Router, *logText) {
	t.Helper()
	log := &logText{}
	r := &router.Router{
		Name: name, Domain: "d", Secret: []byte(testSecret), Table: table, Peers: peers,
		Policy: spender.NewProportional(0, spender.DefaultTrendFactor), FlushInterval: 20 * time.Millisecond,
		ShutdownLimit: 5 * time.Second, Log: slog.New(slog.NewTextHandler(log, nil)), Registry: prometheus.NewRegistry(),
		ClientListener: listenLoopback(t), OperatorListener: listenLoopback(t), FleetListener: listenLoopback(t),
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- r.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.Check(t, <-stopped)
	})
	return r, log
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

func startFollowingAgent(t *testing.T) (a *followingAgent, address string) {
	t.Helper()
	ln := listenLoopback(t)
	a = &followingAgent{}
	srv := &linker.Server{Secret: []byte(testSecret), Self: linker.Identity{Name: "engine", Incarnation: "engine@1"}, Handler: a}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(srv.Close)
	return a, ln.Addr().String()
}

const (
	wideBytes   = 800_000
	narrowBytes = 100_000 // a second
	// wideTime is twice what the link takes for the document.
	wideTime = 16 * time.Second
)

// waitFor waits until a condition holds.
func waitFor(t *testing.T, within time.Duration, holds func() bool) {
	t.Helper()
	for startedAt := time.Now(); !holds(); time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Since(startedAt) < within)
	}
}

// TestWideConfigurationNeverReachesAnAgent sends an agent two configurations that its link takes 8 s for. Each
// heartbeat began to send the first one anew, and gave it up after a second; then the transfer held up the heartbeats
// for so long that the link was closed.
func TestWideConfigurationNeverReachesAnAgent(t *testing.T) {
	t.Parallel()
	a, address := startFollowingAgent(t)
	table := newWideFleet(t, narrowLink(t, address, narrowBytes), wideBytes)
	_, log := runRouter(t, "router", table, nil)
	waitFor(t, wideTime, func() bool { return a.version.Load() == 1 })
	assert.Equal(t, a.documents.Load(), int64(1))
	widen(t, table, wideBytes)
	waitFor(t, wideTime, func() bool { return a.version.Load() == 2 })
	assert.Assert(t, !strings.Contains(log.String(), "link to an agent is down"), log.String())
}

// TestWideConfigurationNeverReachesARouter starts a router that can't read the configuration, and gets it from
// others over such a link. It gave up each attempt after a second, and fetched it from all at once.
func TestWideConfigurationNeverReachesARouter(t *testing.T) {
	t.Parallel()
	table := newWideFleet(t, "127.0.0.1:1", wideBytes)
	up, down := &narrowPipe{bytesPerSecond: narrowBytes}, &narrowPipe{bytesPerSecond: narrowBytes}
	peers := make(map[string]string)
	for _, name := range []string{"first", "second", "third"} {
		r, _ := runRouter(t, name, table, nil)
		peers[name] = proxy(t, r.FleetListener.Addr().String(), up, down)
	}
	started, log := runRouter(t, "started", cutTable{table}, peers)
	waitFor(t, wideTime, func() bool { return started.Ready(0) })
	assert.Assert(t, !strings.Contains(log.String(), "link to another router is down"), log.String())
}

// TestAgentIsLinkedBeforeItIsConfigured sends an agent a configuration that its link takes a third of a second for.
func TestAgentIsLinkedBeforeItIsConfigured(t *testing.T) {
	t.Parallel()
	a, address := startFollowingAgent(t)
	r, _ := runRouter(t, "router", newWideFleet(t, narrowLink(t, address, narrowBytes), 25_000), nil)
	waitFor(t, wideTime, func() bool { return r.Ready(1) })
	assert.Equal(t, a.version.Load(), uint64(1))
}
