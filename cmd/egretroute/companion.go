package main

import (
	"cmp"
	"context"
	"log/slog"

	"github.com/egretroute/egretroute/internal/process/companion"
	"github.com/egretroute/egretroute/internal/process/configurer"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/platform"
)

// newCompanionCommand returns the command that runs a companion.
func newCompanionCommand() *settingsCommand[*configurer.Companion] {
	return &settingsCommand[*configurer.Companion]{
		name: "companion", load: configurer.LoadCompanion, providers: []any{newCompanion},
		synopsis: "run beside a target and relay the platform's store to partitioned gateways",
	}
}

func newCompanion(s *configurer.Companion, reload *configurer.Watcher[*configurer.Companion], log *slog.Logger) (runner, error) {
	newBudget(s.MaxMemory, nil) // a companion has no clients
	ln, err := listen(s.FleetAddress)
	if err != nil {
		return nil, err
	}
	reload.OnChange = func(*configurer.Companion) { logger.SettingsReloaded.Log(log, "file", reload.Path) }
	reload.OnError = func(err error) { logger.SettingsRefused.Log(log, "file", reload.Path, "error", err) }
	return &companion.Companion{
		Name: s.Name, Incarnation: newIncarnation(s.Name), Domain: s.Domain, Listener: ln,
		Store: platform.NewStore(s.Store, s.StoreTimeout), Key: platform.RowKey("processes", "", s.Name),
		Secret: []byte(s.Secret), MaxDescriptors: cmp.Or(s.MaxDescriptors, descriptorLimit()), Log: log, Background: []func(context.Context){reload.Run},
	}, nil
}
