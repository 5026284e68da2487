package exchanger_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/connection/exchanger"
)

// TestAnswers reads testdata/answers.txt: what a target writes to two requests on
// one connection if the caller keeps it, and how each must end.
func TestAnswers(t *testing.T) {
	text, err := os.ReadFile("testdata/answers.txt")
	assert.NilError(t, err)
	for _, block := range strings.Split(string(text), "\n=== ")[1:] {
		title, rest, _ := strings.Cut(block, "\n")
		written, expected, _ := strings.Cut(rest, "--- ")
		t.Run(title, func(t *testing.T) {
			answers := strings.Split(strings.ReplaceAll(strings.TrimSuffix(written, "\n"), "\n", "\r\n"), "\r\n~~~\r\n")
			address, connections := target(t, answers)
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

// target writes one answer to each request that it reads, whatever the
// connection; an answer that ends with <reset> or <close> ends the connection.
func target(t *testing.T, answers []string) (address string, connections chan struct{}) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	connections = make(chan struct{}, 10)
	next := make(chan string, len(answers))
	for _, a := range answers {
		next <- a
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
		case answer := <-next:
			answer, reset := strings.CutSuffix(answer, "<reset>")
			answer, ends := strings.CutSuffix(answer, "<close>")
			_, _ = io.WriteString(conn, answer)
			time.Sleep(20 * time.Millisecond)
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			if reset || ends {
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
		return kind(err)
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	time.Sleep(40 * time.Millisecond)
	if err != nil {
		return kind(err)
	}
	return string(body)
}

func kind(err error) string {
	for _, known := range []error{exchanger.ErrNotSent, exchanger.ErrBroken, exchanger.ErrTruncated} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	return err.Error()
}

// TestNothingListens says that nothing was sent.
func TestNothingListens(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, ln.Close())
	pool := &exchanger.Pool{DialTimeout: time.Second, MaxIdle: 2}
	assert.Equal(t, exchange(pool, ln.Addr().String(), "a"), exchanger.ErrNotSent.Error())
}
