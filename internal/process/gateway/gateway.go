// Package gateway implements the process on an entry host that forwards clients'
// requests directly to targets, which register themselves with the platform.
//
// It matches a request to its route and organisation, reserves its maximum cost from
// the router's holding, forwards it to targets until one responds, and returns complete
// responses or, for a stream, complete events. It reports a request as not run only if
// that is certain.
//
// To the rest of the fleet a gateway is a router: it enrolls as one, and this package
// calls gateways routers.
//
// # Usage
//
//	g := &gateway.Gateway{Name: "router-1", Store: store, HeaderCodec: codec, Schema: schema, ...}
//	err := g.Run(ctx)
//
// Canceling ctx starts a graceful shutdown: the gateway reports itself as not ready,
// keeps serving until the load balancer has noticed, waits for running requests,
// returns its tokens and stops.
package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/egretroute/egretroute/internal/connection/budgeter"
	"github.com/egretroute/egretroute/internal/connection/exchanger"
	"github.com/egretroute/egretroute/internal/connection/limiter"
	"github.com/egretroute/egretroute/internal/connection/linker"
	"github.com/egretroute/egretroute/internal/connection/receiver"
	"github.com/egretroute/egretroute/internal/connection/relayer"
	"github.com/egretroute/egretroute/internal/process/archiver"
	"github.com/egretroute/egretroute/internal/process/enroller"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/reconciler"
	"github.com/egretroute/egretroute/internal/process/recorder"
	"github.com/egretroute/egretroute/internal/process/registrar"
	"github.com/egretroute/egretroute/internal/process/spender"
	"github.com/egretroute/egretroute/internal/process/storer"
	"github.com/egretroute/egretroute/internal/request/admitter"
	"github.com/egretroute/egretroute/internal/request/estimator"
	"github.com/egretroute/egretroute/internal/request/retrier"
	"github.com/egretroute/egretroute/internal/request/suspecter"
	"github.com/egretroute/egretroute/internal/version/drainer"
	"github.com/egretroute/egretroute/internal/version/matcher"
)

// Store is the part of the platform's store that a gateway uses.
type Store interface {
	storer.Committer
	storer.Watcher
}

// PlatformSchema holds the names, paths and decoders of the platform that a gateway
// uses.
type PlatformSchema struct {
	ConfigurationTable  string
	ConfigurationKey    string
	TargetTable         string
	ReadyPath           string
	DecodeConfiguration func(value []byte) (*matcher.Document, error)
	DecodeTarget        func(row storer.Row) (registrar.Entry, error)
	// DrainedDomain returns the failure domain that a row of ConfigurationTable orders to be drained; ok is false
	// for other rows.
	DrainedDomain func(row storer.Row) (domain string, ok bool)
	// KeyOf returns the key of a row within its table, for example a target's ID.
	KeyOf func(row storer.Row) string
	// RowKey returns the full key of one of the fleet's own rows. The platform commits
	// writes to the same part one after another.
	RowKey func(table, part, key string) string
}

// Limits holds the timeouts and retry limits of a gateway.
type Limits struct {
	// DrainDelay is how long a gateway accepts new connections after a shutdown has
	// begun.
	DrainDelay time.Duration
	// ShutdownTimeout bounds the whole shutdown, DrainDelay included.
	ShutdownTimeout time.Duration
	// Retries bounds the retries of each service over the whole fleet.
	Retries retrier.Limits
	// A cold target tolerates ColdOverage times the requests a second that the configuration states, and
	// ColdTolerance more.
	ColdOverage   float64
	ColdTolerance float64
	// StockHorizon is the time for which holdings of tokens should last.
	StockHorizon time.Duration
}

