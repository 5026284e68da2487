// Package follower holds the newest configuration version that a process has
// received. It never returns to an older version.
//
// # Usage
//
//	f := &follower.Follower{}
//	f.Offer(fleet, document) // true if it was newer
//	fleet := f.Fleet()       // nil until the first version arrives
package follower

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/egretroute/egretroute/internal/process/storer"
	"github.com/egretroute/egretroute/internal/version/declarer"
	"github.com/egretroute/egretroute/internal/version/patcher"
)

// Follower holds the active configuration version. It is safe for concurrent use.
type Follower struct {
	// OnChange is called with each newer version before Fleet returns it.
	OnChange func(f *declarer.Fleet)

	mu     sync.Mutex // serialises Offer
	active atomic.Pointer[snapshot]
}

type snapshot struct {
	fleet    *declarer.Fleet
	document []byte
}

// Fleet returns the active version, or nil if there is none yet.
func (f *Follower) Fleet() *declarer.Fleet {
	s := f.active.Load()
	if s == nil {
		return nil
	}
	return s.fleet
}

// Version returns the number of the active version, or 0 if there is none yet.
func (f *Follower) Version() uint64 {
	fleet := f.Fleet()
	if fleet == nil {
		return 0
	}
	return fleet.Version
}

// Document returns the number and the document of the active version.
func (f *Follower) Document() (uint64, []byte) {
	s := f.active.Load()
	if s == nil {
		return 0, nil
	}
	return s.fleet.Version, s.document
}

// OfferDocument decodes a document, passes it to Offer and reports whether it was newer.
func (f *Follower) OfferDocument(document []byte) (bool, error) {
	fleet, err := declarer.Decode(document)
	if err != nil {
		return false, err
	}
	return f.Offer(fleet, document), nil
}

// Offer makes fleet the active version if it is newer, and reports whether it was.
func (f *Follower) Offer(fleet *declarer.Fleet, document []byte) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fleet.Version <= f.Version() {
		return false
	}
	if f.OnChange != nil {
		f.OnChange(fleet)
	}
	f.active.Store(&snapshot{fleet: fleet, document: document})
	return true
}

// Poll reads the active version from the platform and offers it.
func (f *Follower) Poll(ctx context.Context, table storer.Table) error {
	row, err := storer.ReadOne(ctx, table, patcher.CurrentKey)
	if err != nil || row.Version == 0 {
		return err
	}
	_, err = f.OfferDocument(row.Value)
	return err
}
