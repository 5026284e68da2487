// Package seeder gives property tests a fixed seed, so that every run has the
// same result. Flags on the command line take precedence.
//
// # Usage
//
//	func TestMain(m *testing.M) { os.Exit(seeder.Run(m)) }
package seeder

import (
	"flag"
	"testing"
)

// defaults are the values of package rapid's flags that are not set on the
// command line.
var defaults = map[string]string{
	"rapid.seed":       "20261203",
	"rapid.checks":     "300",
	"rapid.steps":      "60",
	"rapid.nofailfile": "true",
}

// Run sets the defaults and runs the tests.
func Run(m *testing.M) int {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range defaults {
		if !given[name] && flag.Lookup(name) != nil {
			_ = flag.Set(name, value)
		}
	}
	return m.Run()
}
