package storekeeper_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/process/storer"
	"github.com/egretroute/egretroute/internal/standin/storekeeper"
)

func serve(t *testing.T) (*storekeeper.Storekeeper, *httptest.Server, storer.Table) {
	k := storekeeper.New(storekeeper.Limits{WritesPerSecond: 1000, ReadsPerSecond: 1000})
	srv := httptest.NewServer(k.Handler())
	t.Cleanup(srv.Close)
	return k, srv, storer.NewClient(srv.URL, time.Second)
}

func TestConditionalCommitOverHTTP(t *testing.T) {
	ctx := context.Background()
	_, _, table := serve(t)
	var c storer.Commit
	c.Update("a", 0, []byte("1"))
	assert.NilError(t, table.Commit(ctx, c))
	assert.ErrorIs(t, table.Commit(ctx, c), storer.ErrConflict)
	row, err := storer.ReadOne(ctx, table, "a")
	assert.NilError(t, err)
	assert.Equal(t, string(row.Value), "1")
}

func TestCommitWithLostReplyTakesEffect(t *testing.T) {
	ctx := context.Background()
	k, _, table := serve(t)
	k.SetFaults(storekeeper.Faults{LoseReplies: 1})
	var c storer.Commit
	c.Update("a", 0, []byte("1"))
	assert.Assert(t, errors.Is(table.Commit(ctx, c), storer.ErrUnavailable))
	row, err := storer.ReadOne(ctx, table, "a")
	assert.NilError(t, err)
	assert.Equal(t, string(row.Value), "1")
	k.SetFaults(storekeeper.Faults{Outage: true})
	_, err = storer.ReadOne(ctx, table, "a")
	assert.Assert(t, errors.Is(err, storer.ErrUnavailable))
}

func TestHostListLags(t *testing.T) {
	k, srv, _ := serve(t)
	k.HostLag = time.Minute
	resp, err := http.Post(srv.URL+"/hosts", "application/json", strings.NewReader(`{"name":"h","address":"10.0.0.1"}`))
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, len(k.Hosts(time.Now())), 0)
	assert.Equal(t, len(k.Hosts(time.Now().Add(2*time.Minute))), 1)
}
