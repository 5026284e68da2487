package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"go.uber.org/fx"

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

func listen(address string) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return ln, nil
}
