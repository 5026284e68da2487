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
	secondsPerToken = 0.00003
	meanTokens      = 6000
	replayDuration  = 60 * time.Second
	clientDeadline  = 3 * time.Second
)

// shares are the results of one replay, as shares of all requests.
type shares struct {
	served, timedOut, refused float64
}

// replay simulates random arrivals at a multiple of one target's prefill capacity.
// Refused requests are not retried; a request whose first token comes after its
// deadline still costs the target its prefill.
func replay(capacityFactor float64, admit bool) shares {
	random := rand.New(rand.NewPCG(1, 2))
	rate := capacityFactor / (meanTokens * secondsPerToken)
	var counts shares
	freeAt, n := 0.0, 0.0
	for at := 0.0; at < replayDuration.Seconds(); at += random.ExpFloat64() / rate {
		n++
		tokens := meanTokens * (0.3 + 0.7*random.ExpFloat64())
		queuedTokens := max(freeAt-at, 0) / secondsPerToken
		decision := admitter.Decide(admitter.Request{WaitTokens: queuedTokens + tokens, SecondsPerToken: secondsPerToken, TimeLeft: clientDeadline})
		if admit && decision.Refuse {
			counts.refused++
			continue
		}
		freeAt = max(freeAt, at) + tokens*secondsPerToken
		if freeAt-at > clientDeadline.Seconds() {
			counts.timedOut++
			continue
		}
		counts.served++
	}
	return shares{served: counts.served / n, timedOut: counts.timedOut / n, refused: counts.refused / n}
}

// TestOverloads replays testdata/overloads.txt. At each multiple of the capacity, at
// least the given share of requests must be served, no fewer than without admission
// control, and no admitted request may miss its deadline.
func TestOverloads(t *testing.T) {
	f, err := os.Open("testdata/overloads.txt")
	assert.NilError(t, err)
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "#") {
			continue
		}
		var capacityFactor, minServed float64
		_, err := fmt.Sscan(lines.Text(), &capacityFactor, &minServed)
		assert.NilError(t, err)
		with, without := replay(capacityFactor, true), replay(capacityFactor, false)
		t.Logf("%.1f times the capacity: served %.2f, refused at once %.2f; without admission control: served %.2f, timed out %.2f",
			capacityFactor, with.served, with.refused, without.served, without.timedOut)
		assert.Assert(t, with.served >= minServed)
		assert.Equal(t, with.timedOut, 0.0)
		assert.Assert(t, with.served >= without.served)
	}
}

// TestRetryAfterSuffices checks that a refused request is admitted once the target
// has prefilled for the retry delay it was given.
func TestRetryAfterSuffices(t *testing.T) {
	r := admitter.Request{WaitTokens: 100_000, SecondsPerToken: secondsPerToken, TimeLeft: 2 * time.Second}
	d := admitter.Decide(r)
	assert.Assert(t, d.Refuse)
	r.WaitTokens -= d.RetryAfter.Seconds() / secondsPerToken
	assert.Assert(t, !admitter.Decide(r).Refuse)
	assert.Assert(t, !admitter.Decide(admitter.Request{WaitTokens: 1e9, TimeLeft: time.Second}).Refuse, "refused without a known prefill time per token")
}
