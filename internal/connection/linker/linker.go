// Package linker connects the processes of the fleet by authenticated yamux sessions over
// TCP, with one stream for each call or run.
//
// # Usage
//
//	srv := &linker.Server{Secret: secret, Self: self, Handler: handler}
//	go srv.Serve(listener)
//
//	link, err := linker.Dial(ctx, "127.0.0.1:19001", secret, self)
//	pong, err := linker.Call[*framer.Pong](ctx, link, &framer.Ping{})
package linker

import (
	"cmp"
	"container/list"
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/process/timekeeper"
)

const (
	handshakeTimeout = 2 * time.Second
	maxConnections   = 1024
	// defaultMaxPending is the bound of connections before the end of their handshake, and
	// refusalInterval the least time between two reports of a refusal.
	defaultMaxPending = 512
	refusalInterval   = time.Second
	// pendingDivisor is the part of a process's descriptors that they may take.
	pendingDivisor    = 8
	keepAliveInterval = 5 * time.Second
	writeTimeout      = 10 * time.Second
	// minAcceptBackoff and maxAcceptBackoff bound the pause after an error of Accept.
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = time.Second
)

// ErrClosed is returned for calls on a closed link.
var ErrClosed = errors.New("link is closed")

// Link is one session to a peer.
type Link struct {
	Peer Identity
	// Address is the one that was dialled.
	Address string
	session *session
}

// Dial connects to addr and performs the handshake.
func Dial(ctx context.Context, addr string, secret []byte, self Identity) (*Link, error) {
	var d net.Dialer
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	peer, err := dialHandshake(framer.NewUnbuffered(conn), secret, self)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	session, err := newSession(yamux.Client, conn)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &Link{Peer: peer, Address: addr, session: session}, nil
}

// Open starts a stream for one call or run.
func (l *Link) Open() (*Stream, error) {
	s, err := l.session.OpenStream()
	if err != nil {
		return nil, errors.Wrap(ErrClosed, err.Error())
	}
	return newStream(s, l.Peer), nil
}

// Closed reports whether the session has ended.
func (l *Link) Closed() bool {
	return l.session.IsClosed()
}

// Done returns a channel that closes when the session ends.
func (l *Link) Done() <-chan struct{} {
	return l.session.CloseChan()
}

// Close ends the session and its streams.
func (l *Link) Close() error {
	return l.session.Close()
}

// Call sends one request on a new stream and returns the reply, which must be a T.
func Call[T any](ctx context.Context, l *Link, request any) (T, error) {
	var zero T
	s, err := l.Open()
	if err != nil {
		return zero, err
	}
	defer s.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = s.conn.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { _ = s.Abort() }) // after the deadline, which would replace its own
	defer stop()
	if err := s.Write(request); err != nil {
		return zero, err
	}
	return framer.ReadAs[T](framer.New(replyConn{Stream: s.conn, reply: timekeeper.Reader(ctx, s.conn)}))
}

// replyConn reads the reply to a call.
type replyConn struct {
	*yamux.Stream
	reply io.Reader
}

// Read implements io.Reader.
func (c replyConn) Read(p []byte) (int, error) {
	return c.reply.Read(p)
}

// Stream is a yamux stream that carries framed messages.
type Stream struct {
	*framer.Framer
	Peer Identity
	conn *yamux.Stream
}

func newStream(s *yamux.Stream, peer Identity) *Stream {
	return &Stream{Framer: framer.New(pieceConn{s}), Peer: peer, conn: s}
}

// maxPiece is the most that is written to a session at a time. A stream gets nothing of what is
// written at once before it has arrived as a whole, nor do the streams beside it.
const maxPiece = 16 << 10

// pieceConn writes long messages in pieces.
type pieceConn struct {
	*yamux.Stream
}

// Write implements io.Writer.
func (c pieceConn) Write(p []byte) (n int, err error) {
	for len(p) > 0 && err == nil {
		var written int
		written, err = c.Stream.Write(p[:min(len(p), maxPiece)])
		n += written
		p = p[written:]
	}
	return n, err
}

