package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"go.uber.org/fx"

	"github.com/egretroute/egretroute/internal/process/companion"
	"github.com/egretroute/egretroute/internal/process/configurer"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/platform"
)

// companionCommand runs a companion.
type companionCommand struct {
	settings string
}

// Name implements subcommands.Command.
func (*companionCommand) Name() string { return "companion" }

// Synopsis implements subcommands.Command.
func (*companionCommand) Synopsis() string {
	return "stand beside a target and relay the platform's store to routers that are cut off"
}

// Usage implements subcommands.Command.
func (*companionCommand) Usage() string { return "companion [-settings FILE]\n" }

// SetFlags implements subcommands.Command.
func (c *companionCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", os.Getenv(settingsVariable), "settings file")
}

// Execute implements subcommands.Command.
func (c *companionCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s, err := configurer.LoadCompanion(c.settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	reload := &configurer.Watcher[*configurer.Companion]{Path: c.settings, Load: configurer.LoadCompanion, Signals: hangUps}
	return exitStatus(runProcess(ctx, fx.Supply(s, reload), fx.Provide(newCompanion)))
}

func newCompanion(s *configurer.Companion, reload *configurer.Watcher[*configurer.Companion], log *slog.Logger) (runner, error) {
	ln, err := listen(s.FleetAddress)
	if err != nil {
		return nil, err
	}
	reload.Changed = func(*configurer.Companion) { logger.SettingsReloaded.Log(log, "file", reload.Path) }
	reload.Refused = func(err error) { logger.SettingsRefused.Log(log, "file", reload.Path, "error", err) }
	return &companion.Companion{
		Name: s.Name, Incarnation: newIncarnation(s.Name), Domain: s.Domain, Listener: ln,
		Store: platform.NewStore(s.Store, s.StoreTimeout), Key: platform.RowKey("processes", "", s.Name),
		Secret: []byte(s.Secret), Log: log, Background: []func(context.Context){reload.Run},
	}, nil
}
