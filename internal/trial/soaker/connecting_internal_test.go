package soaker

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/platform/platformtest"
)

// A client's view of a connection tells whether a request that got no response was read.
func TestUnreadRequests(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}"
	for name, newTransport := range map[string]func() http.RoundTripper{
		"ordinary": func() http.RoundTripper { return &http.Transport{DialContext: dialWatched, DisableKeepAlives: true} },
		"keeping":  func() http.RoundTripper { return &keepingTransport{conns: make(map[string]*keptConn)} },
	} {
		for _, c := range []struct {
			name   string
			serve  func(conn net.Conn)
			kept   bool // the first request is answered, the second one counts
			unread bool
		}{
			{name: "read and closed", serve: readRequest},
			{name: "closed unread", serve: func(net.Conn) { time.Sleep(50 * time.Millisecond) }, unread: true},
			{name: "closed at once", serve: func(net.Conn) {}, unread: true},
			{name: "closed before it was sent", serve: func(conn net.Conn) { readRequest(conn); _, _ = io.WriteString(conn, response) }, kept: true, unread: true},
			{name: "read on a kept connection and closed", serve: func(conn net.Conn) {
				readRequest(conn)
				_, _ = io.WriteString(conn, response)
				readRequest(conn)
			}, kept: true},
		} {
			if c.kept && name == "ordinary" {
				continue // it heeds Connection: close
			}
			t.Run(name+", "+c.name, func(t *testing.T) {
				ln, err := net.Listen("tcp", platformtest.NewAddress())
				assert.NilError(t, err)
				defer ln.Close()
				go func() {
					conn, err := ln.Accept()
					if err != nil {
						return // the test has failed
					}
					c.serve(conn)
					_ = conn.Close()
				}()
				client := &http.Client{Transport: newTransport()}
				send := func() (platformtest.Response, Transfer) {
					var trace transferTrace
					resp := platformtest.Send(trace.withTrace(t.Context()), client, ln.Addr().String(), platformtest.Request{ID: "a", Path: "/", Timeout: time.Second})
					return resp, trace.result(resp.Err)
				}
				if c.kept {
					resp, _ := send()
					assert.Equal(t, resp.Status, http.StatusOK)
					time.Sleep(50 * time.Millisecond)
				}
				resp, transfer := send()
				assert.Assert(t, resp.Err != nil)
				assert.Equal(t, transfer.Kept, c.kept)
				unread := transfer.Unread || transfer.SentAt.IsZero() // it isn't sent if the close comes first
				assert.Equal(t, unread, c.unread, "%+v, %v", transfer, resp.Err)
				assert.Assert(t, !transfer.Responding && !transfer.GaveUp && !transfer.Refused)
			})
		}
	}
}

// readRequest reads a whole request.
func readRequest(conn net.Conn) {
	buf := make([]byte, 4096)
	_, _ = conn.Read(buf) // it comes in one piece on loopback
}
