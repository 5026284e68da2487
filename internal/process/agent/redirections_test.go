package agent

import (
	"net/http"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/connection/framer"
)

// TestRedirectedRequestMayHaveRun answers requests with redirections that lead nowhere. The target has answered, so
// they must not count as not sent.
func TestRedirectedRequestMayHaveRun(t *testing.T) {
	for _, location := range []string{"http://127.0.0.1:1/", "https://127.0.0.1:1/", "ftp://127.0.0.1/"} {
		for kind, newBackend := range map[string]func(url, name string) Backend{"service": NewService, "engine": NewEngine} {
			t.Run(kind+": "+location, func(t *testing.T) {
				url := serveResponse(t, "HTTP/1.1 302 Found\r\nLocation: "+location+"\r\nContent-Length: 0\r\n\r\n")
				run := &framer.Run{Method: http.MethodPost, Path: "/", Body: []byte("{}")}
				_, err := newBackend(url, "orders").Execute(t.Context(), run, &recordingSink{})
				assert.Assert(t, err != nil && !errors.Is(err, ErrNotReached), "%v", err)
			})
		}
	}
}
