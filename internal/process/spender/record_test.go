package spender_test

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/process/spender"
	"github.com/egretroute/egretroute/internal/process/storer"
)

// TestCloseWaitsForRecords closes an allocator while its draws can't be recorded for two seconds.
// It must return its tokens then. It took a commit that could not be recorded for none.
func TestCloseWaitsForRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &faultyStore{Memory: storer.NewMemory(), random: rand.New(rand.NewPCG(1, 1))}
		store.SetEra(1)
		ctx, cancel := context.WithCancel(context.Background())
		r := &simRouter{name: "router-1", store: store, usage: &usage{}, limit: 20_000, horizon: 10 * time.Second}
		r.start(ctx)
		a := r.allocator
		a.SetEra(1, true)
		var failUntil time.Time
		a.Record = func(context.Context, []framer.Draw) error {
			if time.Now().Before(failUntil) {
				return errors.New("no quorum")
			}
			return nil
		}
		go r.request(1000, 900, time.Second)
		time.Sleep(3 * time.Second)
		cancel()
		failUntil = time.Now().Add(2 * time.Second)
		closing, done := context.WithTimeout(context.Background(), 10*time.Second)
		defer done()
		a.Close(closing, func() bool { return true })
		totals := readTotals(context.Background(), t, store)
		assert.Equal(t, totals.held, int64(0))
		assert.Equal(t, totals.granted, int64(900))
		time.Sleep(5 * time.Second)
	})
}

// TestFailedCommitsArePaced has a request each millisecond while draws can't be recorded. Each request
// caused an attempt of its own, several hundred a second.
func TestFailedCommitsArePaced(t *testing.T) {
	const limit = 25 // attempts in a second
	synctest.Test(t, func(t *testing.T) {
		store := &faultyStore{Memory: storer.NewMemory(), random: rand.New(rand.NewPCG(1, 1))}
		store.SetEra(1)
		ctx, cancel := context.WithCancel(context.Background())
		r := &simRouter{name: "router-1", store: store, usage: &usage{}, limit: 1_000_000, horizon: 10 * time.Second}
		var attempts atomic.Int64
		r.connect = func(_ context.Context, _ *simRouter, _ *spender.Heartbeater, a *spender.Allocator) {
			a.Record = func(context.Context, []framer.Draw) error {
				attempts.Add(1)
				return errors.New("no quorum")
			}
			a.SetEra(1, true)
		}
		r.start(ctx)
		time.Sleep(3 * time.Second)
		attempts.Store(0)
		for range 1000 {
			go r.request(1000, 900, time.Second)
			time.Sleep(time.Millisecond)
		}
		got := attempts.Load()
		assert.Assert(t, got > 0 && got <= limit, "%d attempts in a second, at most %d allowed", got, limit)
		cancel()
		time.Sleep(10 * time.Second)
	})
}
