// Package suspecter identifies poison requests: requests that crash the targets
// they run on.
//
// Every process reports what it sees, and all processes judge the same observations by
// the same rule (Judge). A crash makes every request that the target was running a suspect.
// Suspects run apart from each other, so a second crash usually identifies the one that
// caused it; a third one does in any case. A request that a target has answered is no
// longer suspect.
//
// Requests of different contents may crash targets for what they have in common, such as one
// part of their prompts. Traits name these features, and Assess finds the cause among them by
// group testing: a crash leaves the features of all requests that the target was running, a
// complete response eliminates those of its request, and a feature that is left after several
// crashes under several requests is taken for a cause (Convict).
//
// # Usage
//
//	s := suspecter.New(time.Now)
//	digest := suspecter.Digest(organisation, method, path, body)
//	if s.Verdict(digest) == suspecter.Poison {
//		// Refuse the request.
//	}
//	run := s.Start("engine-1@17") // before the request is sent
//	s.Observe(suspecter.Observation{Digest: digest, Run: run, At: time.Now()})
//	s.Answered(digest) // after a complete response
//
//	traits := suspecter.Traits{Digest: digest, Organisation: "alpha", Features: []string{"llm/m/5c1e"}}
//	if a := s.Assess(traits); a.Verdict == suspecter.Poison {
//		// Refuse the request: a.Cause names the features, if it isn't the request itself.
//	}
//	s.Completed(traits) // after a complete response
//
//	batch, cursor := s.Since(cursor, suspecter.All) // send to a peer
//	s.Merge(batch)                                  // at the peer
//
// A digest includes the organisation, so that no organisation can cause requests of
// another to be refused. A feature is taken for a cause in an organisation's requests only
// if requests of this organisation, or of two others, have crashed targets.
package suspecter

import (
	"cmp"
	"encoding/hex"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRecords bounds the number of stored observations.
	maxRecords = 4096
	// lifetime is how long an observation counts.
	lifetime = time.Hour
	// maxBatch bounds the observations that are sent to a peer at once.
	maxBatch = 16
	// maxNameBytes bounds the length of each text from a peer.
	maxNameBytes = 256
	// maxClockSkew bounds how far the clocks of two hosts may differ.
	maxClockSkew = time.Minute
)

// Scope selects observations to send.
type Scope int

const (
	// All selects all observations.
	All Scope = iota
	// Own selects those of this process, for peers that hear from the others directly.
	Own
)

// record is an observation with the number of its arrival.
type record struct {
	Observation
	sequence uint64
	own      bool
	// seenAt is when the process learned of it.
	seenAt time.Time
}

// Suspecter stores the observations of a fleet by digest. It is safe for concurrent use.
//
// Exported fields are set before the first call.
type Suspecter struct {
	// SettleTime is how long after a crash other processes may still report what else the
	// target was running. Zero suits targets that only one process sends requests to.
	SettleTime time.Duration

	now func() time.Time

	mu      sync.Mutex // guards all below
	records map[string][]record
	// runs holds the digests with a record of each Run, features the digests with a record of
	// each feature, and how many.
	runs     index
	features index
	// causes holds what allCauses returns, nil if it has to be found again; until causesUntil, if
	// that is not zero.
	causes      map[string]bool
	causesUntil time.Time
	// startedAt is when the process started, firstCompletion when a request with features was first
	// answered completely.
	startedAt       time.Time
	firstCompletion time.Time
	// harmless holds when a request with a feature was last answered completely.
	harmless memory[string]
	count    int
	sequence uint64
}

// New returns an empty Suspecter with the clock now.
func New(now func() time.Time) *Suspecter {
	return &Suspecter{now: now, startedAt: now(), records: make(map[string][]record), runs: make(index), features: make(index)}
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

// Start returns a name for the current start of a target, for the Run of an observation: the
// first one under which no crash is known. The list that target is from may be stale and
// give several starts of a target the same name.
func (s *Suspecter) Start(target string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := target
	for n := 1; len(s.runs[run]) > 0; n++ {
		run = target + "/" + strconv.Itoa(n)
	}
	return run
}

// Verdict returns the verdict on a request.
func (s *Suspecter) Verdict(digest string) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.judge(digest)
}

