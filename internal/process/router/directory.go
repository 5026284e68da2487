package router

import (
	"sync"
	"time"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/request/chooser"
	"github.com/egretroute/egretroute/internal/version/declarer"
)

// directory holds the targets as candidates, the organisations by key hash and the
// current incarnation of each other router.
type directory struct {
	mu               sync.RWMutex // guards all below
	candidates       map[string]*chooser.Candidate
	linkedByService  map[string][]*chooser.Candidate  // linked candidates by model or service
	serves           map[string]string                // model or service by target
	free             map[string]bool                  // targets whose requests cost no tokens
	linked           map[string]bool                  // targets whose agents may run this router's requests
	targetOrder      []string                         // as in the configuration
	organisations    map[string]declarer.Organisation // by key hash
	peerIncarnations map[string]string                // incarnation by router
}

// applyFleet applies a configuration. A candidate keeps its state unless its
// capacity changes.
func (d *directory) applyFleet(f *declarer.Fleet) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.candidates
	d.candidates = make(map[string]*chooser.Candidate, len(f.Targets))
	d.serves = make(map[string]string, len(f.Targets))
	d.free = make(map[string]bool)
	d.targetOrder = nil
	for _, t := range f.Targets {
		c, ok := old[t.Name]
		if !ok || c.Capacity != t.Capacity {
			c = &chooser.Candidate{Name: t.Name, Domain: t.Domain, Capacity: t.Capacity}
		}
		d.candidates[t.Name] = c
		d.serves[t.Name] = t.Serves
		if service, ok := f.FindService(t.Serves); ok {
			d.free[t.Name] = service.Cost == 0
		}
		d.targetOrder = append(d.targetOrder, t.Name)
	}
	d.organisations = make(map[string]declarer.Organisation, len(f.Organisations))
	for _, o := range f.Organisations {
		d.organisations[o.KeyHash] = o
	}
	d.rebuildLinked()
}

// rebuildLinked rebuilds the lists of linked candidates by model or service.
func (d *directory) rebuildLinked() {
	d.linkedByService = make(map[string][]*chooser.Candidate)
	for _, name := range d.targetOrder {
		if d.linked[name] {
			d.linkedByService[d.serves[name]] = append(d.linkedByService[d.serves[name]], d.candidates[name])
		}
	}
}

func (d *directory) setLinked(target string, linked bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.linked == nil {
		d.linked = make(map[string]bool)
	}
	if d.linked[target] == linked {
		return
	}
	d.linked[target] = linked
	d.rebuildLinked()
}

func (d *directory) markLinked(target string)   { d.setLinked(target, true) }
func (d *directory) markUnlinked(target string) { d.setLinked(target, false) }

// linkedCandidates returns the linked candidates that serve a model or service.
func (d *directory) linkedCandidates(serves string) []*chooser.Candidate {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.linkedByService[serves]
}

// billable reports whether requests to a target cost tokens.
func (d *directory) billable(target string) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return !d.free[target]
}

// candidate returns the candidate of a target, or nil.
func (d *directory) candidate(target string) *chooser.Candidate {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.candidates[target]
}

func (d *directory) reportLoad(target string, l framer.Load) {
	if c := d.candidate(target); c != nil {
		c.Report(l.Running+l.Queued, l.Draining, time.Now())
	}
}

func (d *directory) recordFailure(target string) {
	if c := d.candidate(target); c != nil {
		c.RecordFailure(time.Now())
	}
}

// organisationByKeyHash returns the organisation whose key has the given hash.
func (d *directory) organisationByKeyHash(keyHash string) (declarer.Organisation, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	o, ok := d.organisations[keyHash]
	return o, ok
}

// setPeerIncarnation records the incarnation of another router; an empty incarnation
// leaves the recorded one unchanged.
func (d *directory) setPeerIncarnation(name, incarnation string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.peerIncarnations == nil {
		d.peerIncarnations = make(map[string]string)
	}
	if incarnation != "" {
		d.peerIncarnations[name] = incarnation
	}
}

// peerByIncarnation returns the name of the router with the given incarnation.
func (d *directory) peerByIncarnation(incarnation string) (string, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for name, i := range d.peerIncarnations {
		if i == incarnation {
			return name, true
		}
	}
	return "", false
}

// targetDocuments describes all targets in the order of the configuration.
func (d *directory) targetDocuments() []TargetDocument {
	d.mu.RLock()
	defer d.mu.RUnlock()
	now := time.Now()
	docs := make([]TargetDocument, 0, len(d.targetOrder))
	for _, name := range d.targetOrder {
		c := d.candidates[name]
		v := c.Snapshot(now)
		docs = append(docs, TargetDocument{
			Name: name, Serves: d.serves[name], Domain: c.Domain, Linked: d.linked[name],
			Draining: v.Draining, Ejected: v.Ejected, InFlight: v.InFlight, Load: v.Load,
		})
	}
	return docs
}

// linkedCount returns how many targets this router may dispatch to.
func (d *directory) linkedCount() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	n := 0
	for _, name := range d.targetOrder {
		if d.linked[name] {
			n++
		}
	}
	return n
}
