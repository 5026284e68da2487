// Package exchanger sends HTTP/1.1 requests to targets and reads their responses.
//
// Unlike net/http's client it never retries a request by itself, it reports whether
// anything was sent, and it never reuses a connection that could carry bytes of another
// response.
//
// # Usage
//
//	p := &exchanger.Pool{DialTimeout: 300 * time.Millisecond}
//	resp, err := p.Exchange(ctx, "10.128.0.9:8080", exchanger.Request{Method: "GET", URI: "/a", Host: "h"})
//	if errors.Is(err, exchanger.ErrNotSent) {
//		// The target has not seen the request.
//	}
//	defer resp.Close()
package exchanger

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/process/pauser"
)

// Errors of an exchange.
var (
	// ErrNotSent is returned when no byte of the request was sent.
	ErrNotSent = errors.New("the request was not sent")
	// ErrBroken is returned when the connection failed after a byte was sent; the
	// request may have run.
	ErrBroken = errors.New("the connection to the target failed")
	// ErrEndless is returned when the target sends bytes that are no response and don't end;
	// the request may have run.
	ErrEndless = errors.New("the target sends bytes without end")
	// ErrMalformed is wrapped by an ErrBroken or ErrTruncated that comes from a header or a trailer which is not that
	// of an HTTP response.
	ErrMalformed = errors.New("the target's response is malformed")
	// ErrTruncated is returned by reads of a body that ended too early.
	ErrTruncated = errors.New("the response ended too early")
)

const (
	// idleMargin is how long before the target's idle timeout a connection expires.
	idleMargin = time.Second
	// sweepInterval is how often idle connections are checked.
	sweepInterval = time.Second
	// defaultIdleTimeout applies if the response has no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// keepAliveInterval is the time between TCP keep-alive probes, which detect dead
	// connections. The target's host acknowledges them, so they don't fail because the
	// target is busy.
	keepAliveInterval = time.Second
	// unackedTimeout is TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged.
	unackedTimeout = 2 * time.Second
	// maxStrayBytes bounds the body of a response to an earlier request.
	maxStrayBytes = 1 << 20
	// probeDialTime is how long Refused waits for an answer to one dial, many round trips
	// inside a region, and probeOpenTime how long a connection must stay open.
	probeDialTime  = 30 * time.Millisecond
	probeOpenTime  = 10 * time.Millisecond
	maxProbeDials  = 3
	tcpUserTimeout = 18 // from linux/tcp.h; package syscall lacks it
)

// Request is a request with its complete body.
type Request struct {
	Method string
	// URI is the request target as the client sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody asks for a Content-Length even for an empty body.
	HasBody bool
	// Matches reports whether a response belongs to the request. Late responses to
	// earlier requests are read and discarded.
	Matches func(status int, h http.Header) bool
	// NewConnection prevents the use of an idle connection: it may be stale, and a
	// request that may run only once can't be sent again.
	NewConnection bool
}

// Response is a response whose body is read with Read.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if it isn't known.
	Length int64
	// Delimited is set if the body has a length or chunks. Otherwise it ends with the connection,
	// and a target that ends may seem to have completed it.
	Delimited bool

	pool       *Pool
	address    string
	conn       *conn
	body       io.Reader
	stopWatch  func() bool
	closesConn bool
	err        error // of the last read
}

// conn is one connection to a target.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	expiresAt time.Time // the connection is not reused after this time
}

// Pool sends requests and keeps idle connections by address. Exported fields are set
// before the first call.
type Pool struct {
	DialTimeout time.Duration
	// MaxIdle is the maximum number of idle connections for each address.
	MaxIdle int

	mu   sync.Mutex // guards idle
	idle map[string][]*conn
}

// Exchange sends a request and reads the header of its response. The connection is
// closed when ctx ends. Errors wrap ErrNotSent, ErrBroken or ErrEndless.
func (p *Pool) Exchange(ctx context.Context, address string, req Request) (*Response, error) {
	c, err := p.take(ctx, address, req.NewConnection)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	stopWatch := context.AfterFunc(ctx, func() { _ = c.Close() })
	if n, err := write(c.Conn, req); err != nil {
		stopWatch()
		_ = c.Close()
		if n == 0 {
			return nil, errors.Wrap(ErrNotSent, err.Error())
		}
		return nil, errors.Wrap(ErrBroken, err.Error())
	}
	resp, err := readMatching(c, req) //nolint:bodyclose // Response.Close ends it with its connection
	if err != nil {
		stopWatch()
		_ = c.Close()
		if errors.Is(err, ErrEndless) {
			return nil, err
		}
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	delimited := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Delimited: delimited, pool: p, address: address,
		conn: c, body: newBody(c.reader, resp), stopWatch: stopWatch, closesConn: resp.Close || !delimited,
	}, nil
}

