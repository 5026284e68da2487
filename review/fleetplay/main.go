// Command fleetplay plays the cases of the review that can't be put as a day of the bench. It starts gateways and companions as the
// deploy file does, beside the project's own stand-ins for the platform's store and targets.
//
// # Usage
//
//	fleetplay -case restarts -record record.txt
//
// It exits with 1 if the case's rule was broken, 0 if it held and 2 if the case couldn't run. With TROUBLE=0 in the environment the
// disruption is left out.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit statuses.
const (
	held     = 0
	broken   = 1
	unplayed = 2
)

// play is a case. It returns whether the rule was broken.
type play func(rec *record, trouble bool) (isBroken bool, err error)

var plays = map[string]play{
	"odd":      playOdd,
	"polls":    playPolls,
	"replace":  playReplace,
	"restarts": playRestarts,
}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*name, *path))
}

func run(name, path string) int {
	p, ok := plays[name]
	if !ok {
		fmt.Println("no such case:", name)
		return unplayed
	}
	rec, err := newRecord(path)
	if err != nil {
		fmt.Println(err)
		return unplayed
	}
	defer rec.close()
	isBroken, err := p(rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.event("the case can't be played: %v", err)
		return unplayed
	case isBroken:
		return broken
	}
	return held
}
