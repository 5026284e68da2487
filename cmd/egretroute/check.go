package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/egretroute/egretroute/internal/process/configurer"
	"github.com/egretroute/egretroute/internal/version/declarer"
)

// checkCommand checks settings files and fleet documents.
type checkCommand struct {
	settings string
	kind     string
}

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string { return "report every fault in a settings file" }

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string {
	return "check -settings FILE [-kind router|agent|gateway|companion|fleet]\n"
}

// SetFlags implements subcommands.Command.
func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "file to check")
	f.StringVar(&c.kind, "kind", "", "router, agent, gateway, companion or fleet; detected from the keys if omitted")
}

// Execute implements subcommands.Command. The exit status is 2 if the file has a fault.
func (c *checkCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	text, err := os.ReadFile(c.settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	if c.kind == "" {
		c.kind = configurer.DetectKind(text)
	}
	if err := c.check(text); err != nil {
		fmt.Println(err)
		return subcommands.ExitUsageError
	}
	fmt.Printf("%s: no faults found (%s)\n", c.settings, c.kind)
	return subcommands.ExitSuccess
}

func (c *checkCommand) check(text []byte) error {
	switch c.kind {
	case "router":
		_, err := configurer.LoadRouter(c.settings)
		return err
	case "agent":
		_, err := configurer.LoadAgent(c.settings)
		return err
	case "gateway":
		_, err := configurer.LoadGateway(c.settings)
		return err
	case "companion":
		_, err := configurer.LoadCompanion(c.settings)
		return err
	default:
		return checkFleet(text)
	}
}

func checkFleet(text []byte) error {
	fleet, err := declarer.Decode(text)
	if err != nil {
		return err
	}
	var faults error
	for _, f := range declarer.Check(fleet) {
		fmt.Println(f)
		faults = fmt.Errorf("the fleet document has faults")
	}
	return faults
}
