package admitter_test

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/request/admitter"
)

const (
	paceSeconds  = 0.00003
	meanTokens   = 6000
	replayFor    = 60 * time.Second
	deadlineTime = 3 * time.Second
)

// outcome is what callers saw of one replay, as shares of all requests.
type outcome struct {
	served, timedOut, refused float64
}

// replay plays arrivals at a multiple of what one target can prefill; a request
// that is refused is gone, one whose first token comes after its deadline has
// cost the target its prefill all the same.
func replay(x float64, admit bool) outcome {
	random := rand.New(rand.NewPCG(1, 2))
	rate := x / (meanTokens * paceSeconds)
	var o outcome
	free, n := 0.0, 0.0
	for at := 0.0; at < replayFor.Seconds(); at += random.ExpFloat64() / rate {
		n++
		tokens := meanTokens * (0.3 + 0.7*random.ExpFloat64())
		queued := max(free-at, 0) / paceSeconds
		verdict := admitter.Decide(admitter.Request{WaitTokens: queued + tokens, SecondsPerToken: paceSeconds, TimeLeft: deadlineTime})
		if admit && verdict.Refuse {
			o.refused++
			continue
		}
		free = max(free, at) + tokens*paceSeconds
		if free-at > deadlineTime.Seconds() {
			o.timedOut++
			continue
		}
		o.served++
	}
	return outcome{served: o.served / n, timedOut: o.timedOut / n, refused: o.refused / n}
}

// TestOverloads replays testdata/overloads.txt: at each multiple of the capacity at
// least the given share must be served, and nobody may wait in vain; without the
// decision fewer are served.
func TestOverloads(t *testing.T) {
	f, err := os.Open("testdata/overloads.txt")
	assert.NilError(t, err)
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "#") {
			continue
		}
		var x, least float64
		_, err := fmt.Sscan(lines.Text(), &x, &least)
		assert.NilError(t, err)
		with, without := replay(x, true), replay(x, false)
		t.Logf("%.1f times the capacity: served %.2f, refused at once %.2f; without: served %.2f, in vain %.2f",
			x, with.served, with.refused, without.served, without.timedOut)
		assert.Assert(t, with.served >= least)
		assert.Equal(t, with.timedOut, 0.0)
		assert.Assert(t, with.served >= without.served)
	}
}

// TestRetryAfterIsWhenItFits has the time told be when the queue has drained enough.
func TestRetryAfterIsWhenItFits(t *testing.T) {
	r := admitter.Request{WaitTokens: 100_000, SecondsPerToken: paceSeconds, TimeLeft: 2 * time.Second}
	v := admitter.Decide(r)
	assert.Assert(t, v.Refuse)
	r.WaitTokens -= v.RetryAfter.Seconds() / paceSeconds
	assert.Assert(t, !admitter.Decide(r).Refuse)
	assert.Assert(t, !admitter.Decide(admitter.Request{WaitTokens: 1e9, TimeLeft: time.Second}).Refuse, "the pace isn't known")
}
