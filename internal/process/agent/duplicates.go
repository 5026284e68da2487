package agent

import "sync"

// attemptWindow is how many attempts of a router instance are remembered individually;
// older ones are refused.
const attemptWindow = 1 << 16

// duplicateFilter records which attempts of each router instance have arrived, so that
// a delayed duplicate never runs.
type duplicateFilter struct {
	mu        sync.Mutex // guards instances
	instances map[string]*attemptSet
}

type attemptSet struct {
	seen    map[uint64]bool
	highest uint64
}

// accept records an attempt and reports whether it is new.
func (f *duplicateFilter) accept(instance string, attempt uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.instances == nil {
		f.instances = make(map[string]*attemptSet)
	}
	s, ok := f.instances[instance]
	if !ok {
		s = &attemptSet{seen: make(map[uint64]bool)}
		f.instances[instance] = s
	}
	if s.seen[attempt] || attempt+attemptWindow <= s.highest {
		return false
	}
	s.seen[attempt] = true
	s.highest = max(s.highest, attempt)
	if len(s.seen) > 2*attemptWindow {
		s.trim()
	}
	return true
}

// trim removes the attempts below the window.
func (s *attemptSet) trim() {
	for n := range s.seen {
		if n+attemptWindow <= s.highest {
			delete(s.seen, n)
		}
	}
}
