package exchanger_test

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/connection/exchanger"
)

// TestIdleConnectionsAreClosed leaves a connection idle without another request to its address. It guards
// against connections to targets that have left: they held all descriptors of a router (review/5), or received
// without end what the target sent.
func TestIdleConnectionsAreClosed(t *testing.T) {
	const (
		within = 3 * time.Second
	)
	for name, tt := range map[string]struct {
		keepAlive string
		after     func(conn net.Conn) // what the target does after the response
	}{
		"it expires":                          {"Keep-Alive: timeout=2\r\n", func(net.Conn) {}},
		"the target closes it":                {"Keep-Alive: timeout=60\r\n", func(conn net.Conn) { _ = conn.(*net.TCPConn).CloseWrite() }},
		"the target sends without a question": {"Keep-Alive: timeout=60\r\n", func(conn net.Conn) { _, _ = conn.Write([]byte("more")) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			t.Cleanup(func() { _ = ln.Close() })
			closed := make(chan time.Duration, 1)
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				b := make([]byte, 4096)
				_, _ = conn.Read(b)
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + tt.keepAlive + "Id: a\r\n\r\nok"))
				time.Sleep(100 * time.Millisecond) // until the connection is idle
				tt.after(conn)
				idleSince := time.Now()
				_ = conn.SetReadDeadline(idleSince.Add(2 * within))
				_, _ = conn.Read(b)
				closed <- time.Since(idleSince)
			}()
			pool := &exchanger.Pool{DialTimeout: time.Second, MaxIdle: 2}
			assert.Equal(t, exchange(pool, ln.Addr().String(), "a"), "ok")
			after := <-closed
			assert.Assert(t, after < within, "closed after %v", after)
		})
	}
}
