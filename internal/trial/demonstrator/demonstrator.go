// Package demonstrator runs a whole fleet in one process on loopback, with
// stand-ins for the platform, the engines and a service. The demo command and
// tests use it.
//
// # Usage
//
//	d := &demonstrator.Demonstrator{Routers: 2, Engines: 2, Services: 1, Organisations: orgs}
//	err := d.Start(ctx)
//	defer d.Stop()
//	http.Post(d.ClientURL(0)+"/v1/chat/completions", ...)
package demonstrator

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/egretroute/egretroute/internal/process/agent"
	"github.com/egretroute/egretroute/internal/process/bookkeeper"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/router"
	"github.com/egretroute/egretroute/internal/process/spender"
	"github.com/egretroute/egretroute/internal/process/storer"
	"github.com/egretroute/egretroute/internal/process/treasurer"
	"github.com/egretroute/egretroute/internal/request/claimer"
	"github.com/egretroute/egretroute/internal/request/queuer"
	"github.com/egretroute/egretroute/internal/request/suspecter"
	"github.com/egretroute/egretroute/internal/standin/generator"
	"github.com/egretroute/egretroute/internal/standin/orderserver"
	"github.com/egretroute/egretroute/internal/standin/storekeeper"
	"github.com/egretroute/egretroute/internal/version/declarer"
	"github.com/egretroute/egretroute/internal/version/follower"
	"github.com/egretroute/egretroute/internal/version/patcher"
)

// Names and the operators' key in the fleets that Start assembles.
const (
	Model       = "small-llm"
	Service     = "small-desk"
	OperatorKey = "operator-key"
)

const (
	secret            = "demonstrator-secret"
	readyTimeout      = 20 * time.Second
	readyPollInterval = 20 * time.Millisecond
	platformTimeout   = 500 * time.Millisecond
	shutdownLimit     = 20 * time.Second
	// leaveTime is shorter than a load balancer needs, as clients here use one router.
	leaveTime       = time.Second
	writesPerSecond = 400
	readsPerSecond  = 2000
)

// Demonstrator runs a fleet in one process.
//
// Exported fields are set before Start.
type Demonstrator struct {
	Routers       int
	Engines       int
	Services      int
	Capacity      int
	TokenTime     time.Duration
	OrderTime     time.Duration
	Organisations []declarer.Organisation
	FlushInterval time.Duration
	Log           io.Writer
	// ShutdownLimit bounds the shutdown of a router; 20 s if it is 0.
	ShutdownLimit time.Duration
	// WrapClientListener, if set, wraps the listeners of routers for clients.
	WrapClientListener func(*net.TCPListener) net.Listener

	Platform   *storekeeper.Storekeeper
	Generators []*generator.Generator
	Orders     *orderserver.Server

	routers      []*node
	agents       []*node
	platformAddr string
	targets      []declarer.Target
	routerAddrs  map[string]string
	log          *slog.Logger
	ctx          context.Context
	cancel       context.CancelFunc
}

// node is one running router or agent.
type node struct {
	name        string
	clientURL   string
	operatorURL string
	router      *router.Router
	stop        context.CancelFunc
	done        chan error
}

// await waits until the node has ended and returns its error; it may be called again.
func (n *node) await() error {
	err := <-n.done
	n.done <- err
	return err
}

// Start starts the fleet and waits until every router is ready.
func (d *Demonstrator) Start(ctx context.Context) error {
	d.fillDefaults()
	d.ctx, d.cancel = context.WithCancel(ctx)
	d.log = logger.New(d.Log, slog.LevelInfo)
	d.Platform = storekeeper.New(storekeeper.Limits{WritesPerSecond: writesPerSecond, ReadsPerSecond: readsPerSecond})
	d.platformAddr = d.serve(d.Platform.Handler())
	for i := range d.Engines {
		d.startEngine(i)
	}
	d.Orders = orderserver.New(d.OrderTime)
	serviceAddr := d.serve(d.Orders.Handler())
	for i := range d.Services {
		d.startAgent(fmt.Sprintf("%s-%d", Service, i+1), Service, agent.NewService("http://"+serviceAddr, Service))
	}
	if err := d.applyConfiguration(); err != nil {
		return err
	}
	if err := d.startRouters(); err != nil {
		return err
	}
	return d.awaitReady()
}

func (d *Demonstrator) fillDefaults() {
	if d.Capacity == 0 {
		d.Capacity = 64
	}
	if d.TokenTime == 0 {
		d.TokenTime = time.Millisecond
	}
	if d.FlushInterval == 0 {
		d.FlushInterval = 250 * time.Millisecond
	}
	if d.Log == nil {
		d.Log = io.Discard
	}
}

// serve runs a handler on a free port until the fleet stops and returns its address.
func (d *Demonstrator) serve(h http.Handler) string {
	ln := mustListen("127.0.0.1:0")
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readyTimeout, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	go func() { _ = srv.Serve(ln) }()
	context.AfterFunc(d.ctx, func() { _ = srv.Close() })
	return ln.Addr().String()
}

func mustListen(address string) net.Listener {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		panic(err) // loopback always has a free port
	}
	return ln
}

func (d *Demonstrator) startEngine(i int) {
	g := &generator.Generator{Model: Model, TokenTime: d.TokenTime, MaxBatch: d.Capacity, RestartTime: time.Second}
	go g.Run(d.ctx)
	d.Generators = append(d.Generators, g)
	name := fmt.Sprintf("engine-%d", i+1)
	d.startAgent(name, Model, agent.NewEngine("http://"+d.serve(g.Handler()), Model))
}

