// Package router implements the process on an entry host: it admits requests of
// clients, reserves the most tokens that each may cost, sends each to the agent of a
// target, streams the response back and bills the tokens used. It also serves operators.
//
// # Usage
//
//	r := &router.Router{Name: "router-1", Domain: "derby-hall", Table: table, ...}
//	err := r.Run(ctx)
//
// A router keeps only soft state: durable state is at the platform, and every
// guarantee holds if the process ends at any moment.
//
// Lock order: Router itself has no lock that is held while a component's lock is
// taken; auditor.mu, directory.mu and the locks of links are leaves.
package router

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/egretroute/egretroute/internal/connection/budgeter"
	"github.com/egretroute/egretroute/internal/connection/connector"
	"github.com/egretroute/egretroute/internal/connection/linker"
	"github.com/egretroute/egretroute/internal/connection/receiver"
	"github.com/egretroute/egretroute/internal/process/archiver"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/recoverer"
	"github.com/egretroute/egretroute/internal/process/reporter"
	"github.com/egretroute/egretroute/internal/process/spender"
	"github.com/egretroute/egretroute/internal/process/storer"
	"github.com/egretroute/egretroute/internal/process/treasurer"
	"github.com/egretroute/egretroute/internal/request/chooser"
	"github.com/egretroute/egretroute/internal/request/claimer"
	"github.com/egretroute/egretroute/internal/request/suspecter"
	"github.com/egretroute/egretroute/internal/version/declarer"
	"github.com/egretroute/egretroute/internal/version/follower"
	"github.com/egretroute/egretroute/internal/version/patcher"
)

const (
	heartbeatInterval = time.Second
	// agentHeartbeatBytes and peerHeartbeatBytes bound the heartbeat traffic of a
	// router to all agents and to all other routers, in bytes per second.
	agentHeartbeatBytes = 1000
	peerHeartbeatBytes  = 500
	pollInterval        = 2 * time.Second
	headerTimeout       = 10 * time.Second
	idleTimeout         = 75 * time.Second
	maxHeaderBytes      = 64 << 10
	// clientDescriptorShare is the share of the descriptors that clients' connections may take.
	clientDescriptorShare = 0.6
)

// Operator is a user of the operators' API.
type Operator struct {
	Name string
	// KeyHash is the lower-case hexadecimal SHA-256 of the operator's key.
	KeyHash string
	// Viewer restricts the operator to reading.
	Viewer bool
}

// Router serves clients and operators.
//
// Exported fields are set before Run.
type Router struct {
	Name          string
	Domain        string
	FleetAddress  string
	Peers         map[string]string
	Secret        []byte
	Table         storer.Table
	Policy        spender.Policy
	FlushInterval time.Duration
	// LeaveTime is how long the router serves new requests after a shutdown has begun,
	// while its health check tells load balancers to send it no more.
	LeaveTime time.Duration
	// ShutdownLimit bounds the whole shutdown, LeaveTime included.
	ShutdownLimit time.Duration
	Operators     []Operator
	Log           *slog.Logger
	Registry      *prometheus.Registry
	// MaxDescriptors is how many descriptors the process may open, 0 if that is unknown.
	MaxDescriptors int
	// Budget is the memory for clients; nil means that there is no bound.
	Budget *budgeter.Budget

	// The listeners are opened by the caller of Run.
	ClientListener   net.Listener
	OperatorListener net.Listener
	FleetListener    net.Listener

	instance string // unique to this start of the process; attempt numbers are unique within it
	follower *follower.Follower
	patcher  *patcher.Patcher
	treasury *treasurer.Treasurer
	recovery *recoverer.Recoverer
	suspects *suspecter.Suspecter
	// crashes exchanges observations with agents and other routers.
	crashes      suspecter.Exchange[*linker.Link]
	transfers    transfers
	archiver     *archiver.Archiver
	agents       *connector.Connector
	peers        *connector.Connector
	chooser      chooser.Chooser
	server       *linker.Server
	metrics      *metrics
	auditor      *auditor
	dispatches   dispatches
	slotOwners   slotOwners
	retryBudgets retryBudgets
	directory    directory
	burnTracker  *reporter.BurnTracker
	attempts     atomic.Uint64
	built        atomic.Bool // the components above have been created
	// leaving is set from the beginning of a shutdown, draining once no more requests
	// are served.
	leaving  atomic.Bool
	draining atomic.Bool
	// running ends when endRunning is called, shortly before the end of a shutdown: requests that still run are then answered.
	running      context.Context
	endRunning   context.CancelFunc
	stuckHolders atomic.Pointer[[]recoverer.StuckHolder]
}

