// Package elector keeps the membership of the fleet and elects the members that record a
// router's draws. It is a pure decision over plain data: the caller passes rows and times.
//
// A member joins when it writes its row, and it ends when it says so itself (left) or when
// others have not reached it for long (gone). A router that is gone may still run and hold tokens, so it
// stays known until it starts or leaves. Sets of recorders follow: they are chosen from the
// members that run. Their quorums overlap over a change of the set because draws are recorded in
// the new set and in each earlier one of a window as joint quorums, as in the joint consensus of Raft
// (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", section 6). An
// earlier set whose members have ended needs no record, since nobody can read a quorum of it
// any more.
//
// # Usage
//
//	e := &elector.Elector{StartedAt: time.Now()}
//	e.Apply(member, time.Now()) // for each row of the members table
//	for _, set := range e.Sets("router-1", time.Now().Add(-elector.Window)) {
//		// record a draw with set.WriteQuorum of set.Voters
//	}
package elector

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/egretroute/egretroute/internal/process/enroller"
	"github.com/egretroute/egretroute/internal/process/reconciler"
	"github.com/egretroute/egretroute/internal/process/recorder"
)

const (
	// Window is how long draws are also recorded in an earlier set of recorders: a process that
	// counts them may know the members of the oldest copy only.
	Window = reconciler.MaxCopyAge + 5*time.Second
	// KeepFor is how long a member that has ended is remembered, and its row kept: as long as
	// records of draws.
	KeepFor = recorder.KeepFor
	// MaxRecorders is how many processes are asked to record a router's draws. Any two may be
	// down.
	MaxRecorders = 5
	// minCompanions is the number of companions from which routers need not record draws too:
	// they often end together.
	minCompanions = 3
)

// Elector holds what is known of the fleet's members. It is not safe for concurrent use.
type Elector struct {
	// StartedAt is when the first members became known. Members that join within Window of it
	// count as there from the beginning, as a fleet that starts changes its sets many times.
	StartedAt time.Time

	members map[string]*history
	version int
	// removed holds when members left whose rows were deleted: an older copy of the store brings the rows back.
	removed map[string]departure
}

// departure is when a process left, as far as known.
type departure struct {
	incarnation string
	at          time.Time
}

// history is what is known of one member: the newest row and the times in which it ran.
type history struct {
	member enroller.Member
	lives  []life // oldest first
	// takenBack is set if the member has ended, and the last row read is an older one that says that it runs.
	takenBack bool
}

// life is the time in which one process was a member.
type life struct {
	from time.Time
	// to is when it ended, or zero.
	to time.Time
	// ended is set if the process has certainly ended, so that its records are lost.
	ended bool
}

func (l life) covers(t time.Time) bool {
	return !l.from.After(t) && (l.to.IsZero() || l.to.After(t))
}

// Apply applies a row that was read. It reports whether the membership has changed, which a row of an
// older copy of the table doesn't do.
func (e *Elector) Apply(m enroller.Member, now time.Time) (changed bool) {
	if e.members == nil {
		e.members = make(map[string]*history)
	}
	h, known := e.members[m.Name]
	sameLife := known && h.member.Incarnation == m.Incarnation && h.member.Joins == m.Joins
	switch {
	case !known:
		h = &history{}
		e.members[m.Name] = h
		l := life{from: now}
		if now.Sub(e.StartedAt) < Window {
			l.from = time.Time{}
		}
		if m.State != enroller.Running {
			l = life{to: now, ended: m.State == enroller.Left} // it may have run until just now
			if d := e.removed[m.Name]; l.ended && d.incarnation == m.Incarnation {
				l.to = d.at
			}
		}
		h.lives = []life{l}
	case known && h.member.Incarnation == m.Incarnation && h.member.Joins > m.Joins:
		return false
	case sameLife && (m.State == enroller.Running || h.member.State == m.State):
		h.takenBack = h.member.State != m.State
		if h.member.State == enroller.Running {
			h.member = m
		}
		return false
	case m.State != enroller.Running:
		// The row of another process may come from an older copy, so it proves nothing of this one.
		h.end(now, m.State == enroller.Left && sameLife)
	default:
		h.end(now, h.member.Incarnation != m.Incarnation)
		h.lives = append(h.lives, life{from: now})
	}
	h.member, h.takenBack = m, false
	e.version++
	return true
}

