// Package delayer makes a server as late as a process that lacks processor time: while it is late, connections wait
// unaccepted and bytes unread in the kernel.
//
// # Usage
//
//	ln := &delayer.Listener{TCPListener: tcp}
//	go srv.Serve(ln)
//	ln.SetLate(true)
//	// send requests
//	ln.SetLate(false)
package delayer

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/receiver"
)

// pollInterval is how often a connection is looked at for bytes.
const pollInterval = time.Millisecond

// Listener accepts connections that are read late while it is late.
type Listener struct {
	*net.TCPListener

	lateAccepts, lateReads atomic.Bool
}

// SetLate begins or ends the lateness.
func (l *Listener) SetLate(late bool) {
	l.lateAccepts.Store(late)
	l.lateReads.Store(late)
}

// SetLateReads begins or ends the lateness of reads only.
func (l *Listener) SetLateReads(late bool) {
	l.lateReads.Store(late)
}

// Accept implements net.Listener. A connection that comes while the listener is late is one that it accepts late.
func (l *Listener) Accept() (net.Conn, error) {
	for l.lateAccepts.Load() {
		time.Sleep(pollInterval)
	}
	tcp, err := l.AcceptTCP()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &conn{TCPConn: tcp, late: &l.lateReads}, nil
}

// conn is a connection whose bytes are read once the listener isn't late.
type conn struct {
	*net.TCPConn
	late     *atomic.Bool
	deadline atomic.Pointer[time.Time]
	closed   atomic.Bool
}

// Read implements net.Conn. As with any connection, bytes that have arrived are not read after the deadline.
func (c *conn) Read(b []byte) (int, error) {
	for ; ; time.Sleep(pollInterval) {
		if c.closed.Load() {
			return 0, net.ErrClosed
		}
		if c.late.Load() {
			continue
		}
		if d := c.deadline.Load(); d != nil && !d.IsZero() && time.Now().After(*d) {
			return 0, os.ErrDeadlineExceeded
		}
		if unread, err := receiver.Peek(c.TCPConn); unread || err != nil {
			return c.TCPConn.Read(b)
		}
	}
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.deadline.Store(&t)
	return c.TCPConn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closed.Store(true)
	return c.TCPConn.Close()
}
