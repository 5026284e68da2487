// Package exchanger sends HTTP/1.1 requests to targets and reads their responses.
//
// Unlike net/http's client it never retries a request by itself, it reports whether
// anything was sent, and it never reuses a connection that could carry bytes of another
// response. It refuses responses with heads or trailers that RFC 9112 does not allow: where
// the parser of net/http ignores a line, the length that stands in it is lost.
//
// All readers of responses share it. A Transport reads them for callers of net/http's client.
//
// # Usage
//
//	p := &exchanger.Pool{DialTimeout: 300 * time.Millisecond}
//	resp, err := p.Exchange(ctx, "10.128.0.9:8080", exchanger.Request{Method: "GET", URI: "/a", Host: "h"})
//	if errors.Is(err, exchanger.ErrNotSent) {
//		// The target has not seen the request.
//	}
//	defer resp.Close()
//
//	client := exchanger.NewClient(&net.Dialer{}, 16) // an *http.Client
package exchanger

import (
	"bufio"
	"cmp"
	"context"
	"crypto/tls"
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
	// errUnanswered is wrapped by an ErrNotSent or ErrBroken of an idle connection that ended without an answer: the
	// target may have closed it before the request arrived.
	errUnanswered = errors.New("the idle connection ended")
)

const (
	// idleMargin is how long before the target's idle timeout a connection expires.
	idleMargin = time.Second
	// sweepInterval is how often idle connections are checked.
	sweepInterval = time.Second
	// defaultIdleTimeout applies if the response has no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	readBufferBytes    = 4 << 10
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
	// Upload, if set, is the body in place of Body. It is written while the response is read: a target may answer
	// before it has read the whole body. Exchange or Response.Close ends its use.
	Upload io.Reader
	// UploadLength is the length of Upload in bytes.
	UploadLength int64
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
	upload     *upload
	stopWatch  func() bool
	closesConn bool
	err        error // of the last read
}

// conn is one connection to a target.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	expiresAt time.Time // the connection is not reused after this time
	reused    bool
	answered  bool // a byte has arrived since the last request
}

// Pool sends requests and keeps idle connections by address. Exported fields are set
// before the first call.
type Pool struct {
	DialTimeout time.Duration
	// Dialer opens connections, if set, in place of one that has DialTimeout and detects within seconds that the
	// target's host is gone.
	Dialer *net.Dialer
	// TLS, if set, is the configuration of the connections.
	TLS *tls.Config
	// MaxIdle is the maximum number of idle connections for each address.
	MaxIdle int
	// IdleTimeout is how long a connection may stay idle if the response has no Keep-Alive timeout; 0 means 4 s.
	IdleTimeout time.Duration

	mu       sync.Mutex // guards the fields below
	idle     map[string][]*conn
	sweeping bool // sweepLater is going to be called
}

// Exchange sends a request and reads the header of its response. The connection is
// closed when ctx ends. Errors wrap ErrNotSent, ErrBroken or ErrEndless.
func (p *Pool) Exchange(ctx context.Context, address string, req Request) (*Response, error) {
	c, err := p.take(ctx, address, req.NewConnection)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	stopWatch := context.AfterFunc(ctx, func() { _ = c.Close() })
	u, n, err := send(c.Conn, req)
	if err != nil {
		stopWatch()
		_ = c.Close()
		switch {
		case n == 0 && c.reused:
			return nil, fmt.Errorf("%w: %w: %w", ErrNotSent, errUnanswered, err)
		case n == 0:
			return nil, errors.Wrap(ErrNotSent, err.Error())
		}
		return nil, errors.Wrap(ErrBroken, err.Error())
	}
	resp, err := readMatching(c, req) //nolint:bodyclose // Response.Close ends it with its connection
	if err != nil {
		stopWatch()
		_ = c.Close()
		u.wait()
		switch {
		case errors.Is(err, ErrEndless):
			return nil, err
		case c.reused && !c.answered:
			return nil, fmt.Errorf("%w: %w: %w", ErrBroken, errUnanswered, err)
		}
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	delimited := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Delimited: delimited, pool: p, address: address,
		conn: c, body: newBody(c.reader, resp), upload: u, stopWatch: stopWatch, closesConn: resp.Close || !delimited,
	}, nil
}

// Read reads the body. It returns io.EOF only if the body is complete, and an error that
// wraps ErrTruncated otherwise. A body without a length is complete only if the request was
// written to its end: a reset is told to the write alone, and reads like a regular end.
func (r *Response) Read(b []byte) (int, error) {
	if r.err != nil {
		return 0, r.err // a socket tells an error once, and the end after that
	}
	n, err := r.body.Read(b)
	switch {
	case err == io.EOF && !r.Delimited && !r.upload.complete(r.conn):
		r.err = errors.Wrap(ErrTruncated, "no length, and the request was not written to its end")
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
	if r.err != io.EOF || !active || r.closesConn || !r.upload.complete(r.conn) || r.conn.reader.Buffered() > 0 {
		_ = r.conn.Close()
		r.upload.wait()
		return
	}
	r.pool.put(r.address, r.conn, r.pool.idleTimeout(r.Header))
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

// CloseIdleConnections closes all idle connections.
func (p *Pool) CloseIdleConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		for _, c := range conns {
			_ = c.Close()
		}
	}
	clear(p.idle)
}

// sweepLater closes idle connections that have expired, that the target has closed or that have received bytes which
// nobody asked for, each second as long as there are idle ones. Otherwise they would hold descriptors until the next
// request to their address, which never comes if the target has left.
func (p *Pool) sweepLater() {
	time.AfterFunc(sweepInterval, func() {
		if p.sweep(time.Now()) {
			p.sweepLater()
		}
	})
}

// sweep checks the idle connections once and reports whether some are left.
func (p *Pool) sweep(now time.Time) bool {
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
	p.sweeping = len(p.idle) > 0
	return p.sweeping
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
			c.reused, c.answered = true, false
			return c, nil
		}
		_ = c.Close()
	}
	return p.dial(ctx, address)
}

// dial opens a new connection.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	dialer := p.Dialer
	if dialer == nil {
		dialer = &net.Dialer{Timeout: p.DialTimeout, KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2,
		}, Control: setUserTimeout}
	}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if p.TLS != nil {
		if nc, err = p.secure(ctx, nc, address); err != nil {
			return nil, err
		}
	}
	return &conn{Conn: nc, reader: bufio.NewReaderSize(nc, readBufferBytes)}, nil
}

// secure makes the handshake of TLS. It closes the connection if that fails.
func (p *Pool) secure(ctx context.Context, nc net.Conn, address string) (net.Conn, error) {
	cfg := p.TLS.Clone()
	if host, _, err := net.SplitHostPort(address); err == nil && cfg.ServerName == "" {
		cfg.ServerName = host
	}
	c := tls.Client(nc, cfg)
	if err := c.HandshakeContext(ctx); err != nil {
		_ = nc.Close()
		return nil, err
	}
	return c, nil
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
	if !p.sweeping {
		p.sweeping = true
		p.sweepLater()
	}
}

// idleTimeout returns how long a connection may stay idle according to the Keep-Alive
// header of a response.
func (p *Pool) idleTimeout(h http.Header) time.Duration {
	for _, f := range strings.Split(h.Get("Keep-Alive"), ",") {
		if s, ok := strings.CutPrefix(strings.TrimSpace(f), "timeout="); ok {
			if n, err := strconv.Atoi(s); err == nil {
				return time.Duration(n)*time.Second - idleMargin
			}
		}
	}
	return cmp.Or(p.IdleTimeout, defaultIdleTimeout)
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
