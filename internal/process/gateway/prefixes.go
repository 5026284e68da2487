package gateway

import "time"

const (
	// prefixLifetime is how long shared parts of prompts count as cached after
	// their last use.
	prefixLifetime = 15 * time.Second
	// maxPrefixes bounds the prefixes that are remembered for a target.
	maxPrefixes = 1024
)

// prefixMemory remembers which shared parts of prompts a target has read lately.
type prefixMemory struct {
	used map[uint64]time.Time
}

// known reports whether the parts with a hash were read lately.
func (m *prefixMemory) known(hash uint64, now time.Time) bool {
	at, ok := m.used[hash]
	return ok && now.Sub(at) < prefixLifetime
}

// add remembers the parts with a hash; old ones are forgotten when there are too many.
func (m *prefixMemory) add(hash uint64, now time.Time) {
	if m.used == nil {
		m.used = make(map[uint64]time.Time)
	}
	if len(m.used) >= maxPrefixes {
		for h, at := range m.used {
			if now.Sub(at) >= prefixLifetime/2 {
				delete(m.used, h)
			}
		}
	}
	if len(m.used) < maxPrefixes {
		m.used[hash] = now
	}
}

// clear forgets all, after the target has started anew.
func (m *prefixMemory) clear() {
	m.used = nil
}
