// Package assessor holds what a router knows of a target and decides whether the target may
// be sent a request.
//
// A router learns of a target from three sources: the target's entry in the platform's list,
// the target's own responses, and the reports of other routers. They arrive late and in any
// order, and a target may start again under its ID, so each Fact names the start of the
// target that it is about, its source and when it was learned. A fact about an earlier start
// never decides, unless its response came after the listed one began. One about a later start
// decides only if it is a pause or a limit: they end, while a target that is taken to leave stays
// unused. Target is plain data with no clock of its own. It handles these load patterns:
//
//   - Targets that leave while the list is stale. A target states in its responses that it
//     leaves, often before its entry says so. It takes no request more for the rest of that
//     start, whatever the list says, and other routers are told.
//   - Targets that ask for a pause. An overloaded target that refuses a request may state for
//     how long it wants none from this router. Requests that are sent all the same are refused
//     too, and keep the target busy. Other routers, which it has not told, use it last.
//   - Targets that limit the rate of requests from all routers together. The responses that name
//     a limit, another one or none any more overtake each other; all routers are told.
//   - Targets that are cold: they take few requests a second from all routers together until a
//     known time. An entry, a response, a peer and the start itself may each be the first to
//     tell; the latest end counts.
//   - Targets that crashed. Routers that had no request there learn of it from others, and
//     use the target last for a moment, or until it starts again.
//
// # Usage
//
//	var t assessor.Target
//	t.RecordLeaving(assessor.Fact{Start: entry.StartedAt, At: now, Source: assessor.Response})
//	t.RecordPause(fact, 2*time.Second)
//	t.RecordReport(report, now) // from another router
//	if a := t.Assess(entry.StartedAt, now); a.State == assessor.Open {
//		// Send the request.
//	}
package assessor

import (
	"math"
	"time"

	"github.com/egretroute/egretroute/internal/request/ejector"
)

const (
	// maxPause bounds a pause that a target asks for; a mistaken header must not take a
	// target out of service for good.
	maxPause = time.Hour
	// maxDoubtfulPause bounds a pause that may be about another start than the listed one: longer
	// than the list is usually behind.
	maxDoubtfulPause = 10 * time.Second
	// crashLifetime is how long a crash that another router has seen counts against the
	// target: as long as a router's own first ejection. Its entry may show the next start late.
	crashLifetime = 500 * time.Millisecond
	// maxClockSkew bounds how far the clocks of a target and of this router may differ.
	maxClockSkew = 3 * time.Second
	// factLifetime is how long facts are kept about a target that is no longer listed. Its
	// entry may lapse and come back.
	factLifetime = 10 * time.Minute
)

// Source is where a router has learned a fact from.
type Source int

const (
	// Response is a response of the target to this router.
	Response Source = iota
	// Peer is the report of another router.
	Peer
	// Entry is the target's entry.
	Entry
	// Appearance is that the target's start has been listed for the first time.
	Appearance
)

// String returns the source's name.
func (s Source) String() string {
	return [...]string{"response", "peer", "entry", "appearance"}[s]
}

// Fact is something known of one start of a target. Its zero value means that nothing is
// known.
type Fact struct {
	// Start is the start that the fact is about; zero for targets that don't state it.
	Start time.Time
	// At is when this router learned the fact, or when it became true if that is known.
	At     time.Time
	Source Source
}

// about reports whether the fact is about the given start. A response that came well after
// that start belongs to it, even if the list still showed the one before.
func (f Fact) about(start time.Time) bool {
	if f.At.IsZero() || f.Start.Equal(start) {
		return !f.At.IsZero()
	}
	return f.Source == Response && f.Start.Before(start) && f.At.Sub(start) > maxClockSkew
}

// mayBeAbout reports whether the fact may be about the given start, by clocks that agree, or is about
// a later one, which the list doesn't show yet. That is enough for facts that end by themselves or that
// the next response corrects.
func (f Fact) mayBeAbout(start time.Time) bool {
	switch {
	case f.about(start):
		return true
	case f.At.IsZero() || start.IsZero():
		return false
	}
	return f.Start.After(start) || (f.Source == Response && f.At.After(start))
}

// superseded reports whether a new fact about the given start replaces f.
func (f Fact) superseded(start time.Time) bool {
	return f.At.IsZero() || f.Start.Before(start)
}

// Pause is a target's request to be sent nothing until a time.
type Pause struct {
	Fact
	Until time.Time
}

// active returns the pause's end if it is about the given start and not over, and the zero time
// otherwise. If it only may be about that start, it ends after maxDoubtfulPause.
func (p Pause) active(start, now time.Time) time.Time {
	until := p.Until
	switch doubtful := p.At.Add(maxDoubtfulPause); {
	case p.about(start):
	case !p.mayBeAbout(start):
		return time.Time{}
	case doubtful.Before(until):
		until = doubtful
	}
	if now.Before(until) {
		return until
	}
	return time.Time{}
}

// Load is the load that one router has placed on a target.
type Load struct {
	// PendingTokens is the number of tokens left to prefill; ShortRequests and
	// LongRequests are the numbers of running requests by kind.
	PendingTokens int64
	ShortRequests int
	LongRequests  int
	// Suspects is the number of them that are suspected of a crash.
	Suspects int
}

