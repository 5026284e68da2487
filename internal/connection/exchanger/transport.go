package exchanger

import (
	"cmp"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Transport is an http.RoundTripper that reads responses as Exchange does. Like that of net/http it sends a request
// again if an idle connection has ended without an answer, and nothing was sent or the method is idempotent. Exported
// fields are set before the first request.
type Transport struct {
	Pool *Pool
	// Secure is the pool for URLs whose scheme is https; its TLS is set.
	Secure *Pool
}

// transportIdleTimeout is how long a Transport's connections may stay idle if a response doesn't say.
const transportIdleTimeout = 90 * time.Second

// NewClient returns an http.Client with a Transport that keeps up to maxIdle idle connections for each address; 0 opens
// one for each request.
func NewClient(dialer *net.Dialer, maxIdle int) *http.Client {
	newPool := func(cfg *tls.Config) *Pool {
		return &Pool{Dialer: dialer, TLS: cfg, MaxIdle: maxIdle, IdleTimeout: transportIdleTimeout}
	}
	return &http.Client{Transport: &Transport{Pool: newPool(nil), Secure: newPool(&tls.Config{})}}
}

// CloseIdleConnections implements the interface that http.Client.CloseIdleConnections looks for.
func (t *Transport) CloseIdleConnections() {
	t.Pool.CloseIdleConnections()
	t.Secure.CloseIdleConnections()
}

// RoundTrip implements http.RoundTripper. Errors wrap those of Exchange, and that of the request's context if it has
// ended.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.exchange(r)
	body := responseBody{Response: resp, request: r}
	if errors.Is(err, ErrNotSent) && r.Response != nil {
		err = errors.Wrapf(ErrBroken, "after a redirection: %v", err) // the request before it was sent
	}
	if err != nil {
		body.closeRequest()
		if ctxErr := r.Context().Err(); ctxErr != nil {
			return nil, fmt.Errorf("%w: %w", ctxErr, err)
		}
		return nil, err
	}
	return &http.Response{
		Status: fmt.Sprintf("%d %s", resp.Status, http.StatusText(resp.Status)), StatusCode: resp.Status,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: resp.Header, ContentLength: resp.Length,
		Close: resp.closesConn, Body: body, Request: r,
	}, nil
}

// exchange sends a request, and again on a new connection if an idle one was of no use.
func (t *Transport) exchange(r *http.Request) (*Response, error) {
	pool, port := t.Pool, "80"
	switch r.URL.Scheme {
	case "http":
	case "https":
		pool, port = t.Secure, "443"
	default:
		return nil, errors.Wrapf(ErrNotSent, "the scheme %q is not supported", r.URL.Scheme)
	}
	req, err := newRequest(r, pool.MaxIdle == 0)
	if err != nil {
		return nil, err
	}
	address := net.JoinHostPort(r.URL.Hostname(), cmp.Or(r.URL.Port(), port))
	resp, err := pool.Exchange(r.Context(), address, req)
	if errors.Is(err, errUnanswered) && (errors.Is(err, ErrNotSent) || repeatable(r)) && r.Context().Err() == nil {
		req.NewConnection = true
		return pool.Exchange(r.Context(), address, req)
	}
	return resp, err
}

// newRequest converts a request, which may ask for the close of its connection. A short body is read, to be sent with
// the head.
func newRequest(r *http.Request, closes bool) (Request, error) {
	req := Request{Method: r.Method, URI: r.URL.RequestURI(), Host: cmp.Or(r.Host, r.URL.Host), Header: r.Header}
	if closes || r.Close {
		req.Header = r.Header.Clone()
		req.Header.Set("Connection", "close")
	}
	if r.Body == nil || r.Body == http.NoBody {
		req.HasBody = r.Method != http.MethodGet && r.Method != http.MethodHead
		return req, nil
	}
	if r.ContentLength > maxCopiedBytes {
		req.Upload, req.UploadLength = r.Body, r.ContentLength
		return req, nil
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return Request{}, errors.Wrapf(ErrNotSent, "read the request's body: %v", err)
	}
	req.Body, req.HasBody = body, true
	return req, nil
}

// repeatable reports whether a request may be sent again after it may have run.
func repeatable(r *http.Request) bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return r.Body == nil || r.Body == http.NoBody
	}
	return false
}

// responseBody is the body of a Response as net/http's client reads it.
type responseBody struct {
	*Response
	request *http.Request
}

// Close implements io.Closer. The request's body may be in use until then.
func (b responseBody) Close() error {
	b.Response.Close()
	b.closeRequest()
	return nil
}

func (b responseBody) closeRequest() {
	if b.request.Body != nil {
		_ = b.request.Body.Close()
	}
}
