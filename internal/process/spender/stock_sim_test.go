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

	"gotest.tools/v3/assert"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/process/spender"
	"github.com/egretroute/egretroute/internal/process/storer"
)

// faultyStore is a table whose commits may be refused, lose their answer, or
// take effect seconds later if their condition still holds.
type faultyStore struct {
	*storer.Memory

	mu     sync.Mutex // guards all below
	random *rand.Rand
	// down makes every call hang, lossy and late are shares of the commits.
	down  bool
	lossy float64
	late  float64
	busy  float64
}

const storeTimeout = 700 * time.Millisecond

// CommitWithReceipt implements storer.Committer.
func (s *faultyStore) CommitWithReceipt(ctx context.Context, c storer.Commit) (storer.Receipt, error) {
	s.mu.Lock()
	down, lost, late, busy := s.down, s.random.Float64() < s.lossy, s.random.Float64() < s.late, s.random.Float64() < s.busy
	delay := time.Duration(s.random.IntN(3000)) * time.Millisecond
	s.mu.Unlock()
	time.Sleep(4 * time.Millisecond)
	switch {
	case down:
		hang(ctx)
		return storer.Receipt{}, errors.Wrap(storer.ErrUnavailable, "down")
	case busy:
		return storer.Receipt{}, storer.ErrRefused
	case late:
		go func() {
			time.Sleep(delay)
			_, _ = s.Memory.CommitWithReceipt(context.Background(), c) // its condition may hold no more
		}()
		hang(ctx)
		return storer.Receipt{}, errors.Wrap(storer.ErrUnavailable, "late")
	}
	receipt, err := s.Memory.CommitWithReceipt(ctx, c)
	if lost {
		hang(ctx)
		return storer.Receipt{}, errors.Wrap(storer.ErrUnavailable, "answer lost")
	}
	return receipt, err
}

// List implements spender.StockTable.
func (s *faultyStore) List(ctx context.Context, prefix string) (storer.RowBatch, error) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		hang(ctx)
		return storer.RowBatch{}, errors.Wrap(storer.ErrUnavailable, "down")
	}
	rows, err := s.Scan(ctx, prefix, "", 1000)
	return storer.RowBatch{Rows: rows}, err
}

func hang(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(storeTimeout):
	}
}

// spend is what all requests of an organisation have cost, as targets see it.
type spend struct {
	mu     sync.Mutex // guards all below
	tokens int64
	served int
	asked  int
}

// node is one router, which may be killed and started again.
type node struct {
	name    string
	store   *faultyStore
	spend   *spend
	mu      sync.Mutex // guards all below
	stock   *spender.Allocator
	stop    context.CancelFunc
	starts  int
	running map[int64]int64 // amounts of requests under way, by number
	next    int64
	limit   int64
	others  []*node
}

func (n *node) start(ctx context.Context) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.starts++
	incarnation := fmt.Sprintf("%s@%d", n.name, n.starts)
	var s *spender.Allocator
	b := &spender.Heartbeater{
		Table: n.store, Incarnation: incarnation, Key: "beats/" + n.name,
		CollectAllowances: func(seal func(map[string]spender.Allowance)) { s.CollectAllowances(seal) }, OnConfirmed: func() { s.HeartbeatConfirmed() },
	}
	s = &spender.Allocator{
		Table: n.store, Router: n.name, Incarnation: incarnation, Heartbeats: b, Horizon: 10 * time.Second,
		Interval:   time.Second,
		BudgetKey:  func(organisation string) string { return "budgets/" + organisation },
		HoldingKey: func(organisation string) string { return "holdings/" + n.name + "/" + organisation },
	}
	ctx, n.stop = context.WithCancel(ctx)
	n.stock, n.running = s, make(map[int64]int64)
	s.SetLimit("alpha", n.limit)
	go b.Run(ctx)
	go s.Run(ctx)
}

// kill ends the process; what ran counts at its most.
func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stock == nil {
		return
	}
	n.stop()
	for _, amount := range n.running {
		n.spend.add(amount)
	}
	n.stock, n.running = nil, nil
}

func (s *spend) add(tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens += tokens
}

func (s *spend) count(served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	if served {
		s.served++
	}
}

func (s *spend) total() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tokens
}

