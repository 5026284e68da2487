package soaker

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/egretroute/egretroute/platform/platformtest"
)

const (
	// lossContact is how long a gateway must have run undisturbed before a request is sent to
	// it, so that losing the request counts.
	lossContact = 3 * time.Second
	// unreadTime is how long after its sending a request may meet the close of its connection.
	unreadTime = 200 * time.Millisecond
	// longRequestTime is how long after SIGTERM a request must have been sent that may still run
	// at the end of the grace, and lastParts says which part of the grace is its end.
	longRequestTime = 3 * time.Second
	lastParts       = 6
	// notesTimeout is what the configuration allows requests of the route notes, routeTimeout those of
	// the others.
	notesTimeout = 3 * time.Second
	routeTimeout = time.Second
	// crashNotice is how much later than the end of its connections a target's crash may be noted.
	crashNotice = 250 * time.Millisecond
)

// Evidence is what is known besides what clients have seen.
type Evidence struct {
	// Runs are what targets ran by request ID, Arrivals what reached each target.
	Runs     map[string][]platformtest.Run
	Arrivals map[string][]platformtest.Arrival
	// Signals are the signals and starts of each program, by its name, in order.
	Signals map[string][]Signal
	// Disturbances are the times in which each target, or its link, may have broken off responses
	// of any kind. What a target does to single requests is in Runs.
	Disturbances map[string][]Period
}

// Signal is a signal that a program has got. A start has signal 0.
type Signal struct {
	At     time.Time
	Signal syscall.Signal
}

// start is in place of the signal of a start.
const start syscall.Signal = 0

// Period is a period of time. One that has no end lasts until the end of the soak.
type Period struct {
	From  time.Time
	Until time.Time
}

func (p Period) overlaps(from, until time.Time) bool {
	return p.From.Before(until) && (p.Until.IsZero() || p.Until.After(from))
}

// checkLosses finds requests whose connections ended without a complete response although their
// gateways had at most been told to stop or to reload.
func (e *History) checkLosses(ev Evidence) (found []string) {
	targets := make(map[string][]string) // by request
	for target, list := range ev.Arrivals {
		for _, a := range list {
			targets[a.ID] = append(targets[a.ID], target)
		}
	}
	for _, s := range e.observations {
		if s.isLost(ev, targets[s.Request.ID]) {
			found = append(found, fmt.Sprintf("LOST: request %s at %s, status %d, %s: sent at %s, kept connection %t, unread %t; ended %v later without a complete response; it reached %v; %s: %v",
				s.Request.ID, s.Gateway, s.Response.Status, s.Request.Path, s.SentAt.UTC().Format("15:04:05.000"), s.Kept, s.Unread,
				s.EndedAt.Sub(s.SentAt), targets[s.Request.ID], describe(ev.Signals[s.gatewayName()], s.EndedAt), s.Response.Err))
		}
	}
	return found
}

func (s Observation) gatewayName() string {
	name, _, _ := strings.Cut(s.Gateway, "@")
	return name
}

// isBroken reports whether the gateway ended the connection on which the whole request had been sent
// before its response was complete.
func (s Observation) isBroken() bool {
	return !s.Response.Ended && !s.GaveUp && !s.Refused && !s.SentAt.IsZero()
}

// isLost reports whether the gateway gave the request up. targets are those that it reached.
func (s Observation) isLost(ev Evidence, targets []string) bool {
	signals := ev.Signals[s.gatewayName()]
	switch {
	case !s.isBroken(), isDisturbed(signals, s.StartedAt, s.EndedAt), s.crossedClose(targets):
		return false
	case s.Responding && (s.brokenByTarget(ev, targets) || s.timeIsUp()):
		return false
	}
	return !s.outlasts(ev, signals)
}

// crossedClose reports whether the request met the close of its connection unread, soon after it was
// sent.
func (s Observation) crossedClose(targets []string) bool {
	return s.Unread && !s.Responding && len(targets) == 0 && s.EndedAt.Sub(s.SentAt) <= unreadTime
}

