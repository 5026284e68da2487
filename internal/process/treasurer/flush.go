package treasurer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/spender"
)

// flushTimeout bounds one flush.
const flushTimeout = 3 * time.Second

// flushWaiter is notified when a flush that started after its registration ends.
type flushWaiter struct {
	done chan struct{}
}

// flushLoop flushes at every interval, and immediately when a request waits for
// a flush.
func (t *Treasurer) flushLoop(ctx context.Context) {
	t.register(ctx, t.currentState())
	ticker := time.NewTicker(t.Interval)
	defer ticker.Stop()
	for {
		var waiters []*flushWaiter
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case w := <-t.wake:
			waiters = append(waiters, w)
		}
		waiters = t.collectWaiters(waiters)
		t.flush(ctx)
		for _, w := range waiters {
			close(w.done)
		}
	}
}

// collectWaiters appends all queued waiters, so that one flush serves them all.
func (t *Treasurer) collectWaiters(waiters []*flushWaiter) []*flushWaiter {
	for {
		select {
		case w := <-t.wake:
			waiters = append(waiters, w)
		default:
			return waiters
		}
	}
}

// flush flushes the current incarnation and the previous ones that still have
// bills to commit.
func (t *Treasurer) flush(ctx context.Context) {
	s := t.currentState()
	agents := t.agents.desired(s.pool.OldestOpen())
	s.flusher.SetAgents(agents)
	flushCtx, cancel := context.WithTimeout(ctx, flushTimeout)
	err := s.flusher.Flush(flushCtx, time.Now())
	cancel()
	t.logFlushState(err)
	switch {
	case err == nil && !t.isFenced(s):
		t.agents.setCommitted(agents)
	case errors.Is(err, spender.ErrFenced) || t.isFenced(s):
		t.startNewIncarnation(ctx, s)
	}
	t.flushPrevious(ctx)
}

// isFenced reports whether another router has fenced an incarnation's row.
func (t *Treasurer) isFenced(s *incarnationState) bool {
	h, ok := s.flusher.Holder()
	return ok && h.Fenced
}

// logFlushState logs when flushes start to fail and when they succeed again.
func (t *Treasurer) logFlushState(err error) {
	failed := err != nil && !errors.Is(err, spender.ErrFenced)
	if wasFailing := t.flushFailing.Swap(failed); wasFailing == failed {
		return
	}
	if failed {
		logger.FlushFailed.Log(t.Log, "error", err)
		return
	}
	logger.FlushRecovered.Log(t.Log)
}

// flushPrevious commits the bills of fenced incarnations and removes the
// incarnations that have settled and returned everything.
func (t *Treasurer) flushPrevious(ctx context.Context) {
	t.mu.Lock()
	previous := t.previous
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	for _, s := range previous {
		err := s.flusher.Flush(ctx, time.Now())
		if err == nil && s.pool.Idle() {
			err = s.flusher.ReleaseFenced(ctx)
		}
		if errors.Is(err, spender.ErrFenced) {
			t.removePrevious(s) // the row has been removed: everything is settled and returned
		}
	}
}

func (t *Treasurer) removePrevious(s *incarnationState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var kept []*incarnationState
	for _, p := range t.previous {
		if p != s {
			kept = append(kept, p)
		}
	}
	t.previous = kept
}

// requestFlush triggers a flush without waiting for it.
func (t *Treasurer) requestFlush() {
	select {
	case t.wake <- &flushWaiter{done: make(chan struct{})}:
	default:
	}
}

// awaitFlush triggers a flush and waits for its end or the end of ctx.
func (t *Treasurer) awaitFlush(ctx context.Context) {
	w := &flushWaiter{done: make(chan struct{})}
	select {
	case t.wake <- w:
	case <-ctx.Done():
		return
	}
	select {
	case <-w.done:
	case <-ctx.Done():
	}
}
