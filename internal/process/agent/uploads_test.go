package agent

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/connection/framer"
)

const (
	// uploadBytes is more than the buffers of two sockets hold.
	uploadBytes = 8 << 20
	// uploadRuns is how often each case is repeated: whether a read or a write sees the reset varies.
	uploadRuns = 60
)

// serveUploads starts a target that answers each request before it has read its body, with a part of a body that has no
// length, and resets the connection while the rest of the request is being written.
func serveUploads(t *testing.T) (url string) {
	t.Helper()
	return serveConnections(t, func(conn *net.TCPConn) {
		_, _ = conn.Read(make([]byte, 4096))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart")
		time.Sleep(5 * time.Millisecond) // a reset may discard bytes that were not read
		_ = conn.SetLinger(0)
	})
}

// TestPartAnswersAnUnfinishedUpload guards against a part of a response without a length that is passed on as a complete
// one, because the write of the request has taken the error of the connection.
func TestPartAnswersAnUnfinishedUpload(t *testing.T) {
	backend := NewService(serveUploads(t), "orders")
	for _, nonIdempotent := range []bool{false, true} {
		for n := range uploadRuns {
			sink := &recordingSink{}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			run := &framer.Run{Method: http.MethodPost, Path: "/", Body: make([]byte, uploadBytes), NonIdempotent: nonIdempotent}
			_, err := backend.Execute(ctx, run, sink)
			cancel()
			assert.ErrorIs(t, err, ErrCrashed, "upload %d: %q was passed on", n, sink.body.String())
			assert.Equal(t, sink.body.Len(), 0)
		}
	}
}
