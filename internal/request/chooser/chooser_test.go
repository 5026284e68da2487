package chooser_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/request/chooser"
)

func candidates(n int) []*chooser.Candidate {
	all := make([]*chooser.Candidate, n)
	for i := range all {
		all[i] = &chooser.Candidate{Capacity: 16}
	}
	return all
}

func TestSamePrefixGoesToSameTarget(t *testing.T) {
	all, c, now := candidates(18), chooser.NewPrefixAffinity(), time.Unix(1, 0)
	first := c.Choose(all, 7, now)
	for range 50 {
		assert.Equal(t, c.Choose(all, 7, now), first)
	}
}

func TestLoadedPreferredTargetIsSkipped(t *testing.T) {
	all, c, now := candidates(18), chooser.NewPrefixAffinity(), time.Unix(1, 0)
	preferred := c.Choose(all, 7, now)
	for range 16 {
		all[preferred].Begin()
	}
	assert.Assert(t, c.Choose(all, 7, now) != preferred)
}

func TestFailingTargetIsEjectedAndRetried(t *testing.T) {
	all, c, now := candidates(3), chooser.NewPrefixAffinity(), time.Unix(1, 0)
	preferred := c.Choose(all, 7, now)
	for range 3 {
		all[preferred].RecordFailure(now)
	}
	assert.Assert(t, c.Choose(all, 7, now) != preferred)
	assert.Equal(t, c.Choose(all, 7, now.Add(time.Minute)), preferred)
	all[preferred].RecordSuccess()
	assert.Equal(t, c.Choose(all, 7, now), preferred)
}

func TestAllFailingTargetsAreStillUsed(t *testing.T) {
	all, c, now := candidates(3), chooser.NewPrefixAffinity(), time.Unix(1, 0)
	for _, one := range all {
		for range 5 {
			one.RecordFailure(now)
		}
	}
	assert.Assert(t, c.Choose(all, 7, now) >= 0)
}

func TestDrainingTargetGetsNothing(t *testing.T) {
	all, c, now := candidates(2), chooser.NewPrefixAffinity(), time.Unix(1, 0)
	all[0].Report(0, true, now)
	for affinityKey := range uint64(100) {
		assert.Equal(t, c.Choose(all, affinityKey, now), 1)
	}
	all[1].Report(0, true, now)
	assert.Equal(t, c.Choose(all, 1, now), -1)
}

func TestDecisionAllocatesNothing(t *testing.T) {
	all, c, now := candidates(1100), chooser.NewPrefixAffinity(), time.Unix(1, 0)
	assert.Equal(t, testing.AllocsPerRun(1000, func() { c.Choose(all, 99, now) }), 0.0)
}

func BenchmarkChoose1100(b *testing.B) {
	all, c, now := candidates(1100), chooser.NewPrefixAffinity(), time.Unix(1, 0)
	b.ReportAllocs()
	for i := range b.N {
		c.Choose(all, uint64(i), now)
	}
}
