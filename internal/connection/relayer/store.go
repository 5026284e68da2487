package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/connection/linker"
	"github.com/egretroute/egretroute/internal/process/storer"
	"github.com/egretroute/egretroute/internal/process/timekeeper"
)

// errDirectTimeout is reported if the direct path brings no reply in time.
var errDirectTimeout = errors.Wrap(storer.ErrUnavailable, "no reply on the direct path in time")

// Store is a Backend that relays calls through other processes while the direct path to
// the store fails. Exported fields are set before the first call.
type Store struct {
	Direct Backend
	// Links returns links to processes that may reach the store, best first.
	Links func() []*linker.Link
	// OnLost is called when the direct path starts to fail, OnRestored when it works again.
	OnLost     func(err error)
	OnRestored func()

	mu            sync.Mutex // guards the fields below
	directFailing bool
	nextProbe     time.Time
	// callTime is the recent call time of the store; see callTimeDecay.
	callTime time.Duration
	// directRepliedAt is when the store last replied to any call on the direct path.
	directRepliedAt time.Time
	// failedLinks counts link failures. Modulo the number of links it is the index of
	// the link to use.
	failedLinks int
}

// CommitWithReceipt implements storer.Committer.
func (s *Store) CommitWithReceipt(ctx context.Context, c storer.Commit) (storer.Receipt, error) {
	call := encodeCommit(c)
	return relay(ctx, s, 0,
		func(ctx context.Context) (storer.Receipt, error) { return s.Direct.CommitWithReceipt(ctx, c) },
		call, func(r *framer.Relayed) (storer.Receipt, error) {
			return storer.Receipt{Version: r.Version, Clock: r.Clock, Era: storer.Era(r.Era)}, decodeError(r)
		})
}

// List implements storer.Watcher.
func (s *Store) List(ctx context.Context, table string) (storer.RowBatch, error) {
	return relay(ctx, s, 0,
		func(ctx context.Context) (storer.RowBatch, error) { return s.Direct.List(ctx, table) },
		&framer.RelayWatch{Table: table, List: true}, decodeRowBatch)
}

// Watch implements storer.Watcher.
func (s *Store) Watch(ctx context.Context, table string, after storer.Position, wait time.Duration) (storer.RowBatch, error) {
	return relay(ctx, s, wait,
		func(ctx context.Context) (storer.RowBatch, error) { return s.Direct.Watch(ctx, table, after, wait) },
		&framer.RelayWatch{Table: table, After: after.Version, Wait: wait}, decodeRowBatch)
}

// callTimeout returns the timeout of a call, without the time that the store may wait.
func (s *Store) callTimeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(max(timeoutFactor*s.callTime, minTimeout), maxTimeout)
}

// hedgeDelay returns how long to wait for the direct path before a call is relayed too.
func (s *Store) hedgeDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(minHedgeDelay, hedgeFactor*s.callTime)
}

// recordCallTime updates callTime with the duration of a direct call, even if its reply
// came too late to be used.
func (s *Store) recordCallTime(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callTime = max(duration, time.Duration(callTimeDecay*float64(s.callTime)))
}

// recordRelayedFirst records that a relayed call got its reply before the direct call,
// which was sent at startedAt and thus earlier. If the direct path has brought no reply
// since then, it counts as failing until a probe succeeds.
func (s *Store) recordRelayedFirst(startedAt time.Time) {
	s.mu.Lock()
	lost := s.directRepliedAt.Before(startedAt) && !s.directFailing
	if lost {
		s.directFailing, s.nextProbe = true, time.Now().Add(probeInterval)
	}
	s.mu.Unlock()
	if lost && s.OnLost != nil {
		s.OnLost(errDirectTimeout)
	}
}

// relay makes one call: directly if the direct path works, and through a linked process
// if the direct path fails or is slow. While the direct path fails, a call also serves
// as its probe at every probeInterval. wait is how long the store may block the call.
//
// Timeouts and hedge delays follow the recent call time, because the store may be slow on
// every path: calls that are abandoned or repeated before the store can reply only
// lengthen its queue.
func relay[T any](ctx context.Context, s *Store, wait time.Duration, direct func(context.Context) (T, error),
	call any, decode func(*framer.Relayed) (T, error)) (T, error) {
	var zero T
	lastErr := errors.Wrap(storer.ErrRefused, "the direct path fails")
	timeout, startedAt := wait+s.callTimeout(), time.Now()
	useDirect, probe := s.tryDirect()
	if probe {
		// A call may be made on both paths, so the call itself serves as the probe. It
		// may take effect whatever the outcome on the other path is.
		lastErr = errors.Wrap(storer.ErrUnavailable, "the direct path is only probed")
		go func() { _, _ = callDirect(context.WithoutCancel(ctx), s, wait, timeout, direct) }() // records its result
	}
	if useDirect {
		directCtx := ctx
		if _, reads := call.(*framer.RelayWatch); reads {
			var cancel context.CancelFunc
			directCtx, cancel = context.WithCancel(ctx)
			defer cancel() // a reply that nobody reads would take room on the link
		}
		v, err := callDirectHedged(directCtx, s, wait, timeout, direct)
		if !pathFailed(err) {
			return v, err
		}
		lastErr = err
	}
	link := s.currentLink()
	if link == nil || ctx.Err() != nil {
		return zero, lastErr
	}
	v, err := callRelayed(ctx, link, timeout+relayMargin, call, decode)
	if pathFailed(err) {
		s.advanceLink()
		if errors.Is(lastErr, storer.ErrUnavailable) && !errors.Is(err, storer.ErrUnavailable) {
			err = errors.Wrap(storer.ErrUnavailable, err.Error()) // the direct call may have taken effect
		}
		return zero, err
	}
	if useDirect {
		s.recordRelayedFirst(startedAt)
	}
	return v, err
}

