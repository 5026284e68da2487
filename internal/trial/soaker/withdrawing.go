package soaker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/egretroute/egretroute/platform/platformtest"
)

const (
	// withdrawalGap limits the time between the starts of two withdrawals.
	withdrawalGap = 3 * time.Second
	// minPause and maxPause limit what a target states in Retry-After.
	minPause = 300 * time.Millisecond
	maxPause = 4 * time.Second
	// drainTime is how long after a target has said that it leaves requests may still reach it.
	drainTime = 2 * time.Second
	// pauseNotice is how long after a refusal with Retry-After requests may still reach the
	// target, maxPausedArrivals how many may reach it after that.
	pauseNotice       = 500 * time.Millisecond
	maxPausedArrivals = 2
)

// leave lets a target say in its responses that it leaves. When the fault ends, the target
// starts again under its ID.
func (s *Soak) leave(t *target) func() {
	b := healthyBehaviour
	b.Leaving = true
	s.logEvent(t.standin.ID, "leaves")
	t.standin.SetBehaviour(b)
	return func() {
		defer s.disturb(t.standin.ID)()
		t.standin.Stop()
		t.standin.SetBehaviour(healthyBehaviour)
		if err := t.standin.Start(); err != nil {
			s.logEvent("restart failed", err.Error())
			return
		}
		s.putEntry(t, "ready")
	}
}

// pause lets a target refuse all requests and state for how long it wants none.
func (s *Soak) pause(t *target, random *rand.Rand) func() {
	length := minPause + randomDuration(random, maxPause-minPause)
	s.logEvent(t.standin.ID, "wants nothing for "+length.String())
	t.standin.SetBehaviour(platformtest.Behaviour{Full: true, RetryAfter: strconv.FormatFloat(length.Seconds(), 'f', 3, 64)})
	return func() { t.standin.SetBehaviour(healthyBehaviour) }
}

// targetStart is one start of a target as one start of a gateway knows it.
type targetStart struct {
	gateway string
	target  string
	start   time.Time
}

// withdrawal is what a target has told a gateway.
type withdrawal struct {
	at    time.Time // when the gateway had passed it on for certain
	until time.Time // the end of a pause; zero if the target leaves
}

// checkWithdrawals finds requests that reached a target although it had told the gateway that
// it leaves, or that it wants nothing, before their clients sent them. arrivals are those at
// each target.
func (e *History) checkWithdrawals(arrivals map[string][]platformtest.Arrival) (found []string) {
	byID := make(map[string]Observation, len(e.observations))
	for _, s := range e.observations {
		byID[s.Request.ID] = s
	}
	told := make(map[targetStart][]withdrawal)
	for target, list := range arrivals {
		for _, a := range list {
			if s, ok := byID[a.ID]; ok {
				if w, ok := s.withdrawalIn(a); ok {
					key := targetStart{s.Gateway, target, a.Start}
					told[key] = append(told[key], w)
				}
			}
		}
	}
	late := make(map[targetStart]map[time.Time]int) // arrivals within each pause
	for target, list := range arrivals {
		for _, a := range list {
			s, ok := byID[a.ID]
			key := targetStart{s.Gateway, target, a.Start}
			for _, w := range told[key] {
				switch {
				case !ok:
				case w.until.IsZero() && s.StartedAt.After(w.at.Add(drainTime)):
					found = append(found, fmt.Sprintf("DRAIN: request %s reached %s from %s, which had been told that it leaves %v before", a.ID, target, s.Gateway, s.StartedAt.Sub(w.at)))
				case !w.until.IsZero() && s.StartedAt.After(w.at.Add(pauseNotice)) && a.At.Before(w.until):
					if late[key] == nil {
						late[key] = make(map[time.Time]int)
					}
					if late[key][w.until]++; late[key][w.until] == maxPausedArrivals+1 {
						found = append(found, fmt.Sprintf("PAUSE: request %s and others reached %s from %s, which had been told to send nothing", a.ID, target, s.Gateway))
					}
				}
			}
		}
	}
	return found
}

// withdrawalIn returns what the target said in its response to a, if the client's response
// shows that the gateway has received it.
func (s Observation) withdrawalIn(a platformtest.Arrival) (withdrawal, bool) {
	if a.Leaving && s.Response.Signed && s.Response.Ended {
		return withdrawal{at: s.EndedAt}, true
	}
	seconds, err := strconv.ParseFloat(a.RetryAfter, 64)
	if err != nil || s.mayRunAgain() || s.Response.Signed || s.Response.Status != http.StatusServiceUnavailable {
		return withdrawal{}, false
	}
	return withdrawal{at: s.EndedAt, until: a.At.Add(time.Duration(seconds * float64(time.Second)))}, true
}
