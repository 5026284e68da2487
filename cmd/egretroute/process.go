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

// runner is a process that serves until its context ends.
type runner interface {
	Run(ctx context.Context) error
}

// runProcess builds a process from providers and runs it until ctx ends.
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

// logFlushTime bounds the wait for the last log lines at the end of a process.
const logFlushTime = time.Second

func newLogger(life fx.Lifecycle) *slog.Logger {
	q := logger.NewQueue(os.Stdout)
	life.Append(fx.StopHook(func() { q.Close(logFlushTime) }))
	return logger.New(q, slog.LevelInfo)
}

func listen(address string) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return ln, nil
}
