package soaker

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Transfer is what a client has seen of the connection that carried a request.
type Transfer struct {
	// Kept is set if the connection had been open before.
	Kept bool
	// SentAt is when the whole request had been sent, zero if it wasn't.
	SentAt time.Time
	// Responding is set if a byte of a response came.
	Responding bool
	// Refused is set if the gateway refused the connection.
	Refused bool
	// Unread is set if the gateway may not have read the whole request: its host reset the
	// connection, as it does if data comes that the process hasn't read when it closes, or
	// the connection had been closed before the request was sent.
	Unread bool
	// GaveUp is set if the client itself ended the connection, at its own time limit.
	GaveUp bool
}

const (
	// resetWait is how long a reset may follow the end of a connection: on loopback it comes
	// at once, unless the host lacks processor time.
	resetWait = 20 * time.Millisecond
	// resetPolls is how often that time is looked for it.
	resetPolls = 10
)

// watchedConn notes whether its peer has left unread what was written.
type watchedConn struct {
	*net.TCPConn
	// ended is set at the end of what the peer sends, awaiting while something has been written
	// and nothing read since.
	ended    atomic.Bool
	awaiting atomic.Bool
	unread   atomic.Bool
}

func dialWatched(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &watchedConn{TCPConn: conn.(*net.TCPConn)}, nil
}

// Read reads data and, if the connection ends without a response, looks for a reset.
func (c *watchedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	switch {
	case n > 0:
		c.awaiting.Store(false)
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		c.unread.Store(true)
	case errors.Is(err, io.EOF):
		c.ended.Store(true) // before the look at awaiting: Write does both the other way round
		for n := 0; n < resetPolls && c.awaiting.Load() && !c.unread.Load(); n++ {
			if c.closedByReset() {
				c.unread.Store(true)
			} else {
				time.Sleep(resetWait / resetPolls)
			}
		}
	}
	return n, err
}

// Write writes data and notes if the peer had closed the connection before.
func (c *watchedConn) Write(b []byte) (int, error) {
	c.awaiting.Store(true)
	if c.ended.Load() {
		c.unread.Store(true)
	}
	return c.TCPConn.Write(b)
}

// ReadFrom hides the method of net.TCPConn, which no client needs.
func (c *watchedConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// tcpClose is the state of a TCP connection that is over; one that only its peer has closed is in
// another.
const tcpClose = 7

func (c *watchedConn) closedByReset() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false // closed by the client
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = infoErr == nil && info.State == tcpClose
	})
	return err == nil && closed
}

// transferTrace collects the Transfer of one request.
type transferTrace struct {
	mu       sync.Mutex // guards the fields below
	transfer Transfer
	conn     *watchedConn
}

// withTrace returns a context whose request is traced.
func (t *transferTrace) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.conn, _ = info.Conn.(*watchedConn)
			t.transfer = Transfer{Kept: info.Reused}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			t.mu.Lock()
			defer t.mu.Unlock()
			if info.Err == nil {
				t.transfer.SentAt = time.Now()
			}
		},
		GotFirstResponseByte: func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.transfer.Responding = true
		},
	})
}

// result returns the Transfer of a request that has ended with err.
func (t *transferTrace) result(err error) Transfer {
	if err != nil {
		time.Sleep(resetWait) // the transport's own goroutines may still report
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.transfer
	out.Refused = t.conn == nil && errors.Is(err, syscall.ECONNREFUSED)
	out.Unread = t.conn != nil && t.conn.unread.Load()
	var netErr net.Error
	out.GaveUp = errors.Is(err, context.DeadlineExceeded) || (errors.As(err, &netErr) && netErr.Timeout())
	return out
}

// keepingTransport sends requests over one connection to each gateway and uses it until the gateway
// closes it, whatever its responses say. It sends one request at a time.
type keepingTransport struct {
	conns map[string]*keptConn
}

type keptConn struct {
	*watchedConn
	reader *bufio.Reader
}

// RoundTrip implements http.RoundTripper.
func (t *keepingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx, address := req.Context(), req.URL.Host
	trace := httptrace.ContextClientTrace(ctx)
	conn, kept := t.conns[address]
	if !kept {
		c, err := dialWatched(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		watched := c.(*watchedConn)
		conn = &keptConn{watchedConn: watched, reader: bufio.NewReader(watched)}
	}
	delete(t.conns, address) // until the response is complete
	trace.GotConn(httptrace.GotConnInfo{Conn: conn.watchedConn, Reused: kept})
	resp, err := conn.exchange(req, trace)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	resp.Body = &keptBody{ReadCloser: resp.Body, done: func(complete bool) {
		if complete {
			t.conns[address] = conn
		} else {
			_ = conn.Close()
		}
	}}
	return resp, nil
}

// exchange sends a request and reads the header of its response.
func (c *keptConn) exchange(req *http.Request, trace *httptrace.ClientTrace) (*http.Response, error) {
	deadline, _ := req.Context().Deadline() // zero is none
	if err := c.SetDeadline(deadline); err != nil {
		return nil, err
	}
	w := bufio.NewWriter(c.watchedConn)
	err := req.Write(w)
	if err == nil {
		err = w.Flush()
	}
	trace.WroteRequest(httptrace.WroteRequestInfo{Err: err})
	if err != nil {
		return nil, err
	}
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	trace.GotFirstResponseByte()
	for {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
}

func (t *keepingTransport) close() {
	for _, conn := range t.conns {
		_ = conn.Close()
	}
}

// keptBody calls done when it is closed.
type keptBody struct {
	io.ReadCloser
	complete bool
	done     func(complete bool)
}

func (b *keptBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.complete = b.complete || errors.Is(err, io.EOF)
	return n, err
}

func (b *keptBody) Close() error {
	b.done(b.complete)
	return nil
}
