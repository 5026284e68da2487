package relayer_test

import (
	"context"
	"sync/atomic"
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
	refusing *atomic.Bool // a Watch is refused after half of its wait
}

// Watch implements storer.Watcher.
func (b pollBackend) Watch(ctx context.Context, _ string, after storer.Position, wait time.Duration) (storer.RowBatch, error) {
	b.running.Add(1)
	defer b.running.Add(-1)
	if b.refusing.Load() {
		time.Sleep(wait / 2)
		return storer.RowBatch{}, storer.ErrRefused
	}
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
	direct = pollBackend{newSlowBackend(0, 0), &atomic.Bool{}}
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
	go func() {
		for t.Context().Err() == nil {
			_, _ = s.Watch(t.Context(), "crashes", storer.Position{}, 5*time.Second)
			time.Sleep(100 * time.Millisecond)
		}
	}()
	for silentAt := time.Now(); time.Since(silentAt) < 5*time.Second; time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, direct.running.Load() <= 1, "%d probes", direct.running.Load())
	}
	direct.silent.Store(false)
	restoredAt := time.Now()
	took := wait(t, restored).Sub(restoredAt)
	assert.Assert(t, took < 2500*time.Millisecond, "after %v", took) // a probe that fails, and the pause after it
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

// TestPathIsLostAfterItHasReplied makes a path silent that has replied, and then one that refuses a poll, after a
// later call got a reply.
func TestPathIsLostAfterItHasReplied(t *testing.T) {
	t.Parallel()
	s, direct, lost, _ := newPollStore()
	_, err := s.CommitWithReceipt(t.Context(), storer.Commit{})
	assert.NilError(t, err)
	direct.silent.Store(true)
	_, err = s.CommitWithReceipt(t.Context(), storer.Commit{})
	assert.ErrorIs(t, err, storer.ErrUnavailable)
	wait(t, lost)

	s, direct, lost, _ = newPollStore()
	direct.refusing.Store(true)
	polled := make(chan error, 1)
	go func() {
		_, err := s.Watch(t.Context(), "crashes", storer.Position{}, time.Second)
		polled <- err
	}()
	time.Sleep(100 * time.Millisecond)
	_, err = s.CommitWithReceipt(t.Context(), storer.Commit{})
	assert.NilError(t, err)
	assert.ErrorIs(t, <-polled, storer.ErrRefused)
	wait(t, lost)
}

// TestLateFailuresPutOffTheProbe lets polls from before the loss fail one after the other. Each put off the next probe
// by a second.
func TestLateFailuresPutOffTheProbe(t *testing.T) {
	t.Parallel()
	s, direct, lost, restored := newPollStore()
	direct.silent.Store(true)
	for i := range 6 {
		go func() {
			_, _ = s.Watch(t.Context(), "crashes", storer.Position{}, time.Duration(i)*700*time.Millisecond)
		}()
	}
	wait(t, lost)
	direct.silent.Store(false)
	lostAt := time.Now()
	go func() {
		for t.Context().Err() == nil {
			_, _ = s.CommitWithReceipt(t.Context(), storer.Commit{})
			time.Sleep(20 * time.Millisecond)
		}
	}()
	took := wait(t, restored).Sub(lostAt)
	assert.Assert(t, took < 2*time.Second, "after %v", took)
}

// TestSlowReplyHidesThatThePathWorks restores a path whose replies take longer than a probe may. It was not restored
// while feeds made the only calls.
func TestSlowReplyHidesThatThePathWorks(t *testing.T) {
	t.Parallel()
	s, direct, lost, restored := newPollStore()
	slow := newSlowBackend(28, 0)
	slow.partBytes, slow.silent = 4<<10, direct.silent
	s.Direct = slow
	direct.silent.Store(true)
	_, err := s.CommitWithReceipt(t.Context(), storer.Commit{})
	assert.ErrorIs(t, err, storer.ErrUnavailable)
	wait(t, lost)
	direct.silent.Store(false)
	go func() {
		for t.Context().Err() == nil {
			_, _ = s.Watch(t.Context(), "op", storer.Position{}, time.Second)
			time.Sleep(100 * time.Millisecond)
		}
	}()
	restoredAt := time.Now()
	took := wait(t, restored).Sub(restoredAt)
	assert.Assert(t, took < 2*time.Second, "after %v", took)
}
