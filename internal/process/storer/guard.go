package storer

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Store is a Committer and a Watcher.
type Store interface {
	Committer
	Watcher
}

// Guard keeps the replies of different eras of a store apart. A reply of an older era than
// the newest one seen is dropped, on whichever path it arrives, and a call that relies on an
// older era, a commit by its conditions or a Watch by its position, is not sent.
//
// Exported fields are set before the first call.
type Guard struct {
	Store Store
	// OnEra is called with the era of the first reply and with each newer one, before the
	// caller gets the reply, and with the era before. It must not call the store.
	OnEra func(era Era, first bool, previous Era)
	// OnStale is called for a dropped reply.
	OnStale func(reply, newest Era)

	mu  sync.Mutex // guards all below; locked while OnEra runs
	era Era
	// known is set once a reply has told the era.
	known bool
}

// CommitWithReceipt implements Committer.
func (g *Guard) CommitWithReceipt(ctx context.Context, c Commit) (Receipt, error) {
	era, known := g.current()
	if c.Era != 0 && known && c.Era != era {
		return Receipt{}, errors.Wrapf(ErrEraChanged, "commit of era %d in era %d", c.Era, era)
	}
	receipt, err := g.Store.CommitWithReceipt(ctx, c)
	var conflict *ConflictError
	switch {
	case err == nil:
		err = g.check(receipt.Era, era, known)
	case errors.As(err, &conflict):
		if eraErr := g.check(conflict.Era, era, known); eraErr != nil {
			err = eraErr
		}
	}
	if err != nil {
		return Receipt{}, err
	}
	return receipt, nil
}

// List implements Watcher.
func (g *Guard) List(ctx context.Context, table string) (RowBatch, error) {
	batch, err := g.Store.List(ctx, table)
	if err != nil {
		return RowBatch{}, err
	}
	if err := g.check(batch.Next.Era, batch.Next.Era, true); err != nil {
		return RowBatch{}, err
	}
	return batch, nil
}

// Watch implements Watcher. A new era ends the history, so that the table is listed again. That
// era may be known already from another call, so the position is compared before and after.
func (g *Guard) Watch(ctx context.Context, table string, after Position, wait time.Duration) (RowBatch, error) {
	if era, known := g.current(); known && after.Era != era {
		return RowBatch{}, errors.Wrapf(ErrHistoryLost, "position of era %d in era %d", after.Era, era)
	}
	batch, err := g.Store.Watch(ctx, table, after, wait)
	if err != nil {
		return RowBatch{}, err
	}
	err = g.check(batch.Next.Era, after.Era, true)
	if errors.Is(err, ErrEraChanged) {
		err = errors.Wrap(ErrHistoryLost, err.Error())
	}
	if err != nil {
		return RowBatch{}, err
	}
	return batch, nil
}

func (g *Guard) current() (era Era, known bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.era, g.known
}

// check records the era of a reply and returns an error unless the reply may be used by a
// call that was sent in an era.
func (g *Guard) check(reply, sent Era, known bool) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.known && reply < g.era:
		if g.OnStale != nil {
			g.OnStale(reply, g.era)
		}
		return errors.Wrapf(ErrUnavailable, "reply of era %d in era %d", reply, g.era)
	case !g.known || reply > g.era:
		first, previous := !g.known, g.era
		g.era, g.known = reply, true
		if g.OnEra != nil {
			g.OnEra(reply, first, previous)
		}
	}
	if known && reply != sent {
		return errors.Wrapf(ErrEraChanged, "from era %d to era %d", sent, reply)
	}
	return nil
}
