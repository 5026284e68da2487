package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/receiver"
)

// clientConn is a client's connection.
type clientConn struct {
	net.Conn
	acceptedAt time.Time
	// used is set with the first request.
	used atomic.Bool
}

// clientConnKey is the key of the clientConn in a request's context.
type clientConnKey struct{}

// connContext implements http.Server.ConnContext.
func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(receiver.ConnContext(ctx, c), clientConnKey{}, &clientConn{Conn: c, acceptedAt: time.Now()})
}

// arrivedAt returns about when a request that is handled from now on has arrived. The first
// request on a connection has waited since the connection was accepted, but not longer than the process
// is late: clients may open connections in advance. For later ones the wait isn't known.
func (c *clientConn) arrivedAt(now time.Time, lag time.Duration) time.Time {
	if c.used.Swap(true) {
		return now
	}
	return now.Add(-min(now.Sub(c.acceptedAt), max(lag, 0)))
}

// hasLeft reports whether the client has closed the connection. net/http notices it too, but
// only once its own goroutine runs, which may be late.
func (c *clientConn) hasLeft() bool {
	_, err := receiver.Peek(c.Conn)
	return errors.Is(err, receiver.ErrLeft) || errors.Is(err, net.ErrClosed)
}
