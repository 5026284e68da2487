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
	p := spender.NewTokenPool(name + "@1")
	f := &spender.Flusher{Pool: p, Table: table, Policy: spender.NewProportional(0, spender.DefaultTrendFactor), Router: name}
	assert.NilError(t, f.Register(context.Background(), nil))
	p.OpenAccounts([]string{"alpha"})
	return p, f
}

func openBudget(t *testing.T, limit int64) storer.Table {
	t.Helper()
	table := storer.NewMemory()
	var c storer.Commit
	c.Update(bookkeeper.BudgetKey("alpha"), 0, bookkeeper.EncodeBudget(bookkeeper.NewBudget("alpha", limit)))
	assert.NilError(t, table.Commit(context.Background(), c))
	return table
}

// TestRouterWithoutDemandGetsAShare has a second router come when the first
// holds all; a cut may come before the second one's first request.
func TestRouterWithoutDemandGetsAShare(t *testing.T) {
	ctx, now, table := context.Background(), time.Unix(1000, 0), openBudget(t, 1000)
	first, one := newHolder(t, table, "router-1")
	second, two := newHolder(t, table, "router-2")
	for range 4 {
		now = now.Add(time.Second)
		assert.NilError(t, one.Flush(ctx, now))
		assert.NilError(t, two.Flush(ctx, now))
	}
	assert.Equal(t, first.Held("alpha"), int64(500))
	assert.Equal(t, second.Held("alpha"), int64(500))
}

// TestClosedRouterLeavesNoTrace looks at the row after a router has closed.
func TestClosedRouterLeavesNoTrace(t *testing.T) {
	ctx, now, table := context.Background(), time.Unix(1000, 0), openBudget(t, 1000)
	purse, f := newHolder(t, table, "router-1")
	purse.RecordDemand("alpha", 10, now)
	assert.NilError(t, f.Flush(ctx, now))
	assert.Equal(t, purse.Held("alpha"), int64(1000))
	assert.NilError(t, f.Close(ctx, now))
	row, err := storer.ReadOne(ctx, table, bookkeeper.BudgetKey("alpha"))
	assert.NilError(t, err)
	b, err := bookkeeper.DecodeBudget(row.Value)
	assert.NilError(t, err)
	assert.Equal(t, len(b.Holders), 0)
	assert.Equal(t, b.Remaining, int64(1000))
}
