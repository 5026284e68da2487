package spender_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/process/spender"
	"github.com/egretroute/egretroute/internal/process/storer"
)

// narrowStore is a table behind links of a given width, each router's own, that
// writes the rows of one part one commit after another.
type narrowStore struct {
	*storer.Memory
	bytesPerSecond float64
	write          time.Duration
	calls          func(bytes int)

	mu    sync.Mutex // guards parts
	parts map[string]*sync.Mutex
}

func (s *narrowStore) CommitWithReceipt(ctx context.Context, c storer.Commit) (storer.Receipt, error) {
	sent := 0
	for _, w := range c.Writes {
		sent += len(w.Key) + len(w.Value)*4/3
	}
	s.calls(sent)
	time.Sleep(2*time.Millisecond + s.transfer(sent))
	part := s.part(c.Writes[0].Key)
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

func (s *narrowStore) transfer(bytes int) time.Duration {
	return time.Duration(float64(bytes) / s.bytesPerSecond * float64(time.Second))
}

func (s *narrowStore) part(key string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.parts[key]
	if !ok {
		m = &sync.Mutex{}
		s.parts[key] = m
	}
	return m
}

func (s *narrowStore) List(ctx context.Context, prefix string) (storer.RowBatch, error) {
	rows, err := s.Scan(ctx, prefix, "", 1000)
	return storer.RowBatch{Rows: rows}, err
}

// comeback is what a fleet has done since it was started again.
type comeback struct {
	asked, granted int
	// sent is what a router sent to the store, in bytes a second.
	sent float64
}

// TestFleetComesBackTogether kills all routers of a fleet at once and starts them
// again, with as many organisations as the users' grown deployments have, over
// links of 10 Mbit/s. Five seconds later, a third of the users' bound for
// recovery, 98 of 100 requests must find their tokens, and what a router sends
// must stay at a tenth of its link.
//
// It answers the load after a power loss of all: when all holders shared a row,
// commits of 200 KB conflicted with each other for half a minute.
func TestFleetComesBackTogether(t *testing.T) {
	for _, routers := range []int{7, 21, 60} {
		t.Run(fmt.Sprintf("routers%d", routers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got := comeBack(routers)
				t.Logf("%d routers: %d of %d requests found their tokens, %.0f bytes a second sent by each", routers, got.granted, got.asked, got.sent)
				assert.Assert(t, got.granted*100 >= got.asked*98)
				assert.Assert(t, got.sent < 125_000)
			})
		})
	}
}

func comeBack(routers int) comeback {
	const organisations, limit = 24, 2_000_000
	var mu sync.Mutex
	var got comeback
	counting := false
	began := time.Now()
	store := &narrowStore{Memory: storer.NewMemory(), bytesPerSecond: 1.25e6, write: 3 * time.Millisecond, parts: make(map[string]*sync.Mutex)}
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
			s := newFleetStocker(ctx, store, fmt.Sprintf("router-%d", i), generation)
			for o := range organisations {
				s.SetLimit(fmt.Sprintf("organisation-%d", o), limit)
			}
			fleet = append(fleet, s)
		}
	}
	load := func(seconds int) {
		for range seconds * 20 {
			time.Sleep(50 * time.Millisecond)
			for range 5 {
				s, organisation := fleet[random.IntN(routers)], fmt.Sprintf("organisation-%d", random.IntN(organisations))
				go func() {
					found := ask(s, organisation, limit, 1500)
					mu.Lock()
					defer mu.Unlock()
					if counting {
						got.asked++
						if found {
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

func newFleetStocker(ctx context.Context, store *narrowStore, name string, generation int) *spender.Allocator {
	incarnation := fmt.Sprintf("%s@%d", name, generation)
	var s *spender.Allocator
	b := &spender.Heartbeater{
		Table: store, Incarnation: incarnation, Key: "beats/" + name,
		CollectAllowances: func(seal func(map[string]spender.Allowance)) { s.CollectAllowances(seal) }, OnConfirmed: func() { s.HeartbeatConfirmed() },
	}
	s = &spender.Allocator{
		Table: store, Router: name, Incarnation: incarnation, Heartbeats: b, Horizon: 10 * time.Second, Interval: time.Second,
		BudgetKey:  func(organisation string) string { return "budgets/" + organisation },
		HoldingKey: func(organisation string) string { return "holdings/" + name + "/" + organisation },
	}
	go b.Run(ctx)
	go s.Run(ctx)
	return s
}

// ask reserves and settles one request as a gateway does.
func ask(s *spender.Allocator, organisation string, limit, amount int64) bool {
	s.RecordDemand(organisation, amount, time.Now())
	r := &spender.Reservation{Organisation: organisation, Limit: limit, Amount: amount}
	for wait := time.After(time.Second); ; {
		if s.Reserve(r) == nil {
			time.Sleep(time.Second)
			s.Settle(organisation, amount, amount*9/10, time.Now())
			return true
		}
		done, answering := s.Wait()
		if !answering {
			return false
		}
		select {
		case <-done:
		case <-wait:
			return false
		}
	}
}

// TestBeatsOfALargeFleetFitTheStore counts the beats of an idle fleet of 137
// routers, a third of the target's nodes, over 20 seconds: they must take under
// half of the 800 writes a second that the users' smallest store allows.
func TestBeatsOfALargeFleetFitTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const routers = 137
		var mu sync.Mutex
		calls := 0
		store := &narrowStore{Memory: storer.NewMemory(), bytesPerSecond: 1.25e6, write: 3 * time.Millisecond, parts: make(map[string]*sync.Mutex)}
		store.calls = func(int) {
			mu.Lock()
			defer mu.Unlock()
			calls++
		}
		ctx, cancel := context.WithCancel(context.Background())
		for i := range routers {
			name := fmt.Sprintf("router-%d", i)
			b := &spender.Heartbeater{
				Table: store, Incarnation: name + "@1", Key: "beats/" + name, Routers: func() float64 { return routers },
			}
			go b.Run(ctx)
		}
		time.Sleep(20 * time.Second)
		cancel()
		mu.Lock()
		defer mu.Unlock()
		assert.Assert(t, calls < 400*20, "%d calls in 20 s", calls)
		time.Sleep(time.Second)
	})
}

// TestCloseDuringACommit ends Run while a commit is under way at a slow store and
// closes the stock at once, as a gateway does that is told to stop: both commit
// the same plans, and nothing may be left or lost.
func TestCloseDuringACommit(t *testing.T) {
	for delay := range 20 {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			store := &narrowStore{Memory: storer.NewMemory(), bytesPerSecond: 1.25e6, write: 300 * time.Millisecond, parts: make(map[string]*sync.Mutex)}
			store.calls = func(int) {}
			store.Now = func() time.Duration { return time.Since(began) }
			ctx, cancel := context.WithCancel(context.Background())
			s := newFleetStocker(ctx, store, "router-1", 1)
			for o := range 5 {
				s.SetLimit(fmt.Sprintf("organisation-%d", o), 1_000_000)
			}
			for n := range 25 + delay {
				time.Sleep(200 * time.Millisecond)
				go ask(s, fmt.Sprintf("organisation-%d", n%5), 1_000_000, 1500)
			}
			cancel()
			closing, done := context.WithTimeout(context.Background(), 20*time.Second)
			defer done()
			closed := time.Now()
			s.Close(closing, func() bool { return time.Since(closed) > 3*time.Second }) // requests end in the meantime
			rows, err := store.Scan(context.Background(), "holdings/", "", 100)
			assert.NilError(t, err)
			assert.Equal(t, len(rows), 0)
			time.Sleep(5 * time.Second)
		})
	}
}
