package admitter_test

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/request/admitter"
)

// TestShortages replays testdata/shortages.txt for ten seconds. Tokens become free evenly; a request
// that may search takes what it needs.
func TestShortages(t *testing.T) {
	const lasts = 10 * time.Second
	f, err := os.Open("testdata/shortages.txt")
	assert.NilError(t, err)
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "#") {
			continue
		}
		var perSecond, freePerSecond float64
		var list string
		var maxSearches, minUsed float64
		_, err := fmt.Sscanf(lines.Text(), "%g %s %g = %g %g", &perSecond, &list, &freePerSecond, &maxSearches, &minUsed)
		assert.NilError(t, err, lines.Text())
		var amounts []int64
		for _, a := range strings.Split(list, ",") {
			amount, err := strconv.ParseInt(a, 10, 64)
			assert.NilError(t, err, lines.Text())
			amounts = append(amounts, amount)
		}
		var s admitter.Shortages
		free, used, freed := 0.0, 0.0, 0.0
		requests, searches := 0, 0
		step := time.Duration(float64(time.Second) / perSecond)
		for at := time.Duration(0); at < lasts; at += step {
			free += freePerSecond * step.Seconds()
			freed += freePerSecond * step.Seconds()
			now, amount := time.Unix(0, 0).Add(at), amounts[requests%len(amounts)]
			requests++
			switch {
			case !s.Search("alpha", amount, now):
				continue
			case free < float64(amount):
				s.Missing("alpha", amount, now)
			default:
				s.Found("alpha", amount)
				free -= float64(amount)
				used += float64(amount)
			}
			searches++
		}
		share := float64(searches) / float64(requests)
		assert.Check(t, share <= maxSearches, "%s: %.3f of the requests search", lines.Text(), share)
		assert.Check(t, used >= minUsed*freed, "%s: %.0f of %.0f tokens used", lines.Text(), used, freed)
		assert.Check(t, s.Search("beta", 1, time.Unix(0, 0)), "another organisation must not be affected")
	}
}
