package router

import (
	"context"

	"github.com/egretroute/egretroute/internal/process/archiver"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/storer"
)

// crashPrefix begins the keys of the rows that hold the crashes seen by each router.
const crashPrefix = "crashes/"

// newArchiver returns the Archiver of this router's row of crashes.
func (r *Router) newArchiver() *archiver.Archiver {
	return &archiver.Archiver{
		Suspects: r.suspects, Store: storer.ReceiptTable{Table: r.Table}, Key: crashPrefix + r.Name,
		OnLost:     func(err error) { logger.CrashesNotStored.Log(r.Log, "router", r.Name, "error", err) },
		OnRestored: func() { logger.CrashesStored.Log(r.Log, "router", r.Name) },
		OnUnreadable: func(row storer.Row, err error) {
			logger.CrashRowUnreadable.Log(r.Log, "key", row.Key, "revision", row.Version, "error", err)
		},
	}
}

// readCrashes reads the rows of all routers, so that a fleet that starts again knows what
// crashed targets before, and reports whether it could. Later crashes come with
// heartbeats.
func (r *Router) readCrashes(ctx context.Context) bool {
	rows, err := storer.ScanAll(ctx, r.Table, crashPrefix)
	if err != nil {
		return false // the platform is down; the next poll reads them
	}
	for _, row := range rows {
		r.archiver.Apply(row)
	}
	return true
}
