package soaker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/egretroute/egretroute/platform/platformtest"
)

const (
	// limitGap limits the time between the starts of two limits, limitTime is how long one lasts
	// at least.
	limitGap  = 6 * time.Second
	limitTime = 8 * time.Second
	// limitContact is the time after a target has first named a limit from which it holds,
	// limitNotice how long a gateway that has been told may go on, and limitWindow the length of
	// the windows in which the requests are counted.
	limitContact = 3 * time.Second
	limitNotice  = 500 * time.Millisecond
	limitWindow  = 4 * time.Second
	// limitExcess and limitSlack are the multiple of the limit and the further requests that a
	// target tolerates in a window.
	limitExcess = 1.5
	limitSlack  = 5
)

// rateLimits are the limits that a target may name, one after the other in its responses.
var rateLimits = [][]string{{"0"}, {"0.3"}, {"1"}, {"1.3"}, {"4"}, {"20"}, {"4", "2", "1"}, {"1", "4", "0.5", "3"}, {"1", "many", ""}}

// limit lets targets name limits of the rate of requests.
func (s *Soak) limit(targets []*target, random *rand.Rand) func() {
	for _, t := range targets {
		limits := pick(random, rateLimits)
		s.logEvent(t.standin.ID, fmt.Sprintf("names limits %v", limits))
		t.standin.SetRateLimits(limits...)
	}
	return func() {
		sleep(s.clientsCtx, limitTime)
		for _, t := range targets {
			s.logEvent(t.standin.ID, "names no limit")
			t.standin.SetRateLimits()
		}
	}
}

// targetsOf returns the targets of a random service.
func (s *Soak) targetsOf(random *rand.Rand) (targets []*target) {
	service := pick(random, s.targets).standin.Service
	for _, t := range s.targets {
		if t.standin.Service == service {
			targets = append(targets, t)
		}
	}
	return targets
}

// checkLimits finds targets that got more requests than the limits that they had named, from
// gateways that they had told. arrivals are those at each target.
func (e *History) checkLimits(arrivals map[string][]platformtest.Arrival) (found []string) {
	byID := make(map[string]Observation, len(e.observations))
	for _, s := range e.observations {
		byID[s.Request.ID] = s
	}
	for target, list := range arrivals {
		list = slices.Clone(list)
		slices.SortStableFunc(list, func(a, b platformtest.Arrival) int { return a.At.Compare(b.At) })
		for len(list) > 0 {
			period := limitPeriod(list)
			list = list[max(len(period), 1):]
			if f := checkLimitPeriod(period, byID); f != "" {
				found = append(found, fmt.Sprintf("LIMIT: target %s %s", target, f))
			}
		}
	}
	return found
}

// limitPeriod returns the arrivals, from the first one on, of one start of the target while it names
// limits.
func limitPeriod(list []platformtest.Arrival) []platformtest.Arrival {
	for i, a := range list {
		if a.RateLimit == "" || !a.Start.Equal(list[0].Start) {
			return list[:i]
		}
	}
	return list
}

// checkLimitPeriod checks the arrivals while a target names limits.
func checkLimitPeriod(period []platformtest.Arrival, byID map[string]Observation) string {
	told := make(map[string]time.Time) // by gateway
	for _, a := range period {
		s, ok := byID[a.ID]
		if known, isTold := told[s.Gateway]; ok && s.Response.Signed && s.Response.Ended && (!isTold || s.EndedAt.Before(known)) {
			told[s.Gateway] = s.EndedAt
		}
	}
	var counted []platformtest.Arrival
	for _, a := range period {
		s, ok := byID[a.ID]
		toldAt, isTold := told[s.Gateway]
		if ok && isTold && !s.GatewayFrozen && s.StartedAt.After(toldAt.Add(limitNotice)) && a.At.After(period[0].At.Add(limitContact)) {
			counted = append(counted, a)
		}
	}
	for first := range counted {
		highest, n := 0.0, 0
		for _, a := range counted[first:] {
			if a.At.Sub(counted[first].At) > limitWindow {
				break
			}
			limit, err := strconv.ParseFloat(a.RateLimit, 64)
			if err == nil {
				highest = max(highest, limit)
			}
			n++
			if allowed := limitExcess*highest*limitWindow.Seconds() + limitSlack; err == nil && float64(n) > allowed {
				return fmt.Sprintf("got %d requests in 4 s, %.0f allowed, until %s", n, allowed, a.At.Format(time.TimeOnly))
			}
		}
	}
	return ""
}
