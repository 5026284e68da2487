// Package faultinjector wraps a table and makes its calls fail in the same ways
// as the platform's: a call is refused, a commit takes effect but its reply is
// lost, or a commit takes effect long after its call has failed.
//
// # Usage
//
//	t := &faultinjector.Table{Table: storer.NewMemory()}
//	t.SetNextFaults(faultinjector.LoseReply)
//	err := t.Commit(ctx, commit) // storer.ErrUnavailable, but it took effect
package faultinjector

import (
	"context"
	"sync"

	"github.com/egretroute/egretroute/internal/process/storer"
)

// Fault is the way in which a commit fails.
type Fault int

// The faults.
const (
	None Fault = iota
	// Refuse returns storer.ErrUnavailable without effect.
	Refuse
	// LoseReply performs the commit, but returns storer.ErrUnavailable.
	LoseReply
	// Delay returns storer.ErrUnavailable and performs the commit at
	// ReleaseDelayed, if its conditions still hold then.
	Delay
)

// String returns the fault's name.
func (f Fault) String() string {
	return [...]string{"none", "refuse", "lose-answer", "delay"}[f]
}

// Table is a storer.Table with injected faults.
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

// SetDown makes every call fail with storer.ErrUnavailable while down is true.
func (t *Table) SetDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

// ReleaseDelayed performs the delayed commits and returns how many succeeded.
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

// takeFault removes and returns the next fault, and keeps the commit if it is
// to be delayed.
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
