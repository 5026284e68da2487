package receiver_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/connection/budgeter"
	"github.com/egretroute/egretroute/internal/connection/receiver"
	"github.com/egretroute/egretroute/internal/trial/delayer"
)

// TestConnectionClosedWithARequestUnread sends a request on a kept connection to a process that is late and closes
// connections meanwhile. The request must be answered, by a refusal if there is no room for it.
func TestConnectionClosedWithARequestUnread(t *testing.T) {
	const connections = 10
	for _, tt := range []struct {
		name string
		// idle is the limit of the listener, httpIdle that of net/http.
		idle, httpIdle time.Duration
		// others is the number of connections that are opened meanwhile, limit that of bytes held.
		others int
		limit  int64
		// refused is set if the request may be refused.
		refused bool
	}{
		{name: "its idle time is over", idle: 100 * time.Millisecond, httpIdle: time.Minute, limit: 32 << 20},
		{name: "its idle time is over for net/http", idle: time.Minute, httpIdle: 300 * time.Millisecond, limit: 32 << 20},
		{name: "others come that are over the limit", idle: time.Minute, httpIdle: time.Minute, others: connections, limit: 32 << 20, refused: true},
		{name: "others need the memory", idle: time.Minute, httpIdle: time.Minute, others: connections / 2, limit: 80 << 10, refused: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			tcp, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			late := &delayer.Listener{TCPListener: tcp.(*net.TCPListener)}
			s := &server{address: tcp.Addr().String(), budget: &budgeter.Budget{Limit: tt.limit}, bodyTime: time.Minute}
			var unread atomic.Int64
			ln := &receiver.Listener{Listener: late, Budget: s.budget, Max: connections, Limits: func() receiver.Limits {
				return receiver.Limits{HeadBytes: headBytes, HeadTimeout: time.Minute, IdleTimeout: tt.idle}
			}, OnUnread: func(receiver.Unread) { unread.Add(1) }}
			srv := &http.Server{Handler: s, ConnState: receiver.ConnState, ConnContext: receiver.ConnContext, IdleTimeout: tt.httpIdle}
			go func() { _ = srv.Serve(ln) }() // ends with Close
			go s.budget.Run(t.Context())
			t.Cleanup(func() { _ = srv.Close() })
			c := s.dial(t)
			c.send(fmt.Sprintf(post, 1, "") + "a")
			assert.Equal(t, c.receive().body, "1")
			time.Sleep(50 * time.Millisecond) // until the connection is idle
			late.SetLateReads(true)
			c.send(fmt.Sprintf(post, 2, "") + "bb")
			time.Sleep(budgeter.QuietTime + 100*time.Millisecond)
			for range tt.others {
				s.dial(t)
			}
			time.Sleep(budgeter.QuietTime + 100*time.Millisecond)
			late.SetLateReads(false)
			resp, err := http.ReadResponse(c.reader, nil)
			assert.NilError(t, err)
			defer resp.Body.Close()
			assert.Assert(t, resp.StatusCode == http.StatusOK || (tt.refused && resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != ""), resp.Status)
			assert.Equal(t, unread.Load(), int64(0))
		})
	}
}

// TestIdleLimitIsRaised raises the limit of idle connections while one is idle. It was closed after the earlier limit.
func TestIdleLimitIsRaised(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &server{address: tcp.Addr().String(), budget: &budgeter.Budget{}, bodyTime: time.Minute}
	var idle atomic.Int64
	idle.Store(int64(100 * time.Millisecond))
	ln := &receiver.Listener{Listener: tcp, Budget: s.budget, Limits: func() receiver.Limits {
		return receiver.Limits{HeadBytes: headBytes, HeadTimeout: time.Minute, IdleTimeout: time.Duration(idle.Load())}
	}}
	srv := &http.Server{Handler: s, ConnState: receiver.ConnState, ConnContext: receiver.ConnContext}
	go func() { _ = srv.Serve(ln) }() // ends with Close
	go s.budget.Run(t.Context())
	t.Cleanup(func() { _ = srv.Close() })
	kept, closed := s.dial(t), s.dial(t)
	for _, c := range []*client{kept, closed} {
		c.send(fmt.Sprintf(post, 1, "") + "a")
		assert.Equal(t, c.receive().body, "1")
	}
	time.Sleep(50 * time.Millisecond) // until the connections are idle
	idle.Store(int64(4 * time.Second))
	time.Sleep(3 * time.Second) // several sweeps after the earlier limit
	kept.send(fmt.Sprintf(post, 2, "") + "bb")
	assert.Equal(t, kept.receive().body, "2")
	_, err = closed.reader.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	for deadline := time.Now().Add(time.Second); ln.Open() != 1 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond) // the descriptor is closed before the connection is taken off the list
	}
	assert.Assert(t, ln.Open() == 1, "%d connections are open", ln.Open())
}
