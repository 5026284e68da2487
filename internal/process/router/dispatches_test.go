package router

import (
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/request/claimer"
)

const agentName = "agent-1@1"

func isUp(string) bool { return true }

func agentSlots(versions map[int]uint64) (slots []claimer.SlotRow) {
	for n, v := range versions {
		slots = append(slots, claimer.SlotRow{Slot: n, Owner: claimer.Owner{Target: "t", Incarnation: agentName}, Version: v})
	}
	return slots
}

// TestLiveAgentIsNotRevokedForGood revokes an agent of which another router still
// knows that it is up, so that its slots are not released.
func TestLiveAgentIsNotRevokedForGood(t *testing.T) {
	var ds dispatches
	ds.revoke(agentName)
	readAt := time.Now()
	before, after := map[int]uint64{1: 7, 2: 8}, map[int]uint64{1: 9, 2: 10}
	for _, tt := range []struct {
		name     string
		versions map[int]uint64
		readAt   time.Time
		isUp     bool
		accepted bool
	}{
		{"read that began before the promise", after, readAt.Add(-time.Hour), true, false},
		{"first read", before, readAt.Add(1), true, false},
		{"nothing has changed", before, readAt.Add(2), true, false},
		{"one slot of two is written", map[int]uint64{1: 9, 2: 8}, readAt.Add(3), true, false},
		{"the agent is down", after, readAt.Add(4), false, false},
		{"all slots are written", after, readAt.Add(5), true, true},
	} {
		ds.restore(agentSlots(tt.versions), tt.readAt, func(string) bool { return tt.isUp })
		assert.Equal(t, ds.add(agentName, framer.Dispatch{Key: tt.name}), tt.accepted, tt.name)
	}
}

// TestRefusedBackupIsNotConfirmed asks a router that has revoked an agent to keep a copy of
// a dispatch to it. It keeps none, and its caller must not believe that it does.
func TestRefusedBackupIsNotConfirmed(t *testing.T) {
	var ds dispatches
	record := &framer.BackUpDispatch{Agent: agentName, Dispatch: framer.Dispatch{Key: "k"}}
	assert.Assert(t, ds.serveBackup(record))
	assert.Equal(t, len(ds.revoke(agentName).Dispatches), 1)
	assert.Assert(t, !ds.serveBackup(&framer.BackUpDispatch{Agent: agentName, Dispatch: framer.Dispatch{Key: "l"}}))
	assert.Equal(t, len(ds.revoke(agentName).Dispatches), 1)
	record.Drop = true
	assert.Assert(t, ds.serveBackup(record))
}

// TestReleasedSlotsHaveNoUnlistedDispatch lets a recoverer read slots, ask a router for a
// revocation and release the slots, while the agent writes them and the router reads
// them and dispatches. A release must know of all dispatches.
func TestReleasedSlotsHaveNoUnlistedDispatch(t *testing.T) {
	const rounds = 200 // of rapid's 100 sequences: few lead to a release after a dispatch
	for range rounds {
		rapid.Check(t, checkRelease)
	}
}

func checkRelease(t *rapid.T) {
	var ds dispatches
	now, version := time.Now(), uint64(2)
	table := map[int]uint64{1: 1, 2: 2}
	var routerRead, recovererRead map[int]uint64
	var routerReadAt time.Time
	var listed []framer.Dispatch
	dispatched, released := 0, false
	t.Repeat(map[string]func(*rapid.T){
		"agent writes all slots": func(*rapid.T) {
			for n := range table {
				version++
				table[n] = version
			}
		},
		"router begins to read": func(*rapid.T) {
			now = now.Add(time.Millisecond)
			routerRead, routerReadAt = maps.Clone(table), now
		},
		"router reads": func(*rapid.T) {
			now = now.Add(time.Millisecond)
			ds.restore(agentSlots(table), now, isUp)
		},
		"router ends its read": func(*rapid.T) { ds.restore(agentSlots(routerRead), routerReadAt, isUp) },
		"router dispatches": func(*rapid.T) {
			if !released && ds.add(agentName, framer.Dispatch{Key: strconv.Itoa(dispatched)}) {
				dispatched++
			}
		},
		"recoverer reads": func(*rapid.T) { recovererRead, listed = maps.Clone(table), nil },
		"recoverer asks": func(*rapid.T) {
			if recovererRead == nil {
				return
			}
			now = now.Add(time.Millisecond)
			listed = append([]framer.Dispatch{}, ds.revoke(agentName).Dispatches...)
			ds.revoked[agentName].at = now
		},
		"recoverer releases": func(t *rapid.T) {
			if listed == nil || !maps.Equal(recovererRead, table) {
				return // its commit conflicts
			}
			released = true
			for n := range dispatched {
				known := slices.ContainsFunc(listed, func(d framer.Dispatch) bool { return d.Key == strconv.Itoa(n) })
				assert.Assert(t, known, "dispatch %d is unknown to the release", n)
			}
		},
	})
}
