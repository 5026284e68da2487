package choosetrier_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/request/chooser"
	"github.com/egretroute/egretroute/internal/trial/choosetrier"
)

func TestAffineIsBestOrTiedAtEveryLag(t *testing.T) {
	baselines := map[string]chooser.Chooser{
		"random": chooser.NewRandom(), "roundRobin": chooser.NewRoundRobin(), "leastReported": chooser.NewLeastReported(),
	}
	for _, lag := range []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second} {
		ours := choosetrier.Run(chooser.NewPrefixAffinity(), lag, 1)
		t.Logf("lag %s: affine p95 %s, hits %.3f", lag, ours.FirstTokenP95, ours.HitRate)
		for name, c := range baselines {
			r := choosetrier.Run(c, lag, 1)
			t.Logf("lag %s: %s p95 %s, hits %.3f", lag, name, r.FirstTokenP95, r.HitRate)
			assert.Assert(t, ours.FirstTokenP95 <= r.FirstTokenP95)
			assert.Assert(t, ours.HitRate > r.HitRate)
		}
	}
}

func TestAffineIsNearOmniscientWithFreshReports(t *testing.T) {
	const lag = 100 * time.Millisecond
	ours, best := choosetrier.Run(chooser.NewPrefixAffinity(), lag, 1), choosetrier.Run(nil, lag, 1)
	t.Logf("affine %s, omniscient %s", ours.FirstTokenP95, best.FirstTokenP95)
	assert.Assert(t, ours.FirstTokenP95 <= best.FirstTokenP95*11/10)
}
