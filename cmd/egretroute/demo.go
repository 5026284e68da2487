package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/egretroute/egretroute/internal/process/router"
	"github.com/egretroute/egretroute/internal/trial/demonstrator"
	"github.com/egretroute/egretroute/internal/trial/loader"
	"github.com/egretroute/egretroute/internal/version/declarer"
)

// demoCommand runs a fleet with stand-ins and a short load in one process.
type demoCommand struct {
	requests int
	rate     float64
	budget   int64
}

// Name implements subcommands.Command.
func (*demoCommand) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*demoCommand) Synopsis() string {
	return "run a fleet with stand-ins in one process and send a load to it"
}

// Usage implements subcommands.Command.
func (*demoCommand) Usage() string { return "demo [flags]\n" }

// SetFlags implements subcommands.Command.
func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.requests, "requests", 600, "number of requests")
	f.Float64Var(&c.rate, "rate", 200, "requests per second")
	f.Int64Var(&c.budget, "budget", 20_000, "prepaid tokens of each organisation")
}

// Execute implements subcommands.Command.
func (c *demoCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	d := &demonstrator.Demonstrator{Routers: 2, Engines: 2, Services: 1}
	var clients []loader.Client
	for i, name := range []string{"alpha", "beta"} {
		key := name + "-key"
		d.Organisations = append(d.Organisations, declarer.Organisation{
			Name: name, KeyHash: declarer.HashKey(key), Budget: c.budget, Weight: 1, Urgent: true,
		})
		clients = append(clients, loader.Client{Organisation: name, Key: key, Share: float64(2 - i), UrgentFraction: 0.2})
	}
	if err := d.Start(ctx); err != nil {
		return exitStatus(err)
	}
	defer d.Stop()
	fmt.Printf("started 2 routers, 2 engines, 1 service and the platform on loopback; sending %d requests at %g/s\n", c.requests, c.rate)
	l := &loader.Loader{
		Routers: []string{d.ClientURL(0), d.ClientURL(1)}, Rate: c.rate, Requests: c.requests, Clients: clients,
		Model: demonstrator.Model, MaxTokens: 40, PromptWords: 10, StreamedFraction: 0.5, Seed: 1,
	}
	l.Run(ctx).Print(os.Stdout)
	return exitStatus(printBudgets(ctx, d))
}

// printBudgets waits for the last flush and prints the limit and the spent tokens of
// each budget.
func printBudgets(ctx context.Context, d *demonstrator.Demonstrator) error {
	const flushWait = time.Second
	time.Sleep(flushWait)
	ctl := &ctlCommand{router: d.OperatorURL(0), key: demonstrator.OperatorKey, out: os.Stdout}
	response, err := ctl.call(ctx, http.MethodGet, "/v1/budgets", nil)
	if err != nil {
		return err
	}
	var docs []router.BudgetDocument
	if err := json.Unmarshal(response, &docs); err != nil {
		return err
	}
	var generated int64
	for _, g := range d.Generators {
		generated += g.Stats().Generated
	}
	for _, b := range docs {
		fmt.Printf("budget  %-22s limit %d  spent %d  overspent %d\n", b.Organisation, b.Limit, b.Spent, max(b.Spent-b.Limit, 0))
	}
	fmt.Printf("engines generated %d output tokens\n", generated)
	return nil
}
