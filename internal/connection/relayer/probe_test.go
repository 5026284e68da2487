package relayer_test

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/connection/linker"
	"github.com/egretroute/egretroute/internal/connection/relayer"
	"github.com/egretroute/egretroute/internal/process/storer"
)

// pollBackend holds a Watch for as long as it may, and replies to nothing while it is silent.
type pollBackend struct {
	slowBackend
}

// Watch implements storer.Watcher.
func (b pollBackend) Watch(ctx context.Context, _ string, after storer.Position, wait time.Duration) (storer.RowBatch, error) {
	if b.silent.Load() {
		<-ctx.Done()
	} else {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	if ctx.Err() != nil {
		return storer.RowBatch{}, errors.Wrap(storer.ErrUnavailable, ctx.Err().Error())
	}
	return storer.RowBatch{Next: after}, nil
}

// newPollStore returns a store with a direct path of which it tells each loss and return.
func newPollStore() (s *relayer.Store, direct pollBackend, lost, restored chan time.Time) {
	direct = pollBackend{newSlowBackend(0, 0)}
	lost, restored = make(chan time.Time, 10), make(chan time.Time, 10)
	s = &relayer.Store{
		Direct: direct, Links: func() []*linker.Link { return nil },
		OnLost: func(error) { lost <- time.Now() }, OnRestored: func() { restored <- time.Now() },
	}
	return s, direct, lost, restored
}

func wait(t *testing.T, times <-chan time.Time) time.Time {
	t.Helper()
	select {
	case at := <-times:
		return at
	case <-time.After(10 * time.Second):
		t.Fatal("not told in 10 s")
		return time.Time{}
	}
}

// TestLongPollHidesThatThePathWorks restores a path while long polls are the only calls. Each was its
// own probe, which the store held for the poll's wait.
func TestLongPollHidesThatThePathWorks(t *testing.T) {
	t.Parallel()
	s, direct, lost, restored := newPollStore()
	direct.silent.Store(true)
	_, err := s.CommitWithReceipt(t.Context(), storer.Commit{})
	assert.ErrorIs(t, err, storer.ErrUnavailable)
	wait(t, lost)
	direct.silent.Store(false)
	restoredAt := time.Now()
	go func() {
		for t.Context().Err() == nil {
			_, _ = s.Watch(t.Context(), "crashes", storer.Position{}, 5*time.Second)
			time.Sleep(100 * time.Millisecond)
		}
	}()
	took := wait(t, restored).Sub(restoredAt)
	assert.Assert(t, took < 2*time.Second, "after %v", took)
}

// TestLongPollFailsAfterThePathHasReturned loses the reply to a long poll, and then to a commit. The path
// was restored, and said to be lost again when the poll failed.
func TestLongPollFailsAfterThePathHasReturned(t *testing.T) {
	t.Parallel()
	s, direct, lost, restored := newPollStore()
	direct.silent.Store(true)
	failed := make(chan error, 1)
	go func() {
		_, err := s.Watch(t.Context(), "crashes", storer.Position{}, 2*time.Second)
		failed <- err
	}()
	_, err := s.CommitWithReceipt(t.Context(), storer.Commit{})
	assert.ErrorIs(t, err, storer.ErrUnavailable)
	wait(t, lost)
	direct.silent.Store(false)
	for restoredAt := time.Now(); len(restored) == 0; time.Sleep(20 * time.Millisecond) {
		_, _ = s.CommitWithReceipt(t.Context(), storer.Commit{})
		assert.Assert(t, time.Since(restoredAt) < 1500*time.Millisecond)
	}
	assert.ErrorIs(t, <-failed, storer.ErrUnavailable)
	_, err = s.CommitWithReceipt(t.Context(), storer.Commit{})
	assert.NilError(t, err)
	assert.Equal(t, len(lost), 0)
}
