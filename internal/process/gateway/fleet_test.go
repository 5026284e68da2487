package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFailuresOfOneCrashCountOnce has thirty requests of one batch fail at once;
// the target must be tried again as soon as after one failure.
func TestFailuresOfOneCrashCountOnce(t *testing.T) {
	f := newFleet()
	now := time.Unix(1000, 0)
	for range 30 {
		assert.Assert(t, f.failed("i-1", now) <= minAside)
	}
	later := now.Add(minAside)
	assert.Equal(t, f.failed("i-1", later), 2*minAside)
	f.succeeded("i-1")
	assert.Equal(t, f.failed("i-1", later.Add(time.Minute)), minAside)
}