// timeIsUp reports whether the request's deadline or the time that its route allows was over when its
// connection ended.
func (s Observation) timeIsUp() bool {
	limit := routeTimeout
	if strings.HasPrefix(s.Request.Path, "/notes/") {
		limit = notesTimeout
	}
	return s.EndedAt.Sub(s.StartedAt) >= min(limit, s.Request.Timeout)
}

// brokenByTarget reports whether a response that had begun may have been broken off by a target.
func (s Observation) brokenByTarget(ev Evidence, targets []string) bool {
	for _, r := range ev.Runs[s.Request.ID] {
		if b := r.Behaviour; r.Crashed || b.Reset || b.ResetAfter > 0 || b.Truncated || b.Spoiled || b.Endless != "" {
			return true
		}
	}
	return slices.ContainsFunc(targets, func(target string) bool {
		return slices.ContainsFunc(ev.Disturbances[target], func(p Period) bool { return p.overlaps(s.StartedAt, s.EndedAt) })
	})
}

// outlasts reports whether a target still ran the request at the end of the grace of a stop that had
// hardly begun when it was sent.
func (s Observation) outlasts(ev Evidence, signals []Signal) bool {
	stop, ok := stopBefore(signals, s.EndedAt)
	if !ok || s.StartedAt.After(stop.Add(longRequestTime)) {
		return false
	}
	lastPart := stop.Add(stopLimit - stopLimit/lastParts)
	return s.EndedAt.After(lastPart) && slices.ContainsFunc(ev.Runs[s.Request.ID], func(r platformtest.Run) bool {
		return r.EndedAt.IsZero() || r.EndedAt.After(lastPart)
	})
}

// isDisturbed reports whether a program was killed, frozen, thawed or started in a period or shortly
// before.
func isDisturbed(signals []Signal, from, until time.Time) bool {
	frozen := false
	for _, s := range signals {
		if s.At.After(until) {
			break
		}
		switch s.Signal {
		case syscall.SIGSTOP:
			frozen = true
		case syscall.SIGKILL, syscall.SIGCONT, start:
			frozen = false
		default:
			continue
		}
		if !s.At.Before(from.Add(-lossContact)) {
			return true
		}
	}
	return frozen
}

// stopBefore returns when the stop began in which a program is at a time.
func stopBefore(signals []Signal, at time.Time) (begin time.Time, ok bool) {
	for _, s := range signals {
		switch {
		case s.At.After(at):
			return begin, ok
		case s.Signal == start:
			begin, ok = time.Time{}, false
		case s.Signal == syscall.SIGTERM && !ok:
			begin, ok = s.At, true
		}
	}
	return begin, ok
}

// describe returns the last signals before a time.
func describe(signals []Signal, until time.Time) string {
	const count = 4
	var parts []string
	for _, s := range signals {
		name := "start"
		if s.Signal != start {
			name = s.Signal.String()
		}
		if !s.At.After(until) {
			parts = append(parts, fmt.Sprintf("%s %.3f s before", name, until.Sub(s.At).Seconds()))
		}
	}
	return strings.Join(parts[max(len(parts)-count, 0):], ", ")
}

// Losses counts what the check of losses has had to judge.
type Losses struct {
	// Judged is the number of requests to gateways that were not disturbed, InStops that of those
	// that were sent or ended during a stop.
	Judged  int
	InStops int
	// Crossed is the number of those that met the close of their connection, GaveUp that of those
	// whose clients had no response in time.
	Crossed int
	GaveUp  int
}

// countLosses counts what the check of losses judges.
func (e *History) countLosses(ev Evidence) (out Losses) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reached := make(map[string]bool)
	for list := range maps.Values(ev.Arrivals) {
		for _, a := range list {
			reached[a.ID] = true
		}
	}
	for _, s := range e.observations {
		signals := ev.Signals[s.gatewayName()]
		if s.SentAt.IsZero() || isDisturbed(signals, s.StartedAt, s.EndedAt) {
			continue
		}
		out.Judged++
		if _, ok := stopBefore(signals, s.EndedAt); ok {
			out.InStops++
		}
		switch {
		case s.GaveUp:
			out.GaveUp++
		case s.isBroken() && !reached[s.Request.ID] && s.crossedClose(nil):
			out.Crossed++
		}
	}
	return out
}
