// Package agent implements the sidecar process of one target. Every request to the
// target passes through its agent.
//
// Only the agent knows which requests the target has really run. It therefore
// enforces at-most-once execution, the guarantee behind a "not run" outcome,
// fences, draining and the queue order, and it reports the usage.
//
// # Usage
//
//	a := &agent.Agent{Target: "engine-1", Incarnation: "engine-1@7f3a", Backend: backend, Queue: queuer.New(16), ...}
//	err := a.Run(ctx, listener, shutdownLimit)
//
// Lock order: billTracker.mu is never held together with the locks of the queue or of
// the claims.
package agent

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/budgeter"
	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/connection/linker"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/request/claimer"
	"github.com/egretroute/egretroute/internal/request/queuer"
	"github.com/egretroute/egretroute/internal/request/suspecter"
	"github.com/egretroute/egretroute/internal/version/declarer"
	"github.com/egretroute/egretroute/internal/version/follower"
)

// billOverdueAfter is how long a bill waits for its own router to make it durable
// before the agent reports it to every router that sends a heartbeat.
const billOverdueAfter = 3 * time.Second

// releaseSlotsTimeout bounds one attempt to release the slots.
const releaseSlotsTimeout = 2 * time.Second

// Agent serves one target. Exported fields are set before Run.
type Agent struct {
	Target      string
	Incarnation string
	Secret      []byte
	Backend     Backend
	Queue       *queuer.Queue
	Claims      *claimer.Claimer
	Follower    *follower.Follower
	Suspects    *suspecter.Suspecter
	Log         *slog.Logger
	Metrics     *Metrics
	// MaxDescriptors is how many descriptors the process may open, 0 if that is unknown.
	MaxDescriptors int
	// Budget is the memory for requests; nil means that there is no bound.
	Budget *budgeter.Budget

	bills    billTracker
	attempts duplicateFilter
	server   *linker.Server
	// unknownSince holds, by attempt ID, when the target first reported the attempt as
	// unknown.
	unknownSince sync.Map
	targetDown   atomic.Bool // the target crashed during a run and has not responded to a probe since
}

// Run serves routers until ctx ends and then drains: it refuses new requests, waits for
// running ones, and keeps serving routers until all bills are durable or limit has
// passed.
func (a *Agent) Run(ctx context.Context, ln net.Listener, limit time.Duration) error {
	self := linker.Identity{Name: a.Target, Incarnation: a.Incarnation}
	a.server = &linker.Server{Secret: a.Secret, Self: self, Handler: a, OnRefused: a.peerRefused, MaxPending: linker.MaxPending(a.MaxDescriptors)}
	if a.Budget == nil {
		a.Budget = &budgeter.Budget{}
	}
	a.Budget.OnShortage = func(s budgeter.Shortage) { logger.MemoryShort.Log(a.Log, s.Attrs()...) }
	budgetCtx, stopBudget := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBudget()
	go a.Budget.Run(budgetCtx)
	a.Follower.OnChange = a.applyFleet
	done := make(chan error, 1)
	go func() { done <- a.server.Serve(ln) }()
	claiming, stopClaiming := context.WithCancel(context.WithoutCancel(ctx))
	defer stopClaiming()
	if a.Claims.TargetCount != nil {
		go a.Claims.Run(claiming)
	}
	logger.AgentStarted.Log(a.Log, "target", a.Target, "incarnation", a.Incarnation, "address", ln.Addr().String())
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	a.drain(limit)
	_ = ln.Close()
	a.server.Close()
	return nil
}

// drain waits until nothing runs or is queued, all bills are durable and the slots are
// released, but for limit at most.
func (a *Agent) drain(limit time.Duration) {
	a.Queue.Drain()
	logger.AgentDraining.Log(a.Log, "target", a.Target)
	deadline := time.After(limit)
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		running, queued, _, _ := a.Queue.Stats()
		idle := running == 0 && queued == 0 && a.bills.count() == 0
		if idle && a.releaseSlots() {
			logger.AgentDrained.Log(a.Log, "target", a.Target)
			return
		}
		select {
		case <-deadline:
			logger.AgentStopIncomplete.Log(a.Log, "target", a.Target, "running", running, "queued", queued, "bills", a.bills.count())
			return
		case <-tick.C:
		}
	}
}

// releaseSlots releases the slots of a plain service and reports whether none is left.
func (a *Agent) releaseSlots() bool {
	ctx, cancel := context.WithTimeout(context.Background(), releaseSlotsTimeout)
	defer cancel()
	return a.Claims.ReleaseSlots(ctx)
}

// targetCount returns the number of targets of this agent's service or model.
func (a *Agent) targetCount() int {
	fleet := a.Follower.Fleet()
	if fleet == nil {
		return 0
	}
	n := 0
	for _, t := range fleet.Targets {
		if t.Serves == a.Backend.Service() {
			n++
		}
	}
	return n
}

