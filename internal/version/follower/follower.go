// Package follower keeps the highest version of the configuration that a
// process has seen; it never goes back.
//
// # Usage
//
//	f := &follower.Follower{}
//	f.Offer(fleet, document) // true if it was newer
//	fleet := f.Fleet()       // nil until a first version is known
package follower

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/egretroute/egretroute/internal/process/storer"
	"github.com/egretroute/egretroute/internal/version/declarer"
	"github.com/egretroute/egretroute/internal/version/patcher"
)

// Follower holds one version at a time.
type Follower struct {
	// OnChange is called with each newer version, before it is visible to Fleet.
	OnChange func(f *declarer.Fleet)

	mu    sync.Mutex // serialises Offer
	state atomic.Pointer[state]
}

type state struct {
	fleet    *declarer.Fleet
	document []byte
}

// Fleet returns the version in force, or nil.
func (f *Follower) Fleet() *declarer.Fleet {
	s := f.state.Load()
	if s == nil {
		return nil
	}
	return s.fleet
}

// Version returns the number of the version in force, or 0.
func (f *Follower) Version() uint64 {
	fleet := f.Fleet()
	if fleet == nil {
		return 0
	}
	return fleet.Version
}

// Document returns the version in force and its document.
func (f *Follower) Document() (uint64, []byte) {
	s := f.state.Load()
	if s == nil {
		return 0, nil
	}
	return s.fleet.Version, s.document
}

// OfferDocument parses and offers a document; it reports whether it was newer.
func (f *Follower) OfferDocument(document []byte) (bool, error) {
	fleet, err := declarer.Decode(document)
	if err != nil {
		return false, err
	}
	return f.Offer(fleet, document), nil
}

// Offer puts a version in force if it is newer than the one held.
func (f *Follower) Offer(fleet *declarer.Fleet, document []byte) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fleet.Version <= f.Version() {
		return false
	}
	if f.OnChange != nil {
		f.OnChange(fleet)
	}
	f.state.Store(&state{fleet: fleet, document: document})
	return true
}

// Poll reads the version in force from the platform.
func (f *Follower) Poll(ctx context.Context, table storer.Table) error {
	row, err := storer.ReadOne(ctx, table, patcher.CurrentKey)
	if err != nil || row.Version == 0 {
		return err
	}
	_, err = f.OfferDocument(row.Value)
	return err
}
