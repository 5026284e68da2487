// Package router is the process on an entry host: it admits callers' requests,
// reserves their worst case, picks a target, streams the answer back and bills
// what was used. It also serves operators.
//
// # Usage
//
//	r := &router.Router{Name: "router-1", Domain: "derby-hall", Table: table, ...}
//	err := r.Run(ctx)
//
// Everything a router keeps is soft: what must last is at the platform, and
// every promise holds if the process ends at any moment.
//
// Lock order: Router has no lock of its own around those of its parts; audits.mu,
// sheet.mu and links' locks are leaves.
package router

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/egretroute/egretroute/internal/connection/connector"
	"github.com/egretroute/egretroute/internal/connection/linker"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/recoverer"
	"github.com/egretroute/egretroute/internal/process/reporter"
	"github.com/egretroute/egretroute/internal/process/spender"
	"github.com/egretroute/egretroute/internal/process/storer"
	"github.com/egretroute/egretroute/internal/process/treasurer"
	"github.com/egretroute/egretroute/internal/request/chooser"
	"github.com/egretroute/egretroute/internal/request/suspecter"
	"github.com/egretroute/egretroute/internal/version/declarer"
	"github.com/egretroute/egretroute/internal/version/follower"
	"github.com/egretroute/egretroute/internal/version/patcher"
)

const (
	heartbeatInterval = time.Second
	// agentBeatBytes and peerBeatBytes bound the heartbeats of a router to many
	// processes, in bytes a second.
	agentBeatBytes = 1000
	peerBeatBytes  = 500
	pollInterval   = 2 * time.Second
	headerTimeout  = 10 * time.Second
)

// Operator may use the operators' API.
type Operator struct {
	Name string
	// KeyHash is the lower-case hexadecimal SHA-256 of the operator's key.
	KeyHash string
	// Viewer operators may look but not change.
	Viewer bool
}

// Router serves callers and operators.
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
	ShutdownLimit time.Duration
	Operators     []Operator
	Log           *slog.Logger
	Registry      *prometheus.Registry

	// The listeners are opened by the caller of Run.
	CallerListener   net.Listener
	OperatorListener net.Listener
	FleetListener    net.Listener

	runner    string // unique to this start; attempts are numbered under it
	follower  *follower.Follower
	patcher   *patcher.Patcher
	treasury  *treasurer.Treasurer
	recovery  *recoverer.Recoverer
	suspects  *suspecter.Suspecter
	agents    *connector.Connector
	peers     *connector.Connector
	chooser   chooser.Chooser
	server    *linker.Server
	metrics   *metrics
	audits    *audits
	handovers handovers
	owners    owners
	retries   retries
	sheet     sheet
	scores    *reporter.BurnTracker
	attempts  atomic.Uint64
	built     atomic.Bool // the parts above are made
	leaving   atomic.Bool
	stuck     atomic.Pointer[[]recoverer.StuckHolder]
}

// Run serves until ctx ends, then finishes what is in flight, settles, returns
// its tokens and closes its incarnation.
func (r *Router) Run(ctx context.Context) error {
	r.build()
	r.built.Store(true)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	operators := &http.Server{Handler: r.operatorAPI(), ReadHeaderTimeout: headerTimeout}
	go func() { _ = operators.Serve(r.OperatorListener) }()
	defer operators.Close()
	r.treasury.Start(background)
	go func() { _ = r.server.Serve(r.FleetListener) }()
	r.peers.Set(background, r.Peers)
	logger.RouterStarted.Log(r.Log, "router", r.Name, "fleetAddress", r.FleetAddress)
	go r.followLoop(background)
	go r.recovery.Run(background)
	go r.audits.run(background)
	go r.owners.run(background, r.Table, r.services)
	callers := &http.Server{Handler: r.callerAPI(), ReadHeaderTimeout: headerTimeout}
	served := make(chan error, 1)
	go func() { served <- callers.Serve(r.CallerListener) }()
	select {
	case err := <-served:
		return errors.Wrap(err, "serve callers")
	case <-ctx.Done():
	}
	return r.shutdown(callers)
}

