package recorder

import (
	"context"
	"slices"
	"sync"
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

// Set is a set of processes that record a router's draws.
type Set struct {
	Members []string
	Quorum
}

// NewSet returns a set of members that all count.
func NewSet(members []string) Set {
	return Set{Members: members, Quorum: NewQuorum(len(members))}
}

// Record records draws with the peers, of which those that can't be reached are missing, and returns
// once enough of each set have confirmed them.
func Record(ctx context.Context, peers map[string]Peer, sets []Set, m *framer.RecordDraws) error {
	confirmed := make([]int, len(sets))
	recorded := func() bool {
		for i, set := range sets {
			if confirmed[i] < set.Write {
				return false
			}
		}
		return true
	}
	if recorded() {
		return nil
	}
	for reply := range ask(ctx, peers, func(ctx context.Context, p Peer) (*framer.DrawsRecorded, error) { return p.Record(ctx, m) }) {
		for i, set := range sets {
			if slices.Contains(set.Members, reply.from) {
				confirmed[i]++
			}
		}
		if recorded() {
			return nil
		}
	}
	return errors.Wrapf(ErrNoQuorum, "%v of %d sets", confirmed, len(sets))
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

// Fetch returns the newest records of a router's draws. They are complete if enough peers of each
// set have replied that have run for minAge.
func Fetch(ctx context.Context, peers map[string]Peer, sets []Set, router string, minAge time.Duration) (draws map[string]framer.Draw, c Completeness) {
	draws = make(map[string]framer.Draw)
	var replied, old []string
	m := &framer.FetchDraws{Router: router}
	for reply := range ask(ctx, peers, func(ctx context.Context, p Peer) (*framer.RecordedDraws, error) { return p.Fetch(ctx, m) }) {
		replied = append(replied, reply.from)
		if reply.value.Age >= minAge {
			old = append(old, reply.from)
		}
		for _, d := range reply.value.Draws {
			draws[d.Organisation] = Newer(draws[d.Organisation], d)
		}
	}
	c = Complete
	for _, set := range sets {
		switch {
		case set.count(replied) < set.Read:
			return draws, Unreached
		case len(set.Members) == 0 || set.count(old) < set.Read:
			c = Reached
		}
	}
	return draws, c
}

// count returns how many of the set's members are among names.
func (s Set) count(names []string) (n int) {
	for _, name := range s.Members {
		if slices.Contains(names, name) {
			n++
		}
	}
	return n
}

// answer is a peer's reply.
type answer[T any] struct {
	from  string
	value *T
}

// ask calls all peers at once and returns a channel with the replies of those that give one. A recorder that is
// closed gives none.
func ask[T any](ctx context.Context, peers map[string]Peer, call func(ctx context.Context, p Peer) (*T, error)) <-chan answer[T] {
	out := make(chan answer[T], len(peers))
	var calls sync.WaitGroup
	for name, p := range peers {
		calls.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			if reply, err := call(callCtx, p); err == nil && reply != nil {
				out <- answer[T]{from: name, value: reply}
			}
		})
	}
	go func() {
		calls.Wait()
		close(out)
	}()
	return out
}
