// Package receiver receives clients' requests within a budget of memory. Its connections count the
// lines and bytes of a head before net/http stores them, and account what is held until the response
// has been sent.
//
// # Usage
//
//	ln := &receiver.Listener{Listener: tcp, Budget: budget, Max: 2000, Limits: limits}
//	srv := &http.Server{Handler: receiver.Handler(h), ConnState: receiver.ConnState, ...}
//	go srv.Serve(ln)
//
//	left := ln.Drain(ctx) // at the end: all that has come is read, nothing else
//
//	conn := receiver.Of(r.Context()) // with ConnContext: receiver.ConnContext
//	body, err := conn.ReadBody(r.Body, r.ContentLength, limit, deadline)
package receiver

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/budgeter"
)

// Limits bound what a client may send and how long it may take; 0 means no limit.
type Limits struct {
	HeadBytes   int
	HeadTimeout time.Duration
	IdleTimeout time.Duration
}

const (
	// headSlack is added to the limit of a head, which does not say whether it counts the request line.
	headSlack = 4 << 10
	// chargeBytes is the step in which the cost of a head is charged.
	chargeBytes = 8 << 10
	// bufferBytes is the size of net/http's read buffer: so much of the next head may be read before
	// the current request has ended.
	bufferBytes = 4 << 10
	// lingerTime is how long a refused connection is kept, and lingerBytes how much of it is read, so that
	// the client can read the refusal.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
	// nearShare is the share of Max from which connections that make no progress are closed.
	nearShare = 0.68
	// futileTime is how long no quiet connection is looked for after there was none.
	futileTime = 100 * time.Millisecond
	// deadlineSlack is added to timeouts, which net/http checks too.
	deadlineSlack = time.Second
)

// unknownBytes is the value of Conn.beyond if a head was buffered wholly or in part.
const unknownBytes = 1 << 62

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// errRefused is the error of reads after a refusal.
var errRefused = errors.New("the connection is refused")

// Listener accepts connections within a budget. Exported fields are set before the first Accept.
type Listener struct {
	net.Listener
	Budget *budgeter.Budget
	// Max is the largest number of open connections; 0 means none.
	Max    int
	Limits func() Limits
	// OnUnread, if set, is called for each connection that is closed while a request waits on it unread.
	OnUnread func(Unread)

	// ended is set once Accept has found the listener closed, after which no connection is added.
	ended atomic.Bool
	mu    sync.Mutex // guards conns
	conns map[*Conn]struct{}
	// futileAt is when no quiet connection was found; only Accept uses it.
	futileAt time.Time
}

// Accept returns the next connection for which there is room, and closes others.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) { // net/http goes on after others
				l.ended.Store(true)
			}
			return nil, err
		}
		if conn := l.admit(nc); conn != nil {
			return conn, nil
		}
		turnAway(nc)
		l.Budget.Refuse()
	}
}

func (l *Listener) admit(nc net.Conn) net.Conn {
	if open, near := l.Open(), int(nearShare*float64(l.Max)); l.Max > 0 && open >= near {
		if open-l.evictSlowest(open-near+1) >= l.Max {
			return nil
		}
	}
	c := &Conn{Conn: nc, listener: l, limits: l.Limits(), acceptedAt: time.Now()}
	holder, err := l.Budget.Open(l, c.onEvicted)
	if err != nil {
		return nil
	}
	c.holder = holder
	holder.OnExpired(c.onExpired)
	c.enter(budgeter.Receiving, c.limits.HeadTimeout)
	c.setPhase(awaiting)
	l.add(c)
	return c
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

func (l *Listener) add(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = make(map[*Conn]struct{})
	}
	l.conns[c] = struct{}{}
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// evictSlowest evicts at most n quiet connections and returns their number. It doesn't look for them again
// soon after there were none.
func (l *Listener) evictSlowest(n int) int {
	now := time.Now()
	if now.Sub(l.futileAt) < futileTime {
		return 0
	}
	evicted := l.Budget.EvictSlowest(l, n)
	if evicted == 0 {
		l.futileAt = now
	}
	return evicted
}

// Conn is a client's connection. It is used by one goroutine at a time, except for Close and
// eviction.
type Conn struct {
	net.Conn
	listener *Listener
	holder   *budgeter.Holder
	limits   Limits
	// acceptedAt is when the connection was accepted.
	acceptedAt time.Time

	head    Head
	charged int64
	// ahead counts the last read into net/http's buffer behind a head: it may hold the begin of the
	// next one, whose cost is aheadCost.
	ahead     Head
	aheadCost int64
	// beyond is the number of bytes that came behind the head, less those of a body of known length: 0
	// shows that nothing of the next head is buffered.
	beyond  int64
	refused atomic.Bool
	// inBody is set while ReadBody runs: an eviction interrupts it, so that the request can be
	// refused.
	inBody atomic.Bool
	closed sync.Once

	mu sync.Mutex // guards all below
	// phase is what reads wait for, phaseSince since when. deadline is the one that net/http has set for them; while the connection is to end,
	// they end at once.
	phase      phase
	phaseSince time.Time
	deadline   time.Time
	ending     bool
	evicted    bool
	// handling is set while a Handler runs, handled once one has.
	handling, handled bool
	// givenUp is set if a drain doesn't wait for the rest of a request.
	givenUp bool
}

// connKey is the key of the Conn in a request's context.
type connKey struct{}

// ConnContext implements http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if conn, ok := c.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, conn)
	}
	return ctx
}

