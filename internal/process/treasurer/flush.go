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

// flushWaiter is told when a flush that began after it has ended.
type flushWaiter struct {
	done chan struct{}
}

// flushLoop flushes at every interval, and at once when a request waits.
func (t *Treasurer) flushLoop(ctx context.Context) {
	t.register(ctx, t.wallet())
	ticker := time.NewTicker(t.Interval)
	defer ticker.Stop()
	for {
		var waiters []*flushWaiter
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case w := <-t.kick:
			waiters = append(waiters, w)
		}
		waiters = t.gather(waiters)
		t.flush(ctx)
		for _, w := range waiters {
			close(w.done)
		}
	}
}

// gather collects the waiters that have come in, to serve them by one flush.
func (t *Treasurer) gather(waiters []*flushWaiter) []*flushWaiter {
	for {
		select {
		case w := <-t.kick:
			waiters = append(waiters, w)
		default:
			return waiters
		}
	}
}

// flush flushes the current wallet and those that still owe bills.
func (t *Treasurer) flush(ctx context.Context) {
	w := t.wallet()
	naming := t.agents.wanted(w.purse.OldestOpen())
	w.flusher.SetAgents(naming)
	flushCtx, cancel := context.WithTimeout(ctx, flushTimeout)
	err := w.flusher.Flush(flushCtx, time.Now())
	cancel()
	t.note(err)
	switch {
	case err == nil && !t.fenced(w):
		t.agents.recorded(naming)
	case errors.Is(err, spender.ErrFenced) || t.fenced(w):
		t.renew(ctx, w)
	}
	t.flushOld(ctx)
}

// fenced reports whether a wallet's row has been fenced by another router.
func (t *Treasurer) fenced(w *wallet) bool {
	h, ok := w.flusher.Holder()
	return ok && h.Fenced
}

// note logs when flushes begin to fail and when they work again.
func (t *Treasurer) note(err error) {
	failed := err != nil && !errors.Is(err, spender.ErrFenced)
	if was := t.down.Swap(failed); was == failed {
		return
	}
	if failed {
		logger.FlushFailed.Log(t.Log, "error", err)
		return
	}
	logger.FlushRecovered.Log(t.Log)
}

// flushOld commits the bills of fenced wallets and drops those that are done.
func (t *Treasurer) flushOld(ctx context.Context) {
	t.mu.Lock()
	old := t.old
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	for _, w := range old {
		err := w.flusher.Flush(ctx, time.Now())
		if err == nil && w.purse.Idle() {
			err = w.flusher.ReleaseFenced(ctx)
		}
		if errors.Is(err, spender.ErrFenced) {
			t.drop(w) // the row is gone: everything is settled and returned
		}
	}
}

func (t *Treasurer) drop(w *wallet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var kept []*wallet
	for _, o := range t.old {
		if o != w {
			kept = append(kept, o)
		}
	}
	t.old = kept
}

// requestFlush asks for a flush soon without waiting for it.
func (t *Treasurer) requestFlush() {
	select {
	case t.kick <- &flushWaiter{done: make(chan struct{})}:
	default:
	}
}

// awaitFlush waits for a flush that begins now to end.
func (t *Treasurer) awaitFlush(ctx context.Context) {
	w := &flushWaiter{done: make(chan struct{})}
	select {
	case t.kick <- w:
	case <-ctx.Done():
		return
	}
	select {
	case <-w.done:
	case <-ctx.Done():
	}
}
