package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/egretroute/egretroute/internal/trial/capacitytrier"
	"github.com/egretroute/egretroute/internal/trial/choosetrier"
	"github.com/egretroute/egretroute/internal/trial/spendtrier"
)

// trialCommand prints the tables that the design rests on.
type trialCommand struct {
	seeds int
}

// Name implements subcommands.Command.
func (*trialCommand) Name() string { return "trial" }

// Synopsis implements subcommands.Command.
func (*trialCommand) Synopsis() string { return "print the measurements behind a design decision" }

// Usage implements subcommands.Command.
func (*trialCommand) Usage() string {
	return `trial [-seeds N] spend|line|choose|capacity

  spend  ways of spending under each schedule of faults
  line   false refusals along the fraction kept at the platform
  choose ways of choosing a target at three lags of load reports
  capacity  slopes of state, messages and processor time
`
}

// SetFlags implements subcommands.Command.
func (c *trialCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.seeds, "seeds", 1, "seeds to add up, from 1")
}

// Execute implements subcommands.Command.
func (c *trialCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	switch f.Arg(0) {
	case "spend":
		spendtrier.Print(os.Stdout, spendtrier.RunAll(spendtrier.Strategies, spendtrier.Schedules, spendtrier.Deployments, c.list()))
	case "line":
		spendtrier.Print(os.Stdout, spendtrier.RunAll(spendtrier.KeptFractionStrategies(), spendtrier.PartitionSchedules(), spendtrier.Deployments, c.list()))
	case "choose":
		choosetrier.Print(os.Stdout)
	case "capacity":
		for _, m := range capacitytrier.Measurements {
			capacitytrier.Print(os.Stdout, m, m.Run())
		}
	default:
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	return subcommands.ExitSuccess
}

func (c *trialCommand) list() []uint64 {
	seeds := make([]uint64, c.seeds)
	for i := range seeds {
		seeds[i] = uint64(i + 1)
	}
	return seeds
}
