// Package suspecter finds requests that crash the targets they run on.
//
// A crash makes every request of the batch a suspect. A suspect runs alone, so
// a second crash convicts exactly the request that caused it; a convicted
// request is refused everywhere. A poisonous request costs two crashes at
// most, and no innocent request is ever refused.
//
// # Usage
//
//	s := suspecter.New(time.Now)
//	finish := s.Begin(digest)
//	finish(crashed)
//	s.Merge(peer.Recent()) // suspicions travel with heartbeats
//
// A digest covers the organisation too, so no organisation can have another's
// requests refused.
package suspecter

import (
	"encoding/hex"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxEntries bounds the suspicions that are remembered.
	maxEntries = 4096
	// lifetime is how long a suspicion or conviction lasts.
	lifetime = time.Hour
	// recentTime is how long a suspicion travels with heartbeats.
	recentTime = 2 * time.Minute
	// maxRecent bounds the suspicions of one heartbeat.
	maxRecent = 32

	suspectMark = "s:"
	convictMark = "c:"
)

type verdict struct {
	convicted bool
	at        time.Time
}

// run is one request in progress.
type run struct {
	alone bool
}

// Suspecter remembers suspicions and convictions by digest.
type Suspecter struct {
	now func() time.Time

	mu       sync.Mutex // guards all below
	verdicts map[string]verdict
	running  map[*run]struct{}
}

// New returns a Suspecter that reads the time from now.
func New(now func() time.Time) *Suspecter {
	return &Suspecter{now: now, verdicts: make(map[string]verdict), running: make(map[*run]struct{})}
}

// Digest returns the digest of an organisation's request.
func Digest(organisation string, body []byte) string {
	h := xxhash.New()
	_, _ = h.WriteString(organisation) // never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(body)
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
	return ok && v.convicted
}

// Begin notes that a request runs; finish must be called with how it ended.
func (s *Suspecter) Begin(digest string) (finish func(crashed bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &run{alone: len(s.running) == 0}
	for other := range s.running {
		other.alone = false
	}
	s.running[r] = struct{}{}
	return func(crashed bool) { s.finish(r, digest, crashed) }
}

func (s *Suspecter) finish(r *run, digest string, crashed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, r)
	if !crashed {
		return
	}
	before, suspected := s.verdicts[digest]
	s.put(digest, verdict{convicted: before.convicted || (suspected && r.alone), at: s.now()})
}

// MarkSuspect makes a request a suspect unless it is one already.
func (s *Suspecter) MarkSuspect(digest string) {
	s.Merge([]string{suspectMark + digest})
}

// MarkPoison has a request refused from now on.
func (s *Suspecter) MarkPoison(digest string) {
	s.Merge([]string{convictMark + digest})
}

// Merge takes over the suspicions that a peer has sent.
func (s *Suspecter) Merge(recent []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, entry := range recent {
		mark, digest := entry[:min(len(entry), len(suspectMark))], strings.TrimPrefix(strings.TrimPrefix(entry, suspectMark), convictMark)
		before, known := s.verdicts[digest]
		convicted := mark == convictMark
		if !known || (convicted && !before.convicted) {
			s.put(digest, verdict{convicted: convicted, at: s.now()})
		}
	}
}

// Recent returns the suspicions to send to peers.
func (s *Suspecter) Recent() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for digest, v := range s.verdicts {
		if len(out) == maxRecent {
			break
		}
		if s.now().Sub(v.at) > recentTime {
			continue
		}
		mark := suspectMark
		if v.convicted {
			mark = convictMark
		}
		out = append(out, mark+digest)
	}
	return out
}

func (s *Suspecter) lookup(digest string) (verdict, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.verdicts[digest]
	if ok && s.now().Sub(v.at) > lifetime {
		delete(s.verdicts, digest)
		return verdict{}, false
	}
	return v, ok
}

// put stores a verdict and forgets the oldest if there are too many.
func (s *Suspecter) put(digest string, v verdict) {
	if _, known := s.verdicts[digest]; !known && len(s.verdicts) >= maxEntries {
		s.forgetOldest()
	}
	s.verdicts[digest] = v
}

func (s *Suspecter) forgetOldest() {
	oldest := ""
	for digest, v := range s.verdicts {
		if oldest == "" || v.at.Before(s.verdicts[oldest].at) {
			oldest = digest
		}
	}
	delete(s.verdicts, oldest)
}