// Run serves until ctx ends, then finishes the requests in flight, settles their
// bills, returns its tokens and closes its incarnation.
func (r *Router) Run(ctx context.Context) error {
	r.running, r.endRunning = context.WithCancel(context.WithoutCancel(ctx))
	defer r.endRunning()
	r.build()
	r.built.Store(true)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var archiving sync.WaitGroup
	defer archiving.Wait()
	defer stop()
	operatorServer := receiver.NewOtherServer(r.operatorAPI())
	operators := receiver.NewOtherListener(r.OperatorListener, r.Budget)
	go func() { _ = operatorServer.Serve(operators) }()
	go r.Budget.Run(background)
	defer operatorServer.Close()
	r.treasury.Start(background)
	go func() { _ = r.server.Serve(r.FleetListener) }()
	r.peers.SetMembers(background, r.Peers)
	logger.RouterStarted.Log(r.Log, "router", r.Name, "fleetAddress", r.FleetAddress)
	go r.followLoop(background)
	archiving.Go(func() { r.archiver.Run(background) })
	go r.recovery.Run(background)
	go r.auditor.run(background)
	r.slotOwners.onRead = func(rows []claimer.SlotRow, readAt time.Time) {
		r.dispatches.restore(rows, readAt, r.agents.IncarnationUp)
	}
	go r.slotOwners.run(background, r.Table, r.serviceCount)
	clientServer := &http.Server{
		Handler: receiver.Handler(r.clientAPI()), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: receiver.MaxHeaderBytes(maxHeaderBytes),
		ConnState: receiver.ConnState, ConnContext: receiver.ConnContext,
	}
	served := make(chan error, 1)
	ln := r.clientListener()
	go func() { served <- clientServer.Serve(ln) }()
	select {
	case err := <-served:
		return errors.Wrap(err, "serve clients")
	case <-ctx.Done():
	}
	defer clientServer.Close()
	return r.shutdown(ln, operators)
}

// build creates the components of the router.
func (r *Router) build() {
	if r.Budget == nil {
		r.Budget = &budgeter.Budget{}
	}
	r.Budget.OnShortage = func(s budgeter.Shortage) { logger.MemoryShort.Log(r.Log, s.Attrs()...) }
	r.instance = treasurer.NewIncarnation(r.Name)
	r.metrics = newMetrics(r.Registry)
	r.chooser = chooser.NewPrefixAffinity()
	r.suspects = suspecter.New(time.Now)
	r.crashes.Suspecter = r.suspects
	r.archiver = r.newArchiver()
	r.patcher = &patcher.Patcher{Table: r.Table}
	r.follower = &follower.Follower{OnChange: r.applyFleet}
	r.auditor = &auditor{router: r}
	r.burnTracker = reporter.NewBurnTracker(time.Now)
	r.agents = &connector.Connector{
		Self: r.identity, Secret: r.Secret, Interval: heartbeatInterval,
		BytesPerSecond: agentHeartbeatBytes, Heartbeat: r.heartbeatAgent, OnUp: r.agentUp, OnDown: r.agentDown,
	}
	r.peers = &connector.Connector{
		Self: r.identity, Secret: r.Secret, Interval: heartbeatInterval,
		BytesPerSecond: peerHeartbeatBytes, Heartbeat: r.heartbeatPeer, OnUp: r.peerUp, OnDown: r.peerDown,
	}
	r.treasury = &treasurer.Treasurer{
		Table: r.Table, Policy: r.Policy, Router: r.Name, Domain: r.Domain, Address: r.FleetAddress,
		Interval: r.FlushInterval, Peers: peerClient{r}, Log: r.Log, OnDurable: r.billsDurable,
	}
	r.recovery = &recoverer.Recoverer{
		Self: r.Name, Table: r.Table, Fleet: fleetClient{r}, Interval: r.FlushInterval, Log: r.Log,
		IsPrimary: r.isPrimary, OnStuck: r.setStuckHolders,
	}
	r.server = &linker.Server{
		Secret: r.Secret, Self: linker.Identity{Name: r.Name}, Handler: peerHandler{r}, OnRefused: r.peerRefused,
		MaxPending: linker.MaxPending(r.MaxDescriptors),
	}
}

// clientListener returns the listener of clients within the budget of memory.
func (r *Router) clientListener() *receiver.Listener {
	bound := int(clientDescriptorShare * float64(r.MaxDescriptors))
	if byMemory := r.Budget.MaxConnections(); byMemory > 0 && (bound == 0 || byMemory < bound) {
		bound = byMemory
	}
	return &receiver.Listener{Listener: r.ClientListener, Budget: r.Budget, Max: bound, Limits: func() receiver.Limits {
		return receiver.Limits{HeadBytes: maxHeaderBytes, HeadTimeout: headerTimeout, IdleTimeout: idleTimeout}
	}}
}

