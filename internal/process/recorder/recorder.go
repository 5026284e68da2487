// Package recorder remembers what other processes have drawn from budgets. If the platform's
// store comes back from a copy that lacks a draw, and the router that made it dies in the same
// moment, the records are all that tells of it.
//
// A router records each draw with a quorum of a few processes before it commits it, so
// that any larger part of them knows of it. Where the set of processes changes, it needs quorums of
// the new set and of earlier ones.
//
// # Usage
//
//	r := recorder.New(time.Now)
//	handled := r.Serve(stream, message)
//
//	sets := []recorder.Set{recorder.NewSet(names)}
//	err := recorder.Record(ctx, peers, sets, &framer.RecordDraws{Router: "router-1", Draws: draws})
//	draws, completeness := recorder.Fetch(ctx, peers, sets, "router-1", 15*time.Second)
package recorder

import (
	"sync"
	"time"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/connection/linker"
)

// KeepFor is how long a draw is remembered: several times the age of the oldest copy from
// which a store comes back.
const KeepFor = time.Minute

// Recorder remembers the draws of routers.
type Recorder struct {
	now func() time.Time

	mu        sync.Mutex // guards all below
	startedAt time.Time
	records   map[string]map[string]record
	prunedAt  time.Time
	closed    bool
}

type record struct {
	draw framer.Draw
	at   time.Time
}

// New returns an empty Recorder.
func New(now func() time.Time) *Recorder {
	return &Recorder{now: now, startedAt: now(), records: make(map[string]map[string]record)}
}

// Serve handles a message if it concerns draws, and reports whether it does.
func (r *Recorder) Serve(stream *linker.Stream, message any) bool {
	switch m := message.(type) {
	case *framer.RecordDraws:
		if reply := r.Record(m); reply != nil {
			_ = stream.Write(reply) // on failure the router sees the stream end
		}
	case *framer.FetchDraws:
		if reply := r.Fetch(m); reply != nil {
			_ = stream.Write(reply) // on failure the router sees the stream end
		}
	default:
		return false
	}
	return true
}

// Reset forgets all records and starts anew, after this process was not elected for a time and may
// lack some.
func (r *Recorder) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records, r.startedAt = make(map[string]map[string]record), r.now()
}

// Close ends the service: nothing is recorded or fetched any more, so that others may rely on the
// loss of the records.
func (r *Recorder) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
}

// Record remembers draws. Of several draws of one router and organisation, that of the latest
// commit counts, and of equal commits of two incarnations the larger one. It returns nil after Close.
func (r *Recorder) Record(m *framer.RecordDraws) *framer.DrawsRecorded {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil
	}
	now := r.now()
	r.prune(now)
	draws, ok := r.records[m.Router]
	if !ok {
		draws = make(map[string]record)
		r.records[m.Router] = draws
	}
	for _, d := range m.Draws {
		draws[d.Organisation] = record{draw: Newer(draws[d.Organisation].draw, d), at: now}
	}
	return &framer.DrawsRecorded{Age: now.Sub(r.startedAt)}
}

// Fetch returns what is remembered of a router, or nil after Close.
func (r *Recorder) Fetch(m *framer.FetchDraws) *framer.RecordedDraws {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil
	}
	reply := &framer.RecordedDraws{Age: r.now().Sub(r.startedAt)}
	for _, rec := range r.records[m.Router] {
		reply.Draws = append(reply.Draws, rec.draw)
	}
	return reply
}

// Newer returns the draw that counts of two of one router and organisation.
func Newer(a, b framer.Draw) framer.Draw {
	if a.Commit > b.Commit || (a.Commit == b.Commit && a.Drawn > b.Drawn) {
		return a
	}
	return b
}

// prune forgets old draws, once in a while. r.mu must be held.
func (r *Recorder) prune(now time.Time) {
	if now.Sub(r.prunedAt) < KeepFor {
		return
	}
	r.prunedAt = now
	for router, draws := range r.records {
		for organisation, rec := range draws {
			if now.Sub(rec.at) > KeepFor {
				delete(draws, organisation)
			}
		}
		if len(draws) == 0 {
			delete(r.records, router)
		}
	}
}
