// Package faultinjector wraps a table and makes its calls fail as the platform's
// do: refused, lost after they took effect, or taking effect long after.
//
// # Usage
//
//	s := &faultinjector.Table{Table: storer.NewMemory()}
//	s.Next(faultinjector.LoseAnswer)
//	err := s.Commit(ctx, commit) // storer.ErrUnavailable, but it took effect
package faultinjector

import (
	"context"
	"sync"

	"github.com/egretroute/egretroute/internal/process/storer"
)

// Fault is what happens to a commit.
type Fault int

// The faults.
const (
	None Fault = iota
	// Refuse has no effect.
	Refuse
	// LoseReply takes effect, but says that the platform did not answer.
	LoseReply
	// Delay says that the platform did not answer and takes effect at Release,
	// if its conditions still hold then.
	Delay
)

// String returns the fault's name.
func (f Fault) String() string {
	return [...]string{"none", "refuse", "lose-answer", "delay"}[f]
}

// Table is a storer.Table with faults.
type Table struct {
	storer.Table

	mu         sync.Mutex // guards all below
	nextFaults []Fault
	down       bool
	delayed    []storer.Commit
}

// SetNextFaults sets the faults of the next commits, in order.
func (t *Table) SetNextFaults(faults ...Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nextFaults = faults
}

// SetDown refuses every call while down is set.
func (t *Table) SetDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

// ReleaseDelayed lets the delayed commits take effect and returns how many did.
func (t *Table) ReleaseDelayed(ctx context.Context) int {
	t.mu.Lock()
	delayed := t.delayed
	t.delayed = nil
	t.mu.Unlock()
	n := 0
	for _, c := range delayed {
		if t.Table.Commit(ctx, c) == nil {
			n++
		}
	}
	return n
}

// Read implements storer.Table.Read.
func (t *Table) Read(ctx context.Context, keys ...string) ([]storer.Row, error) {
	if t.isDown() {
		return nil, storer.ErrUnavailable
	}
	return t.Table.Read(ctx, keys...)
}

// Scan implements storer.Table.Scan.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]storer.Row, error) {
	if t.isDown() {
		return nil, storer.ErrUnavailable
	}
	return t.Table.Scan(ctx, prefix, after, limit)
}

// Commit implements storer.Table.Commit.
func (t *Table) Commit(ctx context.Context, c storer.Commit) error {
	if t.isDown() {
		return storer.ErrUnavailable
	}
	switch t.takeFault(c) {
	case Refuse, Delay:
		return storer.ErrUnavailable
	case LoseReply:
		if err := t.Table.Commit(ctx, c); err != nil {
			return err
		}
		return storer.ErrUnavailable
	default:
		return t.Table.Commit(ctx, c)
	}
}

func (t *Table) isDown() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.down
}

// takeFault returns the fault of this commit.
func (t *Table) takeFault(c storer.Commit) Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.nextFaults) == 0 {
		return None
	}
	f := t.nextFaults[0]
	t.nextFaults = t.nextFaults[1:]
	if f == Delay {
		t.delayed = append(t.delayed, c)
	}
	return f
}
