// Package gateway is the process on an entry host that serves callers straight
// from targets which register themselves with the platform.
//
// It matches a request to its route and organisation, reserves its cost from
// the router's stock, offers it to targets, passes on whole answers, and says
// "not run" only where that is certain.
//
// # Usage
//
//	g := &gateway.Gateway{Name: "router-1", Store: store, Dialect: dialect, Words: words, ...}
//	err := g.Run(ctx)
//
// The end of ctx starts a graceful stop: the gateway reports itself not ready,
// serves until the balancer has taken notice, lets running requests finish,
// returns its tokens and ends.
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

	"github.com/egretroute/egretroute/internal/connection/exchanger"
	"github.com/egretroute/egretroute/internal/connection/linker"
	"github.com/egretroute/egretroute/internal/connection/relayer"
	"github.com/egretroute/egretroute/internal/process/enroller"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/pauser"
	"github.com/egretroute/egretroute/internal/process/registrar"
	"github.com/egretroute/egretroute/internal/process/spender"
	"github.com/egretroute/egretroute/internal/process/storer"
	"github.com/egretroute/egretroute/internal/version/matcher"
)

// Store is what a gateway needs of the platform's store.
type Store interface {
	storer.Committer
	storer.Watcher
}

// PlatformSchema are the platform's names and decoders that a gateway uses.
type PlatformSchema struct {
	ConfigurationTable  string
	ConfigurationKey    string
	TargetTable         string
	ReadyPath           string
	DecodeConfiguration func(value []byte) (*matcher.Document, error)
	DecodeTarget        func(row storer.Row) (registrar.Entry, error)
	// KeyOf returns the key of a row within its table: a target's id, for one.
	KeyOf func(row storer.Row) string
	// RowKey returns the key of one of the fleet's own rows; rows of one part are
	// written one after another.
	RowKey func(table, part, key string) string
}

// Limits are the bounds within which a gateway works.
type Limits struct {
	// DrainDelay is how long a stopping gateway takes new connections.
	DrainDelay time.Duration
	// ShutdownTimeout is how long a stop may take in all.
	ShutdownTimeout time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound what a service gets beyond
	// the first send of each request, over the whole fleet.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// StockHorizon is the time for which stocks of tokens should last.
	StockHorizon time.Duration
}

// Gateway serves callers on an entry host.
//
// Exported fields are set before Run.
type Gateway struct {
	Name            string
	Incarnation     string
	Domain          string
	CallerListener  net.Listener
	ReadyListener   net.Listener
	MetricsListener net.Listener
	// FleetListener accepts links of other processes that prove the Secret.
	FleetListener net.Listener
	Secret        []byte
	// Seeds are addresses of other routers, of which some may be stale.
	Seeds       []string
	Store       Store
	HeaderCodec HeaderCodec
	Schema      PlatformSchema
	Limits      Limits
	// Background runs beside the gateway until it has stopped.
	Background []func(ctx context.Context)
	Log        *slog.Logger
	Registry   *prometheus.Registry

	limits  atomic.Pointer[Limits]
	matcher atomic.Pointer[matcher.Matcher]
	targets *registrar.Registrar
	fleet   *fleet
	pool    *exchanger.Pool
	beats   *spender.Heartbeater
	stock   *spender.Allocator
	retries *retryBudget
	metrics *metrics
	leaving atomic.Bool
	// active counts requests that have been read and not been answered whole.
	active   atomic.Int64
	feeds    sync.Map // table to feedState
	callers  *http.Server
	watching sync.WaitGroup
	peers    *peers
	known    *knownRows
	relays   *relayer.Server
	// store reaches the store directly or through other processes.
	store Store
}

const (
	// dialTimeout bounds a connection to a target: far above a round trip inside
	// a region, far below the time that callers have.
	dialTimeout = 300 * time.Millisecond
	// maxIdleConnections is how many connections are kept to a target.
	maxIdleConnections = 32
	// headerTimeout, idleTimeout and maxHeaderBytes bound what callers send; the
	// configuration's own limits are at most these.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 75 * time.Second
	maxHeaderBytes = 64 << 10
	// beatsSuffix keeps beats out of the part that settlements are queued in.
	beatsSuffix = ".beats"
	// budgetParts is the number of parts of the table of budgets: far more than the
	// store writes at a time.
	budgetParts = 256
	// stockInterval is how often settled costs are committed.
	stockInterval = time.Second
)