// Gateway serves clients on an entry host.
//
// Exported fields are set before Run.
type Gateway struct {
	Name        string
	Incarnation string
	Domain      string
	// Regions maps failure domains to their regions.
	Regions         map[string]string
	ClientListener  net.Listener
	ReadyListener   net.Listener
	MetricsListener net.Listener
	// FleetListener accepts links from processes that prove knowledge of Secret.
	FleetListener net.Listener
	Secret        []byte
	// Seeds are addresses of other routers; some of them may be stale.
	Seeds       []string
	Store       Store
	HeaderCodec HeaderCodec
	Schema      PlatformSchema
	Limits      Limits
	// MaxDescriptors is how many descriptors the process may open; 0 means that clients'
	// connections are not bounded.
	MaxDescriptors int
	// Budget is the memory for clients; nil means that there is no bound.
	Budget *budgeter.Budget
	// ProcessorShare is the process's share of a processor in cores, LinkMbps the rate of its host's link;
	// 0 means unknown. Unless one of them is known the gateway never leaves the load balancer's rotation.
	ProcessorShare float64
	LinkMbps       float64
	// FirstStart is set while the whole fleet starts for the first time: a store without rows
	// has not lost any then.
	FirstStart bool
	// Background functions run until the gateway has stopped.
	Background []func(ctx context.Context)
	Log        *slog.Logger
	Registry   *prometheus.Registry

	limits     atomic.Pointer[Limits]
	matcher    atomic.Pointer[matcher.Matcher]
	targets    *registrar.Registrar
	drains     *drainer.Drainer
	tracker    *targetTracker
	pool       *exchanger.Pool
	heartbeats *spender.Heartbeater
	allocator  *spender.Allocator
	retries    *retrier.Budget
	startedAt  time.Time
	// enrolledAt is when this process's row was written to the members table.
	enrolledAt atomic.Pointer[time.Time]
	metrics    *metrics
	draining   atomic.Bool
	// stopBegan is when the process began to stop and stopsAt when running requests are cut, nil unless it stops.
	stopBegan atomic.Pointer[time.Time]
	stopsAt   atomic.Pointer[time.Time]
	// refusing is set once a process that stops takes no more requests, cutting once it closes the connections of those
	// that still run.
	refusing atomic.Bool
	cutting  atomic.Bool
	// running ends when endRunning is called, shortly before: requests that a target runs are then answered as such whose
	// time is up.
	running    context.Context
	endRunning context.CancelFunc
	durations  estimator.Estimator
	// activeRequests counts requests whose headers were read and whose response is not
	// complete.
	activeRequests atomic.Int64
	// forwarding counts those that are being forwarded to targets or wait for one.
	forwarding   atomic.Int64
	feeds        sync.Map // table to feedState
	currency     currency
	clientServer *http.Server
	listener     *receiver.Listener
	// clients bounds clients' connections; levelLoggedAt is when its level was last logged.
	clients       *limiter.Limiter
	levelLoggedAt atomic.Pointer[time.Time]
	workers       sync.WaitGroup
	peers         *peerLinks
	rowCache      *rowCache
	relayServer   *relayer.Server
	// store calls Store directly or relays calls through other processes, and keeps replies of
	// different eras apart.
	store Store
	// reconciler lets the allocator draw again after the store has come back from a copy;
	// recorder holds other routers' draws.
	reconciler  *reconciler.Reconciler
	recorder    *recorder.Recorder
	enrollAgain chan struct{}
	enroller    *enroller.Enroller
	// era is the store's newest era known.
	era atomic.Uint64
	// unrecordedSince is when draws could no longer be recorded, nil while they can be.
	unrecordedSince atomic.Pointer[time.Time]
	shortages       admitter.Shortages
	// lag is the last measurement of how late the process is.
	lag         atomic.Pointer[lagSample]
	concurrency admitter.Concurrency
	rotation    rotation
	// loans counts the loans that this gateway has asked for.
	loans atomic.Uint64
	// suspects holds the crashes that the fleet has seen, crashes exchanges them with other
	// routers.
	suspects *suspecter.Suspecter
	crashes  suspecter.Exchange[*linker.Link]
	// causes holds what suspects takes for causes of crashes, as far as it was logged.
	causes causeList
	// crashesKnown is set once the crashes that others have seen are loaded.
	crashesKnown atomic.Bool
	archiver     *archiver.Archiver
}