func (h *history) newest() *life {
	return &h.lives[len(h.lives)-1]
}

// end ends the newest life unless it has ended. certainly tells that the process has ended.
func (h *history) end(now time.Time, certainly bool) {
	l := h.newest()
	if l.to.IsZero() {
		l.to = now
	}
	l.ended = l.ended || certainly
}

// Remove removes a member whose row was deleted, if it has ended.
func (e *Elector) Remove(name string, now time.Time) {
	h, ok := e.members[name]
	if !ok || h.member.State == enroller.Running {
		return
	}
	delete(e.members, name)
	e.version++
	maps.DeleteFunc(e.removed, func(_ string, d departure) bool { return now.Sub(d.at) > 2*KeepFor })
	if h.member.State == enroller.Left {
		if e.removed == nil {
			e.removed = make(map[string]departure)
		}
		e.removed[name] = departure{incarnation: h.member.Incarnation, at: h.newest().to}
	}
}

// Version increases with each change.
func (e *Elector) Version() int {
	return e.version
}

// All returns all members, also those that have ended.
func (e *Elector) All() (all []enroller.Member) {
	for _, h := range e.members {
		all = append(all, h.member)
	}
	return all
}

// Running returns the members that run, as far as known.
func (e *Elector) Running() (running []enroller.Member) {
	for _, h := range e.members {
		if h.member.State == enroller.Running {
			running = append(running, h.member)
		}
	}
	return running
}

// Expired returns the members whose rows are to be deleted: they ended before KeepFor. Routers that are gone
// keep their rows: they are counted after the store has come back from a copy.
func (e *Elector) Expired(now time.Time) (expired []enroller.Member) {
	for _, h := range e.members {
		keeps := h.member.Kind == enroller.Router && h.member.State == enroller.Gone
		if h.member.State != enroller.Running && !keeps && now.Sub(h.newest().to) >= KeepFor {
			expired = append(expired, h.member)
		}
	}
	return expired
}

// TakenBack returns the members that have ended though their rows say that they run, as the store has come back from
// an older copy.
func (e *Elector) TakenBack() (ended []enroller.Member) {
	for _, h := range e.members {
		if h.takenBack {
			ended = append(ended, h.member)
		}
	}
	return ended
}

// Routers returns the names of the routers that run, and of those that have left after a time or were declared
// gone after another.
func (e *Elector) Routers(leftAfter, goneAfter time.Time) (names []string) {
	for name, h := range e.members {
		if h.member.Kind != enroller.Router {
			continue
		}
		after := goneAfter
		if h.newest().ended {
			after = leftAfter
		}
		if h.member.State == enroller.Running || h.newest().to.After(after) {
			names = append(names, name)
		}
	}
	return names
}

// RunsFor returns for how long a member has run, as far as known.
func (e *Elector) RunsFor(name string, now time.Time) time.Duration {
	h, ok := e.members[name]
	if !ok || h.member.State != enroller.Running {
		return 0
	}
	return now.Sub(h.newest().from)
}

// LeftFor returns for how long a member is known to have left, or 0 if it hasn't.
func (e *Elector) LeftFor(name string, now time.Time) time.Duration {
	h, ok := e.members[name]
	if !ok || h.member.State != enroller.Left {
		return 0
	}
	return now.Sub(h.newest().to)
}

// Voter is a member of a Set.
type Voter struct {
	Member enroller.Member
	// Ended is set if the process that was elected has certainly ended.
	Ended bool
}

// Set is a set of members that record a router's draws.
type Set struct {
	Voters []Voter
	// Current is set for the set of the members that run now.
	Current bool
}

