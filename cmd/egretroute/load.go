package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"

	"github.com/egretroute/egretroute/internal/trial/loader"
)

// loadCommand sends a limited number of requests to routers.
type loadCommand struct {
	routers string
	clients string
	loader  loader.Loader
}

// Name implements subcommands.Command.
func (*loadCommand) Name() string { return "load" }

// Synopsis implements subcommands.Command.
func (*loadCommand) Synopsis() string { return "send a bounded load to routers on loopback" }

// Usage implements subcommands.Command.
func (*loadCommand) Usage() string {
	return "load [flags]: the defaults fit examples/small\n"
}

// SetFlags implements subcommands.Command.
func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.routers, "routers", "http://127.0.0.1:18080,http://127.0.0.1:18090", "client addresses of routers, or an engine's address for comparison")
	f.StringVar(&c.clients, "callers", "alpha=alpha-key,beta=beta-key", "organisations and their keys")
	f.Float64Var(&c.loader.Rate, "rate", 50, "requests per second")
	f.IntVar(&c.loader.Requests, "requests", 500, "number of requests")
	f.StringVar(&c.loader.Model, "model", "small-llm", "model to request")
	f.IntVar(&c.loader.MaxTokens, "maxTokens", 50, "tokens of each response")
	f.IntVar(&c.loader.PromptWords, "promptWords", 20, "words of each prompt")
	f.Float64Var(&c.loader.StreamedFraction, "streamed", 0.5, "fraction of requests that ask for a stream")
	f.Uint64Var(&c.loader.Seed, "seed", 1, "random seed of the load")
}

// Execute implements subcommands.Command.
func (c *loadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.loader.Routers = strings.Split(c.routers, ",")
	for _, pair := range strings.Split(c.clients, ",") {
		name, key, ok := strings.Cut(pair, "=")
		if !ok {
			fmt.Fprintf(os.Stderr, "client %q in -callers does not have the form name=key\n", pair)
			return subcommands.ExitUsageError
		}
		c.loader.Clients = append(c.loader.Clients, loader.Client{Organisation: name, Key: key, Share: 1})
	}
	c.loader.Run(ctx).Print(os.Stdout)
	return subcommands.ExitSuccess
}
