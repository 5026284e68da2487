package exchanger_test

import (
	"bytes"
	"context"
	"crypto/x509"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/connection/exchanger"
)

// longBody is more than the buffers of two sockets hold.
var longBody = bytes.Repeat([]byte("b"), 16<<20)

func newClient(maxIdle int) *http.Client {
	return exchanger.NewClient(&net.Dialer{}, maxIdle)
}

func post(ctx context.Context, client *http.Client, url string, body []byte) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return string(got), err
}

// TestTransportSendsAgain ends idle connections when the next request arrives on them. Only a request that may be
// repeated is sent again, and only once.
func TestTransportSendsAgain(t *testing.T) {
	for _, tt := range []struct {
		method   string
		maxIdle  int
		received int64
		ok       bool
	}{
		{http.MethodGet, 2, 3, true},
		{http.MethodPost, 2, 2, false},
		{http.MethodGet, 0, 2, false}, // on a connection of its own
	} {
		t.Run(tt.method, func(t *testing.T) {
			var received atomic.Int64
			srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				if received.Add(1) == 2 {
					panic(http.ErrAbortHandler) // closes the connection without a response
				}
			}))
			defer srv.Close()
			client := newClient(tt.maxIdle)
			send := func() error {
				req, err := http.NewRequest(tt.method, srv.URL, nil)
				assert.NilError(t, err)
				resp, err := client.Do(req)
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
				return err
			}
			assert.NilError(t, send())
			err := send()
			assert.Equal(t, err == nil, tt.ok, "%v", err)
			assert.Equal(t, received.Load(), tt.received)
			if !tt.ok {
				assert.ErrorIs(t, err, exchanger.ErrBroken)
			}
		})
	}
}

// TestTransportReadsWhileItWrites sends long bodies to targets that answer before they have read them.
func TestTransportReadsWhileItWrites(t *testing.T) {
	for name, tt := range map[string]struct {
		serve http.HandlerFunc
		want  int
	}{
		"an answer to the head": {func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			_, _ = io.WriteString(w, "too large")
		}, len("too large")},
		"an answer as long as the body": {func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).EnableFullDuplex()
			w.Header().Set("Content-Type", "text/plain")
			_, _ = io.Copy(w, r.Body)
		}, len(longBody)},
		"an answer to the whole body": {func(w http.ResponseWriter, r *http.Request) {
			n, _ := io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(w, strings.Repeat("r", int(n)))
		}, len(longBody)},
	} {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(tt.serve)
			defer srv.Close()
			client := newClient(2)
			for range 2 { // the second one must not find bytes of the first one
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				got, err := post(ctx, client, srv.URL, longBody)
				cancel()
				assert.NilError(t, err)
				assert.Equal(t, len(got), tt.want)
			}
		})
	}
}

// TestEndOfBodyWithoutLength closes connections after a body without a length. It is complete only if the target has
// read the request.
func TestEndOfBodyWithoutLength(t *testing.T) {
	for name, tt := range map[string]struct {
		reads bool
		reset bool
		ok    bool
	}{
		"a close after the request":            {true, false, true},
		"a reset after the request":            {true, true, false},
		"a close while the request is written": {false, false, false},
		"a reset while the request is written": {false, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if tt.reads {
					_, _ = io.Copy(io.Discard, r.Body)
				}
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
				time.Sleep(5 * time.Millisecond) // a reset may discard bytes that were not read
				if tt.reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				} else {
					_ = conn.(*net.TCPConn).CloseWrite()
					time.Sleep(5 * time.Millisecond)
				}
			}))
			defer srv.Close()
			client := newClient(2)
			for range 20 {
				got, err := post(t.Context(), client, srv.URL, longBody)
				assert.Equal(t, err == nil, tt.ok, "%q: %v", got, err)
			}
		})
	}
}

// TestTransportEndsWithItsContext cancels requests whose target neither reads nor answers.
func TestTransportEndsWithItsContext(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	for _, body := range [][]byte{nil, longBody} {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		_, err := post(ctx, newClient(2), "http://"+ln.Addr().String(), body)
		cancel()
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Assert(t, !errors.Is(err, exchanger.ErrNotSent))
	}
}

// TestTransportUsesTLS sends requests to a target with a certificate, which counts as one that wasn't reached unless the
// certificate is known.
func TestTransportUsesTLS(t *testing.T) {
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	srv.Config.ErrorLog = log.New(io.Discard, "", 0)
	srv.StartTLS()
	defer srv.Close()
	_, err := post(t.Context(), newClient(2), srv.URL, []byte("text"))
	assert.ErrorIs(t, err, exchanger.ErrNotSent)
	client := newClient(2)
	roots := x509.NewCertPool()
	roots.AddCert(srv.Certificate())
	client.Transport.(*exchanger.Transport).Secure.TLS.RootCAs = roots
	for range 2 {
		got, err := post(t.Context(), client, srv.URL, []byte("text"))
		assert.NilError(t, err)
		assert.Equal(t, got, "text")
	}
	_, err = post(t.Context(), client, "ftp"+strings.TrimPrefix(srv.URL, "https"), nil)
	assert.ErrorIs(t, err, exchanger.ErrNotSent)
}
