package router

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/version/declarer"
)

func newFleet(targets, models, domains int) *declarer.Fleet {
	f := &declarer.Fleet{}
	for i := range targets {
		f.Targets = append(f.Targets, declarer.Target{
			Name: fmt.Sprint("target-", i), Serves: fmt.Sprint("model-", i%models), Agent: fmt.Sprint("10.0.0.1:", i+1),
			Domain: fmt.Sprint("domain-", i/models%domains),
		})
	}
	return f
}

func TestSmallFleetIsLinkedInFull(t *testing.T) {
	assert.Equal(t, len(targetsToLink(newFleet(21, 2, 3), "domain-0")), 21)
}

// TestEveryTargetIsLinkedAtTheDesignSize guards against a subset that leaves targets
// without links, or that links too many domains to one target, in the largest fleet
// planned for: 1,100 targets, 11 models and 10 domains.
func TestEveryTargetIsLinkedAtTheDesignSize(t *testing.T) {
	f := newFleet(1100, 11, 10)
	links := make(map[string]int)
	for d := range 10 {
		all := targetsToLink(f, fmt.Sprint("domain-", d))
		assert.Equal(t, len(all), 11*maxLinksPerService)
		for name := range all {
			links[name]++
		}
	}
	assert.Equal(t, len(links), 1100)
	for name, n := range links {
		assert.Assert(t, n <= 8, "%s is linked from %d domains", name, n)
	}
}
