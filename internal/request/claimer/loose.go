package claimer

import (
	"context"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/process/storer"
)

// UncommittedCount returns how many claims are not durable yet.
func (c *Claimer) UncommittedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.loose)
}

func (c *Claimer) markLoose(key Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loose == nil {
		c.loose = make(map[Key]bool)
	}
	c.loose[key] = true
}

// flushLoose commits loose claims until one fails.
func (c *Claimer) flushLoose(ctx context.Context) {
	for key, row := range c.looseRows() {
		if !c.flushOne(ctx, key, row) {
			return
		}
		c.mu.Lock()
		delete(c.loose, key)
		c.mu.Unlock()
	}
}

// looseRows returns the rows of at most loosePerReview loose claims.
func (c *Claimer) looseRows() map[Key]claimRow {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[Key]claimRow)
	for key := range c.loose {
		if len(out) == loosePerReview {
			break
		}
		r := c.records[key]
		out[key] = finishedRow(r.requestID, r.answer)
	}
	return out
}

// flushOne commits one loose claim; a claim that stands already is fine, be it
// from a commit whose answer was lost or from a router's word on this agent.
func (c *Claimer) flushOne(ctx context.Context, key Key, row claimRow) bool {
	var commit storer.Commit
	commit.Update(key.RowKey(), 0, encodeClaim(row))
	err := c.Table.Commit(ctx, commit)
	return err == nil || errors.Is(err, storer.ErrConflict)
}