// Run serves until ctx ends, then stops gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	g.targets = registrar.New()
	g.fleet = newFleet()
	g.known = newKnownRows()
	g.pool = &exchanger.Pool{DialTimeout: dialTimeout, MaxIdle: maxIdleConnections}
	g.SetLimits(g.Limits)
	g.peers = g.newPeers()
	g.store = &relayer.Store{Direct: g.Store, Links: g.peers.links, Lost: g.directLost, Back: g.directBack}
	g.relays = &relayer.Server{Store: g.Store}
	g.retries = &retryBudget{Limits: g.limits.Load}
	g.metrics = newMetrics(g.Registry)
	g.beats = &spender.Heartbeater{
		CollectAllowances: func(seal func(map[string]spender.Allowance)) { g.stock.CollectAllowances(seal) }, OnConfirmed: func() { g.stock.HeartbeatConfirmed() },
		Table: g.store, Incarnation: g.Incarnation, Key: g.Schema.RowKey("beats", g.Name+beatsSuffix, g.Name),
		Routers: g.fleet.routers, OnLost: g.beatsFailed, OnRestored: g.beatsBack,
	}
	g.stock = &spender.Allocator{
		Table: g.store, Router: g.Name, Incarnation: g.Incarnation, BudgetKey: g.budgetKey,
		HoldingKey: func(organisation string) string { return g.Schema.RowKey("holdings", g.Name, organisation) },
		Horizon:    g.Limits.StockHorizon, Interval: stockInterval, OnCommit: g.stockCommitted,
		OnUnreadable: g.stockUnreadable, OnRecovered: g.stockRecovered, Heartbeats: g.beats,
	}
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	g.watching.Go(func() { g.followConfiguration(work) })
	g.watching.Go(func() { g.followTargets(work) })
	g.watching.Go(func() { g.followMembers(work) })
	g.watching.Go(func() { g.pushReports(work) })
	g.watching.Go(func() { g.learn(work) })
	g.watching.Go(func() { g.enroll(work) })
	g.watching.Go(func() { g.beats.Run(work) })
	stocking, stopStocking := context.WithCancel(work)
	defer stopStocking()
	g.watching.Go(func() { g.stock.Run(stocking) })
	g.callers = &http.Server{
		Handler: http.HandlerFunc(g.serveCall), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: slog.NewLogLogger(g.Log.Handler(), slog.LevelDebug),
	}
	ready := &http.Server{Handler: http.HandlerFunc(g.serveReady), ReadHeaderTimeout: headerTimeout}
	for _, run := range g.Background {
		g.watching.Go(func() { run(work) })
	}
	links := &linker.Server{
		Secret: g.Secret, Self: linker.Identity{Name: g.Name, Incarnation: g.Incarnation}, Handler: g, Log: g.Log,
		Refused: func(err error) { logger.PeerRefused.Log(g.Log, "error", err) },
	}
	defer links.Close()
	failed := make(chan error, 3)
	go func() { failed <- links.Serve(g.FleetListener) }()
	go func() { failed <- g.callers.Serve(g.CallerListener) }()
	go func() { failed <- ready.Serve(g.ReadyListener) }()
	if g.MetricsListener != nil {
		go g.serveMetrics()
	}
	logger.GatewayStarted.Log(g.Log, "router", g.Name, "incarnation", g.Incarnation, "domain", g.Domain)
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	g.stop(stopStocking)
	stopWork()
	g.watching.Wait()
	_ = ready.Close()
	return nil
}

// SetLimits changes the bounds within which a running gateway works; the stock
// horizon stays.
func (g *Gateway) SetLimits(l Limits) {
	g.limits.Store(&l)
}

