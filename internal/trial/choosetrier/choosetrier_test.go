package choosetrier_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/request/chooser"
	"github.com/egretroute/egretroute/internal/trial/choosetrier"
)

func TestPrefixAffinityIsBestOrTiedAtEveryLag(t *testing.T) {
	baselines := map[string]chooser.Chooser{
		"random": chooser.NewRandom(), "roundRobin": chooser.NewRoundRobin(), "leastReported": chooser.NewLeastReported(),
	}
	for _, lag := range []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second} {
		affinity := choosetrier.Run(chooser.NewPrefixAffinity(), lag, 1)
		t.Logf("lag %s: affine p95 %s, hits %.3f", lag, affinity.FirstTokenP95, affinity.HitRate)
		for name, c := range baselines {
			r := choosetrier.Run(c, lag, 1)
			t.Logf("lag %s: %s p95 %s, hits %.3f", lag, name, r.FirstTokenP95, r.HitRate)
			assert.Assert(t, affinity.FirstTokenP95 <= r.FirstTokenP95)
			assert.Assert(t, affinity.HitRate > r.HitRate)
		}
	}
}

func TestPrefixAffinityIsNearOmniscientWithFreshReports(t *testing.T) {
	const lag = 100 * time.Millisecond
	affinity, omniscient := choosetrier.Run(chooser.NewPrefixAffinity(), lag, 1), choosetrier.Run(nil, lag, 1)
	t.Logf("affine %s, omniscient %s", affinity.FirstTokenP95, omniscient.FirstTokenP95)
	assert.Assert(t, affinity.FirstTokenP95 <= omniscient.FirstTokenP95*11/10)
}
