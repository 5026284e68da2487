package gateway

import "time"

const (
	// cachedPrefixLifetime is how long a prompt's shared prefix counts as cached at a
	// target after its last use.
	cachedPrefixLifetime = 15 * time.Second
	// maxPrefixes bounds the prefixes that are tracked for a target.
	maxPrefixes = 1024
)

// prefixCache tracks which prompt prefixes a target is assumed to have cached, by
// affinity key.
type prefixCache struct {
	lastUsed map[uint64]time.Time
}

// cached reports whether the prefix with a key counts as cached.
func (c *prefixCache) cached(key uint64, now time.Time) bool {
	at, ok := c.lastUsed[key]
	return ok && now.Sub(at) < cachedPrefixLifetime
}

// add records a use of the prefix with a key. If there are maxPrefixes, it first drops
// those unused for half of their lifetime; if that frees no room, the use is ignored.
func (c *prefixCache) add(key uint64, now time.Time) {
	if c.lastUsed == nil {
		c.lastUsed = make(map[uint64]time.Time)
	}
	if len(c.lastUsed) >= maxPrefixes {
		for k, at := range c.lastUsed {
			if now.Sub(at) >= cachedPrefixLifetime/2 {
				delete(c.lastUsed, k)
			}
		}
	}
	if len(c.lastUsed) < maxPrefixes {
		c.lastUsed[key] = now
	}
}

// clear drops all prefixes, for a target that has restarted.
func (c *prefixCache) clear() {
	c.lastUsed = nil
}
