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

func (c *Counter) countDraw(ctx context.Context, era storer.Era, router, organisation string, d framer.Draw) (int64, error) {
	holdingKey, budgetKey := c.HoldingKey(router, organisation), c.BudgetKey(organisation)
	var missing int64
	err := c.update(ctx, era, []string{holdingKey, budgetKey}, func(rows map[string]storer.Row) (map[string][]byte, error) {
		h, err := decodeHolding(rows[holdingKey].Value)
		if err != nil {
			return nil, err
		}
		b, err := decodeBudget(rows[budgetKey].Value)
		if err != nil {
			return nil, err
		}
		if missing = d.Drawn - h.drawn(); h.Commit >= d.Commit || missing == 0 {
			missing = 0
			return nil, nil
		}
		if rows[holdingKey].Version == 0 || h.Closed {
			h.Closed = false
			b.Holders++
		}
		h.Held, h.Commit = h.Held+missing, d.Commit
		h.Allowance = h.Held // the one that the router had is lost too
		b.Granted += missing
		return map[string][]byte{holdingKey: encodeHolding(h), budgetKey: encodeBudget(b)}, nil
	})
	return missing, err
}

// CountAtMost makes all of the budgets' limits count as drawn, and returns the sum of what was not
// before. What a limit is raised by later can be drawn.
func (c *Counter) CountAtMost(ctx context.Context, era storer.Era, limits map[string]int64) (tokens int64, err error) {
	for organisation, limit := range limits {
		key := c.BudgetKey(organisation)
		var undrawn int64
		err := c.update(ctx, era, []string{key}, func(rows map[string]storer.Row) (map[string][]byte, error) {
			b, err := decodeBudget(rows[key].Value)
			if err != nil {
				return nil, err
			}
			if undrawn = max(limit-b.Granted, 0); undrawn == 0 {
				return nil, nil
			}
			b.Granted = limit
			return map[string][]byte{key: encodeBudget(b)}, nil
		})
		if err != nil {
			return tokens, err
		}
		tokens += undrawn
	}
	return tokens, nil
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
