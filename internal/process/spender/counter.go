package spender

import (
	"context"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/process/storer"
)

// Counter adds to the rows of budgets what another router has drawn and the store has lost.
// Exported fields are set before the first call.
type Counter struct {
	Table storer.Committer
	// BudgetKey and HoldingKey return the keys of an organisation's budget and of a router's
	// holding of it.
	BudgetKey  func(organisation string) string
	HoldingKey func(router, organisation string) string
}

// CountRecorded makes a router's holdings show its recorded draws, unless they are newer than
// these, and returns the sum of what was missing. The router's next incarnation counts the
// holdings as spent; if it still runs, it replaces them.
func (c *Counter) CountRecorded(ctx context.Context, era storer.Era, router string, draws map[string]framer.Draw) (tokens int64, err error) {
	for organisation, d := range draws {
		counted, err := c.countDraw(ctx, era, router, organisation, d)
		if err != nil {
			return tokens, err
		}
		tokens += counted
	}
	return tokens, nil
}

func (c *Counter) countDraw(ctx context.Context, era storer.Era, router, organisation string, d framer.Draw) (missing int64, err error) {
	err = c.updateHolding(ctx, era, router, organisation, func(h *Holding, b *Budget) bool {
		if missing = d.Drawn - h.drawn(); h.Commit >= d.Commit || missing == 0 {
			missing = 0
			return false
		}
		if h.Incarnation == "" || h.Closed {
			h.Closed = false
			b.Holders++
		}
		h.Held, h.Commit = h.Held+missing, d.Commit
		h.Allowance = h.Held // the one that the router had is lost too
		b.Granted += missing
		return true
	})
	return missing, err
}

// updateHolding changes a router's holding and its budget, unless change returns false.
func (c *Counter) updateHolding(ctx context.Context, era storer.Era, router, organisation string, change func(h *Holding, b *Budget) bool) error {
	holdingKey, budgetKey := c.HoldingKey(router, organisation), c.BudgetKey(organisation)
	return c.update(ctx, era, []string{holdingKey, budgetKey}, func(rows map[string]storer.Row) (map[string][]byte, error) {
		h, err := decodeHolding(rows[holdingKey].Value)
		if err != nil {
			return nil, err
		}
		b, err := decodeBudget(rows[budgetKey].Value)
		if err != nil {
			return nil, err
		}
		if !change(&h, &b) {
			return nil, nil
		}
		h.Incarnation = countedIncarnation
		return map[string][]byte{holdingKey: encodeHolding(h), budgetKey: encodeBudget(b)}, nil
	})
}

// countedIncarnation stands in holdings that a Counter has written, so that the router doesn't take
// them for a commit of its own.
const countedIncarnation = "counted"

// CountAtMost counts all that is not drawn of the budgets' limits as drawn by a router, and returns
// the sum. What a limit is raised by later can be drawn.
func (c *Counter) CountAtMost(ctx context.Context, era storer.Era, router string, limits map[string]int64) (tokens int64, err error) {
	for organisation, limit := range limits {
		counted, err := c.withhold(ctx, era, router, organisation, limit)
		if err != nil {
			return tokens, err
		}
		tokens += counted
	}
	return tokens, nil
}

func (c *Counter) withhold(ctx context.Context, era storer.Era, router, organisation string, limit int64) (undrawn int64, err error) {
	err = c.updateHolding(ctx, era, router, organisation, func(h *Holding, b *Budget) bool {
		if undrawn = max(limit-b.Granted, 0); undrawn == 0 {
			return false
		}
		if h.Incarnation == "" {
			h.Closed = true // the router has no row
		}
		h.Withheld, h.Commit = h.Withheld+undrawn, h.Commit+1
		b.Granted = limit
		return true
	})
	return undrawn, err
}

// maxCountConflicts bounds the attempts at one update.
const maxCountConflicts = 20

// update writes what change returns for the current rows, unless that is nothing.
func (c *Counter) update(ctx context.Context, era storer.Era, keys []string, change func(rows map[string]storer.Row) (map[string][]byte, error)) error {
	rows := make(map[string]storer.Row)
	for range maxCountConflicts {
		commit := storer.Commit{Era: era}
		for _, key := range keys {
			commit.Conditions = append(commit.Conditions, storer.Condition{Key: key, Version: rows[key].Version})
		}
		if len(rows) > 0 {
			values, err := change(rows)
			if err != nil || values == nil {
				return err
			}
			for _, key := range keys {
				commit.Writes = append(commit.Writes, storer.Write{Key: key, Value: values[key]})
			}
		}
		_, err := c.Table.CommitWithReceipt(ctx, commit)
		var conflict *storer.ConflictError
		switch {
		case errors.As(err, &conflict):
			rows = rowsByKey(conflict.Rows)
		case err != nil:
			return err
		case len(commit.Writes) > 0:
			return nil
		default:
			rows = map[string]storer.Row{"": {}} // none of them exists
		}
	}
	return storer.ErrConflict
}
