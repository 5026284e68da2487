package receiver_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/connection/budgeter"
	"github.com/egretroute/egretroute/internal/connection/receiver"
)

// serve serves h on a loopback listener that wrap may replace.
func serve(t *testing.T, wrap func(*net.TCPListener) net.Listener, h http.HandlerFunc) *receiver.Listener {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ln := &receiver.Listener{Listener: tcp, Budget: &budgeter.Budget{}, Limits: func() receiver.Limits {
		return receiver.Limits{HeadBytes: headBytes, HeadTimeout: time.Minute, IdleTimeout: time.Minute}
	}}
	if wrap != nil {
		ln.Listener = wrap(tcp.(*net.TCPListener))
	}
	srv := &http.Server{Handler: receiver.Handler(h), ConnState: receiver.ConnState, ConnContext: receiver.ConnContext, IdleTimeout: time.Minute, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(ln) }() // ends with Close
	go ln.Budget.Run(t.Context())
	t.Cleanup(func() { _ = srv.Close() })
	return ln
}

func dial(t *testing.T, ln net.Listener) *client {
	t.Helper()
	return (&server{address: ln.Addr().String()}).dial(t)
}

// TestTwoAnswersForOneRequest gives up a body while more of it arrives. The rest was taken for a request that waits and
// refused besides.
func TestTwoAnswersForOneRequest(t *testing.T) {
	ln := serve(t, nil, func(w http.ResponseWriter, r *http.Request) {
		_, err := receiver.Of(r.Context()).ReadBody(r.Body, r.ContentLength, 4<<20, time.Now().Add(10*time.Millisecond))
		assert.Check(t, errors.Is(err, receiver.ErrLate), "%v", err)
		w.Header().Set("Connection", "close")
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusRequestTimeout)
	})
	c := dial(t, ln)
	const missing = 240 << 10 // so little that net/http reads it
	c.send(fmt.Sprintf(post, 1<<20, "") + strings.Repeat("b", 1<<20-missing))
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for n := 0; n < missing-1 && ctx.Err() == nil; n++ {
			c.send("b")
			for began := time.Now(); time.Since(began) < 10*time.Microsecond; {
				continue
			}
		}
	}()
	all, _ := io.ReadAll(c.reader) // may end by a reset
	cancel()
	assert.Equal(t, strings.Count(string(all), "HTTP/1.1 "), 1, "%s", all)
}

// failingListener fails once for want of descriptors, and accepts late while late is set.
type failingListener struct {
	*net.TCPListener
	failed, late atomic.Bool
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failed.Swap(true) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	for l.late.Load() {
		time.Sleep(time.Millisecond)
	}
	return l.TCPListener.Accept()
}

// TestDrainEndsEarlyAfterAFailedAccept drains a listener that once had no descriptor for a connection. The drain ended with
// a request in its backlog.
func TestDrainEndsEarlyAfterAFailedAccept(t *testing.T) {
	failing := &failingListener{}
	failing.late.Store(true)
	ln := serve(t, func(tcp *net.TCPListener) net.Listener {
		failing.TCPListener = tcp
		return failing
	}, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") })
	time.Sleep(50 * time.Millisecond)
	c := dial(t, ln)
	c.send("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	time.Sleep(20 * time.Millisecond)
	time.AfterFunc(time.Second, func() { failing.late.Store(false) })
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	began := time.Now()
	assert.Equal(t, ln.Drain(ctx), 0)
	assert.Assert(t, time.Since(began) > 900*time.Millisecond)
	assert.Equal(t, c.receive().body, "ok")
}

// TestDrainWaitsForARequestThatRuns drains while requests run, one of them sent together with the request before it.
func TestDrainWaitsForARequestThatRuns(t *testing.T) {
	ln := serve(t, nil, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			select {
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			case <-time.After(2500 * time.Millisecond): // longer than a drain waits for parts of requests
			}
		}
		fmt.Fprint(w, "ok")
	})
	c := dial(t, ln)
	c.send("GET /fast HTTP/1.1\r\nHost: a\r\n\r\nGET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.Equal(t, c.receive().body, "ok")
	time.Sleep(200 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	assert.Equal(t, ln.Drain(ctx), 0)
	assert.Equal(t, c.receive().body, "ok")
}

// TestBodyGivenUpInADrainIsTakenForCutShort drains beside a client that doesn't send the rest of a body. The request has not run and
// may be sent again, which a refusal as malformed would deny.
func TestBodyGivenUpInADrainIsTakenForCutShort(t *testing.T) {
	ln := serve(t, nil, func(w http.ResponseWriter, r *http.Request) {
		_, err := receiver.Of(r.Context()).ReadBody(r.Body, r.ContentLength, 4<<20, time.Now().Add(time.Minute))
		assert.Check(t, errors.Is(err, receiver.ErrNoRoom), "%v", err)
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	c := dial(t, ln)
	c.send(fmt.Sprintf(post, 100, "") + "b")
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	defer cancel()
	assert.Equal(t, ln.Drain(ctx), 0)
	assert.Equal(t, c.receive().status, http.StatusServiceUnavailable)
}

// TestIdleCloseEndsTheNextRequest tells a connection to close that was found idle just before a request began. It was closed
// after the response, which had not announced it.
func TestIdleCloseEndsTheNextRequest(t *testing.T) {
	conns := make(chan *receiver.Conn, 2)
	ln := serve(t, nil, func(w http.ResponseWriter, r *http.Request) {
		conns <- receiver.Of(r.Context())
		time.Sleep(100 * time.Millisecond)
		fmt.Fprint(w, "ok")
	})
	c := dial(t, ln)
	time.Sleep(600 * time.Millisecond) // no longer just accepted
	for range 2 {
		c.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		(<-conns).CloseIdle()
		assert.Equal(t, c.receive().body, "ok")
		time.Sleep(5 * time.Millisecond)
	}
}
