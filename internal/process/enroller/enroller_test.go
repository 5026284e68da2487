package enroller_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/process/enroller"
	"github.com/egretroute/egretroute/internal/process/storer"
)

// read returns the member in a row; ok is not set if there is none.
func read(t *testing.T, store *storer.Memory, key string) (m enroller.Member, ok bool) {
	t.Helper()
	row, err := storer.ReadOne(t.Context(), store, key)
	assert.NilError(t, err)
	if row.Value == nil {
		return m, false
	}
	m, err = enroller.Decode(row)
	assert.NilError(t, err)
	return m, true
}

// TestMemberThatCountsAsGoneEnrollsAgain declares a process gone that still runs, and later loses its row.
// It guards against processes that stay away from the fleet for good, or come back with records that may lack
// draws.
func TestMemberThatCountsAsGoneEnrollsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const key, within = "processes//a", 61 * time.Second
		store := storer.NewMemory()
		self := enroller.Member{Name: "a", Incarnation: "a@1", Kind: enroller.Companion, Address: "127.0.0.1:1", Domain: "d"}
		rejoins := 0
		e := &enroller.Enroller{Store: store, Key: key, Self: self, OnGone: func() { rejoins++ }}
		assert.NilError(t, e.Run(t.Context()))
		ctx, cancel := context.WithCancel(t.Context())
		kept := make(chan struct{})
		go func() {
			defer close(kept)
			e.Keep(ctx)
		}()

		assert.NilError(t, enroller.Declare(t.Context(), store, key, self, enroller.Gone))
		m, _ := read(t, store, key)
		assert.Equal(t, m.State, enroller.Gone)
		time.Sleep(within)
		synctest.Wait()
		m, _ = read(t, store, key)
		assert.Equal(t, m.State, enroller.Running)
		assert.Equal(t, m.Joins, 1)
		assert.Equal(t, rejoins, 1)

		// What others know of the earlier row changes nothing any more.
		assert.NilError(t, enroller.Declare(t.Context(), store, key, self, enroller.Gone))
		m, _ = read(t, store, key)
		assert.Equal(t, m.State, enroller.Running)

		// A row that is lost with a copy is written again, and the records stay.
		assert.NilError(t, enroller.Delete(t.Context(), store, key, m))
		_, ok := read(t, store, key)
		assert.Assert(t, !ok)
		time.Sleep(within)
		synctest.Wait()
		m, _ = read(t, store, key)
		assert.Equal(t, m.State, enroller.Running)
		assert.Equal(t, rejoins, 1)

		cancel()
		<-kept
		assert.NilError(t, e.Leave(t.Context()))
		m, _ = read(t, store, key)
		assert.Equal(t, m.State, enroller.Left)
	})
}

// TestMemberWhoseRowWasDeleted deletes the row of a process that still runs: others have declared it gone and forgotten it.
// It guards against records that count as complete though draws were recorded elsewhere meanwhile.
func TestMemberWhoseRowWasDeleted(t *testing.T) {
	for _, tt := range []struct {
		name    string
		lost    bool // with a copy of the store
		rejoins int
	}{
		{"in the same era", false, 1},
		{"with a copy", true, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			const key = "processes//a"
			store := storer.NewMemory()
			store.SetEra(2)
			self := enroller.Member{Name: "a", Incarnation: "a@1", Kind: enroller.Companion}
			rejoins := 0
			e := &enroller.Enroller{Store: store, Key: key, Self: self, OnGone: func() { rejoins++ }}
			assert.NilError(t, e.Run(t.Context()))
			assert.NilError(t, enroller.Delete(t.Context(), store, key, self))
			if tt.lost {
				store.SetEra(3)
			}
			assert.NilError(t, e.Run(t.Context()))
			m, _ := read(t, store, key)
			assert.Equal(t, m.State, enroller.Running)
			assert.Equal(t, m.Joins, tt.rejoins)
			assert.Equal(t, rejoins, tt.rejoins)
		})
	}
}

// TestLeavingAfterTheSuccessorHasStarted lets a process leave late, when the next one of its name has enrolled. It guards
// against a successor that nobody reckons with.
func TestLeavingAfterTheSuccessorHasStarted(t *testing.T) {
	const key = "processes//a"
	store := storer.NewMemory()
	earlier := &enroller.Enroller{Store: store, Key: key, Self: enroller.Member{Name: "a", Incarnation: "a@1"}}
	assert.NilError(t, earlier.Run(t.Context()))
	later := &enroller.Enroller{Store: store, Key: key, Self: enroller.Member{Name: "a", Incarnation: "a@2"}}
	assert.NilError(t, later.Run(t.Context()))
	assert.NilError(t, earlier.Leave(t.Context()))
	m, _ := read(t, store, key)
	assert.Equal(t, m.Incarnation, "a@2")
	assert.Equal(t, m.State, enroller.Running)
}
