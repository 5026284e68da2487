// Command egretroute contains all processes of the router fleet and the operators'
// command line.
//
// # Usage
//
//	egretroute demo
//	egretroute router -settings router.toml
//	egretroute agent -settings agent.toml
//	egretroute gateway -settings gateway.toml
//	egretroute explain 9c41d07be2a35f68 gateway.log
//	egretroute route -router 10.1.0.19:9464 -host api.example -path /notes/ -organisation alpha
//	egretroute ctl -router http://127.0.0.1:18081 budget
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

func main() {
	commander := subcommands.NewCommander(flag.CommandLine, "egretroute")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(&routerCommand{}, "processes")
	commander.Register(&agentCommand{}, "processes")
	commander.Register(newGatewayCommand(), "processes")
	commander.Register(newCompanionCommand(), "processes")
	commander.Register(&standinCommand{}, "processes")
	commander.Register(&ctlCommand{}, "operators")
	commander.Register(&checkCommand{}, "operators")
	commander.Register(&explainCommand{}, "operators")
	commander.Register(&routeCommand{}, "operators")
	commander.Register(&loadCommand{}, "trials")
	commander.Register(&demoCommand{}, "trials")
	commander.Register(&trialCommand{}, "trials")
	flag.Parse()
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	// A second interrupt ends the process at once. A second SIGTERM is ignored, so that
	// the requests that the first one allowed to finish are not interrupted.
	context.AfterFunc(ctx, func() { signal.Reset(os.Interrupt) })
	os.Exit(int(commander.Execute(ctx)))
}
