package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"github.com/egretroute/egretroute/internal/connection/budgeter"
	"github.com/egretroute/egretroute/internal/process/logger"
)

// runner is a process that serves until its context is canceled.
type runner interface {
	Run(ctx context.Context) error
}

// runProcess builds a process from fx options and runs it until ctx is canceled.
func runProcess(ctx context.Context, options ...fx.Option) error {
	var process runner
	app := fx.New(
		fx.NopLogger,
		fx.Provide(newLogger),
		fx.Options(options...),
		fx.Populate(&process),
	)
	if err := app.Err(); err != nil {
		return err
	}
	if err := app.Start(ctx); err != nil {
		return err
	}
	err := process.Run(ctx)
	if stopErr := app.Stop(context.WithoutCancel(ctx)); err == nil {
		err = stopErr
	}
	return err
}

// logFlushTimeout bounds the wait for queued log lines when a process ends.
const logFlushTimeout = time.Second

func newLogger(lifecycle fx.Lifecycle) *slog.Logger {
	q := logger.NewQueue(os.Stdout)
	lifecycle.Append(fx.StopHook(func() { q.Close(logFlushTimeout) }))
	return logger.New(q, slog.LevelInfo)
}

// newBudget returns the budget of memory for clients of a process that may take the given number
// of MB, 0 for all that the host has, and sets the limit of the Go runtime.
func newBudget(memoryMB int, registry prometheus.Registerer) *budgeter.Budget {
	memory := int64(memoryMB) << 20
	if memory == 0 {
		memory = hostMemory()
	}
	clients, runtime := budgeter.Divide(memory)
	if runtime > 0 && runtime < debug.SetMemoryLimit(-1) {
		debug.SetMemoryLimit(runtime)
	}
	b := &budgeter.Budget{Limit: clients}
	if registry != nil {
		b.Register(registry)
	}
	return b
}

// hostMemory returns the memory of the host, or 0 if it is not known.
func hostMemory() int64 {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit) //nolint:unconvert // of another type elsewhere
}

func listen(address string) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return ln, nil
}