const (
	// dialTimeout bounds the dial to a target: far above a round trip inside a region,
	// far below the time that clients wait.
	dialTimeout = 300 * time.Millisecond
	// maxIdleConnections is the maximum number of idle connections to each target.
	maxIdleConnections = 32
	// headerTimeout, idleTimeout and maxHeaderBytes are the limits on client
	// connections. The configuration's own limits are at most these.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 75 * time.Second
	maxHeaderBytes = 64 << 10
	// heartbeatsSuffix gives heartbeats a part of their own, so that they don't queue
	// behind settlements.
	heartbeatsSuffix = ".beats"
	// budgetParts is the number of parts of the budgets table: far more than the store
	// writes at a time.
	budgetParts = 256
	// settlementInterval is how often settled costs are committed.
	settlementInterval = time.Second
)

// Run serves until ctx ends and then shuts down gracefully. It returns an error if a
// server fails before that.
func (g *Gateway) Run(ctx context.Context) error {
	g.startedAt = time.Now()
	g.targets, g.drains = registrar.New(), drainer.New()
	g.tracker = newTargetTracker(func() int { return g.peers.routers.LiveCount() }, g.membership, g.warmup)
	g.rowCache = newRowCache()
	g.pool = &exchanger.Pool{DialTimeout: dialTimeout, MaxIdle: maxIdleConnections}
	g.SetLimits(g.Limits)
	g.suspects = suspecter.New(time.Now)
	g.suspects.SettleTime = crashSettleTime
	g.crashes.Suspecter, g.crashes.Scope = g.suspects, suspecter.Own
	g.peers = g.newPeerLinks()
	g.store = &storer.Guard{
		Store: &relayer.Store{Direct: g.Store, Links: g.peers.links, WideLinks: g.peers.companionLinks, OnLost: g.onDirectLost, OnRestored: g.onDirectRestored},
		OnEra: g.onEra, OnStale: g.onStaleReply,
	}
	g.recorder, g.enrollAgain, g.enroller = recorder.New(time.Now), make(chan struct{}, 1), g.newEnroller()
	g.archiver = g.newArchiver()
	g.relayServer = &relayer.Server{Store: g.Store}
	g.retries = &retrier.Budget{Limits: func() retrier.Limits { return g.limits.Load().Retries }}
	if g.Budget == nil {
		g.Budget = &budgeter.Budget{}
	}
	g.Budget.OnShortage = g.onShortage
	g.clients = g.newClientLimiter()
	g.metrics = newMetrics(g.Registry, gauges{
		clientConnections: func() float64 { return float64(g.clients.Open()) }, limitedTargets: func() float64 { return float64(g.tracker.limitedCount()) },
		coldTargets: func() float64 { return float64(len(g.coldTargets(time.Now()))) }, crashCauses: func() float64 { return float64(g.causes.count()) },
		drainedDomains: func() float64 { return float64(len(g.drains.Domains(time.Now()))) },
	})
	if g.Registry != nil {
		g.Registry.MustRegister(newLoadCollector(g))
	}
	g.heartbeats = &spender.Heartbeater{
		CollectAllowances: func(collect func(map[string]spender.Allowance)) { g.allocator.CollectAllowances(collect) }, OnConfirmed: func() { g.allocator.HeartbeatConfirmed() },
		Table: g.store, Incarnation: g.Incarnation, Key: g.Schema.RowKey("beats", g.Name+heartbeatsSuffix, g.Name),
		Routers: g.peers.routerCount, OnLost: g.onHeartbeatLost, OnRestored: g.onHeartbeatRestored,
	}
	g.allocator = &spender.Allocator{
		Table: g.store, Router: g.Name, Incarnation: g.Incarnation, BudgetKey: g.budgetKey,
		HoldingKey: func(organisation string) string { return g.holdingKey(g.Name, organisation) },
		Horizon:    g.Limits.StockHorizon, Interval: settlementInterval, OnCommit: g.onBudgetCommit,
		OnUnreadable: g.onRowUnreadable, OnRecovered: g.onHoldingRecovered, Heartbeats: g.heartbeats,
		StockRank: g.stockRank, SharesStocks: g.sharesStocks, Record: g.recordDraws, OnRebased: g.onRebased,
	}
	g.reconciler = g.newReconciler()
	g.running, g.endRunning = context.WithCancel(context.WithoutCancel(ctx))
	defer g.endRunning()
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	enrollCtx, stopEnrolling := context.WithCancel(workCtx)
	defer stopEnrolling()
	g.workers.Go(func() { g.followConfiguration(workCtx) })
	g.workers.Go(func() { g.followTargets(workCtx) })
	g.workers.Go(func() { g.followMembers(workCtx) })
	g.workers.Go(func() { g.tendMembers(workCtx) })
	g.workers.Go(func() { g.followCrashes(workCtx) })
	g.workers.Go(func() { g.archiver.Run(workCtx) })
	g.workers.Go(func() { g.pushReports(workCtx) })
	g.workers.Go(func() { g.watchLag(workCtx) })
	g.workers.Go(func() { g.watchRotation(workCtx) })
	g.workers.Go(func() { g.fetchFromPeers(workCtx) })
	var enrolling sync.WaitGroup
	enrolling.Go(func() { g.enroll(enrollCtx) })
	g.workers.Go(func() { g.reconciler.Run(workCtx) })
	g.workers.Go(func() { g.heartbeats.Run(workCtx) })
	allocatorCtx, stopAllocator := context.WithCancel(workCtx)
	defer stopAllocator()
	g.workers.Go(func() { g.allocator.Run(allocatorCtx) })
	g.clientServer = &http.Server{
		Handler: receiver.Handler(http.HandlerFunc(g.serveRequest)), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: receiver.MaxHeaderBytes(maxHeaderBytes), DisableGeneralOptionsHandler: true, ConnState: g.onConnState, ConnContext: connContext,
		ErrorLog: slog.NewLogLogger(g.Log.Handler(), slog.LevelWarn),
	}
	readyServer := receiver.NewOtherServer(http.HandlerFunc(g.serveReady))
	g.workers.Go(func() { g.Budget.Run(workCtx) })
	for _, run := range g.Background {
		g.workers.Go(func() { run(workCtx) })
	}
	linkServer := &linker.Server{
		Secret: g.Secret, Self: linker.Identity{Name: g.Name, Incarnation: g.Incarnation}, Handler: g, Log: g.Log,
		MaxPending: linker.MaxPending(g.MaxDescriptors),
		OnRefused:  func(err error) { logger.PeerRefused.Log(g.Log, "error", err) },
	}
	defer linkServer.Close()
	failed := make(chan error, 3)
	go func() { failed <- linkServer.Serve(g.FleetListener) }()
	g.listener = g.clientListener()
	go func() { failed <- g.clientServer.Serve(g.listener) }()
	go func() { failed <- readyServer.Serve(receiver.NewOtherListener(g.ReadyListener, g.Budget)) }()
	if g.MetricsListener != nil {
		go g.serveMetrics()
	}
	logger.GatewayStarted.Log(g.Log, "router", g.Name, "incarnation", g.Incarnation, "domain", g.Domain, "firstStart", g.FirstStart)
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	g.shutdown(stopAllocator)
	stopEnrolling()
	enrolling.Wait()
	g.leave()
	stopWork()
	g.workers.Wait()
	_ = readyServer.Close()
	return nil
}

