package router_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/process/agent"
	"github.com/egretroute/egretroute/internal/process/storer"
	"github.com/egretroute/egretroute/internal/request/claimer"
	"github.com/egretroute/egretroute/internal/request/queuer"
	"github.com/egretroute/egretroute/internal/request/suspecter"
	"github.com/egretroute/egretroute/internal/version/declarer"
	"github.com/egretroute/egretroute/internal/version/follower"
	"github.com/egretroute/egretroute/internal/version/patcher"
)

// startUploadFleet runs a router and an agent whose target answers each request before it has read its body and then
// resets the connection; answer returns the bytes that it sends for a request to a path.
func startUploadFleet(t *testing.T, answer func(path string) string) (url string) {
	target := listenLoopback(t)
	go func() {
		for conn, err := target.Accept(); err == nil; conn, err = target.Accept() {
			go func() {
				defer conn.Close()
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, answer(req.URL.Path))
				time.Sleep(5 * time.Millisecond) // a reset may discard bytes that were not read
				_ = conn.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	table := storer.NewMemory()
	agents := listenLoopback(t)
	a := &agent.Agent{
		Target: "upload-1", Incarnation: "upload-1@1", Secret: []byte(testSecret), Backend: agent.NewService("http://"+target.Addr().String(), "uploads"),
		Queue: queuer.New(4), Claims: &claimer.Claimer{Table: table}, Follower: &follower.Follower{}, Suspects: suspecter.New(time.Now),
		Log: slog.New(slog.DiscardHandler), Metrics: agent.NewMetrics(prometheus.NewRegistry()),
	}
	a.UseSlots()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx, agents, time.Second) }()
	t.Cleanup(func() {
		cancel()
		assert.Check(t, <-done == nil)
	})
	_, err := (&patcher.Patcher{Table: table}).Apply(t.Context(), &declarer.Fleet{
		Organisations: []declarer.Organisation{{Name: "alpha", KeyHash: declarer.HashKey("key"), Budget: 1_000_000, Weight: 1}},
		Services:      []declarer.Service{{Name: "uploads", NonIdempotent: []string{http.MethodPost}}},
		Targets:       []declarer.Target{{Name: "upload-1", Serves: "uploads", Agent: agents.Addr().String(), Domain: "d", Capacity: 4}},
	}, "first")
	assert.NilError(t, err)
	url, stop := startRouterOn(t, table, 1)
	t.Cleanup(stop)
	return url
}

// pacedReader returns a body that comes in pieces with a pause before each.
func pacedReader(body string, piece int, pause time.Duration) io.Reader {
	r, w := io.Pipe()
	go func() {
		defer func() { _ = w.Close() }()
		for body != "" {
			time.Sleep(pause)
			n := min(piece, len(body))
			if _, err := io.WriteString(w, body[:n]); err != nil {
				return
			}
			body = body[n:]
		}
	}()
	return r
}

// TestPartAnswersAnUnfinishedUpload sends uploads through a router and an agent to a target that resets them. It guards
// against a part of a response without a length, and a status of 000, that the client gets as a complete response.
func TestPartAnswersAnUnfinishedUpload(t *testing.T) {
	const repeats = 10
	for _, tt := range []struct {
		status       string
		bytes, piece int
		pause        time.Duration
		method       string
	}{
		{status: "200 OK", bytes: 1 << 10, piece: 1 << 10, method: http.MethodPost},
		{status: "200 OK", bytes: 1 << 20, piece: 1 << 20, method: http.MethodPost},
		{status: "200 OK", bytes: 4<<20 - 1, piece: 4 << 20, method: http.MethodPost},
		{status: "200 OK", bytes: 4<<20 - 1, piece: 4 << 20, method: http.MethodPut},
		{status: "200 OK", bytes: 4<<20 - 1, piece: 512 << 10, pause: 5 * time.Millisecond, method: http.MethodPut},
		{status: "000", bytes: 1 << 10, piece: 1 << 10, method: http.MethodPost},
		{status: "000 OK", bytes: 4<<20 - 1, piece: 512 << 10, pause: 5 * time.Millisecond, method: http.MethodPut},
	} {
		t.Run(fmt.Sprintf("%s, %s %d bytes in pieces of %d", tt.status, tt.method, tt.bytes, tt.piece), func(t *testing.T) {
			var arrived sync.Map // paths
			url := startUploadFleet(t, func(path string) string {
				arrived.Store(path, true)
				return "HTTP/1.1 " + tt.status + "\r\nContent-Type: text/plain\r\n\r\npart"
			})
			sent := 0
			for n := range repeats {
				content := t.Name() + fmt.Sprint(n) // the same contents would be refused, as they crash their target
				content += strings.Repeat("b", tt.bytes-len(content))
				path := fmt.Sprintf("/%d", n)
				req, err := http.NewRequestWithContext(t.Context(), tt.method, url+"/services/uploads"+path, pacedReader(content, tt.piece, tt.pause))
				assert.NilError(t, err)
				req.ContentLength = int64(len(content))
				req.Header.Set("Authorization", "Bearer key")
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					continue // it was broken off
				}
				body, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				outcome := resp.Header.Get("Egretroute-Outcome") + resp.Trailer.Get("Egretroute-Outcome")
				assert.Assert(t, err != nil || (resp.StatusCode >= 500 && outcome != "answered"), "upload %d: status %d, %s, %q", n, resp.StatusCode, outcome, body)
				_, ran := arrived.Load(path)
				assert.Assert(t, outcome != "not-run" || !ran, "upload %d: the client was told that the request has not run: %s", n, body)
				if ran {
					sent++
				}
			}
			assert.Assert(t, sent > 0)
		})
	}
}
