package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"

	"github.com/google/subcommands"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"go.uber.org/fx"

	"github.com/egretroute/egretroute/internal/process/configurer"
	"github.com/egretroute/egretroute/internal/process/router"
	"github.com/egretroute/egretroute/internal/process/spender"
	"github.com/egretroute/egretroute/internal/process/storer"
)

// routerCommand runs a router.
type routerCommand struct {
	settings string
}

// Name implements subcommands.Command.
func (*routerCommand) Name() string { return "router" }

// Synopsis implements subcommands.Command.
func (*routerCommand) Synopsis() string { return "serve clients and operators on an entry host" }

// Usage implements subcommands.Command.
func (*routerCommand) Usage() string { return "router -settings FILE\n" }

// SetFlags implements subcommands.Command.
func (c *routerCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings file")
}

// Execute implements subcommands.Command.
func (c *routerCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s, err := configurer.LoadRouter(c.settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	err = runProcess(ctx, fx.Supply(s), fx.Provide(newRegistry, newTable, newRouter))
	return exitStatus(err)
}

func newRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

func newTable(s *configurer.Router) storer.Table {
	return storer.NewClient(s.Platform, s.PlatformTimeout)
}

func newRouter(s *configurer.Router, table storer.Table, registry *prometheus.Registry, log *slog.Logger) (runner, error) {
	r := &router.Router{
		Name: s.Name, Domain: s.Domain, FleetAddress: s.FleetAddress, Secret: []byte(s.Secret), Table: table,
		Policy: spender.NewProportional(s.KeptAtPlatform, spender.DefaultTrendFactor), FlushInterval: s.FlushInterval,
		LeaveTime: s.LeaveTime, ShutdownLimit: s.ShutdownLimit, Log: log, Registry: registry,
		MaxDescriptors: cmp.Or(s.MaxDescriptors, descriptorLimit()), Budget: newBudget(s.MaxMemory, registry),
		Peers: make(map[string]string),
	}
	for _, p := range s.Peers {
		r.Peers[p.Name] = p.Address
	}
	for _, o := range s.Operators {
		r.Operators = append(r.Operators, router.Operator{
			Name: o.Name, KeyHash: o.KeyHash, Viewer: o.Role == configurer.RoleViewer,
		})
	}
	var err error
	if r.ClientListener, err = listen(s.CallerAddress); err != nil {
		return nil, err
	}
	if r.OperatorListener, err = listen(s.OperatorAddress); err != nil {
		return nil, err
	}
	r.FleetListener, err = listen(s.FleetAddress)
	return r, err
}

func exitStatus(err error) subcommands.ExitStatus {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