// Close ends the stream.
func (s *Stream) Close() error {
	return s.conn.Close()
}

// Abort closes the stream and ends a read that waits for the other end, which Close leaves waiting.
func (s *Stream) Abort() error {
	err := s.conn.SetReadDeadline(time.Now())
	return cmp.Or(s.conn.Close(), err)
}

// Handler serves incoming streams; first is the first message of the stream.
type Handler interface {
	ServeStream(s *Stream, first any)
}

// Server accepts links from processes that prove that they know the fleet's secret.
type Server struct {
	Secret  []byte
	Self    Identity
	Handler Handler
	Log     *slog.Logger
	// MaxPending bounds the connections whose handshake has not ended; beyond it the oldest is closed.
	// 0 means 512.
	MaxPending int
	// OnRefused is called for a connection that fails the handshake or can't be accepted, at most once
	// in a second.
	OnRefused func(err error)

	mu       sync.Mutex // guards all below
	sessions map[*session]struct{}
	pending  list.List // of net.Conn, the oldest first
	closed   bool
	// refusedAt is when OnRefused was last called.
	refusedAt time.Time
}

// Serve accepts connections until the listener closes.
func (s *Server) Serve(ln net.Listener) error {
	backoff := minAcceptBackoff
	for {
		conn, err := ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return errors.Wrap(err, "accept")
		case err != nil: // no descriptors are left, or the connection has ended already
			s.reportRefusal(errors.Wrap(err, "accept"))
			time.Sleep(backoff)
			backoff = min(2*backoff, maxAcceptBackoff)
			continue
		}
		backoff = minAcceptBackoff
		e := s.addPending(conn)
		go s.serveConn(conn, e)
	}
}

// addPending counts a connection whose handshake begins, and closes the oldest of too many.
func (s *Server) addPending(conn net.Conn) *list.Element {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending.Len() >= cmp.Or(s.MaxPending, defaultMaxPending) {
		oldest, _ := s.pending.Remove(s.pending.Front()).(net.Conn) // only connections are put in
		_ = oldest.Close()
	}
	return s.pending.PushBack(conn)
}

func (s *Server) removePending(e *list.Element) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending.Remove(e) // does nothing if it was closed for another
}

func (s *Server) reportRefusal(err error) {
	now := time.Now()
	s.mu.Lock()
	due := s.OnRefused != nil && now.Sub(s.refusedAt) >= refusalInterval
	if due {
		s.refusedAt = now
	}
	s.mu.Unlock()
	if due {
		s.OnRefused(err)
	}
}

// MaxPending returns the bound of connections before the end of their handshake for a process that
// may open the given number of descriptors, 0 if that is unknown.
func MaxPending(descriptors int) int {
	if descriptors == 0 {
		return defaultMaxPending
	}
	return min(max(descriptors/pendingDivisor, 1), defaultMaxPending)
}

// Close ends all sessions.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for session := range s.sessions {
		_ = session.Close()
	}
}

func (s *Server) serveConn(conn net.Conn, pending *list.Element) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	peer, err := listenHandshake(framer.NewUnbuffered(conn), s.Secret, s.Self)
	s.removePending(pending)
	if err != nil {
		_ = conn.Close()
		s.reportRefusal(err)
		return
	}
	_ = conn.SetDeadline(time.Time{})
	session, err := newSession(yamux.Server, conn)
	if err != nil {
		_ = conn.Close()
		return
	}
	if !s.track(session) {
		_ = session.Close()
		return
	}
	defer s.untrack(session)
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		go s.serveStream(newStream(stream, peer))
	}
}

func (s *Server) serveStream(stream *Stream) {
	defer stream.Close()
	first, err := stream.Read()
	if err != nil {
		return
	}
	s.Handler.ServeStream(stream, first)
}

func (s *Server) track(opened *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.sessions) >= maxConnections {
		return false
	}
	if s.sessions == nil {
		s.sessions = make(map[*session]struct{})
	}
	s.sessions[opened] = struct{}{}
	return true
}

func (s *Server) untrack(opened *session) {
	_ = opened.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, opened)
}