// Add adds the load of another router.
func (l *Load) Add(other Load) {
	l.PendingTokens += other.PendingTokens
	l.ShortRequests += other.ShortRequests
	l.LongRequests += other.LongRequests
	l.Suspects += other.Suspects
}

// maxScale bounds the factor by which the load of known routers is scaled: few say little of the rest.
const maxScale = 4

// Aged returns what is left of a load that was reported some seconds ago: its prompts have been prefilled
// meanwhile, at secondsPerToken, 0 if that isn't known.
func (l Load) Aged(seconds, secondsPerToken float64) Load {
	if secondsPerToken > 0 {
		l.PendingTokens = max(l.PendingTokens-int64(seconds/secondsPerToken), 0)
	}
	return l
}

// Scaled returns the load of all other routers, estimated from that of the known ones. Tokens to prefill
// and suspects are not scaled: they come and go with single requests.
func (l Load) Scaled(known, others int) Load {
	if known <= 0 || others <= known {
		return l
	}
	scale := min(float64(others)/float64(known), maxScale)
	l.ShortRequests = int(math.Round(float64(l.ShortRequests) * scale))
	l.LongRequests = int(math.Round(float64(l.LongRequests) * scale))
	return l
}

// Running returns the number of running requests.
func (l Load) Running() int {
	return l.ShortRequests + l.LongRequests
}

// Target is what a router knows of a target besides its entry. Its zero value is a target of
// which nothing is known.
type Target struct {
	// Load is this router's own.
	Load Load
	// Health is what this router's requests have shown.
	Health ejector.Health

	leaving Fact
	// paused is the pause that the target asked this router for, peerPaused the latest one
	// that it asked another router for.
	paused     Pause
	peerPaused Pause
	// crashed is the target's last crash.
	crashed Fact
	limit   Limit
	warmup  Warmup
}

// RecordLeaving records that the target leaves and reports whether that is news. What the
// target has told this router replaces what others say.
func (t *Target) RecordLeaving(f Fact) bool {
	news := t.leaving.superseded(f.Start)
	if news || (t.leaving.Start.Equal(f.Start) && f.Source < t.leaving.Source) {
		t.leaving = f
	}
	return news
}

// RecordPause records that the target has asked for a pause and returns its end. The longer
// one of two pauses counts.
func (t *Target) RecordPause(f Fact, d time.Duration) time.Time {
	known := &t.paused
	if f.Source == Peer {
		known = &t.peerPaused
	}
	p := Pause{Fact: f, Until: f.At.Add(min(d, maxPause))}
	if known.superseded(f.Start) || (known.Start.Equal(f.Start) && known.Until.Before(p.Until)) {
		*known = p
	}
	return known.Until
}

// RecordCrash records that the target crashed at f.At. What this router has seen replaces what others say of the same
// time.
func (t *Target) RecordCrash(f Fact) {
	newer := t.crashed.At.Before(f.At) || (t.crashed.At.Equal(f.At) && f.Source < t.crashed.Source)
	if t.crashed.superseded(f.Start) || (t.crashed.Start.Equal(f.Start) && newer) {
		t.crashed = f
	}
}

// RecordSuccess records a successful response to a request that was sent at sentAt.
func (t *Target) RecordSuccess(sentAt time.Time) {
	t.Health.RecordSuccess(sentAt)
	if t.crashed.At.Before(sentAt) {
		t.crashed = Fact{}
	}
}

// LearnedAt returns when the newest fact was learned, or the zero time if there is none.
func (t *Target) LearnedAt() time.Time {
	newest := t.leaving.At
	for _, at := range []time.Time{t.paused.At, t.peerPaused.At, t.crashed.At, t.limit.At, t.warmup.At} {
		if at.After(newest) {
			newest = at
		}
	}
	return newest
}

// Expired reports whether all facts are too old to be kept for a target that is no longer
// listed.
func (t *Target) Expired(now time.Time) bool {
	for _, at := range []time.Time{t.leaving.At, t.paused.At, t.paused.Until, t.limit.At, t.warmup.Until} {
		if !at.IsZero() && now.Sub(at) < factLifetime {
			return false
		}
	}
	return true
}

// State says whether a target takes requests.
type State int

const (
	// Open targets take requests.
	Open State = iota
	// Paused targets have asked this router to send nothing until a time.
	Paused
	// Leaving targets take no more requests.
	Leaving
)

// Assessment is the decision on one target.
type Assessment struct {
	State State
	// Until is the end of the pause of a Paused target.
	Until time.Time
	// Last is set for an Open target that should be used only if there is no other: requests
	// there have failed, another router has seen it crash, or it has asked one for a pause.
	Last bool
}

// Assess decides on the target's start with the given time.
func (t *Target) Assess(start, now time.Time) Assessment {
	if t.leaving.about(start) {
		return Assessment{State: Leaving}
	}
	if until := t.paused.active(start, now); !until.IsZero() {
		return Assessment{State: Paused, Until: until}
	}
	crashed := t.crashed.about(start) && t.crashed.Source == Peer && now.Sub(t.crashed.At) < crashLifetime
	return Assessment{Last: t.Health.Ejected(now) || crashed || !t.peerPaused.active(start, now).IsZero()}
}
