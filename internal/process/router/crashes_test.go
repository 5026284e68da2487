package router_test

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/process/storer"
)

// flakyTable fails the first scan of the crashes.
type flakyTable struct {
	storer.Table
	failed atomic.Bool
}

func (f *flakyTable) Scan(ctx context.Context, prefix, after string, limit int) ([]storer.Row, error) {
	if strings.HasPrefix(prefix, "crashes/") && !f.failed.Swap(true) {
		return nil, storer.ErrUnavailable
	}
	return f.Table.Scan(ctx, prefix, after, limit)
}

// TestRestartedFleetForgetsCrashes sends a request that crashes targets to a router, and
// again to its successors, one of which can't read the crashes at first. The agent forgets it
// at once. The successors must refuse it.
func TestRestartedFleetForgetsCrashes(t *testing.T) {
	agent := &scriptedAgent{}
	table := startAgent(t, agent)
	for _, tt := range []struct {
		name   string
		table  storer.Table
		script []string
	}{
		{"crashed", table, []string{"end-crashed"}},
		{"known from before", table, []string{"head", "chunk a", "end"}},
		{"crashes read late", &flakyTable{Table: table}, []string{"head", "chunk a", "end"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			agent.setScripts([][]string{tt.script})
			url, stop := startRouterOn(t, tt.table, 2)
			defer stop()
			req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(`{"model":"m","messages":[{"role":"user","content":"x"}]}`))
			assert.NilError(t, err)
			req.Header.Set("Authorization", "Bearer key")
			resp, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			defer resp.Body.Close()
			assert.Equal(t, resp.StatusCode, http.StatusUnprocessableEntity)
			assert.Equal(t, resp.Header.Get("Egretroute-Reason"), "poison")
		})
	}
}
