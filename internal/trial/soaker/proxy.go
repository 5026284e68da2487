package soaker

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// mode is what a proxy does to its connections.
type mode int

const (
	modePass mode = iota
	// modeDelay holds back every piece of data in either direction.
	modeDelay
	// modeReset breaks off connections, and new ones as they come.
	modeReset
	// modeDropFromServer drops what comes from the server, modeDeaf what goes to it.
	modeDropFromServer
	modeDropToServer
	// modeDropAll accepts connections and forwards nothing either way.
	modeDropAll
	modeCount
)

// String returns the mode's name.
func (m mode) String() string {
	return [...]string{"pass", "delay", "reset", "mute", "deaf", "silent"}[m]
}

// proxyDelay is how long modeDelay holds data back: many times a round trip.
const proxyDelay = 120 * time.Millisecond

// proxy forwards loopback connections to one server and misbehaves on demand.
type proxy struct {
	listener net.Listener
	server   string

	mu    sync.Mutex // guards all below
	mode  mode
	conns map[net.Conn]bool
}

func newProxy(server string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	p := &proxy{listener: ln, server: server, conns: make(map[net.Conn]bool)}
	go p.run()
	return p, nil
}

func (p *proxy) address() string {
	return p.listener.Addr().String()
}

// setMode changes what happens to open connections and to new ones.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == modeReset || m == modePass {
		// Data that was dropped can't come back, so connections end with the fault.
		p.resetAll()
	}
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// resetAll resets all connections; the caller holds mu.
func (p *proxy) resetAll() {
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a reset instead of an end
		}
		_ = c.Close()
		delete(p.conns, c)
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.setMode(modeReset)
}

func (p *proxy) run() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		server, err := net.Dial("tcp", p.server)
		if err != nil || p.currentMode() == modeReset {
			_ = client.Close()
			if err == nil {
				_ = server.Close()
			}
			continue
		}
		p.mu.Lock()
		p.conns[client], p.conns[server] = true, true
		p.mu.Unlock()
		go p.copy(client, server, modeDropToServer)
		go p.copy(server, client, modeDropFromServer)
	}
}

// copy forwards one direction, which the given mode cuts.
func (p *proxy) copy(from, to net.Conn, dropMode mode) {
	defer p.closePair(from, to)
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		switch p.currentMode() {
		case dropMode, modeDropAll:
			n = 0
		case modeDelay:
			time.Sleep(proxyDelay)
		}
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				return
			}
			p.mu.Lock()
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // a reset is passed on as one
			}
			p.mu.Unlock()
			return
		}
	}
}

func (p *proxy) closePair(from, to net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = from.Close()
	_ = to.Close()
	delete(p.conns, from)
	delete(p.conns, to)
}
