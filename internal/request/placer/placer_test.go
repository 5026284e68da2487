package placer_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/egretroute/egretroute/internal/request/placer"
)

// TestPlanNamesEveryTargetOnce holds for any targets, and those set aside come last.
func TestPlanNamesEveryTargetOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := make([]placer.Target, rapid.IntRange(0, 30).Draw(t, "targets"))
		for i := range targets {
			targets[i] = placer.Target{
				Hash: rapid.Uint64().Draw(t, "hash"), Slots: rapid.IntRange(0, 64).Draw(t, "slots"),
				Running: rapid.IntRange(0, 200).Draw(t, "running"), PendingTokens: rapid.Int64Range(0, 1e6).Draw(t, "pending"),
				Cached: rapid.Bool().Draw(t, "cached"), Ejected: rapid.Bool().Draw(t, "aside"),
				Slowness: rapid.Float64Range(0, 8).Draw(t, "slowness"),
			}
		}
		w := placer.Request{
			PromptTokens: rapid.Int64Range(0, 40000).Draw(t, "prompt"), UniqueTokens: rapid.Int64Range(0, 4000).Draw(t, "own"),
			AffinityKey: rapid.Uint64().Draw(t, "affinity"), Engine: rapid.Bool().Draw(t, "engine"),
		}
		pool := placer.PoolSplit{ShortTargets: rapid.IntRange(-2, 40).Draw(t, "short")}
		seen := make(map[int]bool)
		aside := false
		for _, c := range placer.Plan(w, targets, pool) {
			assert.Assert(t, !seen[c.Index])
			seen[c.Index] = true
			assert.Assert(t, !aside || targets[c.Index].Ejected)
			aside = targets[c.Index].Ejected
		}
		assert.Equal(t, len(seen), len(targets))
	})
}

// TestSplitFollowsDemand has more short requests take more targets, within bounds.
func TestSplitFollowsDemand(t *testing.T) {
	assert.Equal(t, placer.ShortTargets(placer.Demand{Short: 100}, 18, 32), 0.0)
	assert.Equal(t, placer.ShortTargets(placer.Demand{Long: 100}, 18, 32), 0.0)
	last := 0.0
	for short := 1; short < 1000; short += 10 {
		n := placer.ShortTargets(placer.Demand{Short: short, Long: 10}, 18, 32)
		assert.Assert(t, n >= last && n >= 3 && n < 18)
		last = n
	}
}
