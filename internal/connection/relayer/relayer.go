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
//	receipt, err := s.CommitWithReceipt(ctx, commit)
package relayer

import (
	"context"
	"time"

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
	// maxWait bounds the wait that a linked process may ask for.
	maxWait = 30 * time.Second
)

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
		receipt, err := s.Store.CommitWithReceipt(ctx, decodeCommit(m))
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
		reply.Version = feed.NextVersion
		for _, r := range feed.Rows {
			reply.Rows = append(reply.Rows, encodeRow(r))
		}
		_ = stream.Write(reply) // the caller sees the stream end
		return true
	default:
		return false
	}
}

func (s *Server) watch(ctx context.Context, m *framer.RelayWatch, wait time.Duration) (storer.RowBatch, error) {
	if m.List {
		return s.Store.List(ctx, m.Table)
	}
	return s.Store.Watch(ctx, m.Table, m.After, wait)
}