// bound returns the bounds of a call whose reply begins to arrive within the timeout.
func bound(timeout time.Duration) timekeeper.Bounds {
	return timekeeper.Bounds{First: timeout, Stall: maxTimeout, Whole: timeout + maxTransferTime}
}

// callRelayed makes a call through another process.
func callRelayed[T any](ctx context.Context, link *linker.Link, timeout time.Duration, call any,
	decode func(*framer.Relayed) (T, error)) (T, error) {
	callCtx, cancel := bound(timeout).Start(ctx)
	defer cancel()
	reply, err := linker.Call[*framer.Relayed](callCtx, link, call)
	if err != nil {
		var zero T
		return zero, errors.Wrap(storer.ErrUnavailable, err.Error())
	}
	return decode(reply)
}

// callDirect makes a call on the direct path and records whether the path works.
func callDirect[T any](ctx context.Context, s *Store, wait, timeout time.Duration, direct func(context.Context) (T, error)) (T, error) {
	callCtx, cancel := bound(timeout).Start(ctx)
	defer cancel()
	startedAt := time.Now()
	v, err := direct(callCtx)
	if wait == 0 && !pathFailed(err) {
		s.recordCallTime(time.Since(startedAt))
	}
	s.recordDirectResult(ctx, err)
	return v, err
}

// callDirectHedged makes a call on the direct path. It returns errDirectTimeout if no part
// of the reply has come within the hedge delay, or none since the last one, unless there
// is no other path; it waits for the reply then.
func callDirectHedged[T any](ctx context.Context, s *Store, wait, timeout time.Duration, direct func(context.Context) (T, error)) (T, error) {
	type result struct {
		v   T
		err error
	}
	results, parts := make(chan result, 1), make(chan struct{}, 1)
	ctx = timekeeper.Watch(ctx, func() {
		select {
		case parts <- struct{}{}:
		default:
		}
	})
	go func() {
		v, err := callDirect(ctx, s, wait, timeout, direct)
		results <- result{v: v, err: err}
	}()
	delay := s.hedgeDelay()
	hedgeAt := time.Now().Add(wait + delay)
	timer := time.NewTimer(wait + delay)
	defer timer.Stop()
	for late := false; !late; {
		select {
		case res := <-results:
			return res.v, res.err
		case <-parts:
			timer.Reset(max(delay, time.Until(hedgeAt)))
		case <-timer.C:
			late = true
		}
	}
	if len(s.Links()) == 0 {
		res := <-results
		return res.v, res.err
	}
	var zero T
	return zero, errDirectTimeout
}

// currentLink returns the link to use, which is the one that worked last, or nil if there
// are no links.
func (s *Store) currentLink() *linker.Link {
	links := s.Links()
	if len(links) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return links[s.failedLinks%len(links)]
}

// advanceLink selects the next link after a failure.
func (s *Store) advanceLink() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedLinks++
}

// pathFailed reports whether a call failed with err in a way that another path to the
// store may avoid. A refusal counts, because it may concern only this process.
func pathFailed(err error) bool {
	return errors.Is(err, storer.ErrUnavailable) || errors.Is(err, storer.ErrRefused)
}

// tryDirect reports whether the next call should use the direct path, or, while the path
// fails, whether the call should also probe it.
func (s *Store) tryDirect() (useDirect, probe bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.directFailing {
		return true, false
	}
	if now := time.Now(); now.After(s.nextProbe) {
		s.nextProbe = now.Add(probeInterval)
		return false, true
	}
	return false, false
}

func (s *Store) recordDirectResult(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	lost := pathFailed(err)
	s.mu.Lock()
	wasFailing := s.directFailing
	s.directFailing = lost
	if lost {
		s.nextProbe = time.Now().Add(probeInterval)
	} else {
		s.directRepliedAt = time.Now()
	}
	s.mu.Unlock()
	switch {
	case lost && !wasFailing && s.OnLost != nil:
		s.OnLost(err)
	case !lost && wasFailing && s.OnRestored != nil:
		s.OnRestored()
	}
}
