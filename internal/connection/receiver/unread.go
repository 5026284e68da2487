package receiver

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/budgeter"
)

const (
	// restTime is how long a drain waits for the rest of a request.
	restTime = time.Second
	// firstRequestTime is how long a connection that was just opened may take to send its request.
	firstRequestTime = 500 * time.Millisecond
	// turnAwayTime bounds how long a connection without room holds up those behind it, and turnAwayBytes how much of its
	// request is read.
	turnAwayTime  = 5 * time.Millisecond
	turnAwayBytes = 64 << 10
)

// ErrLeft is returned by Peek for a connection that its client has closed.
var ErrLeft = errors.New("the client has closed the connection")

// errNoDescriptor is returned for a connection that is none of the kernel's.
var errNoDescriptor = errors.New("the connection has no descriptor")

// Unread describes a connection that this process closes before it has read all that the client sent.
type Unread struct {
	// State is what the connection waited for: Idle for a request, Receiving for the rest of one.
	State budgeter.State
	// Evicted is set if the connection had to make room or its time was up.
	Evicted bool
}

// Peek reports whether bytes that the client has sent wait in the kernel. It returns ErrLeft if the client has
// closed the connection and nothing waits, and another error if the connection can't be asked.
func Peek(c net.Conn) (unread bool, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false, errNoDescriptor
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, errors.WithStack(err)
	}
	var n int
	var recvErr error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, recvErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return false, errors.WithStack(err)
	case n > 0:
		return true, nil
	case (n == 0 && recvErr == nil) || errors.Is(recvErr, syscall.ECONNRESET):
		return false, ErrLeft
	}
	return false, nil
}

// headWaits reports whether bytes of a head, or before it, wait unread, or whether a head has begun that a drain doesn't wait
// for. A deadline that has passed then says that this process is late, not its client.
func (c *Conn) headWaits() bool {
	c.mu.Lock()
	p, givenUp := c.phase, c.givenUp
	c.mu.Unlock()
	if p == running || c.head.Complete {
		return false
	}
	unread, _ := Peek(c.Conn)
	return unread || (givenUp && c.head.Bytes > 0)
}

// turnAway closes a connection for which there is no room. A request that has already come is refused.
func turnAway(nc net.Conn) {
	if unread, _ := Peek(nc); unread {
		now := time.Now()
		_ = nc.SetDeadline(now.Add(turnAwayTime))
		_, _ = nc.Read(make([]byte, turnAwayBytes)) // a reset would follow bytes that aren't read, and overtake the refusal
		writeRefusal(nc, http.StatusServiceUnavailable, "Retry-After: 1\r\n")
	}
	_ = nc.Close()
}

// reportUnread tells the listener of a request that waits unread on a connection that is about to be closed.
func (c *Conn) reportUnread() {
	state := c.holder.State()
	if c.listener.OnUnread == nil || state == budgeter.Running {
		return
	}
	if unread, _ := Peek(c.Conn); unread {
		c.listener.OnUnread(Unread{State: state, Evicted: c.Evicted()})
	}
}
