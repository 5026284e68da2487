package agent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/connection/framer"
)

// discardSink is a Sink that drops the response.
type discardSink struct{}

func (discardSink) Head(int, string) error { return nil }
func (discardSink) Data([]byte) error      { return nil }

// TestEmptyOrderIsSentOnce sends two orders without a body to a service that closes the
// reused connection after it has read the second one. The second order may have been run
// and must not be sent again, but net/http repeats a POST by itself if it has an
// Idempotency-Key and no body.
func TestEmptyOrderIsSentOnce(t *testing.T) {
	var received atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if received.Add(1) == 2 {
			panic(http.ErrAbortHandler) // closes the connection without a response
		}
	}))
	defer srv.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	backend := NewService(srv.URL, "orders")
	order := func(key string) error {
		run := &framer.Run{Method: http.MethodPost, Path: "/orders", Key: key, NonIdempotent: true}
		_, err := backend.Execute(ctx, run, discardSink{})
		return err
	}
	assert.NilError(t, order("a"))
	assert.Equal(t, received.Load(), int64(1))
	err := order("b")
	assert.Equal(t, received.Load(), int64(2), "the service received the second order more than once")
	assert.ErrorIs(t, err, ErrCrashed)
}
