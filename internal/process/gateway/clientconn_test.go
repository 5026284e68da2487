package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestArrivedAt counts the time that a request has waited in this process as a part of its client's
// wait. A request that was read late had its whole timeout from then on.
func TestArrivedAt(t *testing.T) {
	accepted := time.Unix(100, 0)
	for _, tt := range []struct {
		name       string
		used       bool
		after, lag time.Duration
		want       time.Duration // since the connection was accepted
	}{
		{"at once", false, 0, 0, 0},
		{"the process is not late: opened in advance", false, 3 * time.Second, time.Millisecond, 3*time.Second - time.Millisecond},
		{"read late", false, 2300 * time.Millisecond, 4 * time.Second, 0},
		{"opened in advance and read late", false, 3 * time.Second, time.Second, 2 * time.Second},
		{"a later request", true, 3 * time.Second, 2 * time.Second, 3 * time.Second},
	} {
		c := &clientConn{acceptedAt: accepted}
		c.used.Store(tt.used)
		got := c.arrivedAt(accepted.Add(tt.after), tt.lag).Sub(accepted)
		assert.Check(t, got == tt.want, "%s: %s instead of %s", tt.name, got, tt.want)
	}
}

// TestClientHasLeft closes clients' connections while this process is late. Such requests were sent
// on, since net/http had not noticed yet.
func TestClientHasLeft(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	for _, tt := range []struct {
		name       string
		leave      func(c *net.TCPConn) error
		late, want bool
	}{
		{"stays", func(*net.TCPConn) error { return nil }, true, false},
		{"sends more", func(c *net.TCPConn) error { _, err := c.Write([]byte("GET")); return err }, true, false},
		{"closes", (*net.TCPConn).Close, true, true},
		{"resets", func(c *net.TCPConn) error { _ = c.SetLinger(0); return c.Close() }, true, true},
		{"closes while the process is not late", (*net.TCPConn).Close, false, false},
	} {
		client, err := net.Dial("tcp", ln.Addr().String())
		assert.NilError(t, err)
		accepted, err := ln.Accept()
		assert.NilError(t, err)
		assert.NilError(t, tt.leave(client.(*net.TCPConn)))
		time.Sleep(10 * time.Millisecond) // until the kernel has told the other end
		g := &Gateway{}
		if tt.late {
			g.lag.Store(&lagSample{at: time.Now(), worst: time.Second})
		}
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "/", nil)
		assert.NilError(t, err)
		got := g.clientHasLeft(&request{http: r, conn: &clientConn{Conn: accepted}})
		assert.Check(t, got == tt.want, "%s: %v instead of %v", tt.name, got, tt.want)
		_, _ = client.Close(), accepted.Close()
	}
}
