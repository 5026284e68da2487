package spender_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/process/spender"
	"github.com/egretroute/egretroute/internal/process/storer"
)

// bandwidthStore is a table that each router reaches over a link of its own with limited
// bandwidth. It serialises the commits that begin with a write to the same key.
type bandwidthStore struct {
	*storer.Memory
	bytesPerSecond float64
	write          time.Duration
	calls          func(bytes int)

	mu    sync.Mutex // guards all below
	parts map[string]*sync.Mutex
	down  bool // no call is answered
}

func (s *bandwidthStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *bandwidthStore) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *bandwidthStore) CommitWithReceipt(ctx context.Context, c storer.Commit) (storer.Receipt, error) {
	sent := 0
	for _, w := range c.Writes {
		sent += len(w.Key) + len(w.Value)*4/3
	}
	s.calls(sent)
	if s.isDown() {
		hang(ctx)
		return storer.Receipt{}, errors.Wrap(storer.ErrUnavailable, "down")
	}
	time.Sleep(2*time.Millisecond + s.transfer(sent))
	key := "" // of a commit that only reads
	if len(c.Writes) > 0 {
		key = c.Writes[0].Key
	}
	part := s.part(key)
	part.Lock()
	time.Sleep(s.write)
	receipt, err := s.Memory.CommitWithReceipt(ctx, c)
	part.Unlock()
	received := 0
	var conflict *storer.ConflictError
	if asConflict(err, &conflict) {
		for _, r := range conflict.Rows {
			received += len(r.Key) + len(r.Value)*4/3
		}
	}
	time.Sleep(2*time.Millisecond + s.transfer(received))
	return receipt, err
}

func asConflict(err error, target **storer.ConflictError) bool {
	conflict, ok := err.(*storer.ConflictError)
	*target = conflict
	return ok
}

func (s *bandwidthStore) transfer(bytes int) time.Duration {
	return time.Duration(float64(bytes) / s.bytesPerSecond * float64(time.Second))
}

func (s *bandwidthStore) part(key string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.parts[key]
	if !ok {
		m = &sync.Mutex{}
		s.parts[key] = m
	}
	return m
}

func (s *bandwidthStore) List(ctx context.Context, prefix string) (storer.RowBatch, error) {
	rows, err := s.Scan(ctx, prefix, "", 1000)
	return storer.RowBatch{Rows: rows}, err
}

// restartStats counts the requests and traffic of a fleet after its restart.
type restartStats struct {
	requests, granted int
	// sent is the traffic of one router to the store, in bytes per second.
	sent float64
}

// TestFleetComesBackTogether kills all routers of a fleet at once and restarts them, with
// as many organisations as the users' grown deployments have, over links of 10 Mbit/s.
// Five seconds later, a third of the users' bound for recovery, 98 of 100 requests must
// get their tokens, and a router must send at most a tenth of its link's bandwidth.
//
// It guards against a storm of conflicts after a power loss of the whole fleet: when all
// holders shared one row, commits of 200 KB conflicted for half a minute.
func TestFleetComesBackTogether(t *testing.T) {
	for _, routers := range []int{7, 21, 60} {
		t.Run(fmt.Sprintf("routers%d", routers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got := restartFleet(routers)
				t.Logf("%d routers: %d of %d requests got their tokens, each router sent %.0f bytes a second", routers, got.granted, got.requests, got.sent)
				assert.Assert(t, got.granted*100 >= got.requests*98)
				assert.Assert(t, got.sent < 125_000)
			})
		})
	}
}

func restartFleet(routers int) restartStats {
	const organisations, limit = 24, 2_000_000
	var mu sync.Mutex
	var got restartStats
	counting := false
	began := time.Now()
	store := &bandwidthStore{Memory: storer.NewMemory(), bytesPerSecond: 1.25e6, write: 3 * time.Millisecond, parts: make(map[string]*sync.Mutex)}
	store.calls = func(bytes int) {
		mu.Lock()
		defer mu.Unlock()
		if counting {
			got.sent += float64(bytes)
		}
	}
	store.Now = func() time.Duration { return time.Since(began) }
	random := rand.New(rand.NewPCG(1, uint64(routers)))
	var stop context.CancelFunc
	var fleet []*spender.Allocator
	start := func(generation int) {
		var ctx context.Context
		ctx, stop = context.WithCancel(context.Background())
		fleet = nil
		for i := range routers {
			a := startAllocator(ctx, store, fmt.Sprintf("router-%d", i), generation)
			for o := range organisations {
				a.SetLimit(fmt.Sprintf("organisation-%d", o), limit)
			}
			fleet = append(fleet, a)
		}
	}
	load := func(seconds int) {
		for range seconds * 20 {
			time.Sleep(50 * time.Millisecond)
			for range 5 {
				a, organisation := fleet[random.IntN(routers)], fmt.Sprintf("organisation-%d", random.IntN(organisations))
				go func() {
					granted := runRequest(a, organisation, limit, 1500)
					mu.Lock()
					defer mu.Unlock()
					if counting {
						got.requests++
						if granted {
							got.granted++
						}
					}
				}()
			}
		}
	}
	start(1)
	load(10)
	stop()
	time.Sleep(500 * time.Millisecond)
	start(2)
	load(5)
	mu.Lock()
	counting = true
	mu.Unlock()
	load(5)
	mu.Lock()
	counting = false
	mu.Unlock()
	stop()
	time.Sleep(10 * time.Second)
	got.sent /= 5 * float64(routers)
	return got
}

