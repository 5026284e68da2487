package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"github.com/egretroute/egretroute/internal/process/agent"
	"github.com/egretroute/egretroute/internal/process/configurer"
	"github.com/egretroute/egretroute/internal/process/storer"
	"github.com/egretroute/egretroute/internal/process/treasurer"
	"github.com/egretroute/egretroute/internal/request/claimer"
	"github.com/egretroute/egretroute/internal/request/queuer"
	"github.com/egretroute/egretroute/internal/request/suspecter"
	"github.com/egretroute/egretroute/internal/version/follower"
)

// agentCommand runs an agent.
type agentCommand struct {
	settings string
}

// Name implements subcommands.Command.
func (*agentCommand) Name() string { return "agent" }

// Synopsis implements subcommands.Command.
func (*agentCommand) Synopsis() string { return "run the agent: the only path to one target" }

// Usage implements subcommands.Command.
func (*agentCommand) Usage() string { return "agent -settings FILE\n" }

// SetFlags implements subcommands.Command.
func (c *agentCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings file")
}

// Execute implements subcommands.Command.
func (c *agentCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s, err := configurer.LoadAgent(c.settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	return exitStatus(runProcess(ctx, fx.Supply(s), fx.Provide(newRegistry, newAgent)))
}

// agentProcess implements runner for an agent.
type agentProcess struct {
	agent         *agent.Agent
	listener      net.Listener
	shutdownLimit time.Duration
}

// Run implements runner.Run.
func (p *agentProcess) Run(ctx context.Context) error {
	return p.agent.Run(ctx, p.listener, p.shutdownLimit)
}

func newAgent(s *configurer.Agent, registry *prometheus.Registry, log *slog.Logger) (runner, error) {
	ln, err := listen(s.FleetAddress)
	if err != nil {
		return nil, err
	}
	backend := agent.NewEngine(s.URL, s.Serves)
	if s.Kind == configurer.KindService {
		backend = agent.NewService(s.URL, s.Serves)
	}
	a := &agent.Agent{
		Target: s.Target, Incarnation: treasurer.NewIncarnation(s.Target), Secret: []byte(s.Secret),
		Backend: backend, Queue: queuer.New(s.Capacity),
		Claims:   &claimer.Claimer{Table: storer.NewClient(s.Platform, s.PlatformTimeout)},
		Follower: &follower.Follower{}, Suspects: suspecter.New(time.Now), Log: log,
		Metrics: agent.NewMetrics(registry), MaxDescriptors: cmp.Or(s.MaxDescriptors, descriptorLimit()), Budget: newBudget(s.MaxMemory, registry),
	}
	if s.Kind == configurer.KindService {
		a.UseSlots()
	}
	return &agentProcess{agent: a, listener: ln, shutdownLimit: s.ShutdownLimit}, nil
}
