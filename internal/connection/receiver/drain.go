package receiver

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// drainInterval is how often a listener that drains looks at its backlog and its connections.
const drainInterval = 20 * time.Millisecond

// Drain ends the listener and its connections without losing a request. It accepts all connections that wait and then
// closes the listener; it closes connections on which no request has come, and waits until the others have been closed
// after their response, or until ctx ends. Requests that don't come to their end are given up after restTime, if the server's
// handler is a Handler. It returns the number of connections that are still open.
func (l *Listener) Drain(ctx context.Context) int {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		if !l.backlogged() {
			_ = l.Close()
		}
		ended := l.ended.Load() // before the connections are counted
		open := l.closeIdle()
		if open == 0 && ended {
			return 0
		}
		select {
		case <-ctx.Done():
			_ = l.Close()
			return open
		case <-ticker.C:
		}
	}
}

// closeIdle closes connections on which no request has come and returns the number of those that are open.
func (l *Listener) closeIdle() int {
	l.mu.Lock()
	conns := make([]*Conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		c.CloseIdle()
		c.giveUp()
	}
	return len(conns)
}

// backlogged reports whether connections wait to be accepted, as far as the listener has a descriptor. Closing it resets
// them.
func (l *Listener) backlogged() bool {
	sc, ok := l.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false // closed
	}
	var n int
	var pollErr error
	err = raw.Control(func(fd uintptr) {
		n, pollErr = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && (n > 0 || errors.Is(pollErr, unix.EINTR))
}