// identity returns the identity that this router presents to the processes it dials.
func (r *Router) identity() linker.Identity {
	return linker.Identity{Name: r.Name}
}

// followLoop reads the crashes seen before this start, and only then polls the platform for new
// versions of the configuration.
func (r *Router) followLoop(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	crashesKnown := false
	for {
		crashesKnown = crashesKnown || r.readCrashes(ctx)
		if crashesKnown { // without a configuration nothing is served
			_ = r.follower.Poll(ctx, r.Table)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// applyFleet applies a new version of the configuration.
func (r *Router) applyFleet(f *declarer.Fleet) {
	r.directory.applyFleet(f)
	r.burnTracker.SetObjectives(f.Objectives)
	r.agents.SetMembers(context.Background(), targetsToLink(f, r.Domain))
	r.agents.ProbeAll()
	r.openAccounts(f)
	r.metrics.version.Set(float64(f.Version))
	if r.follower.Version() == 0 {
		logger.RouterReady.Log(r.Log, "version", f.Version)
	}
	logger.VersionApplied.Log(r.Log, "version", f.Version)
}

// serviceCount returns the number of services in the configuration, without models.
func (r *Router) serviceCount() int {
	fleet := r.follower.Fleet()
	if fleet == nil {
		return 0
	}
	return len(fleet.Services)
}

// maxOpenedAccounts is the largest number of budgets for which every router holds
// a share before there is any demand; with more budgets, no router does.
const maxOpenedAccounts = 200

func (r *Router) openAccounts(f *declarer.Fleet) {
	if len(f.Organisations) > maxOpenedAccounts {
		return
	}
	names := make([]string, len(f.Organisations))
	for i, o := range f.Organisations {
		names[i] = o.Name
	}
	r.treasury.OpenAccounts(names)
}

// shutdown drains the router: it serves new requests for LeaveTime, refuses later ones, waits for the
// requests in flight, up to ShutdownLimit, settles and returns the tokens.
func (r *Router) shutdown(clients, operators *receiver.Listener) error {
	logger.RouterDraining.Log(r.Log, "router", r.Name)
	r.leaving.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), r.ShutdownLimit)
	defer cancel()
	sleep(ctx, r.LeaveTime)
	r.draining.Store(true)
	r.drainClients(ctx, clients)
	operatorCtx, cancelOperators := context.WithTimeout(ctx, settleTime)
	operators.Drain(operatorCtx)
	cancelOperators()
	r.auditor.resolveAll(ctx)
	err := r.treasury.Stop(ctx)
	if err != nil {
		logger.RouterStopIncomplete.Log(r.Log, "router", r.Name, "error", err)
	} else {
		logger.RouterStopped.Log(r.Log, "router", r.Name)
	}
	r.agents.SetMembers(ctx, nil)
	r.peers.SetMembers(ctx, nil)
	r.server.Close()
	_ = r.FleetListener.Close()
	return err
}

const (
	// answerTime is how long requests that are ended may take to be answered: agents have cancelGrace.
	answerTime = cancelGrace + 500*time.Millisecond
	// settleTime is the part of ShutdownLimit that is kept for settling bills and returning tokens.
	settleTime = 500 * time.Millisecond
)

// drainClients waits until all clients' connections have ended, and ends the requests that still run shortly before ctx
// does.
func (r *Router) drainClients(ctx context.Context, ln *receiver.Listener) {
	deadline, _ := ctx.Deadline()
	answerBy := deadline.Add(-settleTime)
	finishCtx, cancel := context.WithDeadline(ctx, answerBy.Add(-answerTime))
	defer cancel()
	left := ln.Drain(finishCtx)
	if left == 0 {
		return
	}
	r.endRunning()
	answerCtx, cancelAnswers := context.WithDeadline(ctx, answerBy)
	defer cancelAnswers()
	logger.RouterStopIncomplete.Log(r.Log, "router", r.Name, "ended", left, "left", ln.Drain(answerCtx))
}

func (r *Router) setStuckHolders(holders []recoverer.StuckHolder) {
	r.stuckHolders.Store(&holders)
	var held int64
	for _, s := range holders {
		held += s.Held
	}
	r.metrics.stuckTokens.Set(float64(held))
}

func (r *Router) peerRefused(err error) {
	r.metrics.peersRefused.Inc()
	logger.PeerRefused.Log(r.Log, "error", err)
}

// Ready reports whether the router serves clients and can dispatch to at least n
// targets.
func (r *Router) Ready(n int) bool {
	return r.built.Load() && r.follower.Fleet() != nil && r.directory.linkedCount() >= n
}