// Crashes returns the crashes that a request is suspected of, oldest first.
func (s *Suspecter) Crashes(digest string) []Observation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes(digest)
}

// ForgottenIn returns the time after which the verdict on a request lapses unless it
// crashes another target.
func (s *Suspecter) ForgottenIn(digest string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := time.Duration(0)
	for _, c := range s.crashes(digest) {
		left = max(left, lifetime-s.now().Sub(c.At))
	}
	return left
}

// Observe adds an observation of this process and returns the new verdict.
func (s *Suspecter) Observe(o Observation) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(o.Features) > 0 && !s.isInformed() {
		o.Features = []string{unknownFeature}
	}
	s.add(o, true)
	return s.judge(o.Digest)
}

// Answered records that a target has answered a request. It reports whether the request
// was suspect.
func (s *Suspecter) Answered(digest string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	crashes := s.crashes(digest)
	if len(crashes) == 0 {
		return false
	}
	at := s.now()
	for _, c := range crashes {
		if c.At.After(at) { // seen by a process whose clock is ahead
			at = c.At
		}
	}
	s.add(Observation{Digest: digest, At: at}, true)
	return true
}

// Merge adds the observations of a peer. It returns the digests of which it has learned a
// crash that is not the first.
func (s *Suspecter) Merge(observations []Observation) (repeated []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range observations {
		if !o.isValid() {
			continue // not written by this program
		}
		before := len(s.crashes(o.Digest))
		s.add(o, false)
		if after := len(s.crashes(o.Digest)); after > max(before, 1) {
			repeated = append(repeated, o.Digest)
		}
	}
	return repeated
}

// Adopt adds observations that others have made as this process's own, such as those of an
// earlier process of this host.
func (s *Suspecter) Adopt(observations []Observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range observations {
		s.add(o, true)
	}
}

// Since returns up to maxBatch observations that arrived after the cursor, oldest first,
// and the cursor for the next call. The first cursor is 0.
func (s *Suspecter) Since(cursor uint64, scope Scope) ([]Observation, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cursor >= s.sequence {
		return nil, cursor
	}
	selected := s.selected(func(r record) bool { return r.sequence > cursor && (scope == All || r.own) })
	if len(selected) <= maxBatch {
		return observations(selected), s.sequence
	}
	selected = selected[:maxBatch]
	return observations(selected), selected[maxBatch-1].sequence
}

// Newest returns up to n observations: those of poison requests and of causes first, then the
// newest ones.
func (s *Suspecter) Newest(n int, scope Scope) []Observation {
	s.mu.Lock()
	defer s.mu.Unlock()
	selected := s.selected(func(r record) bool { return scope == All || r.own })
	slices.Reverse(selected)
	var poison, others []record
	evidence := s.evidence()
	for _, r := range selected {
		if evidence[r.Digest] {
			poison = append(poison, r)
		} else {
			others = append(others, r)
		}
	}
	selected = slices.Concat(poison, others)
	return observations(selected[:min(n, len(selected))])
}

// selected returns the matching records that have not expired, in the order of their
// arrival; s.mu must be held.
func (s *Suspecter) selected(match func(record) bool) (selected []record) {
	for digest := range s.records {
		for _, r := range s.current(digest) {
			if match(r) {
				selected = append(selected, r)
			}
		}
	}
	slices.SortFunc(selected, func(a, b record) int { return cmp.Compare(a.sequence, b.sequence) })
	return selected
}

func observations(records []record) []Observation {
	out := make([]Observation, 0, len(records))
	for _, r := range records {
		out = append(out, r.Observation)
	}
	return out
}

// judge returns the verdict on a request; s.mu must be held.
func (s *Suspecter) judge(digest string) Verdict {
	return Judge(s.unexplained(s.crashes(digest)), func(c Observation) bool {
		return len(s.runs[c.Run]) == 1 && s.now().Sub(c.At) >= s.SettleTime
	})
}