// stop lets the balancer take notice, finishes running requests and returns all
// tokens, those that are free already while the last requests run.
func (g *Gateway) stop(stopStocking func()) {
	begun, limits := time.Now(), g.limits.Load()
	g.leaving.Store(true)
	logger.GatewayDraining.Log(g.Log, "router", g.Name, "running", g.fleet.running())
	time.Sleep(limits.DrainDelay)
	stopStocking()
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(limits.ShutdownTimeout-exitTime))
	defer cancel()
	finish, cancelFinish := context.WithDeadline(ctx, begun.Add(limits.ShutdownTimeout-exitTime-returnTime))
	defer cancelFinish()
	var finished atomic.Bool
	var returning sync.WaitGroup
	returning.Go(func() { g.stock.Close(ctx, finished.Load) })
	go func() { _ = g.callers.Shutdown(finish) }() // it waits for idle connections that the loop below doesn't
	g.waitQuiet(finish)
	finished.Store(true)
	returning.Wait()
	logger.GatewayStopped.Log(g.Log, "router", g.Name, "took", time.Since(begun), "cut", g.active.Load())
	_ = g.callers.Close()
}

// waitQuiet waits until no request has run for quietTime.
func (g *Gateway) waitQuiet(ctx context.Context) {
	quiet := time.Now()
	for ctx.Err() == nil && time.Since(quiet) < quietTime {
		if g.active.Load() > 0 {
			quiet = time.Now()
		}
		pauser.Pause(ctx, quietTime/10)
	}
}

const (
	// returnTime is kept of the stop time for the return of tokens, exitTime for
	// the end of the process.
	returnTime = 700 * time.Millisecond
	exitTime   = 300 * time.Millisecond
	// quietTime is how long a connection that was just opened may take to bring
	// its request.
	quietTime = 500 * time.Millisecond
)

func (g *Gateway) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != g.Schema.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if g.leaving.Load() || !g.serving() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (g *Gateway) stockCommitted(rows int, err error) {
	g.metrics.commits.WithLabelValues(outcomeOf(err)).Inc()
	if err != nil && !errors.Is(err, storer.ErrConflict) {
		logger.BudgetCommitFailed.Log(g.Log, "rows", rows, "error", err)
	}
}

func (g *Gateway) stockUnreadable(organisation string, err error) {
	logger.BudgetRowUnreadable.Log(g.Log, "organisation", organisation, "error", err)
}

func (g *Gateway) stockRecovered(organisation string, spent, returned int64) {
	logger.HoldingRecovered.Log(g.Log, "organisation", organisation, "spent", spent, "returned", returned)
}

// enroll makes the gateway known to the fleet's other processes.
func (g *Gateway) enroll(ctx context.Context) {
	e := &enroller.Enroller{Store: g.store, Key: g.Schema.RowKey(membersTable, "", g.Name), Self: enroller.Member{
		Name: g.Name, Incarnation: g.Incarnation, Kind: enroller.Router, Address: g.FleetListener.Addr().String(),
		Domain: g.Domain,
	}}
	if err := e.Run(ctx); err == nil {
		logger.MemberEnrolled.Log(g.Log, "host", g.Name, "address", g.FleetListener.Addr().String())
	}
}

// budgetKey spreads budgets over parts, of which the platform writes each by itself.
func (g *Gateway) budgetKey(organisation string) string {
	part := strconv.FormatUint(xxhash.Sum64String(organisation)%budgetParts, 10)
	return g.Schema.RowKey("budgets", part, organisation)
}

func (g *Gateway) directLost(err error) {
	logger.StoreDirectPathLost.Log(g.Log, "router", g.Name, "error", err)
}

func (g *Gateway) directBack() {
	logger.StoreDirectPathRestored.Log(g.Log, "router", g.Name)
}

func (g *Gateway) beatsFailed(err error) {
	logger.HeartbeatFailed.Log(g.Log, "router", g.Name, "error", err)
}

func (g *Gateway) beatsBack(silence time.Duration) {
	logger.HeartbeatRecovered.Log(g.Log, "router", g.Name, "silence", silence)
}

func outcomeOf(err error) string {
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
