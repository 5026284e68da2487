package gateway

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/egretroute/egretroute/internal/connection/rotator"
	"github.com/egretroute/egretroute/internal/process/enroller"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/pauser"
)

const (
	// rotationInterval is how often the place in the load balancer's rotation is decided.
	rotationInterval = 250 * time.Millisecond
	// loadSampleWeight is the weight of one interval in the moving average of the load.
	loadSampleWeight = 0.5
	// pieceOverhead is the size of the headers of packets and chunks that carry a piece of a body,
	// headBytes that of a request's and a response's head.
	pieceOverhead = 60
	headBytes     = 600
)

// rotation is the gateway's place in the load balancer's rotation.
type rotation struct {
	// bytes counts what has passed in either direction, refused the times that the gateway has
	// answered since it left that it isn't ready.
	bytes   atomic.Int64
	refused atomic.Int64
	// overloaded is set if a request was refused for want of processor time since the last decision.
	overloaded atomic.Bool
	// closing is set while clients' connections are closed after their responses.
	closing atomic.Bool
	// relieved is set while other routers of the domain are known to have room for this one's clients.
	relieved atomic.Bool

	mu     sync.Mutex // guards all below
	status rotator.Status
	load   rotator.Load
}

// count counts a piece of a body. Bodies pass the link once in each direction.
func (r *rotation) count(n int) {
	r.bytes.Add(int64(n + pieceOverhead))
}

// wantsConnections reports whether the gateway takes new connections, for the load balancer.
func (g *Gateway) wantsConnections() bool {
	g.rotation.mu.Lock()
	defer g.rotation.mu.Unlock()
	if g.rotation.status.Phase != rotator.Out {
		return true
	}
	g.rotation.refused.Add(1)
	return false
}

// rotationReport returns what the others are told.
func (g *Gateway) rotationReport() rotator.Report {
	g.rotation.mu.Lock()
	defer g.rotation.mu.Unlock()
	r := g.rotation.status.Report(g.rotation.load)
	if r.Phase != rotator.Unknown && (g.draining.Load() || !g.ready()) {
		r.Phase, r.Strain = rotator.Out, math.MaxFloat64
	}
	return r
}

// watchRotation measures the load and decides whether the gateway stays in the load balancer's
// rotation. What the process needs to start says nothing of its clients.
func (g *Gateway) watchRotation(ctx context.Context) {
	if g.ProcessorShare == 0 && g.LinkMbps == 0 {
		return
	}
	previous, previousAt := g.usage(), time.Now()
	for ctx.Err() == nil {
		pauser.Pause(ctx, rotationInterval)
		used, now := g.usage(), time.Now()
		if !g.ready() {
			previous, previousAt = used, now
			continue
		}
		if seconds := now.Sub(previousAt).Seconds(); seconds > 0 {
			g.decideRotation(ctx, usage{processor: (used.processor - previous.processor) / seconds, link: (used.link - previous.link) / seconds}, now)
		}
		previous, previousAt = used, now
	}
}

// usage is what the process has used: processor time in seconds and megabits of its link.
type usage struct {
	processor, link float64
}

func (g *Gateway) usage() usage {
	u := usage{link: float64(g.rotation.bytes.Load()) * 8 / 1e6}
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err == nil {
		u.processor = float64(r.Utime.Nano()+r.Stime.Nano()) / 1e9
	}
	return u
}

// decideRotation adds a sample of the load, used each second, and decides on the gateway's place. The others are told
// of a change at once.
func (g *Gateway) decideRotation(ctx context.Context, used usage, now time.Time) {
	r := &g.rotation
	r.mu.Lock()
	r.load.ProcessorShare, r.load.LinkRate = g.ProcessorShare, g.LinkMbps
	r.load.Processor += (used.processor - r.load.Processor) * loadSampleWeight
	r.load.Link += (used.link - r.load.Link) * loadSampleWeight
	own := rotator.Own{Name: g.Name, Load: r.load, Overloaded: r.overloaded.Swap(false), Refused: int(r.refused.Load())}
	previous := r.status
	r.mu.Unlock()
	var peers []rotator.Peer
	if previous.NeedsPeers(own) {
		peers = g.rotationPeers()
	}
	status := rotator.Next(previous, own, peers, now)
	r.mu.Lock()
	r.status = status
	if status.Phase != previous.Phase {
		r.refused.Store(0)
	}
	r.mu.Unlock()
	r.closing.Store(status.Closing())
	r.relieved.Store(status.Phase == rotator.Asking || status.Phase == rotator.Out)
	g.metrics.utilisation.Set(own.Load.Utilisation())
	if status.Phase == previous.Phase || previous.Phase == rotator.Unknown {
		return
	}
	g.metrics.rotationChanges.WithLabelValues(status.Phase.String()).Inc()
	logger.RotationChanged.Log(g.Log, "phase", status.Phase.String(), "was", previous.Phase.String(), "utilisation", own.Load.Utilisation(),
		"processor", own.Load.Processor, "link", own.Load.Link, "overloaded", own.Overloaded, "after", now.Sub(previous.Since))
	g.pushReport(ctx, g.peers.routers.Live())
}

// rotationPeers returns what is known of the other routers.
func (g *Gateway) rotationPeers() (peers []rotator.Peer) {
	g.peers.mu.Lock()
	defer g.peers.mu.Unlock()
	for _, m := range g.peers.members.Running() {
		if m.Kind != enroller.Router || m.Name == g.Name {
			continue
		}
		p := g.peers.rotations[m.Name]
		p.Name, p.SameDomain = m.Name, m.Domain == g.Domain
		peers = append(peers, p)
	}
	return peers
}

// setRotation replaces a router's report on its load.
func (p *peerLinks) setRotation(name string, r rotator.Report, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Phase == rotator.Unknown {
		delete(p.rotations, name)
		return
	}
	p.rotations[name] = rotator.Peer{Report: r, ReportedAt: now}
}
