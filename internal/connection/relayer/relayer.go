// Package relayer lets a process that is cut off from the platform's store use
// it through another process that still reaches it.
//
// A Server answers relayed calls from a store. A Store calls a store directly
// while that answers, and by way of linked processes while it does not. Since
// every commit is conditional and may be sent again unchanged, a call whose
// answer was lost on one way may be repeated on another.
//
// # Usage
//
//	handler := &relayer.Server{Store: store}
//	s := &relayer.Store{Direct: store, Links: links}
//	receipt, err := s.CommitAt(ctx, commit)
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

const (
	// probeInterval is how often the direct way is tried again while it fails.
	probeInterval = time.Second
	// relaySlack is how much longer than the store's own time a relayed call may take.
	relaySlack = 200 * time.Millisecond
	// minTimeout and maxTimeout bound how long a call may take, timeoutFactor is the
	// same in units of what the store takes now, which may be a hundred times what
	// is usual.
	minTimeout    = time.Second
	maxTimeout    = 3 * time.Second
	timeoutFactor = 3
	// minHedge is how long the direct way may take at least before a call is relayed
	// as well: a hundred times what the store takes usually; hedgeFactor is the same
	// in units of what the store takes now, pastWeight the weight that a slow answer
	// keeps with each faster one.
	minHedge    = 400 * time.Millisecond
	hedgeFactor = 2
	pastWeight  = 0.8
	// maxRelays is how many processes a call is relayed to at most; the next call
	// tries others.
	maxRelays = 1
	// maxWait bounds the wait that a linked process may ask for.
	maxWait = 30 * time.Second
)

// errSilent is the error of a direct way that brings no answer in time.
var errSilent = errors.Wrap(storer.ErrUnavailable, "the direct way is silent")

// Backend is a store that can be relayed to.
type Backend interface {
	storer.Committer
	storer.Watcher
}

// Server answers relayed calls.
type Server struct {
	Store Backend
}

// Serve answers a message and reports whether it was a relayed call.
func (s *Server) Serve(stream *linker.Stream, message any) bool {
	switch m := message.(type) {
	case *framer.RelayCommit:
		ctx, cancel := context.WithTimeout(context.Background(), maxTimeout)
		defer cancel()
		receipt, err := s.Store.CommitAt(ctx, decodeCommit(m))
		reply := encodeError(err)
		reply.Version = receipt.Version
		reply.Clock = max(reply.Clock, receipt.Clock)
		_ = stream.Write(reply) // the caller sees the stream end
		return true
	case *framer.RelayWatch:
		wait := min(m.Wait, maxWait)
		ctx, cancel := context.WithTimeout(context.Background(), wait+maxTimeout)
		defer cancel()
		feed, err := s.watch(ctx, m, wait)
		reply := encodeError(err)
		reply.Version = feed.Next
		for _, r := range feed.Rows {
			reply.Rows = append(reply.Rows, encodeRow(r))
		}
		_ = stream.Write(reply) // the caller sees the stream end
		return true
	default:
		return false
	}
}

func (s *Server) watch(ctx context.Context, m *framer.RelayWatch, wait time.Duration) (storer.Feed, error) {
	if m.List {
		return s.Store.List(ctx, m.Table)
	}
	return s.Store.Watch(ctx, m.Table, m.After, wait)
}

// Store implements Backend with ways around a cut.
//
// Exported fields are set before the first call.
type Store struct {
	Direct Backend
	// Links returns links to processes that may reach the store, best first.
	Links func() []*linker.Link
	// Lost and Back are called when the direct way begins to fail and works again.
	Lost func(err error)
	Back func()

	mu      sync.Mutex // guards all below
	failing bool
	probeAt time.Time
	// took is how long the store takes for a call, as of late.
	took time.Duration
	// answeredAt is when the store last answered any call directly.
	answeredAt time.Time
	// first counts the links that failed, and so tells which to try first.
	first int
}

// CommitAt implements storer.Committer.
func (s *Store) CommitAt(ctx context.Context, c storer.Commit) (storer.Receipt, error) {
	call := encodeCommit(c)
	return relay(ctx, s, 0,
		func(ctx context.Context) (storer.Receipt, error) { return s.Direct.CommitAt(ctx, c) },
		call, func(r *framer.Relayed) (storer.Receipt, error) {
			return storer.Receipt{Version: r.Version, Clock: r.Clock}, decodeError(r)
		})
}

// List implements storer.Watcher.
func (s *Store) List(ctx context.Context, table string) (storer.Feed, error) {
	return relay(ctx, s, 0,
		func(ctx context.Context) (storer.Feed, error) { return s.Direct.List(ctx, table) },
		&framer.RelayWatch{Table: table, List: true}, decodeFeed)
}

