package ejector_test

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/request/ejector"
)

var start = time.Unix(1000, 0)

func at(millis int) time.Time {
	return start.Add(time.Duration(millis) * time.Millisecond)
}

// step performs one step and returns for how long the target is ejected.
func step(h *ejector.Health, now time.Time, kind string, sentAt time.Time) time.Duration {
	switch kind {
	case "loss":
		return h.RecordLoss(now)
	case "failure":
		return h.RecordFailure(now)
	case "success":
		h.RecordSuccess(sentAt)
	}
	left := time.Duration(0)
	for h.Ejected(now.Add(left)) {
		left += time.Millisecond
	}
	return left
}

// TestHealth plays the cases of testdata/health.txt.
func TestHealth(t *testing.T) {
	f, err := os.Open("testdata/health.txt")
	assert.NilError(t, err)
	defer f.Close()
	h, title := &ejector.Health{}, ""
	for lines := bufio.NewScanner(f); lines.Scan(); {
		line := lines.Text()
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		var now, value int
		var kind string
		if n, _ := fmt.Sscan(line, &now, &kind, &value); n < 3 {
			h, title = &ejector.Health{}, line
			continue
		}
		got := step(h, at(now), kind, at(value))
		if kind != "success" {
			assert.Equal(t, got, time.Duration(value)*time.Millisecond, "%s: %s", title, line)
		}
	}
}

// TestFailingTargetDoesNotAttractItsService replays a target that fails each request at
// once while requests go to the target with the fewest running ones.
func TestFailingTargetDoesNotAttractItsService(t *testing.T) {
	const (
		targets, requests = 39, 400
		intervalMillis    = 15
		runMillis         = 1500
		failing           = 7
	)
	var health [targets]ejector.Health
	var ends [targets][]int
	sent := 0
	for n := range requests {
		millis := n * intervalMillis
		best := -1
		for i := range targets {
			for len(ends[i]) > 0 && ends[i][0] <= millis {
				ends[i] = ends[i][1:]
				health[i].RecordSuccess(at(millis - runMillis))
			}
			if !health[i].Ejected(at(millis)) && (best < 0 || len(ends[i]) < len(ends[best])) {
				best = i
			}
		}
		if best == failing {
			sent++
			health[best].RecordFailure(at(millis))
			continue
		}
		ends[best] = append(ends[best], millis+runMillis)
	}
	// Requests that the target would get by its share, and one for each of the failures
	// and probes before it is out for the longest time.
	assert.Assert(t, sent <= requests/targets+5, "%d of %d requests went to the failing target", sent, requests)
}
