// Package relayer lets a process that can't reach the platform's store use it through
// another process that can.
//
// A Server performs relayed calls on a store. A Store calls a store directly while that
// works, and through linked processes while it does not. Every commit is conditional and
// may be sent again unchanged, so a call whose reply was lost on one path may be repeated
// on another. A read whose reply is long is also made through a linked process, which
// compresses the rows: the store doesn't, and a process may have a narrow link.
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
	// probeInterval is the time between two probes of a failing direct path.
	probeInterval = time.Second
	// probeWait is how long the store may block a probe, at most: zero could mean the store's default.
	probeWait = time.Millisecond
	// relayMargin is added to the timeout of a call if it is relayed.
	relayMargin = 200 * time.Millisecond
	// The timeout of a call is timeoutFactor times the recent call time of the store,
	// which may be a hundred times the usual one, between minTimeout and maxTimeout.
	minTimeout    = time.Second
	maxTimeout    = 3 * time.Second
	timeoutFactor = 3
	// maxTransferTime is how much longer than its timeout a call may last while its reply arrives.
	maxTransferTime = 20 * time.Second
	// The hedge delay, after which a slow direct call is also relayed, is hedgeFactor
	// times the recent call time, but at least minHedgeDelay, which is a hundred times
	// the usual call time. The recent call time rises at once with a slower call and
	// decays by callTimeDecay with each faster one.
	minHedgeDelay = 400 * time.Millisecond
	hedgeFactor   = 2
	callTimeDecay = 0.8
	// longReplyBytes is the length of a direct reply from which the call is also relayed, for
	// compressed rows. It takes 0.1 s on a link of 10 Mbit/s.
	longReplyBytes = 128 << 10
	// maxWatchWait bounds the wait that a linked process may request in a RelayWatch.
	maxWatchWait = 30 * time.Second
)

// Backend is a store whose calls can be relayed.
type Backend interface {
	storer.Committer
	storer.Watcher
}

// Server performs relayed calls on a store.
type Server struct {
	Store Backend

	compressor compressor
}

// Serve handles a message if it is a relayed call, and reports whether it is one.
func (s *Server) Serve(stream *linker.Stream, message any) bool {
	switch m := message.(type) {
	case *framer.RelayCommit:
		ctx, cancel := context.WithTimeout(context.Background(), maxTimeout)
		defer cancel()
		receipt, err := s.Store.CommitWithReceipt(ctx, decodeCommit(m))
		reply := encodeError(err)
		reply.Version = receipt.Version
		reply.Clock = max(reply.Clock, receipt.Clock)
		reply.Era = max(reply.Era, uint64(receipt.Era))
		_ = stream.Write(reply) // if it fails, the peer sees the stream end
		return true
	case *framer.RelayWatch:
		wait := min(m.Wait, maxWatchWait)
		ctx, cancel := context.WithTimeout(context.Background(), wait+maxTimeout)
		defer cancel()
		batch, err := s.watch(ctx, m, wait)
		reply := encodeError(err)
		reply.Version, reply.Era = batch.Next.Version, uint64(batch.Next.Era)
		for _, r := range batch.Rows {
			row := encodeRow(r)
			if m.Compress {
				row = s.compressor.compress(row)
			}
			reply.Rows = append(reply.Rows, row)
		}
		_ = stream.Write(reply) // if it fails, the peer sees the stream end
		return true
	default:
		return false
	}
}

func (s *Server) watch(ctx context.Context, m *framer.RelayWatch, wait time.Duration) (storer.RowBatch, error) {
	if m.List {
		return s.Store.List(ctx, m.Table)
	}
	return s.Store.Watch(ctx, m.Table, storer.Position{Version: m.After}, wait) // the caller compares the eras
}
