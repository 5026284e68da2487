package exchanger

import (
	"bufio"
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// idleMargin is how long before the target's idle timeout a connection expires.
	idleMargin = time.Second
	// sweepInterval is how often idle connections are checked.
	sweepInterval = time.Second
	// defaultIdleTimeout applies if neither the response nor the pool has a timeout.
	defaultIdleTimeout = 4 * time.Second
	readBufferBytes    = 4 << 10
	// keepAliveInterval is the time between TCP keep-alive probes, which detect dead
	// connections. The target's host acknowledges them, so they don't fail because the
	// target is busy.
	keepAliveInterval = time.Second
	// unackedTimeout is TCP_USER_TIMEOUT: how long sent bytes may stay unacknowledged.
	unackedTimeout = 2 * time.Second
	tcpUserTimeout = 18 // from linux/tcp.h; package syscall lacks it
)

// Pool sends requests and keeps idle connections by address. Exported fields are set
// before the first call.
type Pool struct {
	DialTimeout time.Duration
	// Dialer opens connections, if set, in place of one that has DialTimeout and detects within seconds that the
	// target's host is gone.
	Dialer *net.Dialer
	// TLS, if set, is the configuration of the connections.
	TLS *tls.Config
	// MaxIdle is the maximum number of idle connections for each address.
	MaxIdle int
	// IdleTimeout is how long a connection may stay idle if the response has no Keep-Alive timeout; 0 means 4 s.
	IdleTimeout time.Duration

	mu       sync.Mutex // guards the fields below
	idle     map[string][]*conn
	sweeping bool // sweepLater is going to be called
}

// conn is one connection to a target.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	expiresAt time.Time // the connection is not reused after this time
	reused    bool
	answered  bool // a byte has arrived since the last request
}

// CloseIdle closes idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	conns := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// CloseIdleConnections closes all idle connections.
func (p *Pool) CloseIdleConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		for _, c := range conns {
			_ = c.Close()
		}
	}
	clear(p.idle)
}

// sweepLater closes idle connections that have expired, that the target has closed or that have received bytes which
// nobody asked for, each second as long as there are idle ones. Otherwise they would hold descriptors until the next
// request to their address, which never comes if the target has left.
func (p *Pool) sweepLater() {
	time.AfterFunc(sweepInterval, func() {
		if p.sweep(time.Now()) {
			p.sweepLater()
		}
	})
}

// sweep checks the idle connections once and reports whether some are left.
func (p *Pool) sweep(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if c.usable(now) {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		clear(conns[len(kept):])
		if p.idle[address] = kept; len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.sweeping = len(p.idle) > 0
	return p.sweeping
}

// usable reports whether an idle connection may be used for another request.
func (c *conn) usable(now time.Time) bool {
	return now.Before(c.expiresAt) && c.reader.Buffered() == 0 && reusable(c.Conn)
}

// take returns an idle connection that passed the check, or a new one.
func (p *Pool) take(ctx context.Context, address string, newConnection bool) (*conn, error) {
	for !newConnection {
		c := p.pop(address)
		if c == nil {
			break
		}
		if c.usable(time.Now()) {
			c.reused, c.answered = true, false
			return c, nil
		}
		_ = c.Close()
	}
	return p.dial(ctx, address)
}

// dial opens a new connection.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	dialer := p.Dialer
	if dialer == nil {
		dialer = &net.Dialer{Timeout: p.DialTimeout, KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2,
		}, Control: setUserTimeout}
	}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if p.TLS != nil {
		if nc, err = p.secure(ctx, nc, address); err != nil {
			return nil, err
		}
	}
	return &conn{Conn: nc, reader: bufio.NewReaderSize(nc, readBufferBytes)}, nil
}

// secure makes the handshake of TLS. It closes the connection if that fails.
func (p *Pool) secure(ctx context.Context, nc net.Conn, address string) (net.Conn, error) {
	cfg := p.TLS.Clone()
	if host, _, err := net.SplitHostPort(address); err == nil && cfg.ServerName == "" {
		cfg.ServerName = host
	}
	c := tls.Client(nc, cfg)
	if err := c.HandshakeContext(ctx); err != nil {
		_ = nc.Close()
		return nil, err
	}
	return c, nil
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	return c
}

func (p *Pool) put(address string, c *conn, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if idle <= 0 || len(p.idle[address]) >= p.MaxIdle {
		_ = c.Close()
		return
	}
	if p.idle == nil {
		p.idle = make(map[string][]*conn)
	}
	c.expiresAt = time.Now().Add(idle)
	p.idle[address] = append(p.idle[address], c)
	if !p.sweeping {
		p.sweeping = true
		p.sweepLater()
	}
}

// idleTimeout returns how long a connection may stay idle according to the Keep-Alive
// header of a response.
func (p *Pool) idleTimeout(h http.Header) time.Duration {
	for _, f := range strings.Split(h.Get("Keep-Alive"), ",") {
		if s, ok := strings.CutPrefix(strings.TrimSpace(f), "timeout="); ok {
			if n, err := strconv.Atoi(s); err == nil {
				return time.Duration(n)*time.Second - idleMargin
			}
		}
	}
	return cmp.Or(p.IdleTimeout, defaultIdleTimeout)
}

// reusable reports whether an idle connection is open and has received no unexpected
// bytes.
func reusable(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, err := syscall.Read(int(fd), b[:])
		open = n < 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && open
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}
