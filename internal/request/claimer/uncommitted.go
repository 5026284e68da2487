package claimer

import (
	"context"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/process/storer"
)

// UncommittedCount returns the number of claims that are not durable yet.
func (c *Claimer) UncommittedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.uncommitted)
}

func (c *Claimer) markUncommitted(key Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.uncommitted == nil {
		c.uncommitted = make(map[Key]bool)
	}
	c.uncommitted[key] = true
}

// commitUncommitted commits uncommitted claims until one fails.
func (c *Claimer) commitUncommitted(ctx context.Context) {
	for key, row := range c.uncommittedRows() {
		if !c.commitOne(ctx, key, row) {
			return
		}
		c.mu.Lock()
		delete(c.uncommitted, key)
		c.mu.Unlock()
	}
}

// uncommittedRows returns the rows of at most maxCommitsPerRound uncommitted claims.
func (c *Claimer) uncommittedRows() map[Key]claimRow {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := make(map[Key]claimRow)
	for key := range c.uncommitted {
		if len(rows) == maxCommitsPerRound {
			break
		}
		known := c.records[key]
		rows[key] = newClaimRow(known.requestID, known.response)
	}
	return rows
}

// commitOne commits one uncommitted claim. A claim that is already stored counts as
// committed: it comes from a commit whose reply was lost, or from the dispatch records
// that routers listed when this agent was revoked.
func (c *Claimer) commitOne(ctx context.Context, key Key, row claimRow) bool {
	var commit storer.Commit
	commit.Update(key.RowKey(), 0, encodeClaim(row))
	err := c.Table.Commit(ctx, commit)
	return err == nil || errors.Is(err, storer.ErrConflict)
}