// crashes returns the crashes of a request; s.mu must be held.
func (s *Suspecter) crashes(digest string) (crashes []Observation) {
	for _, r := range s.current(digest) {
		if r.Run != "" {
			crashes = append(crashes, r.Observation)
		}
	}
	return crashes
}

// current returns the records of a digest and drops the expired ones; s.mu must be held.
func (s *Suspecter) current(digest string) []record {
	records, ok := s.records[digest]
	if !ok {
		return nil
	}
	now := s.now()
	return s.keep(digest, records, func(r record) bool { return now.Sub(r.At) <= lifetime })
}

// keep replaces the records of a digest by those for which want returns true; s.mu must be
// held.
func (s *Suspecter) keep(digest string, records []record, want func(record) bool) []record {
	if !slices.ContainsFunc(records, func(r record) bool { return !want(r) }) {
		return records
	}
	var kept []record
	for _, r := range records {
		if want(r) {
			kept = append(kept, r)
			continue
		}
		s.count--
		s.unlist(r.Observation)
	}
	if len(kept) == 0 {
		delete(s.records, digest)
		return nil
	}
	s.records[digest] = kept
	return kept
}

// add stores an observation unless it is known, was followed by an answer, or has
// expired; s.mu must be held.
func (s *Suspecter) add(o Observation, own bool) {
	now := s.now()
	if latest := now.Add(maxClockSkew); o.At.After(latest) {
		o.At = latest
	}
	if now.Sub(o.At) > lifetime {
		return
	}
	o.Features = s.suspected(o, own)
	records := s.current(o.Digest)
	for i, r := range records {
		switch {
		case r.Run == "" && !r.At.Before(o.At):
			return
		case r.Run == o.Run && o.Run != "":
			records[i] = s.merge(r, o, own)
			return
		}
	}
	if o.Run == "" {
		records = s.keep(o.Digest, records, func(r record) bool { return r.At.After(o.At) })
		s.eliminate(o.Digest, o.At)
	}
	if s.count >= maxRecords {
		s.evict()
		records = s.records[o.Digest]
	}
	s.sequence++
	s.records[o.Digest] = append(records, record{Observation: o, sequence: s.sequence, own: own, seenAt: now})
	s.list(o)
	s.count++
}

// merge returns a record with what another observation of the same crash adds; s.mu must be held.
func (s *Suspecter) merge(r record, o Observation, own bool) record {
	merged := r
	merged.own, merged.Isolated = r.own || own, r.Isolated || o.Isolated
	if o.At.After(r.At) { // the name of a start may be used again after an answer
		merged.At = o.At
	}
	merged.Features = union(r.Features, o.Features)
	if merged.Organisation == "" {
		merged.Organisation = o.Organisation
	}
	news := merged.Isolated != r.Isolated || len(merged.Features) != len(r.Features)
	if news || own && (!r.own || !merged.At.Equal(r.At)) { // peers hear of a later time from its observer
		s.sequence++
		merged.sequence = s.sequence
	}
	s.unlist(r.Observation)
	s.list(merged.Observation)
	return merged
}

// evict drops an eighth of the requests: those whose last observation is the oldest, and
// poison ones and those with a cause only if there are no others; s.mu must be held.
func (s *Suspecter) evict() {
	type candidate struct {
		digest string
		poison bool
		at     time.Time
	}
	var candidates []candidate
	evidence := s.evidence()
	for digest, records := range s.records {
		newest := slices.MaxFunc(records, func(a, b record) int { return a.At.Compare(b.At) })
		candidates = append(candidates, candidate{digest: digest, poison: evidence[digest], at: newest.At})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		switch {
		case a.poison == b.poison:
			return a.at.Compare(b.at)
		case a.poison:
			return 1
		default:
			return -1
		}
	})
	for _, c := range candidates[:len(candidates)/8+1] {
		s.keep(c.digest, s.records[c.digest], func(record) bool { return false })
	}
}