func (d *Demonstrator) startAgent(name, serves string, backend agent.Backend) {
	ln := mustListen("127.0.0.1:0")
	a := &agent.Agent{
		Target: name, Incarnation: treasurer.NewIncarnation(name), Secret: []byte(secret), Backend: backend,
		Queue: queuer.New(d.Capacity), Claims: &claimer.Claimer{Table: d.table()},
		Follower: &follower.Follower{}, Suspects: suspecter.New(time.Now), Log: d.log,
		Metrics: agent.NewMetrics(prometheus.NewRegistry()),
	}
	if serves == Service {
		a.UseSlots()
	}
	ctx, stop := context.WithCancel(d.ctx)
	n := &node{name: name, stop: stop, done: make(chan error, 1)}
	go func() { n.done <- a.Run(ctx, ln, shutdownLimit) }()
	d.agents = append(d.agents, n)
	d.targets = append(d.targets, declarer.Target{
		Name: name, Serves: serves, Agent: ln.Addr().String(), Domain: "domain-1", Capacity: d.Capacity,
	})
}

func (d *Demonstrator) table() storer.Table {
	return storer.NewClient("http://"+d.platformAddr, platformTimeout)
}

// applyConfiguration writes the first version of the configuration to the platform.
func (d *Demonstrator) applyConfiguration() error {
	fleet := &declarer.Fleet{
		Organisations: d.Organisations,
		Models:        []declarer.Model{{Name: Model, MaxTokens: 10_000, BytesPerToken: 1}},
		Services:      []declarer.Service{{Name: Service, NonIdempotent: []string{http.MethodPost}}},
		Targets:       d.targets,
	}
	_, err := (&patcher.Patcher{Table: d.table()}).Apply(d.ctx, fleet, "first")
	return err
}

func (d *Demonstrator) startRouters() error {
	listeners := make([]net.Listener, d.Routers)
	d.routerAddrs = make(map[string]string)
	for i := range listeners {
		listeners[i] = mustListen("127.0.0.1:0")
		d.routerAddrs[routerName(i)] = listeners[i].Addr().String()
	}
	for i, ln := range listeners {
		d.startRouter(i, ln)
	}
	return nil
}

func routerName(i int) string {
	return fmt.Sprintf("router-%d", i+1)
}

func (d *Demonstrator) startRouter(i int, ln net.Listener) {
	clientListener, operatorListener := mustListen("127.0.0.1:0"), mustListen("127.0.0.1:0")
	peers := make(map[string]string)
	for name, address := range d.routerAddrs {
		if name != routerName(i) {
			peers[name] = address
		}
	}
	r := &router.Router{
		Name: routerName(i), Domain: fmt.Sprintf("domain-%d", i+1), FleetAddress: ln.Addr().String(), Peers: peers,
		Secret: []byte(secret), Table: d.table(), Policy: spender.NewProportional(0.05, spender.DefaultTrendFactor),
		FlushInterval: d.FlushInterval, LeaveTime: leaveTime, ShutdownLimit: cmp.Or(d.ShutdownLimit, shutdownLimit),
		Operators: []router.Operator{{Name: "demo", KeyHash: declarer.HashKey(OperatorKey)}},
		Log:       d.log, Registry: prometheus.NewRegistry(),
		ClientListener: clientListener, OperatorListener: operatorListener, FleetListener: ln,
	}
	if tcp, ok := clientListener.(*net.TCPListener); ok && d.WrapClientListener != nil {
		r.ClientListener = d.WrapClientListener(tcp)
	}
	ctx, stop := context.WithCancel(d.ctx)
	n := &node{
		name: r.Name, router: r, stop: stop, done: make(chan error, 1),
		clientURL: "http://" + clientListener.Addr().String(), operatorURL: "http://" + operatorListener.Addr().String(),
	}
	go func() { n.done <- r.Run(ctx) }()
	d.routers = append(d.routers, n)
}

// awaitReady waits until every router serves and can reach every target.
func (d *Demonstrator) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, n := range d.routers {
		for !n.router.Ready(len(d.targets)) {
			if time.Now().After(deadline) {
				return errors.Errorf("%s is not ready after %s", n.name, readyTimeout)
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

// ClientURL returns the URL of router i for clients.
func (d *Demonstrator) ClientURL(i int) string {
	return d.routers[i].clientURL
}

// OperatorURL returns the URL of router i for operators.
func (d *Demonstrator) OperatorURL(i int) string {
	return d.routers[i].operatorURL
}

// StopRouter shuts router i down gracefully and returns its error.
func (d *Demonstrator) StopRouter(i int) error {
	d.routers[i].stop()
	return d.routers[i].await()
}

// StopAgent shuts down the agent of target i gracefully and returns its error;
// engines come before services.
func (d *Demonstrator) StopAgent(i int) error {
	d.agents[i].stop()
	return d.agents[i].await()
}

// Stop shuts down the whole fleet, routers first.
func (d *Demonstrator) Stop() {
	for _, n := range d.routers {
		n.stop()
	}
	for _, n := range d.routers {
		_ = n.await()
	}
	for _, n := range d.agents {
		n.stop()
		_ = n.await()
	}
	d.cancel()
}

// Budget returns the row of an organisation's budget.
func (d *Demonstrator) Budget(organisation string) *bookkeeper.Budget {
	rows, _ := d.Platform.Table.Read(context.Background(), bookkeeper.BudgetKey(organisation))
	b, err := bookkeeper.DecodeBudget(rows[0].Value)
	if err != nil {
		panic(err) // the row was written by this process
	}
	return b
}
