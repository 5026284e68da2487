// Package enroller registers a process with the rest of the fleet by writing a
// row to the platform's store.
//
// # Usage
//
//	e := &enroller.Enroller{Store: store, Key: key, Self: enroller.Member{Name: "router-1", Kind: enroller.Router, ...}}
//	err := e.Run(ctx)
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

// retryInterval is the pause between attempts while the store is unavailable.
const retryInterval = 500 * time.Millisecond

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

// Member is a process of the fleet.
type Member struct {
	Name        string
	Incarnation string
	Kind        Kind
	// Address is the address to which other processes connect.
	Address string
	Domain  string
}

// Enroller writes a process's row. Exported fields are set before Run.
type Enroller struct {
	Store storer.Committer
	Key   string
	Self  Member
}

type memberRow struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Kind        string `json:"kind"`
	Address     string `json:"address"`
	Domain      string `json:"domain"`
}

// Run writes the row, retrying until it succeeds or ctx ends.
func (e *Enroller) Run(ctx context.Context) error {
	value, err := json.Marshal(memberRow{
		Name: e.Self.Name, Incarnation: e.Self.Incarnation, Kind: e.Self.Kind.String(), Address: e.Self.Address,
		Domain: e.Self.Domain,
	})
	if err != nil {
		return errors.Wrap(err, "encode member")
	}
	version, era := uint64(0), storer.Era(0)
	for ctx.Err() == nil {
		c := storer.Commit{Era: era}
		c.Update(e.Key, version, value)
		_, err := e.Store.CommitWithReceipt(ctx, c)
		var conflict *storer.ConflictError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &conflict):
			version, era = 0, conflict.Era
			for _, row := range conflict.Rows {
				version = row.Version
				if string(row.Value) == string(value) {
					return nil
				}
			}
		case errors.Is(err, storer.ErrEraChanged):
			version, era = 0, 0 // the row is read again
		default:
			pauser.Pause(ctx, retryInterval)
		}
	}
	return ctx.Err()
}

// Decode decodes a row written by an Enroller.
func Decode(row storer.Row) (Member, error) {
	var w memberRow
	if err := json.Unmarshal(row.Value, &w); err != nil {
		return Member{}, errors.Wrap(err, "decode member")
	}
	m := Member{Name: w.Name, Incarnation: w.Incarnation, Address: w.Address, Domain: w.Domain}
	if w.Kind == Companion.String() {
		m.Kind = Companion
	}
	return m, nil
}
