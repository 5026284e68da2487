package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"github.com/egretroute/egretroute/internal/process/configurer"
	"github.com/egretroute/egretroute/internal/process/gateway"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/platform"
)

// settingsVariable names the settings file where the command line does not.
const settingsVariable = "EGRETROUTE_SETTINGS"

// gatewayCommand runs a gateway.
type gatewayCommand struct {
	settings string
}

// Name implements subcommands.Command.
func (*gatewayCommand) Name() string { return "gateway" }

// Synopsis implements subcommands.Command.
func (*gatewayCommand) Synopsis() string {
	return "serve callers on an entry host of the users' platform"
}

// Usage implements subcommands.Command.
func (*gatewayCommand) Usage() string { return "gateway [-settings FILE]\n" }

// SetFlags implements subcommands.Command.
func (c *gatewayCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", os.Getenv(settingsVariable), "settings file")
}

// Execute implements subcommands.Command.
func (c *gatewayCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s, err := configurer.LoadGateway(c.settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	reload := &configurer.Watcher[*configurer.Gateway]{Path: c.settings, Load: configurer.LoadGateway, Signals: hangUps}
	return exitStatus(runProcess(ctx, fx.Supply(s, reload), fx.Provide(newRegistry, newGateway)))
}

func newGateway(s *configurer.Gateway, reload *configurer.Watcher[*configurer.Gateway], registry *prometheus.Registry,
	log *slog.Logger) (runner, error) {
	g := &gateway.Gateway{
		Name: s.Name, Incarnation: newIncarnation(s.Name), Domain: s.Domain,
		Store: platform.NewStore(s.Store, s.StoreTimeout), Dialect: platform.Dialect{}, Words: platformWords(),
		Secret: []byte(s.Secret), Seeds: s.Seeds, Limits: limitsOf(s), Log: log, Registry: registry,
	}
	reload.Changed = func(s *configurer.Gateway) {
		g.SetLimits(limitsOf(s))
		logger.SettingsReloaded.Log(log, "file", reload.Path)
	}
	reload.Refused = func(err error) { logger.SettingsRefused.Log(log, "file", reload.Path, "error", err) }
	g.Background = append(g.Background, reload.Run)
	var err error
	if g.CallerListener, err = listen(s.CallerAddress); err != nil {
		return nil, err
	}
	if g.ReadyListener, err = listen(s.ReadyAddress); err != nil {
		return nil, err
	}
	if g.FleetListener, err = listen(s.FleetAddress); err != nil {
		return nil, err
	}
	if s.MetricsAddress != "" {
		g.MetricsListener, err = listen(s.MetricsAddress)
	}
	return g, err
}

func limitsOf(s *configurer.Gateway) gateway.Limits {
	return gateway.Limits{
		LeaveTime: s.LeaveTime, StopTime: s.ShutdownLimit, RetryRatio: s.RetryRatio, RetryWindow: s.RetryWindow,
		RetrySlack: s.RetrySlack, StockHorizon: s.StockHorizon,
	}
}

func platformWords() gateway.Words {
	return gateway.Words{
		ConfigurationTable: platform.ConfigurationTable, ConfigurationKey: platform.ConfigurationKey,
		TargetTable: platform.TargetTable, ReadyPath: platform.ReadyPath,
		DecodeConfiguration: platform.DecodeConfiguration, DecodeTarget: platform.DecodeTarget,
		TargetID: platform.TargetID, RowKey: platform.RowKey,
	}
}

// newIncarnation returns a name for this start of a process.
func newIncarnation(name string) string {
	var b [6]byte
	_, _ = rand.Read(b[:]) // never fails
	return name + "@" + hex.EncodeToString(b[:])
}
