package recorder_test

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/process/recorder"
)

// peer is a process with a recorder that may be down.
type peer struct {
	*recorder.Recorder
	down atomic.Bool
}

var errDown = errors.New("down")

// Record implements recorder.Peer.
func (p *peer) Record(_ context.Context, m *framer.RecordDraws) (*framer.DrawsRecorded, error) {
	if p.down.Load() {
		return nil, errDown
	}
	return p.Recorder.Record(m), nil
}

// Fetch implements recorder.Peer.
func (p *peer) Fetch(_ context.Context, m *framer.FetchDraws) (*framer.RecordedDraws, error) {
	if p.down.Load() {
		return nil, errDown
	}
	return p.Recorder.Fetch(m), nil
}

// TestQuorum records a draw with some peers down and fetches it with others down. As long as both
// succeed, the draw must be among those fetched, and it must not be called complete once the
// peers have started anew.
func TestQuorum(t *testing.T) {
	const minAge = 10 * time.Second
	draw := framer.Draw{Organisation: "alpha", Commit: 4, Drawn: 700}
	for n := range 7 {
		for down := range 1 << n {
			now := time.Unix(0, 0)
			peers := make(map[string]recorder.Peer)
			var all []*peer
			var names []string
			for i := range n {
				p := &peer{Recorder: recorder.New(func() time.Time { return now })}
				all, names = append(all, p), append(names, strconv.Itoa(i))
				peers[names[i]] = p
			}
			now = now.Add(minAge)
			up := 0
			for i, p := range all {
				p.down.Store(down&(1<<i) != 0)
				if !p.down.Load() {
					up++
				}
			}
			q := recorder.NewSet(names)
			err := recorder.Record(t.Context(), peers, []recorder.Set{q}, &framer.RecordDraws{Router: "r", Draws: []framer.Draw{draw}})
			assert.Assert(t, (err == nil) == (up >= q.Write), "%d of %d up: %v", up, n, err)
			if err != nil {
				continue
			}
			for later := range 1 << n {
				up = 0
				for i, p := range all {
					p.down.Store(later&(1<<i) != 0)
					if !p.down.Load() {
						up++
					}
				}
				draws, completeness := recorder.Fetch(t.Context(), peers, []recorder.Set{q}, "r", minAge)
				want := recorder.Complete
				switch {
				case up < q.Read:
					want = recorder.Unreached
				case n == 0:
					want = recorder.Reached
				}
				assert.Equal(t, completeness, want, "%d of %d up", up, n)
				if completeness == recorder.Complete {
					assert.Equal(t, draws["alpha"], draw, "%d of %d up", up, n)
				}
				_, completeness = recorder.Fetch(t.Context(), peers, []recorder.Set{q}, "r", minAge+1)
				assert.Assert(t, completeness != recorder.Complete)
			}
		}
	}
}

// TestRecorderKeepsTheNewestDraw records draws out of order and after a minute.
func TestRecorderKeepsTheNewestDraw(t *testing.T) {
	now := time.Unix(0, 0)
	r := recorder.New(func() time.Time { return now })
	for _, d := range []framer.Draw{
		{Organisation: "alpha", Commit: 3, Drawn: 500}, {Organisation: "alpha", Commit: 2, Drawn: 900},
		{Organisation: "alpha", Commit: 3, Drawn: 400}, {Organisation: "beta", Commit: 1, Drawn: 7},
	} {
		r.Record(&framer.RecordDraws{Router: "r", Draws: []framer.Draw{d}})
	}
	got := make(map[string]framer.Draw)
	for _, d := range r.Fetch(&framer.FetchDraws{Router: "r"}).Draws {
		got[d.Organisation] = d
	}
	assert.DeepEqual(t, got, map[string]framer.Draw{
		"alpha": {Organisation: "alpha", Commit: 3, Drawn: 500}, "beta": {Organisation: "beta", Commit: 1, Drawn: 7},
	})
	now = now.Add(2 * time.Minute)
	r.Record(&framer.RecordDraws{Router: "other", Draws: []framer.Draw{{Organisation: "alpha", Commit: 1, Drawn: 1}}})
	assert.Equal(t, len(r.Fetch(&framer.FetchDraws{Router: "r"}).Draws), 0)
}

// TestClosedRecordersDontReply asks recorders of which some are closed, as that of a process that stops is while it still
// counts the draws of others. It guards against a process that ends by a nil pointer.
func TestClosedRecordersDontReply(t *testing.T) {
	peers := make(map[string]recorder.Peer)
	var names []string
	for i := range 3 {
		p := &peer{Recorder: recorder.New(time.Now)}
		names = append(names, strconv.Itoa(i))
		peers[names[i]] = p
		if i > 0 {
			p.Close()
		}
	}
	sets := []recorder.Set{recorder.NewSet(names)}
	draws, completeness := recorder.Fetch(t.Context(), peers, sets, "r", 0)
	assert.Equal(t, completeness, recorder.Unreached)
	assert.Equal(t, len(draws), 0)
	err := recorder.Record(t.Context(), peers, sets, &framer.RecordDraws{Router: "r"})
	assert.ErrorIs(t, err, recorder.ErrNoQuorum)
}
