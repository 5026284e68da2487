package agent

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/process/storer"
	"github.com/egretroute/egretroute/internal/request/suspecter"
)

// serveConnections starts a target that serves and closes each of its connections and returns its URL.
func serveConnections(t *testing.T, serve func(conn *net.TCPConn)) (url string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for conn, err := ln.Accept(); err == nil; conn, err = ln.Accept() {
			go func() {
				defer conn.Close()
				serve(conn.(*net.TCPConn))
			}()
		}
	}()
	return "http://" + ln.Addr().String()
}

// serveResponse starts a target that sends the same bytes for each request.
func serveResponse(t *testing.T, response string) (url string) {
	t.Helper()
	return serveConnections(t, func(conn *net.TCPConn) {
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(conn, response)
	})
}

// headSink is a recordingSink that keeps the status too.
type headSink struct {
	recordingSink
	status int
}

func (s *headSink) Head(status int, _ string) error {
	s.status = status
	return nil
}

// TestMalformedResponseIsNotPassedOn runs the cases of testdata/heads.txt. The request has run; nothing but a whole
// body may follow a head that was passed on.
func TestMalformedResponseIsNotPassedOn(t *testing.T) {
	text, err := os.ReadFile("testdata/heads.txt")
	assert.NilError(t, err)
	for _, paragraph := range strings.Split(string(text), "\n\n")[1:] {
		name, quoted, ok := strings.Cut(strings.TrimSpace(paragraph), "\nsend: ")
		assert.Assert(t, ok, paragraph)
		response, err := strconv.Unquote(quoted)
		assert.NilError(t, err, name)
		for kind, newBackend := range map[string]func(url, name string) Backend{"service": NewService, "engine": NewEngine} {
			t.Run(kind+": "+name, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				sink := &headSink{}
				run := &framer.Run{Method: http.MethodPost, Path: "/", Body: []byte("{}")}
				_, err := newBackend(serveResponse(t, response), "orders").Execute(ctx, run, sink)
				assert.Assert(t, err != nil, "status %d and %q were passed on", sink.status, sink.body.String())
				assert.Assert(t, !errors.Is(err, ErrNotReached), "the request counts as not sent: %v", err)
				assert.Equal(t, sink.body.Len(), 0)
				assert.Assert(t, sink.status == 0 || sink.status == http.StatusOK, sink.status)
			})
		}
	}
}

// TestMalformedProbe checks that a target whose answer to a probe is none counts as one that doesn't respond.
func TestMalformedProbe(t *testing.T) {
	for response, want := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":                  true,
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n": true,
		"HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n":             false,
		"HTTP/1.1 200 OK\r\nX Note: a\r\nContent-Length: 0\r\n\r\n":     false,
	} {
		url := serveResponse(t, response)
		assert.Equal(t, NewService(url, "orders").Probe(t.Context()), want, response)
		assert.Equal(t, NewEngine(url, "m").Probe(t.Context()), want, response)
	}
}

// TestMalformedResponseIsNoCrash runs a request at targets whose responses are malformed. It has run and failed, but it
// must not count as one that crashes targets, which later ones with the same contents would be refused for.
func TestMalformedResponseIsNoCrash(t *testing.T) {
	for name, response := range map[string]string{
		"status 000":                "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n",
		"blank in a name":           "HTTP/1.1 200 OK\r\nX Note: a\r\nContent-Length: 2\r\n\r\n{}",
		"blank in a trailer's name": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Note: a\r\n\r\n",
	} {
		for kind, newBackend := range map[string]func(url, name string) Backend{"service": NewService, "engine": NewEngine} {
			t.Run(kind+": "+name, func(t *testing.T) {
				a, address := startAgentOf(t, newBackend(serveResponse(t, response), "orders"), storer.NewMemory())
				for attempt := range uint64(3) {
					_, stream := sendRun(t, address, &framer.Run{Attempt: attempt, Body: []byte("{}"), Digest: "d"})
					end := receiveResponse(t, stream).end
					assert.Equal(t, end.Outcome, framer.OutcomeFailedAfterStart)
					assert.Equal(t, end.Reason, ReasonFailed)
					assert.Equal(t, len(end.Crashes), 0)
				}
				assert.Equal(t, a.Suspects.Verdict("d"), suspecter.Innocent)
			})
		}
	}
}
