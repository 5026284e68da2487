package archiver_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/process/archiver"
	"github.com/egretroute/egretroute/internal/process/storer"
	"github.com/egretroute/egretroute/internal/request/suspecter"
)

const key = "crashes//router-1"

// lossyStore loses every other reply to a commit, and all commits while it is down.
type lossyStore struct {
	*storer.Memory
	commits atomic.Int64
	down    atomic.Bool
}

func (s *lossyStore) CommitWithReceipt(ctx context.Context, c storer.Commit) (storer.Receipt, error) {
	if s.down.Load() {
		return storer.Receipt{}, storer.ErrUnavailable
	}
	receipt, err := s.Memory.CommitWithReceipt(ctx, c)
	if s.commits.Add(1)%2 == 1 {
		return storer.Receipt{}, storer.ErrUnavailable
	}
	return receipt, err
}

func stored(t *testing.T, table storer.Table) []suspecter.Observation {
	t.Helper()
	row, err := storer.ReadOne(t.Context(), table, key)
	assert.NilError(t, err)
	if row.Value == nil {
		return nil
	}
	observations, err := suspecter.Decode(row.Value)
	assert.NilError(t, err)
	return observations
}

// run runs an Archiver until stop is called.
func run(a *archiver.Archiver) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

func observe(a *archiver.Archiver, digest string) {
	a.Suspects.Observe(suspecter.Observation{Digest: digest, Run: "t1", At: time.Now()})
	a.Signal()
}

// TestSuccessorKeepsTheRow lets an Archiver write over a store that loses replies and is
// down for a while, and then a successor, which knows nothing. The row holds what both saw.
func TestSuccessorKeepsTheRow(t *testing.T) {
	store := &lossyStore{Memory: storer.NewMemory()}
	var lost, restored atomic.Int64
	first := &archiver.Archiver{
		Suspects: suspecter.New(time.Now), Store: store, Key: key,
		OnLost: func(error) { lost.Add(1) }, OnRestored: func() { restored.Add(1) },
	}
	stop := run(first)
	store.down.Store(true)
	observe(first, "a")
	for lost.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, len(stored(t, store)), 0)
	store.down.Store(false)
	for restored.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, lost.Load(), int64(1), "each failed write was reported")
	observe(first, "b")
	stop() // writes what is pending
	assert.Equal(t, len(stored(t, store)), 2)

	successor := &archiver.Archiver{Suspects: suspecter.New(time.Now), Store: store.Memory, Key: key}
	observe(successor, "c")
	run(successor)()
	assert.Equal(t, len(stored(t, store)), 3)
	assert.Equal(t, successor.Suspects.Verdict("a"), suspecter.Suspect)
}

// TestRowThatWentBackIsWrittenAgain replaces the row by an older copy.
func TestRowThatWentBackIsWrittenAgain(t *testing.T) {
	store := storer.NewMemory()
	a := &archiver.Archiver{Suspects: suspecter.New(time.Now), Store: store, Key: key}
	observe(a, "a")
	run(a)()
	older, err := storer.ReadOne(t.Context(), store, key)
	assert.NilError(t, err)
	observe(a, "b")
	run(a)()
	newer, err := storer.ReadOne(t.Context(), store, key)
	assert.NilError(t, err)
	var c storer.Commit
	c.Update(key, newer.Version, older.Value)
	assert.NilError(t, store.Commit(t.Context(), c))
	a.Apply(older)
	run(a)()
	assert.Equal(t, len(stored(t, store)), 2)
}

// TestUnreadableRow applies rows that this program has not written.
func TestUnreadableRow(t *testing.T) {
	unreadable := 0
	a := &archiver.Archiver{Suspects: suspecter.New(time.Now), Key: key, OnUnreadable: func(storer.Row, error) { unreadable++ }}
	a.Apply(storer.Row{Key: "crashes//other", Value: []byte("no JSON")})
	a.Apply(storer.Row{Key: key, Value: []byte("{}")})
	a.Apply(storer.Row{Key: "crashes//gone"})
	assert.Equal(t, unreadable, 2)
}
