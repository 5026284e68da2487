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

// backend is an in-memory store that can be made unreachable.
type backend struct {
	*storer.Memory
	partitioned *atomic.Bool
	calls       *atomic.Int64
}

func newBackend(m *storer.Memory) backend {
	return backend{Memory: m, partitioned: &atomic.Bool{}, calls: &atomic.Int64{}}
}

// CommitWithReceipt implements storer.Committer.
func (b backend) CommitWithReceipt(ctx context.Context, c storer.Commit) (storer.Receipt, error) {
	b.calls.Add(1)
	if b.partitioned.Load() {
		return storer.Receipt{}, errors.Wrap(storer.ErrUnavailable, "cut")
	}
	return b.Memory.CommitWithReceipt(ctx, c)
}

// List implements storer.Watcher.
func (b backend) List(ctx context.Context, table string) (storer.RowBatch, error) {
	if b.partitioned.Load() {
		return storer.RowBatch{}, errors.Wrap(storer.ErrUnavailable, "cut")
	}
	rows, err := b.Scan(ctx, table, "", 100)
	return storer.RowBatch{Rows: rows, Next: storer.Position{Version: b.Commits()}}, err
}

// Watch implements storer.Watcher.
func (b backend) Watch(_ context.Context, _ string, _ storer.Position, _ time.Duration) (storer.RowBatch, error) {
	if b.partitioned.Load() {
		return storer.RowBatch{}, errors.Wrap(storer.ErrUnavailable, "cut")
	}
	return storer.RowBatch{}, storer.ErrHistoryLost
}

type relayHandler struct {
	relays *relayer.Server
}

// ServeStream implements linker.Handler.
func (h relayHandler) ServeStream(s *linker.Stream, first any) {
	h.relays.Serve(s, first)
}

// startCompanion starts a server that performs relayed calls on b, and returns a link to
// it.
func startCompanion(t *testing.T, b relayer.Backend) *linker.Link {
	t.Helper()
	return dialCompanion(t, startCompanionServer(t, b))
}

// startCompanionServer starts a server that performs relayed calls on b, and returns its address.
func startCompanionServer(t *testing.T, b relayer.Backend) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &linker.Server{
		Secret: secret, Self: linker.Identity{Name: "c", Incarnation: "c@1"}, Handler: relayHandler{relays: &relayer.Server{Store: b}},
	}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() {
		_ = ln.Close()
		srv.Close()
	})
	return ln.Addr().String()
}

func dialCompanion(t *testing.T, address string) *linker.Link {
	t.Helper()
	link, err := linker.Dial(context.Background(), address, secret, linker.Identity{Name: "r", Incarnation: "r@1"})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = link.Close() })
	return link
}

// TestCallsAreRelayedDuringPartition checks that a commit, a conflict, a list and a lost
// history are relayed by a companion while the direct path fails, and that calls use the
// direct path again after a successful probe.
func TestCallsAreRelayedDuringPartition(t *testing.T) {
	memory := storer.NewMemory()
	direct, companionBackend := newBackend(memory), newBackend(memory)
	link := startCompanion(t, companionBackend)
	s := &relayer.Store{Direct: direct, Links: func() []*linker.Link { return []*linker.Link{link} }}
	ctx := context.Background()
	direct.partitioned.Store(true)
	var c storer.Commit
	c.Update("t//a", 0, []byte("1"))
	receipt, err := s.CommitWithReceipt(ctx, c)
	assert.NilError(t, err)
	assert.Equal(t, receipt.Version, uint64(1))

	_, err = s.CommitWithReceipt(ctx, c)
	var conflict *storer.ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, string(conflict.Rows[0].Value), "1")

	batch, err := s.List(ctx, "t")
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Rows), 1)
	_, err = s.Watch(ctx, "t", storer.Position{Version: 1}, time.Millisecond)
	assert.ErrorIs(t, err, storer.ErrHistoryLost)

	direct.partitioned.Store(false)
	time.Sleep(1100 * time.Millisecond)
	before, relayedBefore := direct.calls.Load(), companionBackend.calls.Load()
	_, err = s.CommitWithReceipt(ctx, c)
	assert.ErrorIs(t, err, storer.ErrConflict)
	for range 100 { // the probe runs concurrently with the call
		if direct.calls.Load() > before {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, direct.calls.Load(), before+1)
	assert.Equal(t, companionBackend.calls.Load(), relayedBefore+1)
	time.Sleep(50 * time.Millisecond)
	_, err = s.CommitWithReceipt(ctx, c)
	assert.ErrorIs(t, err, storer.ErrConflict)
	assert.Equal(t, direct.calls.Load(), before+2)
	assert.Equal(t, companionBackend.calls.Load(), relayedBefore+1)
}

// TestUncertaintyOutlivesARefusal checks that a commit is not reported as refused if the
// direct path gave no reply and the relayed call then failed too: the direct call may
// have taken effect.
func TestUncertaintyOutlivesARefusal(t *testing.T) {
	direct := newBackend(storer.NewMemory())
	direct.partitioned.Store(true)
	for name, companion := range map[string]relayer.Backend{
		"refused": refusingBackend{newBackend(storer.NewMemory())}, "unavailable": direct,
	} {
		link := startCompanion(t, companion)
		s := &relayer.Store{Direct: direct, Links: func() []*linker.Link { return []*linker.Link{link} }}
		_, err := s.CommitWithReceipt(context.Background(), storer.Commit{})
		assert.ErrorIs(t, err, storer.ErrUnavailable, name)
		assert.Assert(t, !errors.Is(err, storer.ErrRefused), name)
	}
}

// refusingBackend refuses every commit.
type refusingBackend struct{ backend }

// CommitWithReceipt implements storer.Committer.
func (refusingBackend) CommitWithReceipt(context.Context, storer.Commit) (storer.Receipt, error) {
	return storer.Receipt{}, storer.ErrRefused
}

// TestProbedCommitMayTakeEffect checks that a commit refused by the companion is not
// reported as refused if it also probed the direct path: that path works again here, so
// the commit takes effect.
func TestProbedCommitMayTakeEffect(t *testing.T) {
	memory := storer.NewMemory()
	direct := newBackend(memory)
	link := startCompanion(t, refusingBackend{newBackend(memory)})
	s := &relayer.Store{Direct: direct, Links: func() []*linker.Link { return []*linker.Link{link} }}
	direct.partitioned.Store(true)
	_, err := s.CommitWithReceipt(context.Background(), storer.Commit{})
	assert.ErrorIs(t, err, storer.ErrUnavailable)
	direct.partitioned.Store(false)
	time.Sleep(1100 * time.Millisecond)
	var c storer.Commit
	c.Update("t//a", 0, []byte("1"))
	_, err = s.CommitWithReceipt(context.Background(), c)
	assert.ErrorIs(t, err, storer.ErrUnavailable)
	for range 100 { // the probe runs concurrently with the call
		if memory.Commits() > 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the probe did not take effect")
}
