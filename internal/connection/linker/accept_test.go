package linker_test

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/connection/linker"
)

// failingListener fails the first calls of Accept, as a process without descriptors does.
type failingListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestServeSurvivesErrorsOfAccept guards against a process that ends since it had no descriptor left for a
// moment (review/5).
func TestServeSurvivesErrorsOfAccept(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	failing := &failingListener{Listener: ln}
	failing.failures.Store(3)
	secret := []byte("sixteen bytes and more")
	s := &linker.Server{Secret: secret, Self: linker.Identity{Name: "a", Incarnation: "a@1"}}
	served := make(chan error, 1)
	go func() { served <- s.Serve(failing) }()
	time.Sleep(50 * time.Millisecond)
	link, err := linker.Dial(t.Context(), ln.Addr().String(), secret, linker.Identity{Name: "b", Incarnation: "b@1"})
	assert.NilError(t, err)
	link.Close()
	assert.NilError(t, ln.Close())
	assert.Assert(t, errors.Is(<-served, net.ErrClosed))
	s.Close()
}
