// Package enroller registers a process with the rest of the fleet by writing a
// row to the platform's store.
//
// # Usage
//
//	e := &enroller.Enroller{Store: store, Key: key, Self: enroller.Member{Name: "router-1", Kind: enroller.Router, ...}, OnGone: reset}
//	err := e.Run(ctx)
//	go e.Keep(ctx)
//	...
//	err = e.Leave(ctx)
//	member, err := enroller.Decode(row)
package enroller

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/process/pauser"
	"github.com/egretroute/egretroute/internal/process/storer"
)

const (
	// retryInterval is the pause between attempts while the store is unavailable.
	retryInterval = 500 * time.Millisecond
	// checkInterval is how often Keep reads the row.
	checkInterval = time.Minute
)

// Kind is the role of a process.
type Kind int

// The kinds of process.
const (
	// Router serves clients; gateways enroll as routers.
	Router Kind = iota
	// Companion runs beside a target and relays calls to the store.
	Companion
)

// String returns the kind's name.
func (k Kind) String() string {
	if k == Companion {
		return "companion"
	}
	return "router"
}

// State tells whether a member takes part.
type State string

// The states of a member.
const (
	Running State = ""
	// Left means that the process has said itself that it ends.
	Left State = "left"
	// Gone means that others have not reached the process for long. It may still run, and enrolls
	// again then.
	Gone State = "gone"
)

// Member is a process of the fleet.
type Member struct {
	Name        string
	Incarnation string
	Kind        Kind
	// Address is the address to which other processes connect.
	Address string
	Domain  string
	State   State
	// Joins is how often this incarnation has enrolled again after it counted as gone.
	Joins int
}

// Enroller writes a process's row. Exported fields are set before Run.
type Enroller struct {
	Store storer.Committer
	Key   string
	Self  Member
	// OnGone is called when others have declared this process gone, before it enrolls again; nil does
	// nothing.
	OnGone func()

	// version is the row's version as of era.
	version uint64
	era     storer.Era
}

type memberRow struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Kind        string `json:"kind"`
	Address     string `json:"address"`
	Domain      string `json:"domain"`
	State       string `json:"state,omitempty"`
	Joins       int    `json:"joins,omitempty"`
}

// Run writes the row, retrying until it succeeds or ctx ends.
func (e *Enroller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		value := Encode(e.Self)
		c := storer.Commit{Era: e.era}
		c.Update(e.Key, e.version, value)
		receipt, err := e.Store.CommitWithReceipt(ctx, c)
		var conflict *storer.ConflictError
		switch {
		case err == nil:
			e.version, e.era = receipt.Version, receipt.Era
			return nil
		case errors.As(err, &conflict):
			row := e.adopt(conflict)
			if string(row.Value) == string(value) || e.succeeded(row) {
				return nil
			}
		case errors.Is(err, storer.ErrEraChanged):
			e.version, e.era = 0, 0 // the row is read again
		default:
			pauser.Pause(ctx, retryInterval)
		}
	}
	return ctx.Err()
}

// adopt takes over the version of the row that a conflict returned, and returns the row. If the row
// tells that this process is gone, or was deleted after that, the process joins again.
func (e *Enroller) adopt(conflict *storer.ConflictError) (row storer.Row) {
	if len(conflict.Rows) > 0 {
		row = conflict.Rows[0]
	}
	// A row that is missing in a later era, or one that isn't told, may be lost with a copy of the store.
	deleted := row.Value == nil && e.version != 0 && e.era != 0 && e.era == conflict.Era
	m, err := Decode(row)
	gone := err == nil && m.Incarnation == e.Self.Incarnation && m.State == Gone && m.Joins >= e.Self.Joins
	if (deleted || gone) && e.Self.State == Running {
		e.Self.Joins = max(e.Self.Joins, m.Joins) + 1
		if e.OnGone != nil {
			e.OnGone()
		}
	}
	e.version, e.era = row.Version, conflict.Era
	return row
}

// succeeded reports whether a later process of the same name has written the row that this one would
// replace when it leaves.
func (e *Enroller) succeeded(row storer.Row) bool {
	m, err := Decode(row)
	return e.Self.State == Left && err == nil && m.Incarnation != e.Self.Incarnation
}

// Keep reads the row now and then until ctx ends, and enrolls again if others have declared the
// process gone. It must not run beside Run or Leave.
func (e *Enroller) Keep(ctx context.Context) {
	for {
		pauser.Pause(ctx, checkInterval)
		if ctx.Err() != nil {
			return
		}
		c := storer.Commit{Conditions: []storer.Condition{{Key: e.Key, Version: e.version}}}
		_, err := e.Store.CommitWithReceipt(ctx, c)
		var conflict *storer.ConflictError
		if !errors.As(err, &conflict) {
			continue // the row is unchanged, or can't be read now
		}
		row := e.adopt(conflict)
		if string(row.Value) == string(Encode(e.Self)) {
			continue
		}
		if e.Run(ctx) != nil {
			return
		}
	}
}

// Leave tells the fleet that the process ends. The caller must have stopped all that others rely on.
func (e *Enroller) Leave(ctx context.Context) error {
	e.Self.State = Left
	return e.Run(ctx)
}

// Declare writes a state of another member, which others have found out, unless its row has changed.
func Declare(ctx context.Context, store storer.Committer, key string, m Member, state State) error {
	declared := m
	declared.State = state
	return replace(ctx, store, key, Encode(m), Encode(declared))
}

// Delete deletes the row of a member that has ended, unless it has changed.
func Delete(ctx context.Context, store storer.Committer, key string, m Member) error {
	return replace(ctx, store, key, Encode(m), nil)
}

// replace replaces a row if it has a certain value. A condition that the row does not exist returns it.
func replace(ctx context.Context, store storer.Committer, key string, expected, value []byte) error {
	_, err := store.CommitWithReceipt(ctx, storer.Commit{Conditions: []storer.Condition{{Key: key}}})
	var conflict *storer.ConflictError
	if !errors.As(err, &conflict) || len(conflict.Rows) == 0 || string(conflict.Rows[0].Value) != string(expected) {
		if conflict != nil {
			return nil // others know more
		}
		return err
	}
	c := storer.Commit{Era: conflict.Era}
	c.Update(key, conflict.Rows[0].Version, value)
	_, err = store.CommitWithReceipt(ctx, c)
	return err
}

// Encode encodes a member's row.
func Encode(m Member) []byte {
	value, _ := json.Marshal(memberRow{ // always encodes
		Name: m.Name, Incarnation: m.Incarnation, Kind: m.Kind.String(), Address: m.Address, Domain: m.Domain, State: string(m.State), Joins: m.Joins,
	})
	return value
}

// Decode decodes a row written by an Enroller.
func Decode(row storer.Row) (Member, error) {
	var w memberRow
	if err := json.Unmarshal(row.Value, &w); err != nil {
		return Member{}, errors.Wrap(err, "decode member")
	}
	m := Member{Name: w.Name, Incarnation: w.Incarnation, Address: w.Address, Domain: w.Domain, State: State(w.State), Joins: w.Joins}
	if w.Kind == Companion.String() {
		m.Kind = Companion
	}
	return m, nil
}