// Of returns the connection of a request's context, or nil.
func Of(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn) // nil without a Listener
	return c
}

// ConnState implements http.Server.ConnState.
func ConnState(c net.Conn, state http.ConnState) {
	conn, ok := c.(*Conn)
	switch {
	case ok && state == http.StateActive:
		conn.endHead()
	case ok && state == http.StateIdle:
		conn.endRequest()
	}
}

// endHead notes that net/http has parsed the head. It may have been in its buffer wholly or in part.
func (c *Conn) endHead() {
	if !c.head.Complete {
		c.head.Complete, c.beyond = true, unknownBytes
		c.enter(budgeter.Running, 0)
	}
}

// endRequest begins to wait for the next request.
func (c *Conn) endRequest() {
	c.limits = c.listener.Limits()
	c.enter(budgeter.Idle, c.limits.IdleTimeout)
	c.head, c.charged, c.aheadCost = Head{}, 0, c.ahead.Cost()
	if c.beyond == 0 {
		c.aheadCost = 0
	}
	c.ahead, c.beyond = Head{}, unknownBytes
	if c.aheadCost > 0 && c.holder.Grow(budgeter.Head, c.aheadCost) != nil {
		_ = c.Conn.Close() // net/http notices and calls Close
	}
	c.charged = c.aheadCost
}

func (c *Conn) enter(s budgeter.State, timeout time.Duration) {
	deadline := time.Time{}
	if timeout > 0 {
		deadline = time.Now().Add(timeout + deadlineSlack)
	}
	c.setPhase(phaseOf[s])
	c.holder.Enter(s, deadline)
}

// Read implements net.Conn. It refuses a head that is over its limits or has no room.
func (c *Conn) Read(b []byte) (int, error) {
	if c.refused.Load() {
		return 0, readError(errRefused)
	}
	n, err := c.Conn.Read(b)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.headWaits() {
		if !c.extendDeadline() {
			return 0, c.refuse(http.StatusServiceUnavailable, "Retry-After: 1\r\n")
		}
		n, err = c.Conn.Read(b)
	}
	if n == 0 {
		return n, err
	}
	c.holder.Progress(n)
	if !c.head.Complete {
		return c.scan(b[:n], err)
	}
	c.beyond += int64(n)
	if len(b) <= bufferBytes {
		c.ahead = count(b[:n])
	}
	return n, err
}

// count returns the most that a part of a head can cost.
func count(b []byte) Head {
	return Head{Bytes: len(b), Lines: bytes.Count(b, []byte{'\n'})}
}

// scan accounts the next bytes of a head, behind which there may be a part of a body.
func (c *Conn) scan(b []byte, err error) (int, error) {
	if c.head.Bytes == 0 {
		c.enter(budgeter.Receiving, c.limits.HeadTimeout)
	}
	used := c.head.Feed(b)
	switch {
	case c.limits.HeadBytes > 0 && c.head.Bytes > c.limits.HeadBytes+headSlack:
		return 0, c.refuse(http.StatusRequestHeaderFieldsTooLarge, "")
	case c.head.EmptyLines > maxEmptyLines:
		return 0, c.refuse(http.StatusBadRequest, "")
	}
	if missing := c.head.Cost() + c.aheadCost - c.charged; missing > 0 {
		missing = (missing + chargeBytes - 1) / chargeBytes * chargeBytes
		if c.holder.Grow(budgeter.Head, missing) != nil {
			return 0, c.refuse(http.StatusServiceUnavailable, "Retry-After: 1\r\n")
		}
		c.charged += missing
	}
	if c.head.Complete {
		c.ahead, c.beyond = count(b[used:]), int64(len(b)-used)
		c.enter(budgeter.Running, 0)
	}
	return len(b), err
}

// refuse answers a request whose head was not read to its end, and which has not run. It returns an
// error after which net/http closes the connection without a response of its own.
func (c *Conn) refuse(status int, header string) error {
	c.refused.Store(true)
	c.listener.Budget.Refuse()
	_ = c.SetWriteDeadline(time.Now().Add(lingerTime))
	writeRefusal(c.Conn, status, header)
	_ = c.CloseWrite() // Close follows
	return readError(errRefused)
}

// writeRefusal writes a response to a request that was not read to its end.
func writeRefusal(w io.Writer, status int, header string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n",
		status, http.StatusText(status), header) // the client may have left
}

func readError(err error) error {
	return &net.OpError{Op: "read", Net: "tcp", Err: err}
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.holder.Send(true)
	defer c.holder.Send(false)
	if c.Evicted() { // nobody evicts it again
		_ = c.SetWriteDeadline(time.Now().Add(budgeter.QuietTime))
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn. After a refusal the descriptor is kept for a while.
func (c *Conn) Close() error {
	var err error
	c.closed.Do(func() {
		if c.refused.Load() {
			go c.linger()
			return
		}
		c.reportUnread()
		err = c.Conn.Close()
		c.release()
	})
	return err
}

// linger discards what a refused client still sends, so that it comes to read the refusal.
func (c *Conn) linger() {
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes) // ends when the client closes, or at the deadline
	c.release()
}

func (c *Conn) release() {
	_ = c.Conn.Close() // closed already unless it was refused
	c.holder.Close()
	c.listener.remove(c)
}

// CloseWrite ends what is sent, as on a TCP connection.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// SetLinger sets the behaviour of Close as of a TCP connection.
func (c *Conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errNoDescriptor
}
