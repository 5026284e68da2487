package router

import (
	"context"
	"sync"
	"time"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/connection/linker"
	"github.com/egretroute/egretroute/internal/request/claimer"
)

// witnessTimeout bounds the call that makes a second router keep a handover.
const witnessTimeout = 300 * time.Millisecond

// handover is a request handed to an agent whose claim may not be durable.
type handover struct {
	handover framer.Handover
	// witness names the router that keeps it too, if there is one.
	witness string
	// ended is when the run's end came in; zero while it is not known.
	ended time.Time
}

// handovers keeps what was handed to each agent's incarnation, by this router
// and by those it is witness for, until the claim is known to be durable.
type handovers struct {
	mu       sync.Mutex // guards all below
	byAgent  map[string]map[claimer.Key]*handover
	forsaken map[string]bool
}

// begin records a handover before it is made and has a second router keep it;
// false means that the agent has been forsaken.
func (h *handovers) begin(ctx context.Context, r *Router, j *job, run *framer.Run, agent string) bool {
	if !j.owned() {
		return true
	}
	key := j.claimKey()
	m := framer.Handover{Service: key.Service, Organisation: key.Organisation, Key: key.Key, RequestID: run.RequestID}
	if !h.add(agent, m) {
		return false
	}
	witness := r.findWitness(ctx, &framer.Witness{Agent: agent, Handover: m})
	run.Witnessed = witness != ""
	h.mu.Lock()
	defer h.mu.Unlock()
	if kept, ok := h.byAgent[agent][key]; ok {
		kept.witness = witness
	}
	return !h.forsaken[agent]
}

// add records a handover unless the agent has been forsaken.
func (h *handovers) add(agent string, m framer.Handover) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.forsaken[agent] {
		return false
	}
	if h.byAgent == nil {
		h.byAgent = make(map[string]map[claimer.Key]*handover)
	}
	if h.byAgent[agent] == nil {
		h.byAgent[agent] = make(map[claimer.Key]*handover)
	}
	key := claimer.Key{Service: m.Service, Organisation: m.Organisation, Key: m.Key}
	if _, ok := h.byAgent[agent][key]; !ok {
		h.byAgent[agent][key] = &handover{handover: m}
	}
	return true
}

// findWitness has the first other router that answers keep a handover.
func (r *Router) findWitness(ctx context.Context, m *framer.Witness) string {
	for _, name := range r.peers.Live() {
		if r.tellWitness(ctx, name, m) {
			return name
		}
	}
	return ""
}

func (r *Router) tellWitness(ctx context.Context, name string, m *framer.Witness) bool {
	link := r.peers.Link(name)
	if link == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	_, err := linker.Call[*framer.Done](ctx, link, m)
	return err == nil
}

// end takes the end of a handed-over request: what did not run, or was claimed
// durably, is dropped.
func (h *handovers) end(r *Router, j *job, run *framer.Run, agent string, end *framer.End) {
	if !j.owned() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	kept, ok := h.byAgent[agent][j.claimKey()]
	if !ok || kept.handover.RequestID != run.RequestID {
		return
	}
	if end.Loose {
		kept.ended = time.Now()
		return
	}
	h.drop(r, agent, j.claimKey(), kept)
}

// drop forgets a handover here and at its witness.
func (h *handovers) drop(r *Router, agent string, key claimer.Key, kept *handover) {
	delete(h.byAgent[agent], key)
	if kept.witness == "" {
		return
	}
	go r.tellWitness(context.Background(), kept.witness, &framer.Witness{Agent: agent, Handover: kept.handover, Drop: true})
}

// durable drops what had ended before an agent without loose claims was asked.
func (h *handovers) durable(r *Router, agent string, asked time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, kept := range h.byAgent[agent] {
		if !kept.ended.IsZero() && kept.ended.Before(asked) {
			h.drop(r, agent, key, kept)
		}
	}
}

// witness keeps or drops another router's handover.
func (h *handovers) witness(m *framer.Witness) {
	if !m.Drop {
		h.add(m.Agent, m.Handover)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	key := claimer.Key{Service: m.Handover.Service, Organisation: m.Handover.Organisation, Key: m.Handover.Key}
	if kept, ok := h.byAgent[m.Agent][key]; ok && kept.handover.RequestID == m.Handover.RequestID {
		delete(h.byAgent[m.Agent], key)
	}
}

// forsake promises to hand nothing more to an agent and names what it may have run.
func (h *handovers) forsake(agent string) *framer.Forsaken {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.forsaken == nil {
		h.forsaken = make(map[string]bool)
	}
	h.forsaken[agent] = true
	out := &framer.Forsaken{}
	for _, kept := range h.byAgent[agent] {
		out.Handovers = append(out.Handovers, kept.handover)
	}
	return out
}