func startAllocator(ctx context.Context, store *bandwidthStore, name string, generation int) *spender.Allocator {
	incarnation := fmt.Sprintf("%s@%d", name, generation)
	var a *spender.Allocator
	h := &spender.Heartbeater{
		Table: store, Incarnation: incarnation, Key: "beats/" + name,
		CollectAllowances: func(build func(map[string]spender.Allowance)) { a.CollectAllowances(build) }, OnConfirmed: func() { a.HeartbeatConfirmed() },
	}
	a = &spender.Allocator{
		Table: store, Router: name, Incarnation: incarnation, Heartbeats: h, Horizon: 10 * time.Second, Interval: time.Second,
		BudgetKey:  func(organisation string) string { return "budgets/" + organisation },
		HoldingKey: func(organisation string) string { return "holdings/" + name + "/" + organisation },
	}
	go h.Run(ctx)
	go a.Run(ctx)
	return a
}

// runRequest reserves and settles one request as a gateway does, and reports whether it got
// its tokens.
func runRequest(a *spender.Allocator, organisation string, limit, amount int64) bool {
	a.RecordDemand(organisation, amount, time.Now())
	r := &spender.Reservation{Organisation: organisation, Limit: limit, Amount: amount}
	for timeout := time.After(time.Second); ; {
		if a.Reserve(r) == nil {
			time.Sleep(time.Second)
			a.Settle(organisation, amount, amount*9/10, time.Now())
			return true
		}
		done, healthy := a.Wait()
		if !healthy {
			return false
		}
		select {
		case <-done:
		case <-timeout:
			return false
		}
	}
}

// TestBeatsOfALargeFleetFitTheStore counts the heartbeats of an idle fleet of 137 routers,
// a third of the nodes of the users' target size, over 20 seconds: they must take less than
// half of the 800 writes per second that the users' smallest store allows.
func TestBeatsOfALargeFleetFitTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const routers = 137
		var mu sync.Mutex
		calls := 0
		store := &bandwidthStore{Memory: storer.NewMemory(), bytesPerSecond: 1.25e6, write: 3 * time.Millisecond, parts: make(map[string]*sync.Mutex)}
		store.calls = func(int) {
			mu.Lock()
			defer mu.Unlock()
			calls++
		}
		ctx, cancel := context.WithCancel(context.Background())
		for i := range routers {
			name := fmt.Sprintf("router-%d", i)
			h := &spender.Heartbeater{
				Table: store, Incarnation: name + "@1", Key: "beats/" + name, Routers: func() float64 { return routers },
			}
			go h.Run(ctx)
		}
		time.Sleep(20 * time.Second)
		cancel()
		mu.Lock()
		defer mu.Unlock()
		assert.Assert(t, calls < 400*20, "%d calls in 20 s", calls)
		time.Sleep(time.Second)
	})
}

// TestCloseDuringACommit ends Run while a slow store processes a commit and calls Close at
// once, as a gateway does when it shuts down. Both flush the same accounts; afterwards all
// holdings must be closed and no token held.
func TestCloseDuringACommit(t *testing.T) {
	for delay := range 20 {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			store := &bandwidthStore{Memory: storer.NewMemory(), bytesPerSecond: 1.25e6, write: 300 * time.Millisecond, parts: make(map[string]*sync.Mutex)}
			store.calls = func(int) {}
			store.Now = func() time.Duration { return time.Since(began) }
			ctx, cancel := context.WithCancel(context.Background())
			a := startAllocator(ctx, store, "router-1", 1)
			for o := range 5 {
				a.SetLimit(fmt.Sprintf("organisation-%d", o), 1_000_000)
			}
			for n := range 25 + delay {
				time.Sleep(200 * time.Millisecond)
				go runRequest(a, fmt.Sprintf("organisation-%d", n%5), 1_000_000, 1500)
			}
			cancel()
			closing, done := context.WithTimeout(context.Background(), 20*time.Second)
			defer done()
			closed := time.Now()
			a.Close(closing, func() bool { return time.Since(closed) > 3*time.Second }) // requests end in the meantime
			rows, err := store.Scan(context.Background(), "holdings/", "", 100)
			assert.NilError(t, err)
			for _, row := range rows {
				var h struct {
					Held, Unshown int64
					Closed        bool
				}
				assert.NilError(t, json.Unmarshal(row.Value, &h))
				assert.Assert(t, h.Closed && h.Held == 0 && h.Unshown == 0, "%s", row.Value)
			}
			rows, err = store.Scan(context.Background(), "budgets/", "", 100)
			assert.NilError(t, err)
			assert.Equal(t, len(rows), 5)
			for _, row := range rows {
				var b struct{ Granted, Spent, Holders int64 }
				assert.NilError(t, json.Unmarshal(row.Value, &b))
				assert.Assert(t, b.Granted == b.Spent && b.Holders == 0, "%s", row.Value)
			}
			time.Sleep(5 * time.Second)
		})
	}
}
