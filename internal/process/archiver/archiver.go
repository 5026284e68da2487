// Package archiver keeps the crashes that a router has seen in a row of the platform's
// store, so that they outlive the router, and all routers when these end at once.
//
// # Usage
//
//	a := &archiver.Archiver{Suspects: suspects, Store: store, Key: "crashes//router-1"}
//	go a.Run(ctx)
//	a.Signal() // after each observation
//
// Each router writes only its own row; every router reads all of them. A router that starts
// again finds what its predecessor has written when its first write conflicts with it.
package archiver

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/process/pauser"
	"github.com/egretroute/egretroute/internal/process/storer"
	"github.com/egretroute/egretroute/internal/request/suspecter"
)

const (
	// maxObservations bounds the observations in a row.
	maxObservations = 32
	// commitDelay collects the requests of one crash in one commit, retryDelay is the
	// pause after a failed one.
	commitDelay = 10 * time.Millisecond
	retryDelay  = 300 * time.Millisecond
	// stopTimeout bounds the last write.
	stopTimeout = 200 * time.Millisecond
)

// Archiver writes the row of one router. Exported fields are set before the first call.
type Archiver struct {
	// Suspects holds the observations; the router's own ones are written.
	Suspects *suspecter.Suspecter
	Store    storer.Committer
	Key      string
	// OnLost is called when writes begin to fail, OnRestored when they succeed again, and
	// OnUnreadable for a row that this program has not written.
	OnLost       func(err error)
	OnRestored   func()
	OnUnreadable func(row storer.Row, err error)

	// version is the row's version as far as known, as of era; used by Run only.
	version uint64
	era     storer.Era

	mu     sync.Mutex // guards all below
	stored []byte     // what was written last
	signal chan struct{}
}

// Signal lets Run write the row unless it is up to date.
func (a *Archiver) Signal() {
	select {
	case a.signals() <- struct{}{}:
	default:
	}
}

// Forget lets Run write the row again: the store may have lost it.
func (a *Archiver) Forget() {
	a.setStored(nil)
	a.Signal()
}

func (a *Archiver) signals() chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.signal == nil {
		a.signal = make(chan struct{}, 1)
	}
	return a.signal
}

// Run writes the row after each signal until ctx ends, and then once more if needed.
func (a *Archiver) Run(ctx context.Context) {
	lost := false
	for {
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
			defer cancel()
			_ = a.write(last) // a failure has been reported already
			return
		case <-a.signals():
			pauser.Pause(ctx, commitDelay)
		}
		err := a.write(ctx)
		switch {
		case err != nil && ctx.Err() == nil:
			if !lost && a.OnLost != nil {
				a.OnLost(err)
			}
			lost = true
			pauser.Pause(ctx, retryDelay)
			a.Signal()
		case err == nil && lost:
			lost = false
			if a.OnRestored != nil {
				a.OnRestored()
			}
		}
	}
}

// write writes the row unless it is up to date.
func (a *Archiver) write(ctx context.Context) error {
	for {
		observations := a.Suspects.Newest(maxObservations, suspecter.Own)
		value := suspecter.Encode(observations)
		if a.isStored(value) || (len(observations) == 0 && a.version == 0) {
			return nil
		}
		c := storer.Commit{Era: a.era}
		c.Update(a.Key, a.version, value)
		receipt, err := a.Store.CommitWithReceipt(ctx, c)
		var conflict *storer.ConflictError
		switch {
		case err == nil:
			a.version, a.era = receipt.Version, receipt.Era
			a.setStored(value)
			return nil
		case errors.Is(err, storer.ErrEraChanged):
			a.version, a.era = 0, 0 // the row is read again
			return err
		case !errors.As(err, &conflict):
			return err
		}
		a.version, a.era = 0, conflict.Era
		for _, row := range conflict.Rows {
			a.version = row.Version
			a.adopt(row)
			if bytes.Equal(row.Value, value) { // an earlier write whose reply was lost
				a.setStored(value)
			}
		}
	}
}

// Apply applies a row that was read. It returns what Suspecter.Merge returns. If it is
// this router's own row and not what the router would write, it is written again.
func (a *Archiver) Apply(row storer.Row) (repeated []string) {
	if row.Key == a.Key {
		if !bytes.Equal(row.Value, suspecter.Encode(a.Suspects.Newest(maxObservations, suspecter.Own))) {
			a.adopt(row)
			a.setStored(nil)
			a.Signal()
		}
		return nil
	}
	observations, ok := a.decode(row)
	if !ok {
		return nil
	}
	return a.Suspects.Merge(observations)
}

// adopt takes over what the router's own row holds.
func (a *Archiver) adopt(row storer.Row) {
	if observations, ok := a.decode(row); ok {
		a.Suspects.Adopt(observations)
	}
}

// decode returns the observations of a row. What a deleted row held is kept until it
// expires.
func (a *Archiver) decode(row storer.Row) ([]suspecter.Observation, bool) {
	if row.Value == nil {
		return nil, false
	}
	observations, err := suspecter.Decode(row.Value)
	if err != nil && a.OnUnreadable != nil {
		a.OnUnreadable(row, err)
	}
	return observations, err == nil
}

func (a *Archiver) isStored(value []byte) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stored != nil && bytes.Equal(a.stored, value)
}

func (a *Archiver) setStored(value []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stored = value
}
