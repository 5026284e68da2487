package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"go.uber.org/fx"

	"github.com/egretroute/egretroute/internal/process/configurer"
)

// settingsEnvVar is the environment variable with the default of the -settings flag.
const settingsEnvVar = "EGRETROUTE_SETTINGS"

// settingsCommand runs a process whose settings T are reloaded on SIGHUP and when
// their file changes.
type settingsCommand[T any] struct {
	name     string
	synopsis string
	load     func(path string) (T, error)
	// providers build the process from the settings and their Watcher.
	providers []any
	settings  string
}

// Name implements subcommands.Command.
func (c *settingsCommand[T]) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *settingsCommand[T]) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *settingsCommand[T]) Usage() string { return c.name + " [-settings FILE]\n" }

// SetFlags implements subcommands.Command.
func (c *settingsCommand[T]) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", os.Getenv(settingsEnvVar), "settings file")
}

// Execute implements subcommands.Command.
func (c *settingsCommand[T]) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s, err := c.load(c.settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	reload := &configurer.Watcher[T]{Path: c.settings, Load: c.load, Signals: sighups}
	return exitStatus(runProcess(ctx, fx.Supply(s, reload), fx.Provide(c.providers...)))
}
