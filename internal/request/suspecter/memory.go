package suspecter

import "time"

// maxRemembered bounds each of the two generations of a memory.
const maxRemembered = 8192

// memory holds the times of the last events by key, for a while and in bounded space. Its zero
// value is empty.
type memory[K comparable] struct {
	recent, older map[K]time.Time
	turnedAt      time.Time
}

// put stores the time of a key's event. Those that are older than twice the lifetime are dropped.
func (m *memory[K]) put(key K, at time.Time, lifetime time.Duration) {
	if m.recent == nil || len(m.recent) >= maxRemembered || at.Sub(m.turnedAt) >= lifetime {
		m.recent, m.older, m.turnedAt = make(map[K]time.Time), m.recent, at
	}
	m.recent[key] = at
}

// last returns the time of a key's last event, if it is stored.
func (m *memory[K]) last(key K) (time.Time, bool) {
	if at, ok := m.recent[key]; ok {
		return at, true
	}
	at, ok := m.older[key]
	return at, ok
}
