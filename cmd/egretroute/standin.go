package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/egretroute/egretroute/internal/standin/generator"
	"github.com/egretroute/egretroute/internal/standin/orderserver"
	"github.com/egretroute/egretroute/internal/standin/storekeeper"
)

const standinHeaderTimeout = 10 * time.Second

// standinCommand runs a stand-in for an external system.
type standinCommand struct {
	listen    string
	model     string
	tokenTime time.Duration
	batch     int
	prefill   int64
	cache     int
	restart   time.Duration
	delay     time.Duration
	writes    float64
	reads     float64
	hostLag   time.Duration
}

// Name implements subcommands.Command.
func (*standinCommand) Name() string { return "standin" }

// Synopsis implements subcommands.Command.
func (*standinCommand) Synopsis() string { return "stand in for the platform, an engine or a service" }

// Usage implements subcommands.Command.
func (*standinCommand) Usage() string {
	return "standin [flags] platform|engine|service\n"
}

// SetFlags implements subcommands.Command.
func (c *standinCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "address to listen on")
	f.StringVar(&c.model, "model", "small-llm", "engine: name of the model")
	f.DurationVar(&c.tokenTime, "tokenTime", time.Millisecond, "engine: time to generate one token")
	f.IntVar(&c.batch, "batch", 64, "engine: maximum number of concurrent streams")
	f.Int64Var(&c.prefill, "prefill", 0, "engine: prompt tokens processed per step, 0 for no prefill")
	f.IntVar(&c.cache, "cache", 64, "engine: number of cached prompt prefixes")
	f.DurationVar(&c.restart, "restart", time.Second, "engine: time to restart after a crash")
	f.DurationVar(&c.delay, "delay", 0, "service: processing time of an order")
	f.Float64Var(&c.writes, "writes", 400, "platform: maximum commits per second")
	f.DurationVar(&c.hostLag, "hostLag", 30*time.Second, "platform: delay before the list of hosts shows a change")
	f.Float64Var(&c.reads, "reads", 2000, "platform: maximum reads per second")
}

// Execute implements subcommands.Command.
func (c *standinCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	handler, ok := c.handler(ctx, f.Arg(0))
	if !ok {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	ln, err := listen(c.listen)
	if err != nil {
		return exitStatus(err)
	}
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: standinHeaderTimeout}
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return exitStatus(err)
	}
	return subcommands.ExitSuccess
}

func (c *standinCommand) handler(ctx context.Context, kind string) (http.Handler, bool) {
	switch kind {
	case "platform":
		k := storekeeper.New(storekeeper.Limits{WritesPerSecond: c.writes, ReadsPerSecond: c.reads})
		k.HostLag = c.hostLag
		return k.Handler(), true
	case "engine":
		g := &generator.Generator{
			Model: c.model, TokenTime: c.tokenTime, MaxBatch: c.batch, PrefillTokens: c.prefill,
			CachePrefixes: c.cache, RestartTime: c.restart,
		}
		go g.Run(ctx)
		return g.Handler(), true
	case "service":
		return orderserver.New(c.delay).Handler(), true
	default:
		return nil, false
	}
}
