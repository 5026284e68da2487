package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/request/placer"
)

// TestFailuresOfOneCrashCountOnce fails thirty requests of one batch at once, as a crash
// does. The target must be tried again as soon as after one failure; if each request
// extended the ejection, it would stay out for four seconds.
func TestFailuresOfOneCrashCountOnce(t *testing.T) {
	const minEjection = 500 * time.Millisecond
	tracker := newTargetTracker()
	now := time.Unix(1000, 0)
	for range 30 {
		assert.Assert(t, tracker.recordLoss("i-1", now) <= minEjection)
	}
	later := now.Add(minEjection)
	assert.Equal(t, tracker.recordLoss("i-1", later), 2*minEjection)
	tracker.recordSuccess("i-1", later)
	assert.Equal(t, tracker.recordLoss("i-1", later.Add(time.Minute)), minEjection)
}

// TestRemovedTargetsArePruned checks that the state of a removed target is dropped,
// but not while a request is in flight there.
func TestRemovedTargetsArePruned(t *testing.T) {
	tracker := newTargetTracker()
	inFlight := tracker.begin("i-1", placer.Request{PromptTokens: 10, UniqueTokens: 10, Engine: true}, time.Unix(1000, 0))
	tracker.begin("i-2", placer.Request{PromptTokens: 10, UniqueTokens: 10, Engine: true}, time.Unix(1000, 0)).end()
	tracker.prune(map[string]bool{"i-2": true})
	assert.Equal(t, len(tracker.targets), 2)
	inFlight.end()
	tracker.prune(map[string]bool{"i-2": true})
	assert.Equal(t, len(tracker.targets), 1)
	assert.Equal(t, tracker.runningCount(), 0)
}
