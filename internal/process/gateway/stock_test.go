package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSilentLenderIsNotAskedAgain guards against a frozen holder of an organisation's tokens:
// each request of the organisation waited for it until its link was found to be down.
func TestSilentLenderIsNotAskedAgain(t *testing.T) {
	p, now := &peerLinks{silentSince: make(map[string]time.Time)}, time.Now()
	assert.Assert(t, !p.isSilent("a", now))
	p.markSilent("a", now)
	assert.Assert(t, p.isSilent("a", now.Add(lenderPause-time.Millisecond)))
	assert.Assert(t, !p.isSilent("b", now))
	assert.Assert(t, !p.isSilent("a", now.Add(lenderPause)))
	assert.Equal(t, len(p.silentSince), 0)
}
