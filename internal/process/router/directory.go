package router

import (
	"sync"
	"time"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/request/chooser"
	"github.com/egretroute/egretroute/internal/version/declarer"
)

// sheet knows the targets as candidates, the callers by key, and which
// incarnation each other router has.
type sheet struct {
	mu         sync.RWMutex // guards all below
	candidates map[string]*chooser.Candidate
	serving    map[string][]*chooser.Candidate // by model or service; only linked ones
	serves     map[string]string
	free       map[string]bool // targets whose calls cost nothing
	linked     map[string]bool // agents that may run this router's work
	order      []string
	callers    map[string]declarer.Organisation // by key hash
	peers      map[string]string                // incarnation by router
}

// set takes over a configuration; candidates that stay keep their state.
func (s *sheet) set(f *declarer.Fleet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.candidates
	s.candidates = make(map[string]*chooser.Candidate, len(f.Targets))
	s.serves = make(map[string]string, len(f.Targets))
	s.free = make(map[string]bool)
	s.order = nil
	for _, t := range f.Targets {
		c, ok := old[t.Name]
		if !ok || c.Capacity != t.Capacity {
			c = &chooser.Candidate{Name: t.Name, Domain: t.Domain, Capacity: t.Capacity}
		}
		s.candidates[t.Name] = c
		s.serves[t.Name] = t.Serves
		if service, ok := f.FindService(t.Serves); ok {
			s.free[t.Name] = service.Cost == 0
		}
		s.order = append(s.order, t.Name)
	}
	s.callers = make(map[string]declarer.Organisation, len(f.Organisations))
	for _, o := range f.Organisations {
		s.callers[o.KeyHash] = o
	}
	s.arrange()
}

// arrange lists the linked candidates of each model and service.
func (s *sheet) arrange() {
	s.serving = make(map[string][]*chooser.Candidate)
	for _, name := range s.order {
		if s.linked[name] {
			s.serving[s.serves[name]] = append(s.serving[s.serves[name]], s.candidates[name])
		}
	}
}

func (s *sheet) setUp(target string, up bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.linked == nil {
		s.linked = make(map[string]bool)
	}
	if s.linked[target] == up {
		return
	}
	s.linked[target] = up
	s.arrange()
}

func (s *sheet) up(target string)   { s.setUp(target, true) }
func (s *sheet) down(target string) { s.setUp(target, false) }

// of returns the linked candidates that serve a model or service.
func (s *sheet) of(serves string) []*chooser.Candidate {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.serving[serves]
}

// paid reports whether work at a target costs tokens.
func (s *sheet) paid(target string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return !s.free[target]
}

// candidate returns a target by name, or nil.
func (s *sheet) candidate(target string) *chooser.Candidate {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.candidates[target]
}

func (s *sheet) report(target string, l framer.Load) {
	if c := s.candidate(target); c != nil {
		c.Report(l.Running+l.Queued, l.Leaving, time.Now())
	}
}

func (s *sheet) failed(target string) {
	if c := s.candidate(target); c != nil {
		c.RecordFailure(time.Now())
	}
}

// caller returns the organisation of a key, by its hash.
func (s *sheet) caller(keyHash string) (declarer.Organisation, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	o, ok := s.callers[keyHash]
	return o, ok
}

// peer notes the incarnation of another router; an empty one is kept as it was.
func (s *sheet) peer(name, incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peers == nil {
		s.peers = make(map[string]string)
	}
	if incarnation != "" {
		s.peers[name] = incarnation
	}
}

// peerOf returns the router that has an incarnation.
func (s *sheet) peerOf(incarnation string) (string, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for name, i := range s.peers {
		if i == incarnation {
			return name, true
		}
	}
	return "", false
}

// documents describes all targets in the order of the configuration.
func (s *sheet) documents() []TargetDocument {
	s.mu.RLock()
	defer s.mu.RUnlock()
	now := time.Now()
	docs := make([]TargetDocument, 0, len(s.order))
	for _, name := range s.order {
		c := s.candidates[name]
		v := c.Snapshot(now)
		docs = append(docs, TargetDocument{
			Name: name, Serves: s.serves[name], Domain: c.Domain, Linked: s.linked[name],
			Leaving: v.Draining, Ejected: v.Ejected, InFlight: v.InFlight, Load: v.Load,
		})
	}
	return docs
}

// linkedCount returns how many targets may be handed work.
func (s *sheet) linkedCount() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	n := 0
	for _, name := range s.order {
		if s.linked[name] {
			n++
		}
	}
	return n
}
