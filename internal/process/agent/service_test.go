package agent

import (
	"bytes"
	"context"
	"fmt"
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

// TestTooLongResponseIsNotCut guards against a response above the limit that is cut to the
// limit and counts as answered.
func TestTooLongResponseIsNotCut(t *testing.T) {
	for _, over := range []int{0, 1} {
		t.Run(fmt.Sprint(over, " bytes above the limit"), func(t *testing.T) {
			body := bytes.Repeat([]byte("r"), maxResponseBytes+over)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write(body)
			}))
			defer srv.Close()
			sink := &recordingSink{}
			run := &framer.Run{Method: http.MethodGet, Path: "/"}
			_, err := NewService(srv.URL, "orders").Execute(context.Background(), run, sink)
			if over > 0 {
				assert.ErrorIs(t, err, errResponseTooLong)
				assert.Equal(t, sink.body.Len(), 0)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, sink.body.Len(), len(body))
		})
	}
}

// TestEmptyOrderIsSentOnce sends two orders without a body to a service that closes the
// reused connection after it has read the second one. The second order may have been run
// and must not be sent again, but net/http repeats a GET without a body by itself, and a
// POST if it has an Idempotency-Key.
func TestEmptyOrderIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		t.Run(method, func(t *testing.T) { testEmptyOrder(t, method) })
	}
}

func testEmptyOrder(t *testing.T, method string) {
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
		run := &framer.Run{Method: method, Path: "/orders", Key: key, NonIdempotent: true}
		_, err := backend.Execute(ctx, run, discardSink{})
		return err
	}
	assert.NilError(t, order("a"))
	assert.Equal(t, received.Load(), int64(1))
	err := order("b")
	assert.Equal(t, received.Load(), int64(2), "the service received the second order more than once")
	assert.ErrorIs(t, err, ErrCrashed)
}