// SetLimits changes the limits of a running gateway, except for StockHorizon.
func (g *Gateway) SetLimits(l Limits) {
	g.limits.Store(&l)
}

// shutdown serves until the load balancer has noticed. Then it refuses what still comes, waits for running requests and
// returns all tokens; those that are already free are returned while the last requests run.
func (g *Gateway) shutdown(stopAllocator func()) {
	startedAt, limits := time.Now(), g.limits.Load()
	stopsAt := startedAt.Add(limits.ShutdownTimeout - exitTime - tokenReturnTime)
	g.stopBegan.Store(&startedAt)
	g.stopsAt.Store(&stopsAt)
	g.draining.Store(true)
	logger.GatewayDraining.Log(g.Log, "router", g.Name, "running", g.tracker.runningCount())
	time.Sleep(limits.DrainDelay)
	g.refusing.Store(true)
	stopAllocator()
	ctx, cancel := context.WithDeadline(context.Background(), startedAt.Add(limits.ShutdownTimeout-exitTime))
	defer cancel()
	var finished atomic.Bool
	var returnTokens sync.WaitGroup
	returnTokens.Go(func() { g.allocator.Close(ctx, finished.Load) })
	left := g.drainClients(ctx, stopsAt)
	finished.Store(true)
	returnTokens.Wait()
	logger.GatewayStopped.Log(g.Log, "router", g.Name, "took", time.Since(startedAt), "cut", g.activeRequests.Load(), "connections", left)
	g.cutting.Store(true)
	_ = g.clientServer.Close()
}

