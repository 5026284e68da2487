package agent

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/connection/framer"
)

// streamCase is one case of testdata/streams.txt.
type streamCase struct {
	name   string
	sends  []string
	end    string
	events []string
	err    string
}

func readStreamCases(t *testing.T) []streamCase {
	file, err := os.Open("testdata/streams.txt")
	assert.NilError(t, err)
	defer file.Close()
	var cases []streamCase
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		line := lines.Text()
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		field, value, ok := strings.Cut(line, ": ")
		if !ok {
			cases = append(cases, streamCase{name: line})
			continue
		}
		c := &cases[len(cases)-1]
		switch field {
		case "send":
			text, err := strconv.Unquote(value)
			assert.NilError(t, err, line)
			c.sends = append(c.sends, text)
		case "repeat":
			count, quoted, _ := strings.Cut(value, " ")
			n, err := strconv.Atoi(count)
			assert.NilError(t, err, line)
			text, err := strconv.Unquote(quoted)
			assert.NilError(t, err, line)
			c.sends = append(c.sends, strings.Repeat(text, n))
		case "end":
			c.end = value
		case "event":
			c.events = append(c.events, value)
		case "error":
			c.err = value
		default:
			t.Fatal("unknown field: ", line)
		}
	}
	assert.NilError(t, lines.Err())
	assert.Assert(t, len(cases) > 0)
	return cases
}

// ServeHTTP implements http.Handler as an engine that streams the case's response and
// knows the usage of every attempt.
func (c *streamCase) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		_, _ = fmt.Fprint(w, `{"usage":{"prompt_tokens":1,"completion_tokens":1}}`)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	if c.end == "close" {
		c.serveUnframed(w)
		return
	}
	for _, text := range c.sends {
		_, _ = fmt.Fprint(w, text)
		w.(http.Flusher).Flush()
	}
	if c.end == "cut" {
		panic(http.ErrAbortHandler)
	}
}

// serveUnframed writes a response that ends where its connection closes.
func (c *streamCase) serveUnframed(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return // the agent's connection broke; the case fails by its events
	}
	_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
	_, _ = fmt.Fprint(conn, strings.Join(c.sends, ""))
	_ = conn.Close()
}

// recordingSink is a Sink that keeps the body.
type recordingSink struct {
	body strings.Builder
}

func (*recordingSink) Head(int, string) error { return nil }

func (s *recordingSink) Data(p []byte) error {
	_, err := s.body.Write(p)
	return err
}

// TestIncompleteEngineStreamIsNotAnswered guards against an engine's event stream that
// ends early and counts as answered, and against a part of an event that is passed on as
// a whole event.
func TestIncompleteEngineStreamIsNotAnswered(t *testing.T) {
	for _, c := range readStreamCases(t) {
		t.Run(c.name, func(t *testing.T) {
			srv := httptest.NewServer(&c)
			defer srv.Close()
			sink := &recordingSink{}
			run := &framer.Run{Method: http.MethodPost, Path: "/v1/chat/completions", Body: []byte("{}")}
			_, err := NewEngine(srv.URL, "m").Execute(context.Background(), run, sink)
			var want strings.Builder
			for _, event := range c.events {
				_, _ = fmt.Fprintf(&want, "data: %s\n\n", event)
			}
			assert.Equal(t, sink.body.String(), want.String())
			assert.Equal(t, streamError(err), c.err, "%v", err)
		})
	}
}

// streamError returns the name under which testdata/streams.txt knows an error.
func streamError(err error) string {
	switch {
	case err == nil:
		return "none"
	case errors.Is(err, errIncompleteStream):
		return "incomplete"
	case errors.Is(err, errEngineFailed):
		return "engine"
	case errors.Is(err, errNoUsage):
		return "no-usage"
	default:
		return "broken"
	}
}
