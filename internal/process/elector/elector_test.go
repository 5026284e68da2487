package elector_test

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/egretroute/egretroute/internal/process/elector"
	"github.com/egretroute/egretroute/internal/process/enroller"
)

func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// member decodes KIND NAME@INCARNATION[+JOINS] of a domain that its name's last letter tells.
func member(t *testing.T, kind, text string, state enroller.State) enroller.Member {
	t.Helper()
	text, joins, _ := strings.Cut(text, "+")
	name, _, _ := strings.Cut(text, "@")
	m := enroller.Member{Name: name, Incarnation: text, Domain: name[len(name)-1:], State: state}
	if kind == "companion" {
		m.Kind = enroller.Companion
	}
	if joins != "" {
		n, err := strconv.Atoi(joins)
		assert.NilError(t, err)
		m.Joins = n
	}
	return m
}

func names(voters []elector.Voter) string {
	var out []string
	for _, v := range voters {
		name := v.Member.Name
		if v.Ended {
			name += "!"
		}
		out = append(out, name)
	}
	if len(out) == 0 {
		return "nobody"
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

// leftWindow and goneWindow are the seconds for which a router counts that has left, or was declared gone.
const (
	leftWindow = 10
	goneWindow = 20
)

// TestMembership plays testdata/members.txt. It guards against members that have left for good and are
// elected or share the fleet's budgets, and against rows of an older copy that bring them back.
func TestMembership(t *testing.T) {
	file, err := os.Open("testdata/members.txt")
	assert.NilError(t, err)
	defer file.Close()
	var e *elector.Elector
	var now float64
	scanner := bufio.NewScanner(file)
	for line := 1; scanner.Scan(); line++ {
		text, _, _ := strings.Cut(scanner.Text(), "#")
		words := strings.Fields(text)
		if len(words) == 0 {
			continue
		}
		switch words[0] {
		case "case":
			e, now = &elector.Elector{StartedAt: at(0)}, 0
		case "at":
			now, err = strconv.ParseFloat(words[1], 64)
			assert.NilError(t, err, "line %d", line)
		case "running", "left", "gone":
			state := map[string]enroller.State{"left": enroller.Left, "gone": enroller.Gone}[words[0]]
			for _, text := range words[2:] {
				e.Apply(member(t, words[1], text, state), at(now))
			}
		case "deleted":
			e.Remove(words[1], at(now))
		case "members":
			var all []string
			for _, m := range e.Running() {
				all = append(all, m.Incarnation)
			}
			slices.Sort(all)
			assert.Equal(t, strings.Join(all, " "), strings.Join(words[1:], " "), "line %d", line)
		case "known":
			assert.Equal(t, strconv.Itoa(len(e.All())), words[1], "line %d", line)
		case "expired":
			var all []string
			for _, m := range e.Expired(at(now)) {
				all = append(all, m.Name)
			}
			slices.Sort(all)
			assert.Equal(t, strings.Join(all, " "), strings.Join(words[1:], " "), "line %d", line)
		case "takenBack":
			var all []string
			for _, m := range e.TakenBack() {
				all = append(all, m.Name)
			}
			slices.Sort(all)
			assert.Equal(t, strings.Join(all, " "), strings.Join(words[1:], " "), "line %d", line)
		case "routers":
			all := e.Routers(at(now-leftWindow), at(now-goneWindow))
			slices.Sort(all)
			assert.Equal(t, strings.Join(all, " "), strings.Join(words[1:], " "), "line %d", line)
		case "runsFor":
			assert.Equal(t, fmt.Sprint(e.RunsFor(words[1], at(now)).Seconds()), words[2], "line %d", line)
		case "leftFor":
			assert.Equal(t, fmt.Sprint(e.LeftFor(words[1], at(now)).Seconds()), words[2], "line %d", line)
		case "sets": // sets of router r: MEMBERS write N, separated by ;
			var got []string
			for _, s := range e.Sets("r", at(now).Add(-elector.Window)) {
				got = append(got, fmt.Sprintf("%s write %d", names(s.Voters), s.WriteQuorum(func(v elector.Voter) bool { return v.Ended })))
			}
			assert.Equal(t, strings.Join(got, " ; "), strings.Join(words[1:], " "), "line %d", line)
		default:
			t.Fatalf("line %d: unknown step %q", line, words[0])
		}
	}
	assert.NilError(t, scanner.Err())
}

// TestQuorumsOverlap changes the members at random while a router records draws, and compares the newest
// draw with what a reader finds that knows the members of up to the oldest copy. It guards against
// sets of recorders that have no member in common: the draw would be taken for one never made. Members that were
// declared gone may still run, and join again without their records.
func TestQuorumsOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxMembers = 9
		companions := rapid.IntRange(0, maxMembers).Draw(t, "companions") // the others are routers
		type process struct {
			incarnation int
			joins       int
			running     bool
			startedAt   float64
			draw        int // the newest draw recorded by the running process
		}
		processes := make([]process, maxMembers)
		row := func(i int, state enroller.State) enroller.Member {
			p := processes[i]
			m := enroller.Member{
				Name: fmt.Sprint("c", i), Incarnation: fmt.Sprint("c", i, "@", p.incarnation), Domain: fmt.Sprint(i % 3), State: state, Joins: p.joins,
			}
			if i < companions {
				m.Kind = enroller.Companion
			}
			return m
		}
		now := 0.0
		writer := &elector.Elector{StartedAt: at(0)}
		rows := make(map[int]enroller.Member)
		type copied struct {
			at   float64
			rows map[int]enroller.Member
			draw int
		}
		var copies []copied
		set := func(i int, state enroller.State) {
			rows[i] = row(i, state)
			writer.Apply(rows[i], at(now))
		}
		for i := range rapid.IntRange(3, maxMembers).Draw(t, "members") {
			processes[i] = process{incarnation: 1, running: true}
			set(i, enroller.Running)
		}
		now = 100
		draw, committed := 0, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Float64Range(0.1, 8).Draw(t, "pause")
			saved := copied{at: now, rows: make(map[int]enroller.Member), draw: committed}
			for i, m := range rows {
				saved.rows[i] = m
			}
			copies = append(copies, saved)
			i := rapid.IntRange(0, maxMembers-1).Draw(t, "member")
			p := &processes[i]
			switch rapid.SampledFrom([]string{"draw", "draw", "draw", "left", "killed", "start", "gone", "rejoin"}).Draw(t, "step") {
			case "left":
				if p.running {
					p.running = false
					set(i, enroller.Left)
				}
			case "killed":
				p.running = false // its row stays
			case "gone":
				if m, ok := rows[i]; ok && m.State == enroller.Running { // also if it still runs: others can't reach it
					set(i, enroller.Gone)
				}
			case "rejoin":
				if m := rows[i]; p.running && m.State == enroller.Gone {
					p.joins, p.draw, p.startedAt = p.joins+1, 0, now
					set(i, enroller.Running)
				}
			case "start":
				if !p.running {
					*p = process{incarnation: p.incarnation + 1, running: true, startedAt: now}
					set(i, enroller.Running)
				}
			case "draw":
				draw++
				ended := func(v elector.Voter) bool { return v.Ended || !processes[index(v)].running }
				recorded := true
				cut := rapid.IntRange(0, 1<<maxMembers-1).Draw(t, "cut") & rapid.IntRange(0, 1<<maxMembers-1).Draw(t, "also")
				confirmed := make(map[int]bool)
				for _, s := range writer.Sets("r", at(now).Add(-elector.Window)) {
					n := 0
					for _, v := range s.Voters {
						j := index(v)
						if (!s.Current && ended(v)) || !processes[j].running || cut&(1<<j) != 0 {
							continue
						}
						confirmed[j] = true
						n++
					}
					recorded = recorded && n >= s.WriteQuorum(ended)
				}
				for j := range confirmed {
					processes[j].draw = draw
				}
				if recorded {
					committed = draw
				}
			}
		}
		// The router ends, and the store comes back from a copy of up to 15 s ago. Another process has
		// just started and knows the copy's rows only, or knows all of them.
		for _, c := range copies {
			if now-c.at > 15 {
				continue
			}
			fresh := &elector.Elector{StartedAt: at(now)}
			for _, m := range c.rows {
				fresh.Apply(m, at(now))
			}
			for reader, e := range map[string]*elector.Elector{"new": fresh, "old": writer} {
				age := 15 + rapid.Float64Range(0, 10).Draw(t, "elapsed")
				complete, newest := true, c.draw
				for _, s := range e.Sets("r", at(now).Add(-time.Duration((age+5)*float64(time.Second)))) {
					old := 0
					for _, v := range s.Voters {
						p := processes[index(v)]
						if !p.running {
							continue
						}
						newest = max(newest, p.draw)
						if now-p.startedAt >= age {
							old++
						}
					}
					complete = complete && len(s.Voters) > 0 && old >= s.ReadQuorum()
				}
				if complete && newest < committed {
					t.Fatalf("a %s reader that knows the copy of %.1f finds draw %d, committed are %d", reader, c.at, newest, committed)
				}
			}
		}
	})
}

func index(v elector.Voter) int {
	n, _ := strconv.Atoi(v.Member.Name[1:])
	return n
}
