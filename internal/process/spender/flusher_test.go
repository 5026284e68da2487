package spender_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/process/bookkeeper"
	"github.com/egretroute/egretroute/internal/process/spender"
	"github.com/egretroute/egretroute/internal/process/storer"
)

func newHolder(t *testing.T, table storer.Table, name string) (*spender.TokenPool, *spender.Flusher) {
	t.Helper()
	pool := spender.NewTokenPool(name + "@1")
	f := &spender.Flusher{Pool: pool, Table: table, Policy: spender.NewProportional(0, spender.DefaultTrendFactor), Router: name}
	assert.NilError(t, f.Register(context.Background(), nil))
	pool.OpenAccounts([]string{"alpha"})
	return pool, f
}

func openBudget(t *testing.T, limit int64) storer.Table {
	t.Helper()
	table := storer.NewMemory()
	var c storer.Commit
	c.Update(bookkeeper.BudgetKey("alpha"), 0, bookkeeper.EncodeBudget(bookkeeper.NewBudget("alpha", limit)))
	assert.NilError(t, table.Commit(context.Background(), c))
	return table
}

// TestRouterWithoutDemandGetsAShare starts a second router while the first holds the whole
// budget. The second must get its share without demand, since it may be partitioned from
// the platform before its first request.
func TestRouterWithoutDemandGetsAShare(t *testing.T) {
	ctx, now, table := context.Background(), time.Unix(1000, 0), openBudget(t, 1000)
	firstPool, firstFlusher := newHolder(t, table, "router-1")
	secondPool, secondFlusher := newHolder(t, table, "router-2")
	for range 4 {
		now = now.Add(time.Second)
		assert.NilError(t, firstFlusher.Flush(ctx, now))
		assert.NilError(t, secondFlusher.Flush(ctx, now))
	}
	assert.Equal(t, firstPool.Held("alpha"), int64(500))
	assert.Equal(t, secondPool.Held("alpha"), int64(500))
}

// TestClosedRouterIsRemovedFromTheBudget checks that a router that closes returns all tokens and
// is no longer listed in the budget's row.
func TestClosedRouterIsRemovedFromTheBudget(t *testing.T) {
	ctx, now, table := context.Background(), time.Unix(1000, 0), openBudget(t, 1000)
	pool, f := newHolder(t, table, "router-1")
	pool.RecordDemand("alpha", 10, now)
	assert.NilError(t, f.Flush(ctx, now))
	assert.Equal(t, pool.Held("alpha"), int64(1000))
	assert.NilError(t, f.Close(ctx, now))
	row, err := storer.ReadOne(ctx, table, bookkeeper.BudgetKey("alpha"))
	assert.NilError(t, err)
	b, err := bookkeeper.DecodeBudget(row.Value)
	assert.NilError(t, err)
	assert.Equal(t, len(b.Holders), 0)
	assert.Equal(t, b.Remaining, int64(1000))
}

// contendedTable rejects the next commit, as if another router had just written a row.
type contendedTable struct {
	storer.Table
	contended bool
}

func (t *contendedTable) Commit(ctx context.Context, c storer.Commit) error {
	if t.contended {
		t.contended = false
		return storer.ErrConflict
	}
	return t.Table.Commit(ctx, c)
}

// TestConflictWhileClosing closes a router whose commit conflicts with another router's. It must
// return its tokens all the same before it deletes its row.
func TestConflictWhileClosing(t *testing.T) {
	ctx, now, table := context.Background(), time.Unix(1000, 0), &contendedTable{Table: openBudget(t, 1000)}
	pool, f := newHolder(t, table, "router-1")
	f.ReviewInterval = time.Second
	pool.RecordDemand("alpha", 10, now)
	assert.NilError(t, f.Flush(ctx, now))
	assert.Equal(t, pool.Held("alpha"), int64(1000))
	table.contended = true
	assert.NilError(t, f.Close(ctx, now))
	row, err := storer.ReadOne(ctx, table, bookkeeper.BudgetKey("alpha"))
	assert.NilError(t, err)
	b, err := bookkeeper.DecodeBudget(row.Value)
	assert.NilError(t, err)
	assert.Equal(t, b.Remaining, int64(1000))
}