// build makes the parts of the router.
func (r *Router) build() {
	r.runner = treasurer.NewIncarnation(r.Name)
	r.metrics = newMetrics(r.Registry)
	r.chooser = chooser.NewPrefixAffinity()
	r.suspects = suspecter.New(time.Now)
	r.patcher = &patcher.Patcher{Table: r.Table}
	r.follower = &follower.Follower{Changed: r.adopt}
	r.audits = &audits{router: r}
	r.scores = reporter.NewBurnTracker(time.Now)
	r.agents = &connector.Connector{
		Self: r.identity, Secret: r.Secret, Interval: heartbeatInterval,
		BytesPerSecond: agentBeatBytes, Beat: r.beatAgent, Up: r.agentUp, Down: r.agentDown,
	}
	r.peers = &connector.Connector{
		Self: r.identity, Secret: r.Secret, Interval: heartbeatInterval,
		BytesPerSecond: peerBeatBytes, Beat: r.beatPeer, Up: r.peerUp, Down: r.peerDown,
	}
	r.treasury = &treasurer.Treasurer{
		Table: r.Table, Policy: r.Policy, Router: r.Name, Domain: r.Domain, Address: r.FleetAddress,
		Interval: r.FlushInterval, Peers: lender{r}, Log: r.Log, OnDurable: r.billsDurable,
	}
	r.recovery = &recoverer.Recoverer{
		Self: r.Name, Table: r.Table, Fleet: recoveryLinks{r}, Interval: r.FlushInterval, Log: r.Log,
		IsPrimary: r.isScanner, OnStuck: r.noteStuck,
	}
	r.server = &linker.Server{
		Secret: r.Secret, Self: linker.Identity{Name: r.Name}, Handler: peerHandler{r}, Refused: r.peerRefused,
	}
}

// identity returns how this router names itself to the processes it dials.
func (r *Router) identity() linker.Identity {
	return linker.Identity{Name: r.Name}
}

// followLoop keeps up with the configuration at the platform.
func (r *Router) followLoop(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		_ = r.follower.Poll(ctx, r.Table)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// adopt takes over a new version of the configuration.
func (r *Router) adopt(f *declarer.Fleet) {
	r.sheet.set(f)
	r.scores.SetObjectives(f.Objectives)
	r.agents.Set(context.Background(), linkedTargets(f, r.Domain))
	r.agents.NudgeAll()
	r.watchBudgets(f)
	r.metrics.version.Set(float64(f.Version))
	if r.follower.Version() == 0 {
		logger.RouterReady.Log(r.Log, "version", f.Version)
	}
	logger.VersionApplied.Log(r.Log, "version", f.Version)
}

// services returns how many plain services the fleet has.
func (r *Router) services() int {
	fleet := r.follower.Fleet()
	if fleet == nil {
		return 0
	}
	return len(fleet.Services)
}

// maxWatchedBudgets is the most budgets of which every router holds a share
// before any demand.
const maxWatchedBudgets = 200

func (r *Router) watchBudgets(f *declarer.Fleet) {
	if len(f.Organisations) > maxWatchedBudgets {
		return
	}
	names := make([]string, len(f.Organisations))
	for i, o := range f.Organisations {
		names[i] = o.Name
	}
	r.treasury.OpenAccounts(names)
}

// shutdown ends the router without cutting off a request.
func (r *Router) shutdown(callers *http.Server) error {
	logger.RouterDraining.Log(r.Log, "router", r.Name)
	r.leaving.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), r.ShutdownLimit)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		logger.RouterStopIncomplete.Log(r.Log, "router", r.Name, "error", err)
	}
	r.audits.settle(ctx)
	err := r.treasury.Stop(ctx)
	if err != nil {
		logger.RouterStopIncomplete.Log(r.Log, "router", r.Name, "error", err)
	} else {
		logger.RouterStopped.Log(r.Log, "router", r.Name)
	}
	r.agents.Set(ctx, nil)
	r.peers.Set(ctx, nil)
	r.server.Close()
	_ = r.FleetListener.Close()
	return err
}

func (r *Router) noteStuck(all []recoverer.StuckHolder) {
	r.stuck.Store(&all)
	var held int64
	for _, s := range all {
		held += s.Held
	}
	r.metrics.stuck.Set(float64(held))
}

func (r *Router) peerRefused(err error) {
	r.metrics.peersRefused.Inc()
	logger.PeerRefused.Log(r.Log, "error", err)
}

// Ready reports whether the router serves callers and sees at least n targets.
func (r *Router) Ready(n int) bool {
	return r.built.Load() && r.follower.Fleet() != nil && r.sheet.linkedCount() >= n
}
