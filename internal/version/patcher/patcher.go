// Package patcher commits fleet declarations to the platform as numbered versions
// of the configuration.
//
// # Usage
//
//	p := &patcher.Patcher{Table: table}
//	version, err := p.Apply(ctx, fleet, patchID) // fleet.Version is the base version
//	var stale *patcher.StaleError
//	if errors.As(err, &stale) {
//		fmt.Println("the active version is", stale.CurrentVersion)
//	}
//
// A new version and the budgets that it changes are written in one conditional commit.
package patcher

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/process/bookkeeper"
	"github.com/egretroute/egretroute/internal/process/storer"
	"github.com/egretroute/egretroute/internal/version/declarer"
)

// CurrentKey is the key of the row that holds the active version.
const CurrentKey = "config/current"

// patchPrefix is the key prefix of the rows that map a patch ID to its version.
const patchPrefix = "config/patch/"

const (
	maxAttempts  = 20
	retryBackoff = 20 * time.Millisecond
)

// ErrInvalid is returned for a declaration that declarer.Check rejects.
var ErrInvalid = errors.New("the declaration has faults")

// StaleError is returned for a patch whose base version is not the active version.
type StaleError struct {
	BaseVersion    uint64
	CurrentVersion uint64
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("the patch was made on version %d, but version %d is in force", e.BaseVersion, e.CurrentVersion)
}

// Patcher applies patches to the configuration in a table.
type Patcher struct {
	Table storer.Table
}

// Current returns the active version, or nil if there is none yet.
func (p *Patcher) Current(ctx context.Context) (*declarer.Fleet, error) {
	fleet, _, err := p.read(ctx)
	return fleet, err
}

// Apply commits fleet as the version after fleet.Version and returns its number.
//
// A call with the same patch ID is safe to repeat after a commit with unknown outcome:
// a patch takes effect at most once.
func (p *Patcher) Apply(ctx context.Context, fleet *declarer.Fleet, patchID string) (uint64, error) {
	if faults := declarer.Check(fleet); len(faults) > 0 {
		return 0, errors.Wrap(ErrInvalid, faults[0].String())
	}
	var err error
	for range maxAttempts {
		var version uint64
		version, err = p.tryApply(ctx, fleet, patchID)
		if err == nil {
			return version, nil
		}
		if !errors.Is(err, storer.ErrConflict) && !errors.Is(err, storer.ErrUnavailable) {
			return 0, err
		}
		select {
		case <-ctx.Done():
			return 0, err
		case <-time.After(retryBackoff):
		}
	}
	return 0, err
}

// tryApply makes one attempt to commit the patch. If an earlier attempt took effect,
// it returns the version of that attempt.
func (p *Patcher) tryApply(ctx context.Context, fleet *declarer.Fleet, patchID string) (uint64, error) {
	applied, err := storer.ReadOne(ctx, p.Table, patchPrefix+patchID)
	if err != nil {
		return 0, err
	}
	if applied.Version != 0 {
		return strconv.ParseUint(string(applied.Value), 10, 64)
	}
	current, row, err := p.read(ctx)
	if err != nil {
		return 0, err
	}
	if v := versionOf(current); v != fleet.Version {
		return 0, &StaleError{BaseVersion: fleet.Version, CurrentVersion: v}
	}
	return fleet.Version + 1, p.commit(ctx, current, fleet, patchID, row)
}

func (p *Patcher) read(ctx context.Context) (*declarer.Fleet, storer.Row, error) {
	row, err := storer.ReadOne(ctx, p.Table, CurrentKey)
	if err != nil || row.Version == 0 {
		return nil, row, err
	}
	fleet, err := declarer.Decode(row.Value)
	return fleet, row, err
}

// commit writes the next version, the patch ID and the budgets that the patch changes.
func (p *Patcher) commit(ctx context.Context, current, fleet *declarer.Fleet, patchID string, row storer.Row) error {
	next := *fleet
	next.Version = fleet.Version + 1
	next.PatchID = patchID
	var c storer.Commit
	c.Update(CurrentKey, row.Version, declarer.Encode(&next))
	c.Update(patchPrefix+patchID, 0, strconv.AppendUint(nil, next.Version, 10))
	for _, o := range fleet.Organisations {
		if current != nil {
			if old, ok := current.FindOrganisation(o.Name); ok && old.Budget == o.Budget {
				continue
			}
		}
		if err := p.addBudgetChange(ctx, &c, o); err != nil {
			return err
		}
	}
	return p.Table.Commit(ctx, c)
}

// addBudgetChange adds the organisation's new budget limit to the commit.
func (p *Patcher) addBudgetChange(ctx context.Context, c *storer.Commit, o declarer.Organisation) error {
	key := bookkeeper.BudgetKey(o.Name)
	row, err := storer.ReadOne(ctx, p.Table, key)
	if err != nil {
		return err
	}
	budget := bookkeeper.NewBudget(o.Name, o.Budget)
	if row.Version != 0 {
		if budget, err = bookkeeper.DecodeBudget(row.Value); err != nil {
			return err
		}
		if err := budget.SetLimit(o.Budget); err != nil {
			return err
		}
	}
	c.Update(key, row.Version, bookkeeper.EncodeBudget(budget))
	return nil
}

func versionOf(f *declarer.Fleet) uint64 {
	if f == nil {
		return 0
	}
	return f.Version
}