// UseSlots makes the agent claim non-idempotent requests through the slots that it
// owns. Agents of plain services use slots.
func (a *Agent) UseSlots() {
	a.Claims.Service = a.Backend.Service()
	a.Claims.Owner = claimer.Owner{Target: a.Target, Incarnation: a.Incarnation}
	a.Claims.TargetCount = a.targetCount
}

// applyFleet applies the entry of this target in a new configuration.
func (a *Agent) applyFleet(f *declarer.Fleet) {
	if t, ok := f.FindTarget(a.Target); ok {
		a.Queue.SetCapacity(t.Capacity)
	}
	logger.VersionApplied.Log(a.Log, "version", f.Version)
}

func (a *Agent) peerRefused(err error) {
	a.Metrics.PeersRefused.Inc()
	logger.PeerRefused.Log(a.Log, "error", err)
}

// ServeStream implements linker.Handler.
func (a *Agent) ServeStream(s *linker.Stream, first any) {
	switch m := first.(type) {
	case *framer.Run:
		a.serveRun(s, m)
	case *framer.Ping:
		_ = s.Write(a.pong(m))
	case *framer.FleetDocument:
		a.serveFleet(s, m)
	case *framer.BillsDurable:
		a.bills.removeDurable(m.Payer, m.Sequences)
		_ = s.Write(&framer.Done{})
	case *framer.Fence:
		_ = s.Write(a.fence(m))
	case *framer.Audit:
		_ = s.Write(a.audit(m))
	default:
		a.Metrics.Malformed.Inc()
	}
}

func (a *Agent) pong(m *framer.Ping) *framer.Pong {
	crashes, _ := a.Suspects.Reply(m.Crashes, suspecter.All)
	if m.Listed {
		a.bills.allowPayer(m.Incarnation)
	}
	return &framer.Pong{
		Incarnation:       a.Incarnation,
		Version:           a.Follower.Version(),
		Load:              a.load(),
		Bills:             a.bills.overdue(time.Now().Add(-billOverdueAfter)),
		Crashes:           crashes,
		UncommittedClaims: a.Claims.UncommittedCount(),
	}
}

func (a *Agent) load() framer.Load {
	running, queued, capacity, draining := a.Queue.Stats()
	return framer.Load{Running: running, Queued: queued, Capacity: capacity, Draining: draining}
}

func (a *Agent) serveFleet(s *linker.Stream, m *framer.FleetDocument) {
	if _, err := a.Follower.OfferDocument(m.Document); err != nil {
		logger.VersionUnreadable.Log(a.Log, "version", m.Version, "error", err)
	}
	_ = s.Write(&framer.Done{})
}

// fence refuses the work of an incarnation from now on and returns its pending bills
// and running parts, or drops its bills if m.Release is set.
func (a *Agent) fence(m *framer.Fence) *framer.Fenced {
	if m.Release {
		a.bills.release(m.Incarnation)
		return &framer.Fenced{Agent: a.Incarnation}
	}
	pending, running := a.bills.fence(m.Incarnation)
	logger.HolderFenced.Log(a.Log, "incarnation", m.Incarnation, "bills", len(pending), "running", len(running))
	return &framer.Fenced{Agent: a.Incarnation, Bills: pending, Running: running}
}

// audit reports the state of an attempt. An attempt that has not arrived yet is
// recorded as seen, so that it is refused as a duplicate if it arrives later.
func (a *Agent) audit(m *framer.Audit) *framer.Audited {
	if m.Agent != a.Incarnation {
		return a.auditPredecessor(m)
	}
	if a.attempts.accept(m.RouterInstance, m.Attempt) {
		return &framer.Audited{State: framer.AuditNotRun}
	}
	pending, running := a.bills.find(m.Parts)
	switch {
	case running:
		return &framer.Audited{State: framer.AuditRunning}
	case len(pending) > 0:
		return &framer.Audited{State: framer.AuditBilled, Bills: pending}
	default:
		return &framer.Audited{State: framer.AuditNotRun}
	}
}

// auditPredecessor asks the target for the usage of an attempt that was sent to an
// earlier incarnation of this agent.
func (a *Agent) auditPredecessor(m *framer.Audit) *framer.Audited {
	usage, err := a.settleConfirmed(AttemptID(m.RequestID, m.Attempt))
	switch {
	case errors.Is(err, ErrUnsettled):
		return &framer.Audited{State: framer.AuditRunning}
	case err != nil:
		return &framer.Audited{State: framer.AuditUnknown}
	}
	run := &framer.Run{RequestID: m.RequestID, Organisation: m.Organisation, Target: a.Target, Parts: m.Parts}
	return &framer.Audited{State: framer.AuditBilled, Bills: run.SplitBill(usage.total())}
}
