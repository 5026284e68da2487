// Package storer defines the interfaces of the platform's transactional table service,
// with an HTTP client and an in-memory implementation. Package platform implements them
// for the store of the users' platform.
//
// # Usage
//
//	table := storer.NewClient("http://127.0.0.1:18000", time.Second)
//	rows, err := table.Read(ctx, "budget/alpha")
//	err = table.Commit(ctx, storer.Commit{
//		Conditions: []storer.Condition{{Key: "budget/alpha", Version: rows[0].Version}},
//		Writes:     []storer.Write{{Key: "budget/alpha", Value: value}},
//	})
//	if errors.Is(err, storer.ErrUnavailable) {
//		// The commit may have taken effect: read the row to find out.
//	}
//
// A row that does not exist has version 0; every write increases the version.
package storer

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of the platform.
var (
	// ErrConflict is returned when a condition does not hold; nothing was written.
	ErrConflict = errors.New("a row has changed since it was read")
	// ErrUnavailable is returned when no usable reply came; a commit may have taken
	// effect.
	ErrUnavailable = errors.New("the platform did not answer")
	// ErrRefused is returned when the platform refused a call; nothing was written.
	ErrRefused = errors.New("the platform refused the call")
	// ErrEraChanged is returned when the table came back from a copy during a call, or
	// between the reads on which a commit relies and the commit. What the call did, if
	// anything, may be lost, so the caller has to read again.
	ErrEraChanged = errors.New("the platform came back from a copy")
	// ErrHistoryLost is returned by Watch when the changes after the given position are
	// no longer available, or the position is of another era.
	ErrHistoryLost = errors.New("the platform has dropped the history asked for")
)

// Era counts how often a table has come back from an older copy of itself. Everything
// written between the copy and the return is lost, and versions are given out again, so
// versions of different eras can't be compared. It is 0 if the table does not tell its era.
type Era uint64

// Restored reports whether the table has ever come back from a copy. The first era of a table
// that tells it is 1.
func (e Era) Restored() bool {
	return e > 1
}

// ConflictError is an ErrConflict with the current rows of the commit's conditions.
type ConflictError struct {
	// Rows holds the rows that exist.
	Rows []Row
	// Clock is the time of the table's monotonic clock at the reply.
	Clock time.Duration
	Era   Era
}

// Error implements error.
func (e *ConflictError) Error() string {
	return ErrConflict.Error()
}

// Is reports whether target is ErrConflict.
func (e *ConflictError) Is(target error) bool {
	return target == ErrConflict
}

// Row is one versioned row of the table.
type Row struct {
	Key     string
	Version uint64
	Value   []byte
	// Era is the era in which the row was read.
	Era Era
}

// Condition requires that a row has a version; 0 requires that it doesn't exist.
type Condition struct {
	Key     string
	Version uint64
}

// Write sets a row; a nil value deletes it.
type Write struct {
	Key   string
	Value []byte
}

// Commit is a set of writes that is applied atomically, and only if all conditions hold.
type Commit struct {
	Conditions []Condition
	Writes     []Write
	// Era is the era in which the versions of the conditions were read. A Guard sends the
	// commit in that era only; 0 means in any.
	Era Era
}

// Update adds a write of key on the condition that key has the given version.
func (c *Commit) Update(key string, version uint64, value []byte) {
	c.Conditions = append(c.Conditions, Condition{Key: key, Version: version})
	c.Writes = append(c.Writes, Write{Key: key, Value: value})
}

// Table is the platform's transactional table service.
type Table interface {
	// Read returns the rows in the order of keys; absent rows have version 0.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns at most limit rows whose key starts with prefix and sorts after the given key.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies c, or returns ErrConflict or ErrUnavailable.
	Commit(ctx context.Context, c Commit) error
}

// Receipt is the result of a commit that took effect.
type Receipt struct {
	// Version is the version of the rows written.
	Version uint64
	// Clock is the time of the table's monotonic clock at the reply.
	Clock time.Duration
	Era   Era
}

// Committer is a table whose commits return a receipt.
type Committer interface {
	// CommitWithReceipt applies c, or returns an error as Table.Commit does; a conflict is
	// a *ConflictError.
	CommitWithReceipt(ctx context.Context, c Commit) (Receipt, error)
}

// RowBatch is one result of a Watcher.
type RowBatch struct {
	// Rows holds all rows after List, and the changed rows, oldest first, after Watch.
	// A deleted row has no value.
	Rows []Row
	// Next is the position to pass to the next Watch. Its era is that of the batch.
	Next Position
}

// Position is a place in the change feed of a table: all changes up to a version of an era. In
// another era the same version stands for other changes.
type Position struct {
	Era     Era
	Version uint64
}

// Watcher lists a table and follows its change feed.
type Watcher interface {
	// List returns all rows of a table, or of one part of it (TABLE/PART/), and the
	// position from which to watch for later changes.
	List(ctx context.Context, table string) (RowBatch, error)
	// Watch returns the changes after a position as soon as there are any, or an empty
	// RowBatch after the wait. After ErrHistoryLost the table must be listed again.
	Watch(ctx context.Context, table string, after Position, wait time.Duration) (RowBatch, error)
}

// ReadOne reads a single row.
func ReadOne(ctx context.Context, t Table, key string) (Row, error) {
	rows, err := t.Read(ctx, key)
	if err != nil {
		return Row{}, err
	}
	return rows[0], nil
}

// scanPageRows is how many rows ScanAll requests at a time.
const scanPageRows = 1000

// ScanAll returns all rows whose key starts with prefix.
func ScanAll(ctx context.Context, t Table, prefix string) ([]Row, error) {
	var all []Row
	after := ""
	for {
		page, err := t.Scan(ctx, prefix, after, scanPageRows)
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		if len(page) < scanPageRows {
			return all, nil
		}
		after = page[len(page)-1].Key
	}
}

// ReceiptTable is a Committer over a Table that gives no receipts: it reads the rows again.
// Receipts have no Clock.
type ReceiptTable struct {
	Table
}

// CommitWithReceipt implements Committer. If the rows can't be read after the commit, it
// returns the error of that read, although the commit may have taken effect.
func (t ReceiptTable) CommitWithReceipt(ctx context.Context, c Commit) (Receipt, error) {
	err := t.Commit(ctx, c)
	if err != nil && !errors.Is(err, ErrConflict) {
		return Receipt{}, err
	}
	keys := make([]string, 0, len(c.Conditions))
	for _, condition := range c.Conditions {
		keys = append(keys, condition.Key)
	}
	rows, readErr := t.Read(ctx, keys...)
	if readErr != nil {
		return Receipt{}, readErr
	}
	var receipt Receipt
	conflict := &ConflictError{}
	for _, row := range rows {
		if row.Version > 0 {
			conflict.Rows = append(conflict.Rows, row)
			receipt.Version = max(receipt.Version, row.Version)
		}
	}
	if err != nil {
		return Receipt{}, conflict
	}
	return receipt, nil
}
