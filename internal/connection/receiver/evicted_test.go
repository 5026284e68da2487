package receiver

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/connection/budgeter"
)

// TestEvictedClientThatDoesNotRead evicts a connection for a write that ends before the eviction is carried out. Nothing ended
// its next write, which the client didn't read.
func TestEvictedClientThatDoesNotRead(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ln := &Listener{Listener: tcp, Budget: &budgeter.Budget{Limit: 32 << 20}, Limits: func() Limits { return Limits{} }}
	client, err := net.Dial("tcp", tcp.Addr().String())
	assert.NilError(t, err)
	defer client.Close()
	accepted, err := ln.Accept()
	assert.NilError(t, err)
	c := accepted.(*Conn)
	c.enter(budgeter.Running, 0)
	c.holder.Send(true)
	time.Sleep(budgeter.QuietTime + 50*time.Millisecond)
	c.mu.Lock() // holds up onEvicted
	evicted := make(chan int, 1)
	go func() { evicted <- ln.Budget.EvictSlowest(ln, 1) }()
	for !c.holder.Evicted() {
		time.Sleep(time.Millisecond)
	}
	c.holder.Send(false) // the client has read
	c.mu.Unlock()
	assert.Equal(t, <-evicted, 1)
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, 64<<20))
		written <- err
	}()
	select {
	case err := <-written:
		assert.Assert(t, err != nil)
	case <-time.After(5 * time.Second):
		t.Fatal("the write waits on")
	}
}
