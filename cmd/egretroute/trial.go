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

// trialCommand prints the measurements that support the design decisions.
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

  spend  spending strategies under each fault schedule
  line   false refusals by the fraction of tokens kept at the platform
  choose strategies of target selection at three delays of load reports
  capacity  growth of state, messages and processor time
`
}

// SetFlags implements subcommands.Command.
func (c *trialCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.seeds, "seeds", 1, "number of seeds to add up, starting with seed 1")
}

// Execute implements subcommands.Command.
func (c *trialCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	switch f.Arg(0) {
	case "spend":
		spendtrier.Print(os.Stdout, spendtrier.RunAll(spendtrier.Strategies, spendtrier.Schedules, spendtrier.Deployments, c.seedList()))
	case "line":
		spendtrier.Print(os.Stdout, spendtrier.RunAll(spendtrier.KeptFractionStrategies(), spendtrier.PartitionSchedules(), spendtrier.Deployments, c.seedList()))
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

func (c *trialCommand) seedList() []uint64 {
	seeds := make([]uint64, c.seeds)
	for i := range seeds {
		seeds[i] = uint64(i + 1)
	}
	return seeds
}
