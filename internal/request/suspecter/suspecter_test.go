package suspecter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/request/suspecter"
)

// TestExpiredSuspicionIsForgotten checks that a crash long after a first one counts as
// the first, and that an expired suspicion can be renewed.
func TestExpiredSuspicionIsForgotten(t *testing.T) {
	const lifetime = time.Hour
	now := time.Unix(1000, 0)
	s := suspecter.New(func() time.Time { return now })
	s.MarkSuspect("crashes")
	s.MarkSuspect("marked again")
	now = now.Add(lifetime + time.Second)
	s.Begin("crashes")(true)
	assert.Assert(t, s.IsSuspect("crashes"))
	assert.Assert(t, !s.IsPoison("crashes"), "one crash within the lifetime made a request poison")
	s.MarkSuspect("marked again")
	assert.Assert(t, s.IsSuspect("marked again"), "an expired suspicion was not renewed")
	s.Begin("crashes")(true)
	assert.Assert(t, s.IsPoison("crashes"))
}
