// Package recorder remembers what other processes have drawn from budgets. If the platform's
// store comes back from a copy that lacks a draw, and the router that made it dies in the same
// moment, the records are all that tells of it.
//
// A router records each draw with a quorum of a few processes before it commits it, so
// that any larger part of them knows of it.
//
// # Usage
//
//	r := recorder.New(time.Now)
//	handled := r.Serve(stream, message)
//
//	q := recorder.NewQuorum(len(peers))
//	err := q.Record(ctx, peers, &framer.RecordDraws{Router: "router-1", Draws: draws})
//	draws, completeness := q.Fetch(ctx, peers, "router-1", 15*time.Second)
package recorder

import (
	"sync"
	"time"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/connection/linker"
)

// keepFor is how long a draw is remembered: several times the age of the oldest copy from
// which a store comes back.
const keepFor = time.Minute

// Recorder remembers the draws of routers.
type Recorder struct {
	now       func() time.Time
	startedAt time.Time

	mu       sync.Mutex // guards all below
	records  map[string]map[string]record
	prunedAt time.Time
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
		_ = stream.Write(r.Record(m)) // on failure the router sees the stream end
	case *framer.FetchDraws:
		_ = stream.Write(r.Fetch(m)) // on failure the router sees the stream end
	default:
		return false
	}
	return true
}

// Record remembers draws. Of several draws of one router and organisation, that of the latest
// commit counts, and of equal commits of two incarnations the larger one.
func (r *Recorder) Record(m *framer.RecordDraws) *framer.DrawsRecorded {
	r.mu.Lock()
	defer r.mu.Unlock()
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

// Fetch returns what is remembered of a router.
func (r *Recorder) Fetch(m *framer.FetchDraws) *framer.RecordedDraws {
	r.mu.Lock()
	defer r.mu.Unlock()
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
	if now.Sub(r.prunedAt) < keepFor {
		return
	}
	r.prunedAt = now
	for router, draws := range r.records {
		for organisation, rec := range draws {
			if now.Sub(rec.at) > keepFor {
				delete(draws, organisation)
			}
		}
		if len(draws) == 0 {
			delete(r.records, router)
		}
	}
}
