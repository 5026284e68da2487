package relayer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/connection/linker"
	"github.com/egretroute/egretroute/internal/process/storer"
	"github.com/egretroute/egretroute/internal/process/timekeeper"
)

var (
	// errDirectTimeout is reported if the direct path brings no reply in time.
	errDirectTimeout = errors.Wrap(storer.ErrUnavailable, "no reply on the direct path in time")
	// errLongReply is reported if the direct path brings a reply that is better compressed.
	errLongReply = errors.New("the reply on the direct path is long")
)

// Store is a Backend that relays calls through other processes while the direct path to
// the store fails. Exported fields are set before the first call.
type Store struct {
	Direct Backend
	// Links returns links to processes that may reach the store, best first.
	Links func() []*linker.Link
	// WideLinks, if set, returns those of them whose processes have a wider path to the store
	// than this one. Reads with long replies are also made over them.
	WideLinks func() []*linker.Link
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
		func(ctx context.Context, _ time.Duration) (storer.Receipt, error) {
			return s.Direct.CommitWithReceipt(ctx, c)
		},
		call, func(r *framer.Relayed) (storer.Receipt, error) {
			return storer.Receipt{Version: r.Version, Clock: r.Clock, Era: storer.Era(r.Era)}, decodeError(r)
		})
}

// List implements storer.Watcher.
func (s *Store) List(ctx context.Context, table string) (storer.RowBatch, error) {
	return relay(ctx, s, 0,
		func(ctx context.Context, _ time.Duration) (storer.RowBatch, error) { return s.Direct.List(ctx, table) },
		&framer.RelayWatch{Table: table, List: true, Compress: true}, decodeRowBatch)
}