// Sets returns the sets that recorded a router's draws at some time since a given one, the
// current one first. All processes that know the same members agree on them.
func (e *Elector) Sets(router string, since time.Time) (sets []Set) {
	candidates := e.candidates(router, since)
	times := []time.Time{since}
	for _, c := range candidates {
		for _, t := range []time.Time{c.life.from, c.life.to} {
			if t.After(since) {
				times = append(times, t)
			}
		}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	times = slices.CompactFunc(times, time.Time.Equal)
	for _, t := range times {
		set := Set{Voters: elect(candidates, t), Current: len(sets) == 0}
		same := func(s Set) bool {
			return slices.EqualFunc(s.Voters, set.Voters, func(a, b Voter) bool { return a == b })
		}
		if !slices.ContainsFunc(sets, same) {
			sets = append(sets, set)
		}
	}
	return sets
}

// candidate is one life of a member that may record a router's draws.
type candidate struct {
	Voter
	life  life
	score uint64
}

// candidates returns the lives that didn't end before a time, in the order of rendezvous hashing.
func (e *Elector) candidates(router string, since time.Time) (all []candidate) {
	for name, h := range e.members {
		if name == router {
			continue
		}
		for i, l := range h.lives {
			if l.to.IsZero() || l.to.After(since) {
				voter := Voter{Member: h.member, Ended: l.ended || i < len(h.lives)-1}
				all = append(all, candidate{Voter: voter, life: l, score: score(router, name)})
			}
		}
	}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	return all
}

// elect returns those of the candidates that recorded draws at a time.
func elect(candidates []candidate, t time.Time) []Voter {
	companions := 0
	for _, c := range candidates {
		if c.life.covers(t) && c.Member.Kind == enroller.Companion {
			companions++
		}
	}
	var present []Voter
	for _, c := range candidates {
		if c.life.covers(t) && (companions < minCompanions || c.Member.Kind == enroller.Companion) {
			present = append(present, c.Voter)
		}
	}
	return spread(present, MaxRecorders, func(v Voter) enroller.Member { return v.Member })
}

// Choose picks a few members for a router by rendezvous hashing, from different failure domains where
// there are some.
func Choose(router string, all []enroller.Member, count int) []enroller.Member {
	all = slices.SortedFunc(slices.Values(all), func(a, b enroller.Member) int {
		return cmp.Compare(score(router, a.Name), score(router, b.Name))
	})
	return spread(all, count, func(m enroller.Member) enroller.Member { return m })
}

func score(router, member string) uint64 {
	return xxhash.Sum64String(router + "/" + member)
}

// spread returns the first members of different failure domains, and then of the same ones.
func spread[T any](all []T, count int, member func(T) enroller.Member) (chosen []T) {
	domains := make(map[string]bool)
	taken := make(map[string]bool)
	for _, sameDomain := range []bool{false, true} {
		for _, v := range all {
			m := member(v)
			if len(chosen) < count && domains[m.Domain] == sameDomain && !taken[m.Name] {
				chosen = append(chosen, v)
				domains[m.Domain], taken[m.Name] = true, true
			}
		}
	}
	return chosen
}

// WriteQuorum returns how many voters that have not ended must record a draw. ended reports further
// voters known to have ended. In an earlier set they are as many as overlap with any quorum
// that may still be read; none if too many have ended.
func (s Set) WriteQuorum(ended func(Voter) bool) int {
	q := recorder.NewQuorum(len(s.Voters))
	if s.Current || len(s.Voters) == 0 { // a set without voters makes no count complete
		return q.Write
	}
	left := 0
	for _, v := range s.Voters {
		if !ended(v) {
			left++
		}
	}
	return max(left-q.Read+1, 0)
}

// ReadQuorum returns how many voters must reply for a complete count.
func (s Set) ReadQuorum() int {
	return recorder.NewQuorum(len(s.Voters)).Read
}
