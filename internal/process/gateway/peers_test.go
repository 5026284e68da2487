package gateway

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/process/enroller"
)

// TestUnreachedSinceItHasEnrolled starts a process again whose host has refused connections for long. It guards against a new
// process that is declared gone since the one before it could not be reached.
func TestUnreachedSinceItHasEnrolled(t *testing.T) {
	const down = 300 * time.Millisecond
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := ln.Addr().String()
	assert.NilError(t, ln.Close())
	g := &Gateway{Name: "self", Log: slog.New(slog.DiscardHandler)}
	g.SetLimits(Limits{})
	g.peers = g.newPeerLinks()
	g.peers.members.StartedAt = time.Now().Add(-time.Hour)
	m := enroller.Member{Name: "other", Incarnation: "other@1", Kind: enroller.Router, Address: address}
	g.peers.add(m)
	g.updateLinks(t.Context())
	time.Sleep(down)
	since, refused := g.peers.unreached(m)
	assert.Assert(t, refused && since >= down*2/3, "%s", since)
	m.Incarnation = "other@2"
	g.peers.add(m)
	g.updateLinks(t.Context())
	since, _ = g.peers.unreached(m)
	assert.Assert(t, since < down/3, "%s", since)
}
