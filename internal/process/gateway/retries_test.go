package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestRetriesStayWithinTheBudget draws requests and retries over time. In every window
// the allowed retries must not exceed RetryRatio of the requests of that window and
// the one before, plus this router's part of RetrySlack.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := &Limits{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 50}
		b := &retryBudget{Limits: func() *Limits { return limits }}
		const routers = 5
		now := time.Unix(1000, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.recordRequest("s", now)
				requests = append(requests, now)
				continue
			}
			if b.allow("s", routers, now) {
				retries = append(retries, now)
			}
			since := func(all []time.Time, d time.Duration) (n float64) {
				for _, at := range all {
					if now.Sub(at) < d {
						n++
					}
				}
				return n
			}
			budget := limits.RetryRatio*since(requests, 2*limits.RetryWindow) + limits.RetrySlack/routers
			assert.Assert(t, since(retries, limits.RetryWindow) <= budget+1)
		}
	})
}
