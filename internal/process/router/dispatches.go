package router

import (
	"context"
	"sync"
	"time"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/connection/linker"
	"github.com/egretroute/egretroute/internal/request/claimer"
)

// backupTimeout bounds the call that stores or drops a dispatch record at the
// backup router.
const backupTimeout = 300 * time.Millisecond

// dispatch is a non-idempotent request sent to an agent whose claim on it may
// not be committed.
type dispatch struct {
	record framer.Dispatch
	// backup is the name of the router that keeps a copy, or empty.
	backup string
	// ended is when the attempt's End arrived; zero before that.
	ended time.Time
}

// dispatches keeps the dispatch records of each agent's incarnation, both of this
// router and of the routers that it is a backup for, until the claim is known to
// be committed.
type dispatches struct {
	mu      sync.Mutex                           // guards all below
	byAgent map[string]map[claimer.Key]*dispatch // by the agent's incarnation
	revoked map[string]*revocation               // by the agent's incarnation
}

// revocation is the promise to dispatch nothing more to an agent's incarnation.
type revocation struct {
	at time.Time
	// read is set once the slots were read after the promise; highestVersion is the
	// highest version that the agent's slots had then.
	read           bool
	highestVersion uint64
}

// begin records a dispatch before the request is sent and stores a copy at a
// backup router. It returns false if the agent has been revoked.
func (ds *dispatches) begin(ctx context.Context, r *Router, creq *clientRequest, run *framer.Run, agent string) bool {
	if !creq.requiresSlotOwner() {
		return true
	}
	key := creq.claimKey()
	record := framer.Dispatch{Service: key.Service, Organisation: key.Organisation, Key: key.Key, RequestID: run.RequestID}
	if !ds.add(agent, record) {
		return false
	}
	backup := r.backUpDispatch(ctx, &framer.BackUpDispatch{Agent: agent, Dispatch: record})
	run.BackedUp = backup != ""
	ds.mu.Lock()
	defer ds.mu.Unlock()
	if d, ok := ds.byAgent[agent][key]; ok {
		d.backup = backup
	}
	return ds.revoked[agent] == nil
}

// add records a dispatch unless the agent has been revoked.
func (ds *dispatches) add(agent string, record framer.Dispatch) bool {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	if ds.revoked[agent] != nil {
		return false
	}
	if ds.byAgent == nil {
		ds.byAgent = make(map[string]map[claimer.Key]*dispatch)
	}
	if ds.byAgent[agent] == nil {
		ds.byAgent[agent] = make(map[claimer.Key]*dispatch)
	}
	key := claimer.Key{Service: record.Service, Organisation: record.Organisation, Key: record.Key}
	if _, ok := ds.byAgent[agent][key]; !ok {
		ds.byAgent[agent][key] = &dispatch{record: record}
	}
	return true
}

// backUpDispatch stores a dispatch record at the first other router that replies
// and returns that router's name, or an empty string.
func (r *Router) backUpDispatch(ctx context.Context, m *framer.BackUpDispatch) string {
	for _, name := range r.peers.Live() {
		if r.callBackup(ctx, name, m) {
			return name
		}
	}
	return ""
}

func (r *Router) callBackup(ctx context.Context, name string, m *framer.BackUpDispatch) bool {
	link := r.peers.Link(name)
	if link == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, backupTimeout)
	defer cancel()
	_, err := linker.Call[*framer.Done](ctx, link, m)
	return err == nil
}

// end handles the End of a dispatched request. It drops the record if the request
// did not run or its claim is committed.
func (ds *dispatches) end(r *Router, creq *clientRequest, run *framer.Run, agent string, end *framer.End) {
	if !creq.requiresSlotOwner() {
		return
	}
	ds.mu.Lock()
	defer ds.mu.Unlock()
	d, ok := ds.byAgent[agent][creq.claimKey()]
	if !ok || d.record.RequestID != run.RequestID {
		return
	}
	if end.Uncommitted {
		d.ended = time.Now()
		return
	}
	ds.drop(r, agent, creq.claimKey(), d)
}

// drop removes a dispatch record here and at its backup router.
func (ds *dispatches) drop(r *Router, agent string, key claimer.Key, d *dispatch) {
	delete(ds.byAgent[agent], key)
	if d.backup == "" {
		return
	}
	go r.callBackup(context.Background(), d.backup, &framer.BackUpDispatch{Agent: agent, Dispatch: d.record, Drop: true})
}

// dropCommitted is called when an agent has reported no uncommitted claims in
// reply to the heartbeat sent at sentAt. It drops the records of requests that
// had ended by then.
func (ds *dispatches) dropCommitted(r *Router, agent string, sentAt time.Time) {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	for key, d := range ds.byAgent[agent] {
		if !d.ended.IsZero() && d.ended.Before(sentAt) {
			ds.drop(r, agent, key, d)
		}
	}
}

// serveBackup stores or drops another router's dispatch record. It returns false if it
// stores nothing, since the agent has been revoked.
func (ds *dispatches) serveBackup(m *framer.BackUpDispatch) bool {
	if !m.Drop {
		return ds.add(m.Agent, m.Dispatch)
	}
	ds.mu.Lock()
	defer ds.mu.Unlock()
	key := claimer.Key{Service: m.Dispatch.Service, Organisation: m.Dispatch.Organisation, Key: m.Dispatch.Key}
	if d, ok := ds.byAgent[m.Agent][key]; ok && d.record.RequestID == m.Dispatch.RequestID {
		delete(ds.byAgent[m.Agent], key)
	}
	return true
}

// revoke guarantees that nothing more is dispatched to an agent's incarnation until
// restore, and lists the dispatches that it may have run.
func (ds *dispatches) revoke(agent string) *framer.AgentRevoked {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	if ds.revoked == nil {
		ds.revoked = make(map[string]*revocation)
	}
	ds.revoked[agent] = &revocation{at: time.Now()}
	out := &framer.AgentRevoked{}
	for _, d := range ds.byAgent[agent] {
		out.Dispatches = append(out.Dispatches, d.record)
	}
	return out
}

// restore ends the revocation of agents that are up and have written all their slots
// since. slots were read from readAt on. A recoverer that relies on the revocation read
// older versions of the slots, so it can't release them any more.
func (ds *dispatches) restore(slots []claimer.SlotRow, readAt time.Time, isUp func(incarnation string) bool) {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	for agent, revoked := range ds.revoked {
		lowest, highest := versionRange(slots, agent)
		switch {
		case !readAt.After(revoked.at):
		case !revoked.read:
			revoked.read, revoked.highestVersion = true, highest
		case lowest > revoked.highestVersion && isUp(agent):
			delete(ds.revoked, agent)
		}
	}
}

// versionRange returns the lowest and the highest version of the slots of an agent's
// incarnation, or zeros if it has none.
func versionRange(slots []claimer.SlotRow, agent string) (lowest, highest uint64) {
	for _, s := range slots {
		if s.Owner.Incarnation != agent {
			continue
		}
		if lowest == 0 || s.Version < lowest {
			lowest = s.Version
		}
		highest = max(highest, s.Version)
	}
	return lowest, highest
}
