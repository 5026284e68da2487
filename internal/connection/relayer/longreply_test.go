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
	interval  time.Duration
	value     []byte
	silent    *atomic.Bool // nothing arrives
	running   *atomic.Int64
	watches   *atomic.Int64
	cancelled *atomic.Int64
}

func newSlowBackend(parts, missing int) slowBackend {
	value := make([]byte, 2<<20)
	_, _ = rand.NewChaCha8([32]byte{}).Read(value) // compressed it is no shorter
	return slowBackend{
		backend: newBackend(storer.NewMemory()), parts: parts, missing: missing, partBytes: 1, interval: partInterval, value: value,
		silent: &atomic.Bool{}, running: &atomic.Int64{}, watches: &atomic.Int64{}, cancelled: &atomic.Int64{},
	}
}

// Watch implements storer.Watcher.
func (b slowBackend) Watch(ctx context.Context, table string, _ storer.Position, _ time.Duration) (storer.RowBatch, error) {
	return b.List(ctx, table)
}

// CommitWithReceipt implements storer.Committer.
func (b slowBackend) CommitWithReceipt(ctx context.Context, c storer.Commit) (storer.Receipt, error) {
	if b.silent.Load() {
		<-ctx.Done()
		return storer.Receipt{}, errors.Wrap(storer.ErrUnavailable, ctx.Err().Error())
	}
	return b.backend.CommitWithReceipt(ctx, c)
}

// List implements storer.Watcher.
func (b slowBackend) List(ctx context.Context, table string) (storer.RowBatch, error) {
	b.watches.Add(1)
	b.running.Add(1)
	defer b.running.Add(-1)
	if b.silent.Load() {
		<-ctx.Done()
		return storer.RowBatch{}, errors.Wrap(storer.ErrUnavailable, ctx.Err().Error())
	}
	for part := range b.parts + b.missing {
		select {
		case <-time.After(b.interval):
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

// TestReplyInPartsIsAbandoned lets the parts of a reply arrive at intervals longer than the hedge
// delay, beside a process that can't reach the store. The read failed, although its reply arrived.
func TestReplyInPartsIsAbandoned(t *testing.T) {
	direct, relayed := newSlowBackend(6, 0), newBackend(storer.NewMemory())
	direct.interval = 600 * time.Millisecond
	relayed.partitioned.Store(true)
	link := startCompanion(t, relayed)
	s := &relayer.Store{Direct: direct, Links: func() []*linker.Link { return []*linker.Link{link} }}
	batch, err := s.Watch(t.Context(), "op", storer.Position{}, 100*time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Rows), 1)
	assert.Equal(t, direct.cancelled.Load(), int64(0))
}

// TestTransferCountsAsCallTime reads a reply that takes 3 s to arrive. The store is no slower for that: a commit
// on a path that has become silent must be made elsewhere as soon as before.
func TestTransferCountsAsCallTime(t *testing.T) {
	direct, relayed := newSlowBackend(60, 0), newBackend(storer.NewMemory())
	link := startCompanion(t, relayed)
	s := &relayer.Store{Direct: direct, Links: func() []*linker.Link { return []*linker.Link{link} }}
	_, err := s.List(t.Context(), "op")
	assert.NilError(t, err)
	direct.silent.Store(true)
	startedAt := time.Now()
	_, err = s.CommitWithReceipt(t.Context(), storer.Commit{Writes: []storer.Write{{Key: "a//b", Value: []byte("x")}}})
	assert.NilError(t, err)
	assert.Assert(t, time.Since(startedAt) < time.Second, "after %v", time.Since(startedAt))
}

// TestProbesPileUp lets a path that has failed bring replies that take 9 s, while calls are made beside.
func TestProbesPileUp(t *testing.T) {
	direct, relayed := newSlowBackend(30, 0), newSlowBackend(0, 0)
	direct.interval = 300 * time.Millisecond
	direct.silent.Store(true)
	link := startCompanion(t, relayed)
	s := &relayer.Store{Direct: direct, Links: func() []*linker.Link { return []*linker.Link{link} }}
	call := func() {
		var returned atomic.Bool
		ctx := timekeeper.Watch(t.Context(), func(int) { assert.Check(t, !returned.Load(), "a part of a call that has returned") })
		_, err := s.Watch(ctx, "op", storer.Position{}, 100*time.Millisecond)
		assert.NilError(t, err)
		returned.Store(true)
	}
	call()
	direct.silent.Store(false)
	for startedAt := time.Now(); time.Since(startedAt) < 9*time.Second; time.Sleep(100 * time.Millisecond) {
		call()
		assert.Assert(t, direct.running.Load() <= 3, "%d probes", direct.running.Load())
	}
	assert.Assert(t, direct.watches.Load() > 1) // one was made
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
	links := func() []*linker.Link { return []*linker.Link{link} }
	s := &relayer.Store{Direct: direct, Links: links, WideLinks: links}
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
	links := func() []*linker.Link { return []*linker.Link{link} }
	s := &relayer.Store{Direct: direct, Links: links, WideLinks: links}
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
