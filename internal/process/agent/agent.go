// Package agent is the process beside one target and the only way to it.
//
// It alone sees what really ran, so it enforces: at most once, "not run",
// fences, draining, the order of the queue, and usage.
//
// # Usage
//
//	a := &agent.Agent{Name: "engine-1", Target: "engine-1", Backend: backend, Queue: queuer.New(16), ...}
//	err := a.Run(ctx, listener)
//
// Lock order: bills.mu is never held together with the queue's or the claims'
// locks.
package agent

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/connection/linker"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/request/claimer"
	"github.com/egretroute/egretroute/internal/request/queuer"
	"github.com/egretroute/egretroute/internal/request/suspecter"
	"github.com/egretroute/egretroute/internal/version/declarer"
	"github.com/egretroute/egretroute/internal/version/follower"
)

// billGrace is how long a bill waits for its own router before others are told.
const billGrace = 3 * time.Second

// leaveTimeout bounds one try to give the slots up.
const leaveTimeout = 2 * time.Second

// Agent serves one target.
//
// Exported fields are set before Run.
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

	bills    bills
	attempts attempts
	server   *linker.Server
	// forgotten holds, by attempt id, when the target first did not know it.
	forgotten sync.Map
	down      atomic.Bool // the target broke a run off and has not answered a probe since
}

// Run serves routers until ctx ends, then drains: it refuses new work, lets
// what runs finish, and keeps answering until its bills are durable or the
// limit has passed.
func (a *Agent) Run(ctx context.Context, ln net.Listener, limit time.Duration) error {
	self := linker.Identity{Name: a.Target, Incarnation: a.Incarnation}
	a.server = &linker.Server{Secret: a.Secret, Self: self, Handler: a, OnRefused: a.refused}
	a.Follower.OnChange = a.adopt
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

// drain finishes what runs and waits for the bills to be durable.
func (a *Agent) drain(limit time.Duration) {
	a.Queue.Drain()
	logger.AgentDraining.Log(a.Log, "target", a.Target)
	deadline := time.After(limit)
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		running, queued, _, _ := a.Queue.Stats()
		idle := running == 0 && queued == 0 && a.bills.count() == 0
		if idle && a.leaveSlots() {
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

// leaveSlots gives the slots of a plain service up.
func (a *Agent) leaveSlots() bool {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	return a.Claims.Leave(ctx)
}

// members returns how many targets serve what this agent's target serves.
func (a *Agent) members() int {
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

// UseSlots has the agent claim non-idempotent requests by slots that it owns;
// agents of plain services do.
func (a *Agent) UseSlots() {
	a.Claims.Service = a.Backend.Service()
	a.Claims.Owner = claimer.Owner{Target: a.Target, Incarnation: a.Incarnation}
	a.Claims.TargetCount = a.members
}

// adopt takes over what a new configuration says of this target.
func (a *Agent) adopt(f *declarer.Fleet) {
	if t, ok := f.FindTarget(a.Target); ok {
		a.Queue.SetCapacity(t.Capacity)
	}
	logger.VersionApplied.Log(a.Log, "version", f.Version)
}

func (a *Agent) refused(err error) {
	a.Metrics.Refused.Inc()
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
		a.bills.durable(m.Payer, m.Sequences)
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
	a.Suspects.Merge(m.Poison)
	if m.Listed {
		a.bills.allow(m.Incarnation)
	}
	return &framer.Pong{
		Incarnation:       a.Incarnation,
		Version:           a.Follower.Version(),
		Load:              a.load(),
		Bills:             a.bills.overdue(time.Now().Add(-billGrace)),
		Poison:            a.Suspects.Recent(),
		UncommittedClaims: a.Claims.UncommittedCount(),
	}
}

func (a *Agent) load() framer.Load {
	running, queued, capacity, leaving := a.Queue.Stats()
	return framer.Load{Running: running, Queued: queued, Capacity: capacity, Draining: leaving}
}

func (a *Agent) serveFleet(s *linker.Stream, m *framer.FleetDocument) {
	if _, err := a.Follower.OfferDocument(m.Document); err != nil {
		logger.VersionUnreadable.Log(a.Log, "version", m.Version, "error", err)
	}
	_ = s.Write(&framer.Done{})
}

// fence refuses an incarnation's work from now on and says what it still owes.
func (a *Agent) fence(m *framer.Fence) *framer.Fenced {
	if m.Release {
		a.bills.release(m.Incarnation)
		return &framer.Fenced{Agent: a.Incarnation}
	}
	owed, running := a.bills.fence(m.Incarnation)
	logger.HolderFenced.Log(a.Log, "incarnation", m.Incarnation, "bills", len(owed), "running", len(running))
	return &framer.Fenced{Agent: a.Incarnation, Bills: owed, Running: running}
}

// audit says what became of an attempt; one that has not arrived never will run.
func (a *Agent) audit(m *framer.Audit) *framer.Audited {
	if m.Agent != a.Incarnation {
		return a.auditPredecessor(m)
	}
	if a.attempts.first(m.RouterInstance, m.Attempt) {
		return &framer.Audited{State: framer.AuditNotRun}
	}
	owed, running := a.bills.find(m.Parts)
	switch {
	case running:
		return &framer.Audited{State: framer.AuditRunning}
	case len(owed) > 0:
		return &framer.Audited{State: framer.AuditBilled, Bills: owed}
	default:
		return &framer.Audited{State: framer.AuditNotRun}
	}
}

// auditPredecessor asks the target for the usage of an attempt that an earlier
// incarnation of this agent was running.
func (a *Agent) auditPredecessor(m *framer.Audit) *framer.Audited {
	usage, err := a.settleTwice(AttemptID(m.RequestID, m.Attempt))
	switch {
	case errors.Is(err, ErrUnsettled):
		return &framer.Audited{State: framer.AuditRunning}
	case err != nil:
		return &framer.Audited{State: framer.AuditUnknown}
	}
	run := &framer.Run{RequestID: m.RequestID, Organisation: m.Organisation, Target: a.Target, Parts: m.Parts}
	return &framer.Audited{State: framer.AuditBilled, Bills: run.SplitBill(usage.total())}
}
