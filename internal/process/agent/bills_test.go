package agent

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/connection/framer"
)

// TestFenceBeforeFirstRunHolds fences a payer at an agent that has run nothing yet. Its
// parts must be refused: if the first begin discards the fence, a payer that counts as
// dead runs requests whose bills nobody collects.
func TestFenceBeforeFirstRunHolds(t *testing.T) {
	var bills billTracker
	bills.allowPayer("router-1@1")
	bills.allowPayer("router-2@1")
	bills.fence("router-1@1")
	fenced := []framer.Part{{Payer: "router-1@1", Sequence: 1, Amount: 5}}
	other := []framer.Part{{Payer: "router-2@1", Sequence: 1, Amount: 5}}
	assert.Assert(t, !bills.begin(fenced), "a part of a fenced payer was accepted")
	assert.Assert(t, bills.anyFenced(fenced))
	assert.Assert(t, bills.begin(other), "a part of a payer that is not fenced was refused")
}
