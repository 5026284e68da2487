package inspector_test

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/version/inspector"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func parseTimes(t *testing.T, fields []string) (times []time.Time) {
	for _, field := range fields {
		seconds, err := strconv.ParseFloat(field, 64)
		assert.NilError(t, err)
		times = append(times, epoch.Add(time.Duration(seconds*float64(time.Second))))
	}
	return times
}

// TestRouterAnswersByAnOlderConfiguration plays the feeds of testdata/feeds.txt. A router answered by
// what it had, however old that was.
func TestRouterAnswersByAnOlderConfiguration(t *testing.T) {
	text, err := os.ReadFile("testdata/feeds.txt")
	assert.NilError(t, err)
	for _, block := range strings.Split(string(text), "\n=== ")[1:] {
		title, steps, _ := strings.Cut(block, "\n")
		t.Run(title, func(t *testing.T) {
			var f inspector.Feed
			var arrivals []time.Time
			for _, step := range strings.Split(strings.TrimSpace(steps), "\n") {
				args := strings.Fields(step)
				switch args[0] {
				case "reply":
					f.CurrentAt = parseTimes(t, args[1:])[0]
					arrivals = nil
				case "arrives":
					times := parseTimes(t, args[1:])
					arrivals = append(arrivals, times[0])
					if len(times) == 3 {
						for at := times[0]; !at.After(times[1]); at = at.Add(times[2].Sub(epoch)) {
							arrivals = append(arrivals, at)
						}
					}
				case "at":
					at := parseTimes(t, args[1:2])[0]
					f.ArrivingAt = time.Time{}
					for _, arrival := range arrivals {
						if !arrival.After(at) {
							f.ArrivingAt = arrival
						}
					}
					assert.Equal(t, inspector.Inspect(f, at).String(), args[2], step)
				}
			}
		})
	}
}