// drainClients waits until all clients' connections have ended, and from stopsAt on ends the requests that still run. It
// returns the number of connections that are left.
func (g *Gateway) drainClients(ctx context.Context, stopsAt time.Time) int {
	finishCtx, cancel := context.WithDeadline(ctx, stopsAt)
	defer cancel()
	left := g.listener.Drain(finishCtx)
	if left == 0 {
		return 0
	}
	g.endRunning()
	answerCtx, cancelAnswers := context.WithTimeout(ctx, answerTime)
	defer cancelAnswers()
	return g.listener.Drain(answerCtx)
}

const (
	// tokenReturnTime and exitTime are the parts of ShutdownTimeout that are kept for
	// returning tokens and for the exit of the process.
	tokenReturnTime = 700 * time.Millisecond
	exitTime        = 300 * time.Millisecond
	// answerTime is the part of tokenReturnTime in which requests that are ended get their answers.
	answerTime = 300 * time.Millisecond
	// leaveTime is the part of exitTime in which the fleet is told.
	leaveTime = 200 * time.Millisecond
)

func (g *Gateway) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != g.Schema.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if g.draining.Load() || !g.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !g.wantsConnections() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (g *Gateway) onBudgetCommit(rows int, err error) {
	g.metrics.commits.WithLabelValues(commitOutcome(err)).Inc()
	if err != nil && !errors.Is(err, storer.ErrConflict) {
		logger.BudgetCommitFailed.Log(g.Log, "rows", rows, "error", err)
	}
}

func (g *Gateway) onRowUnreadable(organisation string, err error) {
	logger.BudgetRowUnreadable.Log(g.Log, "organisation", organisation, "error", err)
}

func (g *Gateway) onHoldingRecovered(organisation string, spent, returned int64) {
	logger.HoldingRecovered.Log(g.Log, "organisation", organisation, "spent", spent, "returned", returned)
}

func (g *Gateway) onRebased(era storer.Era, accounts int, drawn int64) {
	logger.HoldingsRebased.Log(g.Log, "era", era, "rows", accounts, "tokens", drawn)
}

// budgetKey returns the key of an organisation's budget row. Budgets are spread over
// parts because the platform commits each part independently.
func (g *Gateway) budgetKey(organisation string) string {
	part := strconv.FormatUint(xxhash.Sum64String(organisation)%budgetParts, 10)
	return g.Schema.RowKey("budgets", part, organisation)
}

func (g *Gateway) onDirectLost(err error) {
	logger.StoreDirectPathLost.Log(g.Log, "router", g.Name, "error", err)
}

func (g *Gateway) onDirectRestored() {
	logger.StoreDirectPathRestored.Log(g.Log, "router", g.Name)
}

func (g *Gateway) onHeartbeatLost(err error) {
	logger.HeartbeatFailed.Log(g.Log, "router", g.Name, "error", err)
}

func (g *Gateway) onHeartbeatRestored(sinceHeartbeat time.Duration) {
	logger.HeartbeatRecovered.Log(g.Log, "router", g.Name, "silence", sinceHeartbeat)
}

func commitOutcome(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, storer.ErrConflict):
		return "conflict"
	case errors.Is(err, storer.ErrRefused):
		return "refused"
	default:
		return "unanswered"
	}
}
