package spendtrier_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/trial/spendtrier"
)

// ours is the way that routers use in a deployment.
var ours = spendtrier.Strategies[len(spendtrier.Strategies)-1]

// run plays one schedule with the routers' way and holds what must always hold.
func run(t *testing.T, s spendtrier.Schedule, d spendtrier.Deployment) spendtrier.Result {
	t.Helper()
	r := spendtrier.Run(ours, s, d, 1)
	t.Log(r)
	assert.Equal(t, r.Overspend, int64(0))
	return r
}

func TestNoFalseRefusalWhilePlatformIsDown(t *testing.T) {
	for _, d := range spendtrier.Deployments {
		t.Run(d.Name, func(t *testing.T) {
			t.Parallel()
			assert.Equal(t, run(t, spendtrier.Calm, d).FalseRefusals, 0)
		})
	}
}

func TestDomainCutWithTwoHoursLeft(t *testing.T) {
	for _, d := range spendtrier.Deployments {
		t.Run(d.Name, func(t *testing.T) {
			t.Parallel()
			assert.Assert(t, run(t, spendtrier.DomainCut2h, d).Rate() <= 0.01)
		})
	}
}

func TestDomainCutWithOneHourLeftTrentvale(t *testing.T) {
	t.Parallel()
	assert.Assert(t, run(t, spendtrier.DomainCut1h, spendtrier.Trentvale).Rate() <= 0.02)
}

func TestDomainCutWithOneHourLeftHokkaido(t *testing.T) {
	t.Parallel()
	assert.Assert(t, run(t, spendtrier.DomainCut1h, spendtrier.Hokkaido).Rate() <= 0.02)
}

func TestLastPercentAgainstEqualSplit(t *testing.T) {
	for _, d := range spendtrier.Deployments {
		t.Run(d.Name, func(t *testing.T) {
			t.Parallel()
			split := spendtrier.Run(spendtrier.Strategies[1], spendtrier.LastPercent, d, 1)
			got := run(t, spendtrier.LastPercent, d)
			assert.Assert(t, got.FalseRefusals*10 < split.FalseRefusals, "equal split refused %d", split.FalseRefusals)
		})
	}
}

func TestHoldersKilledOneAfterAnother(t *testing.T) {
	t.Parallel()
	run(t, spendtrier.HolderDeaths, spendtrier.Trentvale)
}

func TestCommitsUnderATwentiethOfACommitPerRequest(t *testing.T) {
	for _, d := range spendtrier.Deployments {
		t.Run(d.Name, func(t *testing.T) {
			t.Parallel()
			each := spendtrier.Run(spendtrier.Strategies[0], spendtrier.LastPercent, d, 1)
			got := run(t, spendtrier.LastPercent, d)
			assert.Assert(t, got.Commits*20 < each.Commits, "a commit per request takes %d", each.Commits)
		})
	}
}
