package treasurer

import (
	"maps"
	"sync"
)

// agentSet tracks which agent incarnations the holder's row must list.
//
// An incarnation that is draining or has been replaced by a newer one takes no
// new work. It stays listed until every part that was open at that point has
// been settled.
type agentSet struct {
	mu        sync.Mutex               // guards all below
	current   map[string]string        // target by incarnation
	draining  map[string]drainingAgent // by incarnation
	committed map[string]string        // as last written to the row
}

type drainingAgent struct {
	target string
	// endSequence is the lowest sequence that can't have been spent at the agent.
	endSequence uint64
}

// setCurrent records the current incarnation of a target's agent; nextSequence
// is that of the token pool.
func (s *agentSet) setCurrent(target, incarnation string, nextSequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		s.current = make(map[string]string)
		s.draining = make(map[string]drainingAgent)
	}
	for old, t := range s.current {
		if t == target && old != incarnation {
			s.moveToDraining(old, nextSequence)
		}
	}
	s.current[incarnation] = target
	delete(s.draining, incarnation)
}

// drain records that an incarnation takes no new work.
func (s *agentSet) drain(incarnation string, nextSequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.current[incarnation]; ok {
		s.moveToDraining(incarnation, nextSequence)
	}
}

func (s *agentSet) moveToDraining(incarnation string, nextSequence uint64) {
	s.draining[incarnation] = drainingAgent{target: s.current[incarnation], endSequence: nextSequence}
	delete(s.current, incarnation)
}

// desired returns the incarnations that the row must list, with their targets;
// oldestOpen is the lowest open sequence of the token pool.
func (s *agentSet) desired(oldestOpen uint64) map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := maps.Clone(s.current)
	if out == nil {
		out = make(map[string]string)
	}
	for incarnation, d := range s.draining {
		if oldestOpen >= d.endSequence {
			delete(s.draining, incarnation)
			continue
		}
		out[incarnation] = d.target
	}
	return out
}

// setCommitted records the incarnations that the row lists after a commit.
func (s *agentSet) setCommitted(agents map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.committed = agents
}

// isListed reports whether the committed row lists an incarnation.
func (s *agentSet) isListed(incarnation string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.committed[incarnation]
	return ok
}

// reset drops the state that belongs to the token pool of an earlier incarnation
// of the router.
func (s *agentSet) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.committed = nil
	clear(s.draining)
}
