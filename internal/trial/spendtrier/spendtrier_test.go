package spendtrier_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/trial/spendtrier"
)

// routerStrategy is the strategy that routers use in a deployment.
var routerStrategy = spendtrier.Strategies[len(spendtrier.Strategies)-1]

// runAndCheck simulates one schedule with the routers' strategy and checks that
// nothing is overspent.
func runAndCheck(t *testing.T, s spendtrier.Schedule, d spendtrier.Deployment) spendtrier.Result {
	t.Helper()
	r := spendtrier.Run(routerStrategy, s, d, 1)
	t.Log(r)
	assert.Equal(t, r.Overspend, int64(0))
	return r
}

func TestNoFalseRefusalWhilePlatformIsDown(t *testing.T) {
	for _, d := range spendtrier.Deployments {
		t.Run(d.Name, func(t *testing.T) {
			t.Parallel()
			assert.Equal(t, runAndCheck(t, spendtrier.PlatformOutage, d).FalseRefusals, 0)
		})
	}
}

func TestDomainPartitionWithTwoHoursLeft(t *testing.T) {
	for _, d := range spendtrier.Deployments {
		t.Run(d.Name, func(t *testing.T) {
			t.Parallel()
			assert.Assert(t, runAndCheck(t, spendtrier.DomainPartition2h, d).FalseRefusalRate() <= 0.01)
		})
	}
}

func TestDomainPartitionWithOneHourLeftTrentvale(t *testing.T) {
	t.Parallel()
	assert.Assert(t, runAndCheck(t, spendtrier.DomainPartition1h, spendtrier.Trentvale).FalseRefusalRate() <= 0.02)
}

func TestDomainCutWithOneHourLeftHokkaido(t *testing.T) {
	t.Parallel()
	assert.Assert(t, runAndCheck(t, spendtrier.DomainPartition1h, spendtrier.Hokkaido).FalseRefusalRate() <= 0.02)
}

func TestLastPercentAgainstEqualSplit(t *testing.T) {
	for _, d := range spendtrier.Deployments {
		t.Run(d.Name, func(t *testing.T) {
			t.Parallel()
			equalSplit := spendtrier.Run(spendtrier.Strategies[1], spendtrier.LastPercent, d, 1)
			got := runAndCheck(t, spendtrier.LastPercent, d)
			assert.Assert(t, got.FalseRefusals*10 < equalSplit.FalseRefusals, "equal split refused %d", equalSplit.FalseRefusals)
		})
	}
}

func TestHoldersKilledOneAfterAnother(t *testing.T) {
	t.Parallel()
	runAndCheck(t, spendtrier.HolderCrashes, spendtrier.Trentvale)
}

func TestCommitsUnderATwentiethOfACommitPerRequest(t *testing.T) {
	for _, d := range spendtrier.Deployments {
		t.Run(d.Name, func(t *testing.T) {
			t.Parallel()
			commitPerRequest := spendtrier.Run(spendtrier.Strategies[0], spendtrier.LastPercent, d, 1)
			got := runAndCheck(t, spendtrier.LastPercent, d)
			assert.Assert(t, got.Commits*20 < commitPerRequest.Commits, "a commit per request takes %d", commitPerRequest.Commits)
		})
	}
}