// request runs one request of at most amount tokens.
func (n *node) request(amount, cost int64, lasts time.Duration) {
	n.mu.Lock()
	stock := n.stock
	n.mu.Unlock()
	if stock == nil {
		return
	}
	stock.RecordDemand("alpha", amount, time.Now())
	r := &spender.Reservation{Organisation: "alpha", Limit: n.limit, Amount: amount}
	err := stock.Reserve(r)
	for range 4 {
		if !errors.Is(err, spender.ErrInsufficientHolding) {
			break
		}
		done, answering := stock.Wait()
		if !answering {
			break
		}
		select {
		case <-done:
		case <-time.After(200 * time.Millisecond):
		}
		err = stock.Reserve(r)
	}
	var lender *spender.Allocator
	voucher := fmt.Sprintf("%s/%d/%d", n.name, amount, time.Now().UnixNano())
	if errors.Is(err, spender.ErrInsufficientHolding) {
		if lender = n.borrow(voucher, amount); lender != nil {
			err = nil
		}
	}
	n.spend.count(err == nil)
	if err != nil {
		return
	}
	n.mu.Lock()
	if n.stock != stock { // killed meanwhile: nothing was sent
		n.mu.Unlock()
		return
	}
	number := n.next
	n.next++
	n.running[number] = amount
	n.mu.Unlock()
	time.Sleep(lasts)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stock != stock {
		return // kill has counted it
	}
	delete(n.running, number)
	n.spend.add(cost)
	if lender != nil {
		lender.Repay(voucher, cost, time.Now()) // a lender that has died doesn't hear it
		return
	}
	stock.Settle("alpha", amount, cost, time.Now())
}

// borrow takes a loan from another node, or returns nil.
func (n *node) borrow(voucher string, amount int64) *spender.Allocator {
	for _, other := range n.others {
		other.mu.Lock()
		lender := other.stock
		other.mu.Unlock()
		if lender != nil && lender.Lend(voucher, "alpha", amount, time.Now()) {
			return lender
		}
	}
	return nil
}

// TestNeverOverspentUnderFaults runs routers over a store that misbehaves while
// they are killed and started again, seed by seed; what requests cost must never
// pass the budget. Seed 19 once failed in one run of 130: a beat that was made up
// while a commit was under way carried no mark for that commit, and a request
// could be promised between the making of a beat's marks and their sealing.
func TestNeverOverspentUnderFaults(t *testing.T) {
	for seed := range uint64(120) {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { simulate(t, seed, true) })
		})
	}
}

// TestBudgetIsUsedUpWithoutFaults asks for twice the budget of a calm fleet; at
// least 97 in 100 of it must be spent, and nothing refused before.
func TestBudgetIsUsedUpWithoutFaults(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				spent, limit := simulate(t, seed, false)
				assert.Assert(t, spent*100 >= limit*97, "only %d of %d tokens were spent", spent, limit)
			})
		})
	}
}

func simulate(t *testing.T, seed uint64, faults bool) (spent, limit int64) {
	random := rand.New(rand.NewPCG(seed, 7))
	began := time.Now()
	store := &faultyStore{Memory: storer.NewMemory(), random: rand.New(rand.NewPCG(seed, 8))}
	store.Now = func() time.Duration { return time.Since(began) }
	ctx, cancel := context.WithCancel(context.Background())
	total := &spend{}
	limit = int64(1_500_000)
	var nodes []*node
	for i := range 4 {
		n := &node{name: fmt.Sprintf("router-%d", i), store: store, spend: total, limit: limit}
		n.start(ctx)
		nodes = append(nodes, n)
	}
	for i, n := range nodes {
		n.others = append(append(n.others, nodes[i+1:]...), nodes[:i]...)
	}
	var work sync.WaitGroup
	for step := range 1200 { // a minute in steps of 50 ms
		time.Sleep(50 * time.Millisecond)
		if faults && step == 800 {
			calm(ctx, store, nodes)
		}
		for range random.IntN(5) {
			n, amount := nodes[random.IntN(len(nodes))], int64(300+random.IntN(2000))
			cost, lasts := amount-random.Int64N(amount/3), time.Duration(random.IntN(2500))*time.Millisecond
			work.Go(func() { n.request(amount, cost, lasts) })
		}
		if faults && step < 800 {
			disturb(ctx, random, store, nodes, step)
		}
		if total.total() > limit {
			t.Fatalf("seed %d, step %d: %d of %d tokens were spent", seed, step, total.total(), limit)
		}
	}
	work.Wait()
	if total.total() > limit {
		t.Fatalf("seed %d: %d of %d tokens were spent", seed, total.total(), limit)
	}
	cancel()
	synctest.Wait()
	time.Sleep(5 * time.Second) // late commits end
	return total.total(), limit
}

