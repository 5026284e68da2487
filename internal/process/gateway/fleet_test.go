package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/request/placer"
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

// TestGoneTargetsAreForgotten drops a target that is listed no more, but not
// while a request is at it.
func TestGoneTargetsAreForgotten(t *testing.T) {
	f := newFleet()
	v := f.begin("i-1", placer.Request{PromptTokens: 10, UniqueTokens: 10, Engine: true}, time.Unix(1000, 0))
	f.begin("i-2", placer.Request{PromptTokens: 10, UniqueTokens: 10, Engine: true}, time.Unix(1000, 0)).end()
	f.prune(map[string]bool{"i-2": true})
	assert.Equal(t, len(f.states), 2)
	v.end()
	f.prune(map[string]bool{"i-2": true})
	assert.Equal(t, len(f.states), 1)
	assert.Equal(t, f.running(), 0)
}
