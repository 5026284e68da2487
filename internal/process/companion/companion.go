// Package companion implements the process that runs beside a target, relays calls to the
// platform's store for routers that are partitioned from it, and records their draws.
//
// # Usage
//
//	c := &companion.Companion{Name: "host-7", Listener: ln, Store: store, Secret: secret, ...}
//	err := c.Run(ctx)
package companion

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/connection/linker"
	"github.com/egretroute/egretroute/internal/connection/relayer"
	"github.com/egretroute/egretroute/internal/process/enroller"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/recorder"
)

// leaveTimeout bounds the time in which a companion that stops tells the fleet so.
const leaveTimeout = time.Second

// Companion relays calls to the store. Exported fields are set before Run.
type Companion struct {
	Name        string
	Incarnation string
	Domain      string
	Listener    net.Listener
	Store       relayer.Backend
	// Key is the key of the companion's row in the members table.
	Key    string
	Secret []byte
	// MaxDescriptors is how many descriptors the process may open, 0 if that is unknown.
	MaxDescriptors int
	Log            *slog.Logger
	// Background functions run until the context of Run ends.
	Background []func(ctx context.Context)
}

// Run serves until ctx ends. It returns an error if the link server fails before that.
func (c *Companion) Run(ctx context.Context) error {
	relayServer := &relayer.Server{Store: c.Store}
	records := recorder.New(time.Now)
	linkServer := &linker.Server{
		Secret: c.Secret, Self: linker.Identity{Name: c.Name, Incarnation: c.Incarnation}, Log: c.Log,
		MaxPending: linker.MaxPending(c.MaxDescriptors),
		Handler:    handler{relayServer: relayServer, recorder: records, incarnation: c.Incarnation},
		OnRefused:  func(err error) { logger.PeerRefused.Log(c.Log, "error", err) },
	}
	failed := make(chan error, 1)
	go func() { failed <- linkServer.Serve(c.Listener) }()
	for _, run := range c.Background {
		go run(ctx)
	}
	logger.CompanionStarted.Log(c.Log, "host", c.Name, "incarnation", c.Incarnation, "domain", c.Domain)
	memberEnroller := &enroller.Enroller{Store: c.Store, Key: c.Key, Self: enroller.Member{
		Name: c.Name, Incarnation: c.Incarnation, Kind: enroller.Companion, Address: c.Listener.Addr().String(),
		Domain: c.Domain,
	}, OnGone: func() {
		records.Reset() // routers have recorded draws elsewhere meanwhile
		logger.MemberRejoins.Log(c.Log, "host", c.Name)
	}}
	var membership sync.WaitGroup
	membership.Go(func() {
		if memberEnroller.Run(ctx) != nil {
			return
		}
		logger.MemberEnrolled.Log(c.Log, "host", c.Name, "address", c.Listener.Addr().String())
		memberEnroller.Keep(ctx)
	})
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve links")
	case <-ctx.Done():
	}
	membership.Wait()
	records.Close()
	leaveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	err := memberEnroller.Leave(leaveCtx)
	logger.MemberLeaves.Log(c.Log, "host", c.Name, "error", err) // without the row, others find out that it is gone
	_ = c.Listener.Close()
	linkServer.Close()
	logger.CompanionStopped.Log(c.Log, "host", c.Name)
	return nil
}

// handler serves the streams that routers open.
type handler struct {
	relayServer *relayer.Server
	recorder    *recorder.Recorder
	incarnation string
}

// ServeStream implements linker.Handler.
func (h handler) ServeStream(s *linker.Stream, first any) {
	if h.relayServer.Serve(s, first) || h.recorder.Serve(s, first) {
		return
	}
	if _, ok := first.(*framer.Ping); ok {
		_ = s.Write(&framer.Pong{Incarnation: h.incarnation}) // on failure the router sees the stream end
	}
}
