package relayer_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/connection/linker"
	"github.com/egretroute/egretroute/internal/connection/relayer"
	"github.com/egretroute/egretroute/internal/process/storer"
)

var secret = []byte("sixteen bytes and more")

// backend is a store in memory behind a way that may be cut.
type backend struct {
	*storer.Memory
	cut   *atomic.Bool
	calls *atomic.Int64
}

func newBackend(m *storer.Memory) backend {
	return backend{Memory: m, cut: &atomic.Bool{}, calls: &atomic.Int64{}}
}

// CommitWithReceipt implements storer.Committer.
func (b backend) CommitWithReceipt(ctx context.Context, c storer.Commit) (storer.Receipt, error) {
	b.calls.Add(1)
	if b.cut.Load() {
		return storer.Receipt{}, errors.Wrap(storer.ErrUnavailable, "cut")
	}
	return b.Memory.CommitWithReceipt(ctx, c)
}

// List implements storer.Watcher.
func (b backend) List(ctx context.Context, table string) (storer.RowBatch, error) {
	if b.cut.Load() {
		return storer.RowBatch{}, errors.Wrap(storer.ErrUnavailable, "cut")
	}
	rows, err := b.Scan(ctx, table, "", 100)
	return storer.RowBatch{Rows: rows, NextVersion: b.Commits()}, err
}

// Watch implements storer.Watcher.
func (b backend) Watch(_ context.Context, _ string, _ uint64, _ time.Duration) (storer.RowBatch, error) {
	if b.cut.Load() {
		return storer.RowBatch{}, errors.Wrap(storer.ErrUnavailable, "cut")
	}
	return storer.RowBatch{}, storer.ErrHistoryLost
}

type handler struct {
	relays *relayer.Server
}

// ServeStream implements linker.Handler.
func (h handler) ServeStream(s *linker.Stream, first any) {
	h.relays.Serve(s, first)
}

// companion serves relayed calls over a real link.
func companion(t *testing.T, b relayer.Backend) *linker.Link {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &linker.Server{
		Secret: secret, Self: linker.Identity{Name: "c", Incarnation: "c@1"}, Handler: handler{relays: &relayer.Server{Store: b}},
	}
	go func() { _ = srv.Serve(ln) }()
	link, err := linker.Dial(context.Background(), ln.Addr().String(), secret, linker.Identity{Name: "r", Incarnation: "r@1"})
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = link.Close()
		_ = ln.Close()
		srv.Close()
	})
	return link
}

// TestCutIsGoneRound commits, conflicts, lists and loses history by way of a
// companion, and comes back to the direct way when that works again.
func TestCutIsGoneRound(t *testing.T) {
	memory := storer.NewMemory()
	direct, beside := newBackend(memory), newBackend(memory)
	link := companion(t, beside)
	s := &relayer.Store{Direct: direct, Links: func() []*linker.Link { return []*linker.Link{link} }}
	ctx := context.Background()
	direct.cut.Store(true)
	var c storer.Commit
	c.Update("t//a", 0, []byte("1"))
	receipt, err := s.CommitWithReceipt(ctx, c)
	assert.NilError(t, err)
	assert.Equal(t, receipt.Version, uint64(1))

	_, err = s.CommitWithReceipt(ctx, c)
	var conflict *storer.ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, string(conflict.Rows[0].Value), "1")

	feed, err := s.List(ctx, "t")
	assert.NilError(t, err)
	assert.Equal(t, len(feed.Rows), 1)
	_, err = s.Watch(ctx, "t", 1, time.Millisecond)
	assert.ErrorIs(t, err, storer.ErrHistoryLost)

	direct.cut.Store(false)
	time.Sleep(1100 * time.Millisecond)
	before, relayed := direct.calls.Load(), beside.calls.Load()
	_, err = s.CommitWithReceipt(ctx, c)
	assert.ErrorIs(t, err, storer.ErrConflict)
	for range 100 { // the probe runs beside the call
		if direct.calls.Load() > before {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, direct.calls.Load(), before+1)
	assert.Equal(t, beside.calls.Load(), relayed+1)
	time.Sleep(50 * time.Millisecond)
	_, err = s.CommitWithReceipt(ctx, c)
	assert.ErrorIs(t, err, storer.ErrConflict)
	assert.Equal(t, direct.calls.Load(), before+2)
	assert.Equal(t, beside.calls.Load(), relayed+1)
}

// TestUncertaintyOutlivesARefusal has the direct way give no answer and the
// companion refuse: the commit may have taken effect.
func TestUncertaintyOutlivesARefusal(t *testing.T) {
	direct := newBackend(storer.NewMemory())
	direct.cut.Store(true)
	beside := newBackend(storer.NewMemory())
	beside.cut.Store(true)
	link := companion(t, beside)
	s := &relayer.Store{Direct: direct, Links: func() []*linker.Link { return []*linker.Link{link} }}
	_, err := s.CommitWithReceipt(context.Background(), storer.Commit{})
	assert.ErrorIs(t, err, storer.ErrUnavailable)
}

// refusing is a backend that turns every commit away.
type refusing struct{ backend }

// CommitWithReceipt implements storer.Committer.
func (refusing) CommitWithReceipt(context.Context, storer.Commit) (storer.Receipt, error) {
	return storer.Receipt{}, storer.ErrRefused
}

// TestProbedCommitMayTakeEffect has a companion refuse a commit that probes the
// direct way, which works again: the commit takes effect, so it must not be
// reported as refused.
func TestProbedCommitMayTakeEffect(t *testing.T) {
	memory := storer.NewMemory()
	direct := newBackend(memory)
	link := companion(t, refusing{newBackend(memory)})
	s := &relayer.Store{Direct: direct, Links: func() []*linker.Link { return []*linker.Link{link} }}
	direct.cut.Store(true)
	_, err := s.CommitWithReceipt(context.Background(), storer.Commit{})
	assert.ErrorIs(t, err, storer.ErrUnavailable)
	direct.cut.Store(false)
	time.Sleep(1100 * time.Millisecond)
	var c storer.Commit
	c.Update("t//a", 0, []byte("1"))
	_, err = s.CommitWithReceipt(context.Background(), c)
	assert.ErrorIs(t, err, storer.ErrUnavailable)
	for range 100 { // the probe runs beside the call
		if memory.Commits() > 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the probe did not take effect")
}