// Read reads the body. It returns io.EOF only if the body is complete, and an error that
// wraps ErrTruncated otherwise.
func (r *Response) Read(b []byte) (int, error) {
	if r.err != nil {
		return 0, r.err // a socket tells an error once, and the end after that
	}
	n, err := r.body.Read(b)
	switch {
	case err == io.EOF:
		r.err = err
	case err != nil:
		r.err = fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	return n, r.err
}

// Close returns the connection to the pool if the response was read to its end and the
// connection can be reused, and closes it otherwise.
func (r *Response) Close() {
	active := r.stopWatch()
	if r.err != io.EOF || !active || r.closesConn || r.conn.reader.Buffered() > 0 {
		_ = r.conn.Close()
		return
	}
	r.pool.put(r.address, r.conn, idleTimeout(r.Header))
}

// Probe is what dials to an address have shown.
type Probe int

const (
	// ProbeUnknown means that nothing answered, or that connections ended at once.
	ProbeUnknown Probe = iota
	// ProbeRefused means that nothing listens at the address.
	ProbeRefused
	// ProbeOpen means that a connection was accepted and stays open.
	ProbeOpen
)

// Probe dials an address, up to maxProbeDials times if a connection is not answered or ends
// at once, as happens while a process ends: its sockets are not closed at the same
// instant. A connection that stays open is kept for the next request.
func (p *Pool) Probe(ctx context.Context, address string) Probe {
	for range maxProbeDials {
		dialCtx, cancel := context.WithTimeout(ctx, probeDialTime)
		c, err := p.dial(dialCtx, address)
		cancel()
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return ProbeRefused
		case err == nil:
			pauser.Pause(ctx, probeOpenTime)
			if reusable(c.Conn) {
				p.put(address, c, defaultIdleTimeout)
				return ProbeOpen
			}
			_ = c.Close()
		case !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, os.ErrDeadlineExceeded):
			pauser.Pause(ctx, probeOpenTime)
		}
	}
	return ProbeUnknown
}

// CloseIdle closes idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	conns := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// Run closes idle connections that have expired, that the target has closed or that have received bytes which
// nobody asked for, until ctx ends. Without it, they hold descriptors until the next request to their address,
// which never comes if the target has left.
func (p *Pool) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pauser.Pause(ctx, sweepInterval)
		p.sweep(time.Now())
	}
}

func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if c.usable(now) {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		clear(conns[len(kept):])
		if p.idle[address] = kept; len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// usable reports whether an idle connection may be used for another request.
func (c *conn) usable(now time.Time) bool {
	return now.Before(c.expiresAt) && c.reader.Buffered() == 0 && reusable(c.Conn)
}

// take returns an idle connection that passed the check, or a new one.
func (p *Pool) take(ctx context.Context, address string, newConnection bool) (*conn, error) {
	for !newConnection {
		c := p.pop(address)
		if c == nil {
			break
		}
		if c.usable(time.Now()) {
			return c, nil
		}
		_ = c.Close()
	}
	return p.dial(ctx, address)
}

// dial opens a new connection.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: p.DialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2,
	}, Control: setUserTimeout}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, reader: bufio.NewReaderSize(nc, 4<<10)}, nil
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	return c
}

func (p *Pool) put(address string, c *conn, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if idle <= 0 || len(p.idle[address]) >= p.MaxIdle {
		_ = c.Close()
		return
	}
	if p.idle == nil {
		p.idle = make(map[string][]*conn)
	}
	c.expiresAt = time.Now().Add(idle)
	p.idle[address] = append(p.idle[address], c)
}

// idleTimeout returns how long a connection may stay idle according to the Keep-Alive
// header of a response.
func idleTimeout(h http.Header) time.Duration {
	for _, f := range strings.Split(h.Get("Keep-Alive"), ",") {
		if s, ok := strings.CutPrefix(strings.TrimSpace(f), "timeout="); ok {
			if n, err := strconv.Atoi(s); err == nil {
				return time.Duration(n)*time.Second - idleMargin
			}
		}
	}
	return defaultIdleTimeout
}

// reusable reports whether an idle connection is open and has received no unexpected
// bytes.
func reusable(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, err := syscall.Read(int(fd), b[:])
		open = n < 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && open
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// maxCopiedBytes is the size up to which a body is copied behind its head, to be sent with it.
const maxCopiedBytes = 16 << 10

// write sends a request and returns how many bytes were sent.
func write(c net.Conn, req Request) (int64, error) {
	if len(req.Body) > maxCopiedBytes {
		buffers := net.Buffers{encodeHead(req), req.Body}
		return buffers.WriteTo(c)
	}
	n, err := c.Write(append(encodeHead(req), req.Body...))
	return int64(n), err
}

// encodeHead returns the bytes of a request's head.
func encodeHead(req Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + min(len(req.Body), maxCopiedBytes))
	b.WriteString(req.Method + " " + req.URI + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	_ = req.Header.WriteSubset(&b, map[string]bool{"Host": true, "Content-Length": true}) // writes to a bytes.Buffer never fail
	if req.HasBody || len(req.Body) > 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// maxStrayResponses is how many responses to earlier requests are discarded on one
// connection before it is given up.
const maxStrayResponses = 4

// readMatching reads the header of the response that belongs to the request.
func readMatching(c *conn, req Request) (*http.Response, error) {
	for range maxStrayResponses {
		resp, err := readHead(c, req.Method)
		if err != nil {
			return nil, err
		}
		if req.Matches == nil || req.Matches(resp.StatusCode, resp.Header) {
			return resp, nil
		}
		if resp.Close {
			break
		}
		if err := discard(c, newBody(c.reader, resp)); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("received only responses to other requests")
}

// discard reads the body of a response to an earlier request. The body was complete when the
// earlier request ended, so it comes at once.
func discard(c *conn, body io.Reader) error {
	_ = c.SetReadDeadline(time.Now().Add(maxHeaderTime))
	n, err := io.CopyN(io.Discard, body, maxStrayBytes)
	switch {
	case n == maxStrayBytes || errors.Is(err, os.ErrDeadlineExceeded):
		return errors.Wrap(ErrEndless, "response to an earlier request")
	case err != io.EOF:
		return err
	}
	return c.SetReadDeadline(time.Time{})
}
