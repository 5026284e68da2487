// Command standin plays the cases of the review: it starts gateways and companions as separate
// processes, stands in for the platform's store, its targets and its clients, and checks one rule
// by what clients and targets see.
//
// # Usage
//
//	target/review-standin -case stale -record review/1/record.txt -trouble=true
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(d *deployment, trouble bool) (broken bool, err error){
	"descriptors": playDescriptors,
	"added":       playAdded,
	"drill":       playDrill,
	"stale":       playStale,
	"replaced":    playReplaced,
}

func main() {
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file to which the record is written")
	trouble := flag.Bool("trouble", true, "inject the disruption")
	faultOnly := flag.Bool("fault-only", false, "of the disruptions, inject only the final fault, if the case has one")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return exitNotRun
	}
	d, err := newDeployment(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	d.faultOnly = *faultOnly
	defer d.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		d.stop()
		os.Exit(exitNotRun)
	}()
	d.logf("case %s, disruption %t", *name, *trouble)
	broken, err := play(d, *trouble)
	switch {
	case err != nil:
		d.logf("the case could not run: %v", err)
		return exitNotRun
	case broken:
		d.logf("result: the rule was broken")
		return exitBroken
	default:
		d.logf("result: the rule held")
		return exitHeld
	}
}
