package soaker

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/platform/platformtest"
)

// mode is the way in which a proxy treats its connections.
type mode int

const (
	modePass mode = iota
	// modeDelay delays all data in both directions.
	modeDelay
	// modeReset resets open connections and closes new ones.
	modeReset
	// modeDropFromServer drops data from the server, modeDropToServer data to it.
	modeDropFromServer
	modeDropToServer
	// modeDropAll accepts connections and drops data in both directions.
	modeDropAll
	modeCount
)

// String returns the mode's name.
func (m mode) String() string {
	return [...]string{"pass", "delay", "reset", "mute", "deaf", "silent"}[m]
}

// proxyDelay is the delay of modeDelay, many times a loopback round trip.
const proxyDelay = 120 * time.Millisecond

// proxy forwards loopback connections to one server and injects network faults.
type proxy struct {
	address string
	server  string

	mu       sync.Mutex // guards all below
	listener net.Listener
	closed   bool
	mode     mode
	conns    map[net.Conn]bool
}

func newProxy(server string) (*proxy, error) {
	p := &proxy{address: platformtest.NewAddress(), server: server, conns: make(map[net.Conn]bool)}
	return p, p.accept()
}

// accept lets the proxy accept connections, at first and after refuse.
func (p *proxy) accept() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	ln, err := net.Listen("tcp", p.address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	p.listener = ln
	go p.run(ln)
	return nil
}

// refuse ends all connections and refuses new ones, as if the server's process had ended.
func (p *proxy) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	p.resetAll()
}

// setMode changes the mode of open and new connections.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == modeReset || m == modePass {
		// Dropped data can't be recovered, so connections end with the fault.
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
			_ = tcp.SetLinger(0) // close with RST instead of FIN
		}
		_ = c.Close()
		delete(p.conns, c)
	}
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.refuse()
	p.setMode(modeReset)
}

func (p *proxy) run(ln net.Listener) {
	for {
		client, err := ln.Accept()
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

// copy forwards one direction; dropMode is the mode that drops its data.
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
				_ = tcp.SetLinger(0) // forward the reset
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
