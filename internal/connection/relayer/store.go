package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/connection/linker"
	"github.com/egretroute/egretroute/internal/process/storer"
)

// errSilent is the error of a direct way that brings no answer in time.
var errSilent = errors.Wrap(storer.ErrUnavailable, "the direct way is silent")

// Store implements Backend with ways around a cut.
//
// Exported fields are set before the first call.
type Store struct {
	Direct Backend
	// Links returns links to processes that may reach the store, best first.
	Links func() []*linker.Link
	// OnLost and Back are called when the direct way begins to fail and works again.
	OnLost     func(err error)
	OnRestored func()

	mu      sync.Mutex // guards all below
	failing bool
	probeAt time.Time
	// took is how long the store takes for a call, as of late.
	took time.Duration
	// answeredAt is when the store last answered any call directly.
	answeredAt time.Time
	// first counts the links that failed, and so tells which to try.
	first int
}

// CommitWithReceipt implements storer.Committer.
func (s *Store) CommitWithReceipt(ctx context.Context, c storer.Commit) (storer.Receipt, error) {
	call := encodeCommit(c)
	return relay(ctx, s, 0,
		func(ctx context.Context) (storer.Receipt, error) { return s.Direct.CommitWithReceipt(ctx, c) },
		call, func(r *framer.Relayed) (storer.Receipt, error) {
			return storer.Receipt{Version: r.Version, Clock: r.Clock}, decodeError(r)
		})
}

// List implements storer.Watcher.
func (s *Store) List(ctx context.Context, table string) (storer.RowBatch, error) {
	return relay(ctx, s, 0,
		func(ctx context.Context) (storer.RowBatch, error) { return s.Direct.List(ctx, table) },
		&framer.RelayWatch{Table: table, List: true}, decodeFeed)
}

// Watch implements storer.Watcher.
func (s *Store) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (storer.RowBatch, error) {
	return relay(ctx, s, wait,
		func(ctx context.Context) (storer.RowBatch, error) { return s.Direct.Watch(ctx, table, after, wait) },
		&framer.RelayWatch{Table: table, After: after, Wait: wait}, decodeFeed)
}

// patience returns how long a call may take.
func (s *Store) patience() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(max(timeoutFactor*s.took, minTimeout), maxTimeout)
}

// hedge returns how long to wait for the direct way alone.
func (s *Store) hedge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(minHedge, hedgeFactor*s.took)
}

// timed notes how long the store took for a call, also when the answer came too
// late to be used.
func (s *Store) timed(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.took = max(took, time.Duration(pastWeight*float64(s.took)))
}

// relayedFirst notes that a relayed call was answered before the direct one,
// which was begun earlier: the direct way is lost until a probe says otherwise.
func (s *Store) relayedFirst(begun time.Time) {
	s.mu.Lock()
	lost := s.answeredAt.Before(begun) && !s.failing
	if lost {
		s.failing, s.probeAt = true, time.Now().Add(probeInterval)
	}
	s.mu.Unlock()
	if lost && s.OnLost != nil {
		s.OnLost(errSilent)
	}
}

// relay makes one call, directly if that way works or is due for a try, and
// through a linked process if the direct way did not lead to the store. wait is
// how long the store may keep the call waiting.
//
// It answers a store that is slow for all: calls that are given up, or sent again
// on other ways sooner than the store can answer, only add to the queue that they
// wait in.
func relay[T any](ctx context.Context, s *Store, wait time.Duration, direct func(context.Context) (T, error),
	call any, decode func(*framer.Relayed) (T, error)) (T, error) {
	var zero T
	last := errors.Wrap(storer.ErrRefused, "the direct way fails")
	timeout, begun := wait+s.patience(), time.Now()
	use, probe := s.tryDirect()
	if probe {
		// The same call may be made on both ways, so it serves as the probe; it may
		// take effect whatever the other way says.
		last = errors.Wrap(storer.ErrUnavailable, "the direct way is only probed")
		go func() { _, _ = askDirect(context.WithoutCancel(ctx), s, wait, timeout, direct) }() // it notes the outcome
	}
	if use {
		v, err := awaitDirect(ctx, s, wait, timeout, direct)
		if !lostWay(err) {
			return v, err
		}
		last = err
	}
	link := s.way()
	if link == nil || ctx.Err() != nil {
		return zero, last
	}
	v, err := askLink(ctx, link, timeout+relaySlack, call, decode)
	if lostWay(err) {
		s.turn()
		if errors.Is(last, storer.ErrUnavailable) && !errors.Is(err, storer.ErrUnavailable) {
			err = errors.Wrap(storer.ErrUnavailable, err.Error()) // the direct call may have taken effect
		}
		return zero, err
	}
	if use {
		s.relayedFirst(begun)
	}
	return v, err
}

// askLink makes a call by way of another process.
func askLink[T any](ctx context.Context, link *linker.Link, timeout time.Duration, call any,
	decode func(*framer.Relayed) (T, error)) (T, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := linker.Call[*framer.Relayed](callCtx, link, call)
	if err != nil {
		var zero T
		return zero, errors.Wrap(storer.ErrUnavailable, err.Error())
	}
	return decode(reply)
}

// askDirect makes a call directly and notes whether the way works.
func askDirect[T any](ctx context.Context, s *Store, wait, timeout time.Duration, direct func(context.Context) (T, error)) (T, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	begun := time.Now()
	v, err := direct(callCtx)
	if wait == 0 && !lostWay(err) {
		s.timed(time.Since(begun))
	}
	s.noteDirect(ctx, err)
	return v, err
}

// awaitDirect makes a call directly and waits for it as long as the store may
// take, or for good if there is no other way.
func awaitDirect[T any](ctx context.Context, s *Store, wait, timeout time.Duration, direct func(context.Context) (T, error)) (T, error) {
	type answer struct {
		v   T
		err error
	}
	answered := make(chan answer, 1)
	go func() {
		v, err := askDirect(ctx, s, wait, timeout, direct)
		answered <- answer{v: v, err: err}
	}()
	timer := time.NewTimer(wait + s.hedge())
	defer timer.Stop()
	select {
	case a := <-answered:
		return a.v, a.err
	case <-timer.C:
	}
	if len(s.Links()) == 0 {
		a := <-answered
		return a.v, a.err
	}
	var zero T
	return zero, errSilent
}

// way returns the link to try, the one that worked last, or nil if there is none.
func (s *Store) way() *linker.Link {
	links := s.Links()
	if len(links) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return links[s.first%len(links)]
}

// turn makes the next link the one to try.
func (s *Store) turn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first++
}

// lostWay reports whether another way to the store may still work. A refusal
// may be of this process alone.
func lostWay(err error) bool {
	return errors.Is(err, storer.ErrUnavailable) || errors.Is(err, storer.ErrRefused)
}

// tryDirect reports whether the direct way should be used for the next call, or
// only probed beside it while it fails.
func (s *Store) tryDirect() (use, probe bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.failing {
		return true, false
	}
	if now := time.Now(); now.After(s.probeAt) {
		s.probeAt = now.Add(probeInterval)
		return false, true
	}
	return false, false
}

func (s *Store) noteDirect(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	lost := lostWay(err)
	s.mu.Lock()
	was := s.failing
	s.failing = lost
	if lost {
		s.probeAt = time.Now().Add(probeInterval)
	} else {
		s.answeredAt = time.Now()
	}
	s.mu.Unlock()
	switch {
	case lost && !was && s.OnLost != nil:
		s.OnLost(err)
	case !lost && was && s.OnRestored != nil:
		s.OnRestored()
	}
}
