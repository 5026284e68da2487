package recoverer_test

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/process/bookkeeper"
	"github.com/egretroute/egretroute/internal/process/recoverer"
	"github.com/egretroute/egretroute/internal/process/storer"
)

// TestUnreadableRowDoesNotEndTheScan checks that the holders after an unreadable row are
// still recovered, and that the row is logged once.
func TestUnreadableRowDoesNotEndTheScan(t *testing.T) {
	memory := storer.NewMemory()
	var c storer.Commit
	c.Update(bookkeeper.HolderPrefix+"a", 0, []byte("{"))
	assert.NilError(t, memory.Commit(context.Background(), c))
	var log strings.Builder
	scans := 0
	r := &recoverer.Recoverer{
		Self: "router-1", Table: memory, Log: slog.New(slog.NewJSONHandler(&log, nil)),
		OnStuck: func([]recoverer.StuckHolder) { scans++ },
	}
	for n := range 2 {
		assert.NilError(t, r.Scan(context.Background(), time.Unix(int64(1000+n), 0)))
	}
	assert.Equal(t, scans, 2)
	assert.Equal(t, strings.Count(log.String(), `"event":223`), 1, log.String())
}