// disturb changes the store's faults and kills or starts routers.
func disturb(ctx context.Context, random *rand.Rand, store *faultyStore, nodes []*node, step int) {
	if step%40 == 0 {
		store.mu.Lock()
		store.down = random.IntN(8) == 0
		store.lossy, store.late, store.busy = 0, 0, 0
		if random.IntN(3) == 0 {
			store.lossy, store.late, store.busy = random.Float64()*0.5, random.Float64()*0.2, random.Float64()*0.2
		}
		store.mu.Unlock()
	}
	n := nodes[random.IntN(len(nodes))]
	switch random.IntN(240) {
	case 0:
		n.kill()
	case 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12:
		n.mu.Lock()
		dead := n.stock == nil
		n.mu.Unlock()
		if dead {
			n.start(ctx)
		}
	case 13:
		if random.IntN(4) == 0 {
			for _, one := range nodes {
				one.kill()
			}
		}
	}
}

// calm ends all faults and starts what is down.
func calm(ctx context.Context, store *faultyStore, nodes []*node) {
	store.mu.Lock()
	store.down, store.lossy, store.late, store.busy = false, 0, 0, 0
	store.mu.Unlock()
	for _, n := range nodes {
		n.mu.Lock()
		dead := n.stock == nil
		n.mu.Unlock()
		if dead {
			n.start(ctx)
		}
	}
}

// TestBilledOnceUnderLostAnswers loses answers of the store and delays commits;
// in the end the row must say exactly what the requests have cost.
func TestBilledOnceUnderLostAnswers(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { billOnce(t, seed) })
		})
	}
}

func billOnce(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 9))
	began := time.Now()
	store := &faultyStore{Memory: storer.NewMemory(), random: rand.New(rand.NewPCG(seed, 8)), lossy: 0.3, late: 0.2, busy: 0.1}
	store.Now = func() time.Duration { return time.Since(began) }
	ctx, cancel := context.WithCancel(context.Background())
	total := &spend{}
	var nodes []*node
	for i := range 3 {
		n := &node{name: fmt.Sprintf("router-%d", i), store: store, spend: total, limit: 10_000_000}
		n.start(ctx)
		nodes = append(nodes, n)
	}
	var work sync.WaitGroup
	for range 600 {
		time.Sleep(50 * time.Millisecond)
		n, amount := nodes[random.IntN(len(nodes))], int64(300+random.IntN(2000))
		work.Go(func() { n.request(amount, amount/2, time.Second) })
	}
	work.Wait()
	calm(ctx, store, nodes)
	time.Sleep(20 * time.Second)
	books := readBooks(ctx, t, store)
	assert.Equal(t, books.spent, total.total())
	assert.Equal(t, books.granted, books.spent+books.held)
	cancel()
	synctest.Wait()
	time.Sleep(5 * time.Second)
}

// books sum up an organisation's rows.
type books struct {
	granted, spent, held int64
	incarnations         []string
}

func readBooks(ctx context.Context, t *testing.T, store *faultyStore) books {
	t.Helper()
	row, err := storer.ReadOne(ctx, store, "budgets/alpha")
	assert.NilError(t, err)
	var budget struct{ Granted, Spent int64 }
	assert.NilError(t, json.Unmarshal(row.Value, &budget))
	b := books{granted: budget.Granted, spent: budget.Spent}
	rows, err := store.Scan(ctx, "holdings/", "", 1000)
	assert.NilError(t, err)
	for _, r := range rows {
		var h struct {
			Incarnation   string
			Held, Unshown int64
		}
		assert.NilError(t, json.Unmarshal(r.Value, &h))
		b.spent += h.Unshown
		b.held += h.Held
		b.incarnations = append(b.incarnations, h.Incarnation)
	}
	return b
}

// TestRecoveryIsCommittedByAnIdleSuccessor kills a router with tokens in hand and
// starts it again without any request: its tokens must be usable elsewhere soon.
func TestRecoveryIsCommittedByAnIdleSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		store := &faultyStore{Memory: storer.NewMemory(), random: rand.New(rand.NewPCG(1, 1))}
		store.Now = func() time.Duration { return time.Since(began) }
		ctx, cancel := context.WithCancel(context.Background())
		n := &node{name: "router-1", store: store, spend: &spend{}, limit: 20_000}
		n.start(ctx)
		for range 40 {
			time.Sleep(50 * time.Millisecond)
			go n.request(1000, 900, time.Minute)
		}
		time.Sleep(time.Second)
		n.kill()
		time.Sleep(500 * time.Millisecond)
		n.start(ctx)
		time.Sleep(3 * time.Second)
		assert.DeepEqual(t, readBooks(ctx, t, store).incarnations, []string{"router-1@2"})
		cancel()
		synctest.Wait()
		time.Sleep(2 * time.Minute) // requests of the dead incarnation end
	})
}
