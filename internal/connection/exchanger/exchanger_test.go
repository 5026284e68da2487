package exchanger_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/connection/exchanger"
)

// TestAnswers runs the cases of testdata/answers.txt. Each case lists the bytes that a
// target writes for two consecutive requests, how each request must end, and, if given,
// how many connections were opened.
func TestAnswers(t *testing.T) {
	text, err := os.ReadFile("testdata/answers.txt")
	assert.NilError(t, err)
	unescaped := strings.NewReplacer(`\t`, "\t", `\c`, "\x01").Replace(string(text))
	for _, block := range strings.Split(unescaped, "\n=== ")[1:] {
		title, rest, _ := strings.Cut(block, "\n")
		rawResponses, expected, _ := strings.Cut(rest, "--- ")
		t.Run(title, func(t *testing.T) {
			responses := strings.Split(strings.ReplaceAll(strings.TrimSuffix(rawResponses, "\n"), "\n", "\r\n"), "\r\n~~~\r\n")
			address, connections := startTarget(t, responses)
			pool := &exchanger.Pool{DialTimeout: time.Second, MaxIdle: 2}
			var got []string
			for _, id := range []string{"a", "b"} {
				got = append(got, exchange(pool, address, id))
			}
			assert.Equal(t, strings.Join(got, "; "), strings.TrimSpace(strings.SplitN(expected, " connections ", 2)[0]))
			if _, n, ok := strings.Cut(expected, " connections "); ok {
				assert.Equal(t, len(connections), int(n[0]-'0'))
			}
		})
	}
}

// startTarget starts a server that writes the next response for each request, on
// whichever connection it arrives. After a response that ends with <reset> or <close>
// the server resets or closes the connection.
func startTarget(t *testing.T, responses []string) (address string, connections chan struct{}) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	connections = make(chan struct{}, 10)
	next := make(chan string, len(responses))
	for _, response := range responses {
		next <- response
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			connections <- struct{}{}
			go serve(conn, next)
		}
	}()
	return ln.Addr().String(), connections
}

func serve(conn net.Conn, next chan string) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		select {
		case response := <-next:
			response, reset := strings.CutSuffix(response, "<reset>")
			response, closes := strings.CutSuffix(response, "<close>")
			_, _ = io.WriteString(conn, response)
			time.Sleep(20 * time.Millisecond)
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			if reset || closes {
				return
			}
		default:
			return
		}
	}
}

func exchange(pool *exchanger.Pool, address, id string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	resp, err := pool.Exchange(ctx, address, exchanger.Request{
		Method: "GET", URI: "/", Host: "h", Header: http.Header{"Id": {id}},
		Matches: func(_ int, h http.Header) bool { return h.Get("Id") == "" || h.Get("Id") == id },
	})
	if err != nil {
		return errorText(err)
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	time.Sleep(40 * time.Millisecond)
	if err != nil {
		return errorText(err)
	}
	return string(body)
}

func errorText(err error) string {
	for _, sentinel := range []error{exchanger.ErrNotSent, exchanger.ErrBroken, exchanger.ErrTruncated} {
		if errors.Is(err, sentinel) {
			return sentinel.Error()
		}
	}
	return err.Error()
}

// TestConnectionRefused checks that a failed dial is reported as ErrNotSent.
func TestConnectionRefused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, ln.Close())
	pool := &exchanger.Pool{DialTimeout: time.Second, MaxIdle: 2}
	assert.Equal(t, exchange(pool, ln.Addr().String(), "a"), exchanger.ErrNotSent.Error())
}

// TestProbeTellsAnEndedProcessFromABrokenConnection probes addresses whose server has
// ended, ends a little later than its connections, or still runs.
func TestProbeTellsAnEndedProcessFromABrokenConnection(t *testing.T) {
	const maxDials = 3
	for _, tt := range []struct {
		name string
		// closeAfter is the number of accepted connections after which the listener closes; a
		// negative value means never.
		closeAfter int64
		// accepted handles accepted connections; nil leaves them in the backlog.
		accepted func(net.Conn)
		want     exchanger.Probe
	}{
		{"ended", 0, nil, exchanger.ProbeRefused},
		{"ends while it closes its connections", 2, func(c net.Conn) { _ = c.Close() }, exchanger.ProbeRefused},
		{"runs", -1, func(net.Conn) {}, exchanger.ProbeOpen},
		{"is frozen", -1, nil, exchanger.ProbeOpen},
		{"resets every connection", -1, func(c net.Conn) {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}, exchanger.ProbeUnknown},
	} {
		t.Run(tt.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer ln.Close()
			if tt.closeAfter == 0 {
				assert.NilError(t, ln.Close())
			}
			var accepted atomic.Int64
			if tt.accepted != nil {
				go func() {
					for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
						if accepted.Add(1) == tt.closeAfter {
							_ = ln.Close()
						}
						tt.accepted(c)
					}
				}()
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			pool := &exchanger.Pool{DialTimeout: time.Second, MaxIdle: 1}
			assert.Equal(t, pool.Probe(ctx, ln.Addr().String()), tt.want)
			assert.Assert(t, accepted.Load() <= maxDials, "dialed %d times", accepted.Load())
		})
	}
}
