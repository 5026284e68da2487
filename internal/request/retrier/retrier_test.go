package retrier_test

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/egretroute/egretroute/internal/request/retrier"
	"github.com/egretroute/egretroute/internal/request/sharer"
)

// router is one router of a simulated fleet, in model time.
type router struct {
	budget     *retrier.Budget
	membership sharer.Membership
	up         bool
	reads      bool // it reaches the store
	frozen     bool
}

// fleet plays routers of which every request fails at every target, and checks the rule: in
// each window the retries of all routers together stay within Ratio of the requests of that
// window, of the one before or of the one half a window before, plus Slack.
type fleet struct {
	limits   retrier.Limits
	now      time.Time
	routers  []*router
	enrolled int
	requests []int // by step
	retries  []int
}

// step is the length of one step of model time.
const step = 50 * time.Millisecond

func newFleet(routers int, slack float64) *fleet {
	f := &fleet{limits: retrier.Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: slack}, now: time.Now()}
	for range routers {
		f.routers = append(f.routers, &router{reads: true})
		f.start(len(f.routers) - 1)
	}
	return f
}

// start starts a router anew; it enrolls with its next step if it reaches the store.
func (f *fleet) start(i int) {
	r := f.routers[i]
	if r.budget == nil {
		f.enrolled++
	}
	r.budget = &retrier.Budget{Limits: func() retrier.Limits { return f.limits }}
	r.membership, r.up = sharer.Membership{}, true
}

// run plays steps of time in which each router gets requests, each of which is sent again as
// often as the budget allows, up to attempts times.
func (f *fleet) run(d time.Duration, requestsEach, attempts int) {
	for range d / step {
		f.now = f.now.Add(step)
		requests, retries := 0, 0
		for _, r := range f.routers {
			if !r.up || r.frozen {
				continue
			}
			if r.reads {
				r.membership.Routers, r.membership.ReadAt = make([]uint64, f.enrolled), f.now
				if r.membership.EnrolledAt.IsZero() {
					r.membership.EnrolledAt = f.now
				}
			}
			for range requestsEach {
				requests++
				r.budget.RecordRequest("s", f.now)
				for range attempts {
					if r.budget.Allow("s", r.membership, f.now) {
						retries++
					}
				}
			}
		}
		f.requests, f.retries = append(f.requests, requests), append(f.retries, retries)
	}
}

// worst returns the retries of the window that is furthest above its budget, and the budget.
func (f *fleet) worst() (retries, budget float64) {
	w := int(f.limits.Window / step)
	sum := func(counts []int, from, to int) (n float64) {
		for i := max(from, 0); i < min(to, len(counts)); i++ {
			n += float64(counts[i])
		}
		return n
	}
	for end := 1; end <= len(f.retries); end++ {
		requests := max(sum(f.requests, end-w, end), sum(f.requests, end-2*w, end-w), sum(f.requests, end-w*3/2, end-w/2))
		n, allowed := sum(f.retries, end-w, end), f.limits.Ratio*requests+f.limits.Slack
		if end == 1 || n-allowed > retries-budget {
			retries, budget = n, allowed
		}
	}
	return retries, budget
}

// TestFleetsKeepTheBudget plays the scripts of testdata/fleets.txt at several sizes.
func TestFleetsKeepTheBudget(t *testing.T) {
	file, err := os.Open("testdata/fleets.txt")
	assert.NilError(t, err)
	defer file.Close()
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		number, script, ok := strings.Cut(scanner.Text(), ": ")
		if !ok || strings.Contains(number, " ") {
			continue
		}
		for _, size := range []struct {
			routers int
			slack   float64
		}{{1, 54}, {4, 54}, {29, 98}, {68, 176}, {300, 600}} {
			t.Run(fmt.Sprintf("%s/%d", number, size.routers), func(t *testing.T) {
				f := newFleet(size.routers, size.slack)
				for _, command := range strings.Split(script, "; ") {
					f.play(t, command)
				}
				retries, budget := f.worst()
				t.Logf("%.0f retries of %.0f allowed", retries, budget)
				assert.Assert(t, retries <= budget, "%.0f retries of %.0f allowed", retries, budget)
			})
		}
	}
}

// play runs one command of a script on a share of the routers, counted from the first.
func (f *fleet) play(t *testing.T, command string) {
	t.Helper()
	var verb string
	var share, seconds float64
	requests, retries := 0, 2
	n, _ := fmt.Sscan(command, &verb, &share, &seconds, &requests, &retries)
	assert.Assert(t, n >= 2, command)
	affected := f.routers[:max(int(share*float64(len(f.routers))), 1)]
	switch verb {
	case "run":
		f.run(time.Duration(seconds*float64(time.Second)), requests, retries)
	case "cut", "join", "freeze", "wake":
		for _, r := range affected {
			switch verb {
			case "cut":
				r.reads = false
			case "join":
				r.reads = true
			case "freeze":
				r.frozen = true
			case "wake":
				r.frozen = false
			}
		}
	case "restart":
		for i := range affected {
			f.start(i)
		}
	case "add":
		for range affected {
			f.routers = append(f.routers, &router{reads: true})
			f.start(len(f.routers) - 1)
		}
	default:
		t.Fatalf("unknown command %q", command)
	}
}

// TestRandomFleetsKeepTheBudget draws starts, cuts, freezes and demand.
func TestRandomFleetsKeepTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 30).Draw(t, "routers"), float64(rapid.IntRange(0, 100).Draw(t, "slack")))
		for range rapid.IntRange(1, 12).Draw(t, "phases") {
			for i, r := range f.routers {
				switch rapid.IntRange(0, 9).Draw(t, "event") {
				case 0:
					f.start(i)
				case 1:
					r.reads = !r.reads
				case 2:
					r.frozen = !r.frozen
				}
			}
			d := time.Duration(rapid.IntRange(1, 60).Draw(t, "steps")) * step
			f.run(d, rapid.IntRange(0, 3).Draw(t, "requests"), rapid.IntRange(0, 3).Draw(t, "attempts"))
		}
		retries, budget := f.worst()
		assert.Assert(t, retries <= budget, "%.0f retries of %.0f allowed", retries, budget)
	})
}

// TestSlackIsUsed checks that a fleet in steady state may use most of the slack.
func TestSlackIsUsed(t *testing.T) {
	f := newFleet(4, 54)
	f.run(11*time.Second, 0, 0)
	f.run(step, 15, 2)
	retries, _ := f.worst()
	assert.Assert(t, retries >= 40, "%.0f retries", retries)
}