// Watch implements storer.Watcher.
func (s *Store) Watch(ctx context.Context, table string, after storer.Position, wait time.Duration) (storer.RowBatch, error) {
	return relay(ctx, s, wait,
		func(ctx context.Context, wait time.Duration) (storer.RowBatch, error) {
			return s.Direct.Watch(ctx, table, after, wait)
		},
		&framer.RelayWatch{Table: table, After: after.Version, Wait: wait, Compress: true}, decodeRowBatch)
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
// as its probe at every probeInterval. wait is how long the store may block the call. A probe
// isn't blocked for that long, since until its reply it tells nothing of the path.
//
// Timeouts and hedge delays follow the recent call time, because the store may be slow on
// every path: calls that are abandoned or repeated before the store can reply only
// lengthen its queue.
func relay[T any](ctx context.Context, s *Store, wait time.Duration,
	direct func(ctx context.Context, wait time.Duration) (T, error), call any, decode func(*framer.Relayed) (T, error),
) (T, error) {
	var zero T
	lastErr := errors.Wrap(storer.ErrRefused, "the direct path fails")
	callTimeout, startedAt := s.callTimeout(), time.Now()
	timeout := wait + callTimeout
	_, reads := call.(*framer.RelayWatch)
	limits := callLimits{wait: wait, bounds: commitBounds(timeout)}
	if reads {
		limits.bounds = readBounds(timeout)
	}
	useDirect, probe := s.tryDirect()
	if probe {
		// A call may be made on both paths, so the call itself serves as the probe. It
		// may take effect whatever the outcome on the other path is.
		lastErr = errors.Wrap(storer.ErrUnavailable, "the direct path is only probed")
		limits := callLimits{wait: min(wait, probeWait), bounds: commitBounds(callTimeout)}
		go probeDirect(context.WithoutCancel(timekeeper.Detach(ctx)), s, limits, direct, reads)
	}
	if useDirect {
		directCtx := ctx
		if reads {
			var cancel context.CancelFunc
			directCtx, cancel = context.WithCancel(ctx)
			defer cancel() // a reply that nobody reads would take room on the link
		}
		d := startDirect(directCtx, s, limits, direct)
		v, err := d.await(s, wait, reads)
		switch {
		case errors.Is(err, errLongReply):
			v, _, err := raceRelayed(ctx, d, d.wide, limits.relayed(), call, decode)
			return v, err
		case errors.Is(err, errDirectTimeout) && reads:
			return raceLateReply(ctx, s, d, startedAt, limits.relayed(), call, decode)
		case !pathFailed(err):
			return v, err
		}
		lastErr = err
	}
	link := s.currentLink()
	if link == nil || ctx.Err() != nil {
		return zero, lastErr
	}
	v, err := callRelayed(ctx, link, limits.relayed(), call, decode)
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

// callLimits bound a call.
type callLimits struct {
	// wait is how long the store may block the call.
	wait   time.Duration
	bounds timekeeper.Bounds
}

// relayed returns the bounds of the same call through another process.
func (l callLimits) relayed() timekeeper.Bounds {
	return timekeeper.Bounds{First: l.bounds.First + relayMargin, Stall: l.bounds.Stall, Whole: l.bounds.Whole + relayMargin}
}

// readBounds returns the bounds of a read whose reply begins to arrive within the timeout.
func readBounds(timeout time.Duration) timekeeper.Bounds {
	return timekeeper.Bounds{First: timeout, Stall: maxTimeout, Whole: timeout + maxTransferTime}
}

// commitBounds returns the bounds of a commit: its reply is short.
func commitBounds(timeout time.Duration) timekeeper.Bounds {
	return timekeeper.Bounds{First: timeout, Stall: timeout, Whole: timeout}
}

// callRelayed makes a call through another process.
func callRelayed[T any](ctx context.Context, link *linker.Link, bounds timekeeper.Bounds, call any,
	decode func(*framer.Relayed) (T, error)) (T, error) {
	callCtx, cancel := bounds.Start(ctx)
	defer cancel()
	reply, err := linker.Call[*framer.Relayed](callCtx, link, call)
	if err != nil {
		var zero T
		return zero, errors.Wrap(storer.ErrUnavailable, err.Error())
	}
	return decode(reply)
}

// callDirect makes a call on the direct path and records whether the path works, and how long the
// store took: the transfer of a long reply says nothing of that.
func callDirect[T any](ctx context.Context, s *Store, limits callLimits, direct func(context.Context, time.Duration) (T, error)) (T, error) {
	callCtx, cancel := limits.bounds.Start(ctx)
	defer cancel()
	startedAt := time.Now()
	var first sync.Once
	repliedAt := time.Time{}
	callCtx = timekeeper.Watch(callCtx, func(int) { first.Do(func() { repliedAt = time.Now() }) })
	v, err := direct(callCtx, limits.wait)
	if limits.wait == 0 && !pathFailed(err) {
		first.Do(func() { repliedAt = time.Now() })
		s.recordCallTime(repliedAt.Sub(startedAt))
	}
	s.recordDirectResult(ctx, startedAt, err)
	return v, err
}

// probeDirect makes a call on the direct path to find out whether it works. A read needs no more of
// its reply for that than the first part, and isn't given more time for a slow one: there is a probe
// every second.
func probeDirect[T any](ctx context.Context, s *Store, limits callLimits, direct func(context.Context, time.Duration) (T, error), reads bool) {
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	startedAt := time.Now()
	callCtx := timekeeper.Watch(readCtx, func(int) {
		if reads && readCtx.Err() == nil {
			s.recordDirectResult(ctx, startedAt, nil)
			cancel()
		}
	})
	_, err := callDirect(callCtx, s, limits, direct) // records its result
	if pathFailed(err) && readCtx.Err() == nil {
		s.postponeProbe()
	}
}

// postponeProbe lets the next probe wait for probeInterval.
func (s *Store) postponeProbe() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextProbe = time.Now().Add(probeInterval)
}

type result[T any] struct {
	v   T
	err error
}

// directCall is a call that is in progress on the direct path.
type directCall[T any] struct {
	results chan result[T]
	parts   chan struct{} // tells that a part of the reply has arrived
	length  atomic.Int64  // of the reply, so far
	wide    *linker.Link  // set with errLongReply: the link for the call
}

func startDirect[T any](ctx context.Context, s *Store, limits callLimits, direct func(context.Context, time.Duration) (T, error)) *directCall[T] {
	d := &directCall[T]{results: make(chan result[T], 1), parts: make(chan struct{}, 1)}
	ctx = timekeeper.Watch(ctx, func(n int) {
		d.length.Add(int64(n))
		select {
		case d.parts <- struct{}{}:
		default:
		}
	})
	go func() {
		v, err := callDirect(ctx, s, limits, direct)
		d.results <- result[T]{v: v, err: err}
	}()
	return d
}

// await returns the result of the call. Unless there is no other path, it returns
// errDirectTimeout if no part of the reply has come within the hedge delay, or none since the
// last one, and errLongReply for a read whose reply is long.
func (d *directCall[T]) await(s *Store, wait time.Duration, reads bool) (T, error) {
	var zero T
	delay := s.hedgeDelay()
	hedgeAt := time.Now().Add(wait + delay)
	timer := time.NewTimer(wait + delay)
	defer timer.Stop()
	for {
		select {
		case res := <-d.results:
			return res.v, res.err
		case <-d.parts:
			timer.Reset(max(delay, time.Until(hedgeAt)))
			if reads && d.length.Load() >= longReplyBytes {
				if d.wide = s.wideLink(); d.wide != nil {
					return zero, errLongReply
				}
			}
			continue
		case <-timer.C:
		}
		if len(s.Links()) == 0 {
			res := <-d.results
			return res.v, res.err
		}
		return zero, errDirectTimeout
	}
}

// raceLateReply also makes a read through a linked process whose reply is late on the direct path.
func raceLateReply[T any](ctx context.Context, s *Store, d *directCall[T], startedAt time.Time, bounds timekeeper.Bounds, call any,
	decode func(*framer.Relayed) (T, error)) (T, error) {
	link := s.currentLink()
	if link == nil {
		res := <-d.results
		return res.v, res.err
	}
	v, relayed, err := raceRelayed(ctx, d, link, bounds, call, decode)
	switch {
	case !relayed || pathFailed(err):
		s.advanceLink()
	case d.length.Load() == 0:
		s.recordRelayedFirst(startedAt)
	}
	return v, err
}

// raceRelayed also makes a call through a linked process while it is in progress on the direct
// path. It returns the reply that is complete first and whether that is the relayed one.
func raceRelayed[T any](ctx context.Context, d *directCall[T], link *linker.Link, bounds timekeeper.Bounds, call any,
	decode func(*framer.Relayed) (T, error)) (v T, relayedFirst bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	relayed := make(chan result[T], 1)
	go func() {
		v, err := callRelayed(ctx, link, bounds, call, decode)
		relayed <- result[T]{v: v, err: err}
	}()
	var res result[T]
	other := d.results
	select {
	case res = <-d.results:
		other = relayed
	case res = <-relayed:
		relayedFirst = true
	}
	if pathFailed(res.err) {
		res, relayedFirst = <-other, !relayedFirst
	}
	return res.v, relayedFirst, res.err
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

// wideLink returns the link for reads with long replies, or nil if there is none.
func (s *Store) wideLink() *linker.Link {
	if s.WideLinks == nil {
		return nil
	}
	links := s.WideLinks()
	if len(links) == 0 {
		return nil
	}
	return links[0]
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

// recordDirectResult records whether the direct path works. A call that got no reply tells nothing
// new if another one has got a reply since it was started: a long poll fails seconds after its
// connection, when the path may work again.
func (s *Store) recordDirectResult(ctx context.Context, startedAt time.Time, err error) {
	if ctx.Err() != nil {
		return
	}
	lost := pathFailed(err)
	s.mu.Lock()
	if errors.Is(err, storer.ErrUnavailable) && s.directRepliedAt.After(startedAt) {
		s.mu.Unlock()
		return
	}
	wasFailing := s.directFailing
	s.directFailing = lost
	switch {
	case !lost:
		s.directRepliedAt = time.Now()
	case !wasFailing: // a late failure of another call doesn't put off the probe
		s.nextProbe = time.Now().Add(probeInterval)
	}
	s.mu.Unlock()
	switch {
	case lost && !wasFailing && s.OnLost != nil:
		s.OnLost(err)
	case !lost && wasFailing && s.OnRestored != nil:
		s.OnRestored()
	}
}
