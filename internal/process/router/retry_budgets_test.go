package router

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestRetriesAreBounded asks for ten times as many retries as an organisation has for a minute.
// Another organisation must still have its own.
func TestRetriesAreBounded(t *testing.T) {
	const seconds, asked = 60, 50
	synctest.Test(t, func(t *testing.T) {
		var budgets retryBudgets
		allowed := 0
		for range seconds * asked {
			if budgets.allow("greedy") {
				allowed++
			}
			time.Sleep(time.Second / asked)
		}
		assert.Assert(t, allowed <= retryBurst+seconds*retriesPerSecond, allowed)
		assert.Assert(t, allowed >= seconds*retriesPerSecond, allowed)
		assert.Assert(t, budgets.allow("other"))
	})
}
