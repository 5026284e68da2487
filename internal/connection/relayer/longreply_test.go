package relayer_test

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/connection/linker"
	"github.com/egretroute/egretroute/internal/connection/relayer"
	"github.com/egretroute/egretroute/internal/process/storer"
	"github.com/egretroute/egretroute/internal/process/timekeeper"
)

const partInterval = 50 * time.Millisecond

// slowBackend replies to a Watch in parts.
type slowBackend struct {
	backend
	parts     int // parts of the reply that arrive
	missing   int // parts that don't
	partBytes int
	value     []byte
	watches   *atomic.Int64
	cancelled *atomic.Int64
}

func newSlowBackend(parts, missing int) slowBackend {
	value := make([]byte, 2<<20)
	_, _ = rand.NewChaCha8([32]byte{}).Read(value) // compressed it is no shorter
	return slowBackend{
		backend: newBackend(storer.NewMemory()), parts: parts, missing: missing, partBytes: 1, value: value, watches: &atomic.Int64{}, cancelled: &atomic.Int64{},
	}
}

// Watch implements storer.Watcher.
func (b slowBackend) Watch(ctx context.Context, table string, _ storer.Position, _ time.Duration) (storer.RowBatch, error) {
	b.watches.Add(1)
	for part := range b.parts + b.missing {
		select {
		case <-time.After(partInterval):
		case <-ctx.Done():
			b.cancelled.Add(1)
			return storer.RowBatch{}, errors.Wrap(storer.ErrUnavailable, ctx.Err().Error())
		}
		if part < b.parts {
			timekeeper.Report(ctx, b.partBytes)
		}
	}
	row := storer.Row{Key: table + "//a", Version: 1, Value: b.value}
	return storer.RowBatch{Rows: []storer.Row{row}, Next: storer.Position{Version: 1}}, nil
}

// TestLongReplyIsRequestedAgain lets the reply to a call arrive for longer than the whole call
// used to last. It was called for again over the link, on which it arrived no sooner.
func TestLongReplyIsRequestedAgain(t *testing.T) {
	direct, relayed := newSlowBackend(60, 0), newSlowBackend(0, 0)
	link := startCompanion(t, relayed)
	s := &relayer.Store{Direct: direct, Links: func() []*linker.Link { return []*linker.Link{link} }}
	batch, err := s.Watch(t.Context(), "op", storer.Position{}, 100*time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Rows), 1)
	assert.Equal(t, direct.watches.Load(), int64(1))
	assert.Equal(t, relayed.watches.Load(), int64(0))
}

// TestReplyThatStopsIsRequestedElsewhere lets the parts of a reply end before the reply.
func TestReplyThatStopsIsRequestedElsewhere(t *testing.T) {
	direct, relayed := newSlowBackend(10, 1000), newSlowBackend(0, 0)
	link := startCompanion(t, relayed)
	s := &relayer.Store{Direct: direct, Links: func() []*linker.Link { return []*linker.Link{link} }}
	startedAt := time.Now()
	batch, err := s.Watch(t.Context(), "op", storer.Position{}, 100*time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Rows), 1)
	assert.Equal(t, relayed.watches.Load(), int64(1))
	assert.Assert(t, time.Since(startedAt) < 2*time.Second, "after %v", time.Since(startedAt))
}

// narrowConn passes on bytesPerSecond of what its peer sends.
type narrowConn struct {
	net.Conn
	bytesPerSecond int
}

// Read implements net.Conn.
func (c narrowConn) Read(p []byte) (int, error) {
	const interval = 20 * time.Millisecond
	time.Sleep(interval)
	return c.Conn.Read(p[:min(len(p), c.bytesPerSecond/int(time.Second/interval))])
}

// narrow returns the address of a proxy over which address sends bytesPerSecond.
func narrow(t *testing.T, address string, bytesPerSecond int) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		peer, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		defer peer.Close()
		go func() { _, _ = io.Copy(peer, conn) }()
		_, _ = io.Copy(conn, narrowConn{Conn: peer, bytesPerSecond: bytesPerSecond})
	}()
	return ln.Addr().String()
}

// TestLongReplyOverALinkIsAbandoned relays a reply of 2 MB over a link of 0.6 MB a second.
func TestLongReplyOverALinkIsAbandoned(t *testing.T) {
	direct, relayed := newBackend(storer.NewMemory()), newSlowBackend(0, 0)
	direct.partitioned.Store(true)
	address := startCompanionServer(t, relayed)
	link := dialCompanion(t, narrow(t, address, 600_000))
	s := &relayer.Store{Direct: direct, Links: func() []*linker.Link { return []*linker.Link{link} }}
	batch, err := s.Watch(t.Context(), "op", storer.Position{}, 100*time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Rows), 1)
	assert.Equal(t, relayed.watches.Load(), int64(1))
}

// TestLongReplyTakesANarrowLink lets a long reply arrive on the direct path for 3 s. The rows come
// sooner over a link, compressed.
func TestLongReplyTakesANarrowLink(t *testing.T) {
	direct, relayed := newSlowBackend(60, 0), newSlowBackend(0, 0)
	direct.partBytes = 64 << 10
	relayed.value = bytes.Repeat([]byte(`{"name":"route","prefix":"/a/"},`), 1<<16)
	link := dialCompanion(t, narrow(t, startCompanionServer(t, relayed), 600_000))
	s := &relayer.Store{Direct: direct, Links: func() []*linker.Link { return []*linker.Link{link} }}
	startedAt := time.Now()
	batch, err := s.Watch(t.Context(), "op", storer.Position{}, 100*time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Rows), 1)
	assert.Assert(t, bytes.Equal(batch.Rows[0].Value, relayed.value))
	assert.Assert(t, time.Since(startedAt) < 2*time.Second, "after %v", time.Since(startedAt))
	time.Sleep(2 * partInterval)
	assert.Equal(t, direct.cancelled.Load(), int64(1))
}

// TestLongReplyWithoutAnotherPath relays a call whose reply is long through a process that can't
// reach the store.
func TestLongReplyWithoutAnotherPath(t *testing.T) {
	direct, relayed := newSlowBackend(40, 0), newBackend(storer.NewMemory())
	direct.partBytes = 64 << 10
	relayed.partitioned.Store(true)
	link := startCompanion(t, relayed)
	s := &relayer.Store{Direct: direct, Links: func() []*linker.Link { return []*linker.Link{link} }}
	batch, err := s.Watch(t.Context(), "op", storer.Position{}, 100*time.Millisecond)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(batch.Rows[0].Value, direct.value))
	assert.Equal(t, direct.watches.Load(), int64(1))
}

// TestCompressedRowIsTooLong sends a row that is longer after decompression than a row may be.
func TestCompressedRowIsTooLong(t *testing.T) {
	direct, relayed := newBackend(storer.NewMemory()), newSlowBackend(0, 0)
	direct.partitioned.Store(true)
	relayed.value = make([]byte, 17<<20)
	link := startCompanion(t, relayed)
	s := &relayer.Store{Direct: direct, Links: func() []*linker.Link { return []*linker.Link{link} }}
	_, err := s.Watch(t.Context(), "op", storer.Position{}, 100*time.Millisecond)
	assert.ErrorIs(t, err, storer.ErrUnavailable)
	assert.ErrorContains(t, err, "too long")
}
