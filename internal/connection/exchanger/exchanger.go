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
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
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
	// maxStrayResponses is how many responses to earlier requests are discarded on one
	// connection before it is given up.
	maxStrayResponses = 4
	// maxStrayBytes bounds the body of a response to an earlier request.
	maxStrayBytes = 1 << 20
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
