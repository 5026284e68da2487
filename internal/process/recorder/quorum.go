package recorder

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/framer"
)

// ErrNoQuorum is returned if too few processes have confirmed a record.
var ErrNoQuorum = errors.New("too few processes have recorded the draws")

// callTimeout bounds the wait for a process: many times a round trip between domains.
const callTimeout = 150 * time.Millisecond

// Peer is a process with a Recorder.
type Peer interface {
	Record(ctx context.Context, m *framer.RecordDraws) (*framer.DrawsRecorded, error)
	Fetch(ctx context.Context, m *framer.FetchDraws) (*framer.RecordedDraws, error)
}

// Quorum is the number of peers that must take part of a fixed number of them: Write of
// them to record, Read of them to fetch. Every two such groups have a peer in common.
type Quorum struct {
	Write int
	Read  int
}

// NewQuorum returns the quorum of n peers. It tolerates the loss of as many for writes as for
// reads, or one more for reads.
func NewQuorum(n int) Quorum {
	if n == 0 {
		return Quorum{}
	}
	write := n/2 + 1
	return Quorum{Write: write, Read: n + 1 - write}
}

// Record records draws with the peers, of which those that can't be reached are nil, and returns
// once enough have confirmed them.
func (q Quorum) Record(ctx context.Context, peers []Peer, m *framer.RecordDraws) error {
	if q.Write == 0 {
		return nil
	}
	confirmed := 0
	for reply := range ask(ctx, peers, func(ctx context.Context, p Peer) (*framer.DrawsRecorded, error) { return p.Record(ctx, m) }) {
		if reply == nil {
			continue
		}
		if confirmed++; confirmed == q.Write {
			return nil
		}
	}
	return errors.Wrapf(ErrNoQuorum, "%d of %d", confirmed, q.Write)
}

// Completeness tells whether fetched records may lack some.
type Completeness int

// Completeness of fetched records.
const (
	// Unreached means that too few peers have replied.
	Unreached Completeness = iota
	// Reached means that enough peers have replied, but some may have forgotten records.
	Reached
	// Complete means that no record of the time asked for is missing.
	Complete
)

// Fetch returns the newest records of a router's draws. They are complete if enough peers have
// replied that have run for minAge.
func (q Quorum) Fetch(ctx context.Context, peers []Peer, router string, minAge time.Duration) (draws map[string]framer.Draw, c Completeness) {
	draws = make(map[string]framer.Draw)
	replied, old := 0, 0
	m := &framer.FetchDraws{Router: router}
	for reply := range ask(ctx, peers, func(ctx context.Context, p Peer) (*framer.RecordedDraws, error) { return p.Fetch(ctx, m) }) {
		if reply == nil {
			continue
		}
		replied++
		if reply.Age >= minAge {
			old++
		}
		for _, d := range reply.Draws {
			draws[d.Organisation] = Newer(draws[d.Organisation], d)
		}
	}
	switch {
	case replied < q.Read:
		return draws, Unreached
	case len(peers) == 0 || old < q.Read:
		return draws, Reached
	default:
		return draws, Complete
	}
}

// ask calls all peers at once and returns a channel with one result for each, nil if it failed.
func ask[T any](ctx context.Context, peers []Peer, call func(ctx context.Context, p Peer) (*T, error)) <-chan *T {
	out := make(chan *T, len(peers))
	left := make(chan struct{}, len(peers))
	for _, p := range peers {
		go func() {
			defer func() { left <- struct{}{} }()
			if p == nil {
				return
			}
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			if reply, err := call(callCtx, p); err == nil {
				out <- reply
			}
		}()
	}
	go func() {
		for range peers {
			<-left
		}
		close(out)
	}()
	return out
}
