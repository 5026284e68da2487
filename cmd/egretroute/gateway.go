package main

import (
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"math"
	"syscall"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/egretroute/egretroute/internal/process/configurer"
	"github.com/egretroute/egretroute/internal/process/gateway"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/request/retrier"
	"github.com/egretroute/egretroute/platform"
)

// newGatewayCommand returns the command that runs a gateway.
func newGatewayCommand() *settingsCommand[*configurer.Gateway] {
	return &settingsCommand[*configurer.Gateway]{
		name: "gateway", load: configurer.LoadGateway, providers: []any{newRegistry, newGateway},
		synopsis: "serve clients on an entry host of the users' platform",
	}
}

func newGateway(s *configurer.Gateway, reload *configurer.Watcher[*configurer.Gateway], registry *prometheus.Registry,
	log *slog.Logger) (runner, error) {
	g := &gateway.Gateway{
		Name: s.Name, Incarnation: newIncarnation(s.Name), Domain: s.Domain, Regions: s.Regions,
		Store: platform.NewStore(s.Store, s.StoreTimeout), HeaderCodec: platform.HeaderCodec{}, Schema: platformSchema(),
		Secret: []byte(s.Secret), Seeds: s.Seeds, Limits: gatewayLimits(s), Log: log, Registry: registry,
		MaxDescriptors: s.MaxDescriptors, FirstStart: s.FirstStart, Budget: newBudget(s.MaxMemory, registry),
		ProcessorShare: s.ProcessorShare, LinkMbps: s.LinkMbps,
	}
	if g.MaxDescriptors == 0 {
		g.MaxDescriptors = descriptorLimit()
	}
	reload.OnChange = func(s *configurer.Gateway) {
		g.SetLimits(gatewayLimits(s))
		logger.SettingsReloaded.Log(log, "file", reload.Path)
	}
	reload.OnError = func(err error) { logger.SettingsRefused.Log(log, "file", reload.Path, "error", err) }
	g.Background = append(g.Background, reload.Run)
	var err error
	if g.ClientListener, err = listen(s.CallerAddress); err != nil {
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

// descriptorLimit returns the process's own limit of open descriptors, or 0 if it has none.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}

func gatewayLimits(s *configurer.Gateway) gateway.Limits {
	return gateway.Limits{
		DrainDelay: s.LeaveTime, ShutdownTimeout: s.ShutdownLimit, StockHorizon: s.StockHorizon,
		Retries:     retrier.Limits{Ratio: s.RetryRatio, Window: s.RetryWindow, Slack: s.RetrySlack},
		ColdOverage: s.ColdOverage, ColdTolerance: s.ColdTolerance,
	}
}

func platformSchema() gateway.PlatformSchema {
	return gateway.PlatformSchema{
		ConfigurationTable: platform.ConfigurationTable, ConfigurationKey: platform.ConfigurationKey,
		TargetTable: platform.TargetTable, ReadyPath: platform.ReadyPath,
		DecodeConfiguration: platform.DecodeConfiguration, DecodeTarget: platform.DecodeTarget,
		DrainedDomain: platform.DrainedDomain,
		KeyOf:         platform.KeyOf, RowKey: platform.RowKey,
	}
}

// newIncarnation returns a unique name for this start of a process.
func newIncarnation(name string) string {
	var b [6]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error
	return name + "@" + hex.EncodeToString(b[:])
}
