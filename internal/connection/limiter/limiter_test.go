package limiter_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/connection/limiter"
)

// TestDecide runs the cases of testdata/decisions.txt.
func TestDecide(t *testing.T) {
	f, err := os.Open("testdata/decisions.txt")
	assert.NilError(t, err)
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "#") {
			continue
		}
		var open, idle, limit, closed int
		var level string
		_, err := fmt.Sscanf(lines.Text(), "%d %d %d = %s %d", &open, &idle, &limit, &level, &closed)
		assert.NilError(t, err, lines.Text())
		d := limiter.Decide(open, idle, limit)
		assert.Check(t, d.Level.String() == level && d.CloseIdle == closed, "%s: %s %d", lines.Text(), d.Level, d.CloseIdle)
	}
}

// TestIdleConnectionsMakeRoom opens ten times as many connections as the bound allows and keeps
// each open after its response. Every request must be answered, the number of open connections
// must stay within the bound, and the newest must survive.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	l := &limiter.Limiter{Max: 20}
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if l.Level() == limiter.Full {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	srv.Config.ConnState = l.ConnState
	srv.Start()
	defer srv.Close()
	var conns []net.Conn
	for n := range 200 {
		c, err := net.Dial("tcp", srv.Listener.Addr().String())
		assert.NilError(t, err)
		defer c.Close()
		conns = append(conns, c)
		assert.Equal(t, get(t, c), http.StatusOK, "request %d", n)
		assert.Assert(t, l.Open() <= l.Max, "%d connections are open", l.Open())
	}
	assert.Equal(t, get(t, conns[len(conns)-1]), http.StatusOK)
	assert.NilError(t, conns[0].SetReadDeadline(time.Now().Add(time.Second)))
	_, err := conns[0].Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

func get(t *testing.T, c net.Conn) int {
	t.Helper()
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	time.Sleep(time.Millisecond) // until the server counts the connection as idle
	return resp.StatusCode
}