// Watch implements storer.Watcher.
func (s *Store) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (storer.Feed, error) {
	return relay(ctx, s, wait,
		func(ctx context.Context) (storer.Feed, error) { return s.Direct.Watch(ctx, table, after, wait) },
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
	if lost && s.Lost != nil {
		s.Lost(errSilent)
	}
}

// relay makes one call, directly if that way works or is due for a try, and
// through linked processes if the direct way did not lead to the store. wait is
// how long the store may keep the call waiting.
//
// It answers a store that is slow for all: calls that are given up, or sent again
// on other ways sooner than the store can answer, only add to the queue that they
// wait in.
func relay[T any](ctx context.Context, s *Store, wait time.Duration, direct func(context.Context) (T, error),
	call any, decode func(*framer.Relayed) (T, error)) (T, error) {
	var zero T
	last := errors.Wrap(storer.ErrRefused, "the direct way fails")
	uncertain := false
	note := func(err error) {
		uncertain = uncertain || errors.Is(err, storer.ErrUnavailable)
		last = err
	}
	timeout, begun := wait+s.patience(), time.Now()
	use, probe := s.tryDirect()
	if probe {
		// The same call may be made on both ways, so it serves as the probe.
		go func() { _, _ = askDirect(context.WithoutCancel(ctx), s, wait, timeout, direct) }() // it notes the outcome
	}
	if use {
		v, err := awaitDirect(ctx, s, wait, timeout, direct)
		if !lostWay(err) {
			return v, err
		}
		note(err)
	}
	for _, link := range s.ways() {
		if ctx.Err() != nil {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, timeout+relaySlack)
		reply, err := linker.Call[*framer.Relayed](callCtx, link, call)
		cancel()
		if err != nil {
			note(errors.Wrap(storer.ErrUnavailable, err.Error()))
			s.turn()
			continue
		}
		v, err := decode(reply)
		if !lostWay(err) {
			if use {
				s.relayedFirst(begun)
			}
			return v, err
		}
		note(err)
		s.turn()
	}
	if uncertain && !errors.Is(last, storer.ErrUnavailable) {
		last = errors.Wrap(storer.ErrUnavailable, last.Error())
	}
	return zero, last
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

// ways returns the links to try, beginning with the one that worked last.
func (s *Store) ways() []*linker.Link {
	links := s.Links()
	if len(links) == 0 {
		return nil
	}
	s.mu.Lock()
	first := s.first % len(links)
	s.mu.Unlock()
	turned := append(append([]*linker.Link{}, links[first:]...), links[:first]...)
	return turned[:min(len(turned), maxRelays)]
}

// turn makes the next link the first to try.
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
	case lost && !was && s.Lost != nil:
		s.Lost(err)
	case !lost && was && s.Back != nil:
		s.Back()
	}
}

func encodeCommit(c storer.Commit) *framer.RelayCommit {
	m := &framer.RelayCommit{}
	for _, cond := range c.Conditions {
		m.Conditions = append(m.Conditions, framer.RowCondition(cond))
	}
	for _, w := range c.Writes {
		m.Writes = append(m.Writes, framer.RowWrite{Key: w.Key, Value: w.Value, Delete: w.Value == nil})
	}
	return m
}

func decodeCommit(m *framer.RelayCommit) storer.Commit {
	var c storer.Commit
	for _, cond := range m.Conditions {
		c.Conditions = append(c.Conditions, storer.Condition(cond))
	}
	for _, w := range m.Writes {
		value := w.Value
		if !w.Delete && value == nil {
			value = []byte{}
		}
		c.Writes = append(c.Writes, storer.Write{Key: w.Key, Value: value})
	}
	return c
}

func encodeRow(r storer.Row) framer.RowValue {
	return framer.RowValue{Key: r.Key, Version: r.Version, Value: r.Value, Deleted: r.Value == nil}
}

func decodeRow(r framer.RowValue) storer.Row {
	value := r.Value
	if r.Deleted {
		value = nil
	}
	return storer.Row{Key: r.Key, Version: r.Version, Value: value}
}

func decodeFeed(r *framer.Relayed) (storer.Feed, error) {
	feed := storer.Feed{Next: r.Version}
	for _, row := range r.Rows {
		feed.Rows = append(feed.Rows, decodeRow(row))
	}
	return feed, decodeError(r)
}

// encodeError maps an error of the store to the outcome on the wire.
func encodeError(err error) *framer.Relayed {
	r := &framer.Relayed{}
	if err == nil {
		return r
	}
	r.Error = err.Error()
	var conflict *storer.ConflictError
	switch {
	case errors.As(err, &conflict):
		r.Outcome, r.Clock = framer.RelayConflict, conflict.Clock
		for _, row := range conflict.Rows {
			r.Rows = append(r.Rows, encodeRow(row))
		}
	case errors.Is(err, storer.ErrHistoryLost):
		r.Outcome = framer.RelayHistoryLost
	case errors.Is(err, storer.ErrRefused):
		r.Outcome = framer.RelayRefused
	default:
		r.Outcome = framer.RelayUnanswered
	}
	return r
}

// decodeError is the reverse of encodeError.
func decodeError(r *framer.Relayed) error {
	switch r.Outcome {
	case framer.RelayOK:
		return nil
	case framer.RelayConflict:
		conflict := &storer.ConflictError{Clock: r.Clock}
		for _, row := range r.Rows {
			conflict.Rows = append(conflict.Rows, decodeRow(row))
		}
		return conflict
	case framer.RelayHistoryLost:
		return storer.ErrHistoryLost
	case framer.RelayRefused:
		return errors.Wrap(storer.ErrRefused, r.Error)
	default:
		return errors.Wrap(storer.ErrUnavailable, r.Error)
	}
}
