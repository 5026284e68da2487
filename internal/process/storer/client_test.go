package storer_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/process/storer"
)

// TestLongRowIsAbandoned reads a row whose reply arrives for longer than the timeout, and one whose reply stops. The
// first one was given up, so that a router on a narrow link never had its configuration.
func TestLongRowIsAbandoned(t *testing.T) {
	const timeout = 300 * time.Millisecond
	stops := false
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, err := json.Marshal(storer.RowsResponse{Rows: []storer.WireRow{{Key: "a", Version: 1, Value: make([]byte, 30_000)}}})
		assert.Check(t, err)
		for i := 0; i < len(text); i += 4000 {
			if stops && i > 20_000 {
				<-r.Context().Done()
				return
			}
			_, _ = w.Write(text[i:min(i+4000, len(text))])
			_ = http.NewResponseController(w).Flush()
			time.Sleep(timeout / 3)
		}
	}))
	t.Cleanup(srv.Close)
	c := storer.NewClient(srv.URL, timeout)
	rows, err := c.Read(t.Context(), "a")
	assert.NilError(t, err)
	assert.Equal(t, len(rows[0].Value), 30_000)
	stops = true
	startedAt := time.Now()
	_, err = c.Read(t.Context(), "a")
	assert.Assert(t, err != nil)
	assert.Assert(t, time.Since(startedAt) < 10*timeout)
}
