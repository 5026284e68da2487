package linker

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
)

// session is a yamux session that ends its reader before its streams.
//
// From the end of a yamux session until its reader has returned, a stream that waits for its peer's window
// checks the session again and again without a pause. On a host with a single processor that keeps the reader
// from returning until the scheduler interferes.
type session struct {
	*yamux.Session
	conn *readerConn
}

// newSession opens a session with a function of yamux over a connection.
func newSession(open func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error), conn net.Conn) (*session, error) {
	c := &readerConn{Conn: conn, readEnded: make(chan struct{})}
	y, err := open(c, sessionConfig())
	if err != nil {
		return nil, errors.Wrap(err, "open session")
	}
	s := &session{Session: y, conn: c}
	go s.keepAlive()
	return s, nil
}

// Close ends the session and its streams.
func (s *session) Close() error {
	s.conn.end()
	return s.Session.Close()
}

// keepAlive closes the session when its peer leaves a ping unanswered.
func (s *session) keepAlive() {
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.CloseChan():
			return
		case <-ticker.C:
			if _, err := s.Ping(); err != nil {
				_ = s.Close() // of a session that ends in any case
				return
			}
		}
	}
}

// readerConn is a connection that is closed and read to its end as soon as a write fails.
type readerConn struct {
	net.Conn
	endOnce   sync.Once
	readEnded chan struct{}
}

// Read implements net.Conn.
func (c *readerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.endOnce.Do(func() { close(c.readEnded) })
	}
	return n, err
}

// Write implements net.Conn.
func (c *readerConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.end()
	}
	return n, err
}

// readerTimeout bounds the wait for a reader that is held up by something else than the connection.
const readerTimeout = time.Second

// end closes the connection and waits until its reader has seen that.
func (c *readerConn) end() {
	_ = c.Close()
	select {
	case <-c.readEnded:
	case <-time.After(readerTimeout):
	}
}

// sessionConfig returns the configuration of all sessions, which keep themselves alive.
func sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.LogOutput = io.Discard
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = writeTimeout
	return cfg
}
