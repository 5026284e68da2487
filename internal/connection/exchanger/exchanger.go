// Package exchanger sends HTTP/1.1 requests to targets and reads their answers.
//
// Unlike a general client it never repeats a request by itself, says whether
// anything was sent, and never gives a connection back that could carry bytes
// of another answer.
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
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Errors of an exchange.
var (
	// ErrNotSent is returned when no byte of the request has left.
	ErrNotSent = errors.New("the request was not sent")
	// ErrBroken is returned when the connection failed after a byte has left;
	// the request may have run.
	ErrBroken = errors.New("the connection to the target broke")
	// ErrTruncated is returned by reads of a body that ended too early.
	ErrTruncated = errors.New("the answer ended too early")
)

const (
	// idleSlack is how long before the target's idle timeout a connection is given up.
	idleSlack = time.Second
	// defaultIdle is how long a connection is kept if the target states no timeout.
	defaultIdle = 4 * time.Second
	// keepAliveProbe finds silent connections; the target's host answers it, so a
	// busy target doesn't fail it.
	keepAliveProbe = time.Second
	// sendTimeout is TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged.
	sendTimeout = 2 * time.Second
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
	tcpUserTimeout = 18 // from linux/tcp.h; package syscall lacks it
)

// Request is what is sent; the body is whole.
type Request struct {
	Method string
	// URI is the request target as the client sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody asks for a Content-Length even for an empty body.
	HasBody bool
	// Matches reports whether an answer belongs to the request; others, which a
	// target sent late, are read and dropped.
	Matches func(status int, h http.Header) bool
	// NewConnection asks for a new connection: one that was idle may be stale, and a
	// request that may run only once can't be sent again.
	NewConnection bool
}

// Response is an answer whose body is read by Read.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if it isn't known.
	Length int64

	pool    *Pool
	address string
	conn    *conn
	body    io.ReadCloser
	stop    func() bool
	closes  bool
	done    bool
}

// conn is one connection to a target.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	limited *io.LimitedReader
	until   time.Time // when it is too old to be used again
}

// Pool keeps idle connections by address.
//
// Exported fields are set before the first Exchange.
type Pool struct {
	DialTimeout time.Duration
	// MaxIdle is how many idle connections are kept for each address.
	MaxIdle int

	mu   sync.Mutex // guards idle
	idle map[string][]*conn
}

// Exchange sends a request and reads the head of its answer; the end of ctx
// closes the connection.
func (p *Pool) Exchange(ctx context.Context, address string, req Request) (*Response, error) {
	c, err := p.take(ctx, address, req.NewConnection)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	if n, err := c.Write(encode(req)); err != nil {
		stop()
		_ = c.Close()
		if n == 0 {
			return nil, errors.Wrap(ErrNotSent, err.Error())
		}
		return nil, errors.Wrap(ErrBroken, err.Error())
	}
	resp, err := readOwn(c, req) //nolint:bodyclose // Response.Close ends it with its connection
	if err != nil {
		stop()
		_ = c.Close()
		return nil, errors.Wrap(ErrBroken, err.Error())
	}
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, pool: p, address: address,
		conn: c, body: resp.Body, stop: stop, closes: resp.Close || (resp.ContentLength < 0 && len(resp.TransferEncoding) == 0),
	}, nil
}

// Read reads the body; io.EOF is returned only at its true end.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	switch {
	case err == io.EOF:
		r.done = true
	case err != nil:
		err = errors.Wrap(ErrTruncated, err.Error())
	}
	return n, err
}

// Close gives the connection back if the answer was read to its end, and
// closes it otherwise.
func (r *Response) Close() {
	alive := r.stop()
	if !r.done || !alive || r.closes || r.conn.reader.Buffered() > 0 {
		_ = r.conn.Close()
		return
	}
	r.pool.put(r.address, r.conn, idleTime(r.Header))
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

// take returns a checked idle connection or a new one.
func (p *Pool) take(ctx context.Context, address string, fresh bool) (*conn, error) {
	for !fresh {
		c := p.pop(address)
		if c == nil {
			break
		}
		if time.Now().Before(c.until) && quiet(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
	dialer := net.Dialer{Timeout: p.DialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveProbe, Interval: keepAliveProbe, Count: 2,
	}, Control: setUserTimeout}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	limited := &io.LimitedReader{R: nc}
	return &conn{Conn: nc, limited: limited, reader: bufio.NewReaderSize(limited, 4<<10)}, nil
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
	c.until = time.Now().Add(idle)
	p.idle[address] = append(p.idle[address], c)
}

// idleTime returns how long a connection may be kept by the target's word.
func idleTime(h http.Header) time.Duration {
	for _, f := range strings.Split(h.Get("Keep-Alive"), ",") {
		if s, ok := strings.CutPrefix(strings.TrimSpace(f), "timeout="); ok {
			if n, err := strconv.Atoi(s); err == nil {
				return time.Duration(n)*time.Second - idleSlack
			}
		}
	}
	return defaultIdle
}

// quiet reports whether an idle connection is open and carries no unasked bytes.
func quiet(c net.Conn) bool {
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
	var set error
	err := raw.Control(func(fd uintptr) {
		set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(sendTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}

// encode returns the bytes of a request.
func encode(req Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(req.Body))
	b.WriteString(req.Method + " " + req.URI + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	_ = req.Header.WriteSubset(&b, map[string]bool{"Host": true, "Content-Length": true}) // a Buffer never fails
	if req.HasBody || len(req.Body) > 0 {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(req.Body)
	return b.Bytes()
}

// maxStray is how many answers to earlier requests are dropped on one connection.
const maxStray = 4

// readOwn reads the head of the answer that belongs to the request.
func readOwn(c *conn, req Request) (*http.Response, error) {
	for range maxStray {
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
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("only answers to other requests came")
}

// readHead reads the head of the answer, past interim answers.
func readHead(c *conn, method string) (*http.Response, error) {
	for {
		c.limited.N = maxHeaderBytes
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 200 {
			c.limited.N = 1 << 62
			return resp, nil
		}
	}
}
