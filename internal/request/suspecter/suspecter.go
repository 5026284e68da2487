// Package suspecter identifies poison requests: requests that crash the targets
// they run on.
//
// A crash makes every request of the batch a suspect. A suspect runs alone, so a
// second crash identifies exactly the request that caused it, and a request known
// as poison is refused everywhere. A poison request causes two crashes at most, and
// no other request is ever refused.
//
// # Usage
//
//	s := suspecter.New(time.Now)
//	finish := s.Begin(digest)
//	finish(crashed)
//	s.Merge(peer.Recent()) // entries are exchanged with heartbeats
//
// A digest includes the organisation, so that no organisation can cause requests of
// another to be refused.
package suspecter

import (
	"encoding/hex"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxEntries bounds the number of stored entries; the oldest is evicted.
	maxEntries = 4096
	// lifetime is how long a request stays suspect or poison.
	lifetime = time.Hour
	// gossipTime is how long an entry is sent with heartbeats.
	gossipTime = 2 * time.Minute
	// maxGossipEntries bounds the entries of one heartbeat.
	maxGossipEntries = 32

	// Prefixes of the digests that are exchanged with heartbeats.
	suspectPrefix = "s:"
	poisonPrefix  = "c:"
)

// classification says whether a digest is known as suspect or as poison.
type classification struct {
	poison    bool
	updatedAt time.Time
}

// activeRun is a request in progress.
type activeRun struct {
	alone bool // no other request has run at the same time
}

// Suspecter stores suspect and poison requests by digest.
type Suspecter struct {
	now func() time.Time

	mu              sync.Mutex // guards all below
	classifications map[string]classification
	running         map[*activeRun]struct{}
}

// New returns an empty Suspecter with the clock now.
func New(now func() time.Time) *Suspecter {
	return &Suspecter{now: now, classifications: make(map[string]classification), running: make(map[*activeRun]struct{})}
}

// Digest returns the digest of an organisation's request with the given contents, such as
// its method, path and body.
func Digest(organisation string, contents ...[]byte) string {
	h := xxhash.New()
	_, _ = h.WriteString(organisation) // never fails
	for _, c := range contents {
		_, _ = h.Write([]byte{0})
		_, _ = h.Write(c)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// IsSuspect reports whether a request must run alone.
func (s *Suspecter) IsSuspect(digest string) bool {
	_, ok := s.lookup(digest)
	return ok
}

// IsPoison reports whether a request must not run.
func (s *Suspecter) IsPoison(digest string) bool {
	v, ok := s.lookup(digest)
	return ok && v.poison
}

// Begin records the start of a request; finish must be called at its end and be told
// whether the target has crashed.
func (s *Suspecter) Begin(digest string) (finish func(crashed bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := &activeRun{alone: len(s.running) == 0}
	for other := range s.running {
		other.alone = false
	}
	s.running[current] = struct{}{}
	return func(crashed bool) { s.finish(current, digest, crashed) }
}

func (s *Suspecter) finish(finished *activeRun, digest string, crashed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, finished)
	if !crashed {
		return
	}
	previous, known := s.current(digest)
	s.set(digest, classification{poison: previous.poison || (known && finished.alone), updatedAt: s.now()})
}

// MarkSuspect records a request as suspect unless it is known as suspect or poison.
func (s *Suspecter) MarkSuspect(digest string) {
	s.Merge([]string{suspectPrefix + digest})
}

// MarkPoison records a request as poison.
func (s *Suspecter) MarkPoison(digest string) {
	s.Merge([]string{poisonPrefix + digest})
}

// Merge adds the entries that a peer has sent.
func (s *Suspecter) Merge(recent []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, entry := range recent {
		prefix, digest := entry[:min(len(entry), len(suspectPrefix))], strings.TrimPrefix(strings.TrimPrefix(entry, suspectPrefix), poisonPrefix)
		previous, known := s.current(digest)
		poison := prefix == poisonPrefix
		if !known || (poison && !previous.poison) {
			s.set(digest, classification{poison: poison, updatedAt: s.now()})
		}
	}
}

// Recent returns the entries to send to peers.
func (s *Suspecter) Recent() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var entries []string
	for digest, v := range s.classifications {
		if len(entries) == maxGossipEntries {
			break
		}
		if s.now().Sub(v.updatedAt) > gossipTime {
			continue
		}
		prefix := suspectPrefix
		if v.poison {
			prefix = poisonPrefix
		}
		entries = append(entries, prefix+digest)
	}
	return entries
}

func (s *Suspecter) lookup(digest string) (classification, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current(digest)
}

// current returns the classification of a digest unless it has expired; s.mu must be
// held.
func (s *Suspecter) current(digest string) (classification, bool) {
	v, ok := s.classifications[digest]
	if ok && s.now().Sub(v.updatedAt) > lifetime {
		delete(s.classifications, digest)
		return classification{}, false
	}
	return v, ok
}

// set stores a classification and evicts the oldest entry if there are too many.
func (s *Suspecter) set(digest string, v classification) {
	if _, exists := s.classifications[digest]; !exists && len(s.classifications) >= maxEntries {
		s.evictOldest()
	}
	s.classifications[digest] = v
}

func (s *Suspecter) evictOldest() {
	oldest := ""
	for digest, v := range s.classifications {
		if oldest == "" || v.updatedAt.Before(s.classifications[oldest].updatedAt) {
			oldest = digest
		}
	}
	delete(s.classifications, oldest)
}
