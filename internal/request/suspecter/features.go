package suspecter

import (
	"maps"
	"slices"
	"time"
)

// unknownFeature stands for the features of a request whose process didn't know yet which of them are
// harmless. No request has it, so that none is refused for the crash of a target that ran one.
const unknownFeature = "unknown/"

// Traits are what a request is known by before it runs.
type Traits struct {
	Digest       string
	Organisation string
	// Features are what it shares with requests of other contents, each by a text that contains
	// a slash, as no digest does.
	Features []string
}

// Assessment says how a request is to be treated, and why.
type Assessment struct {
	Verdict Verdict
	// Suspects are the request's digest, if it was running at a crash, and its features that are
	// left after several crashes. Requests that share one of them run apart from each other.
	Suspects []string
	// Cause are the features that make the request poison; empty if its digest does.
	Cause []string
	// SettlesIn is the time until others have had the time to report what else ran at a crash that
	// may convict one of the request's features. Until then it should wait.
	SettlesIn time.Duration
	// RetrialIn is the time until one request in the fleet may try the cause; see RetrialAt. It is
	// negative once that time has passed.
	RetrialIn time.Duration
}

const (
	// maxFeatures bounds the features in an observation.
	maxFeatures = 8
	// suspectRounds and convictRounds are the numbers of crashes, one after the other, that make a
	// feature suspect and a cause.
	suspectRounds = 2
	convictRounds = 3
	// roundTime is less than a request takes to crash a target. Hosts that are lost together end
	// within it, also under what was sent to one of them after another had ended.
	roundTime = 10 * time.Millisecond
	// informTime is how long complete responses must have been coming before crashes count against
	// features: a process that has just started knows none of them to be harmless. After
	// maxInformTime they count in any case.
	informTime    = time.Second
	maxInformTime = 5 * time.Second
	// harmlessTime is how long before a crash a feature's last complete response rules it out.
	harmlessTime = 30 * time.Second
	// MinRetrialTime is how long a cause rests before one request may try it, retrialFactor times as
	// long after each trial that has crashed a target, up to maxRetrialTime.
	MinRetrialTime = 2 * time.Second
	retrialFactor  = 8
	maxRetrialTime = 10 * time.Minute
)

// Assess returns how a request is to be treated.
func (s *Suspecter) Assess(t Traits) Assessment {
	s.mu.Lock()
	defer s.mu.Unlock()
	var a Assessment
	if len(s.records) == 0 {
		return a
	}
	a.Verdict = s.judge(t.Digest)
	if a.Verdict != Innocent {
		a.Suspects = append(a.Suspects, t.Digest)
	}
	for _, f := range t.Features {
		crashes := s.unexplained(s.crashesWith(f))
		if !hasRounds(crashes, suspectRounds) {
			continue
		}
		a.Verdict = max(a.Verdict, Suspect)
		a.Suspects = append(a.Suspects, f)
		if Convict(crashes, t.Organisation) {
			for _, r := range s.recordsWith(f) {
				a.SettlesIn = max(a.SettlesIn, s.settlesIn(r))
			}
		}
		if settled := s.unexplained(s.settledWith(f)); len(a.Cause) == 0 && s.allCauses()[f] && Convict(settled, t.Organisation) {
			a.Cause = s.causeIn(settled, t)
		}
	}
	if len(a.Cause) > 0 {
		a.RetrialIn = s.retrialIn(a.Cause)
		if a.Verdict == Poison { // for its digest
			a.RetrialIn = maxRetrialTime
		}
		a.Verdict = Poison
	}
	return a
}

// causeIn returns the features that may have caused one of the given crashes, if a request has all
// of them; s.mu must be held. A request with only some of them may be sound: a rare feature that
// comes with the cause is in all the same crashes.
func (s *Suspecter) causeIn(crashes []Observation, t Traits) []string {
	for _, c := range crashes {
		if suspects := s.suspectsAt(c.Run); isSubset(suspects, t.Features) {
			return suspects
		}
	}
	return nil
}

// retrialIn returns the time until one request with the given features may be tried; s.mu must be
// held.
func (s *Suspecter) retrialIn(features []string) time.Duration {
	var crashes []Observation
	for _, f := range features {
		crashes = append(crashes, s.crashesWith(f)...)
	}
	return RetrialAt(crashes).Sub(s.now())
}

// Completed records a complete response to a request, and returns what it has cleared of suspicion.
func (s *Suspecter) Completed(t Traits) (cleared []string) {
	if s.Answered(t.Digest) {
		cleared = append(cleared, t.Digest)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if len(t.Features) > 0 && s.firstCompletion.IsZero() {
		s.firstCompletion = now
	}
	for _, f := range t.Features {
		s.harmless.put(f, now, harmlessTime)
		crashes := s.crashesWith(f)
		if len(crashes) == 0 {
			continue
		}
		at := now
		for _, c := range crashes {
			if c.At.After(at) { // seen by a process whose clock is ahead
				at = c.At
			}
		}
		s.add(Observation{Digest: f, At: at}, true)
		cleared = append(cleared, f)
	}
	return cleared
}

// CrashesWith returns the crashes that a feature is suspected of, oldest first.
func (s *Suspecter) CrashesWith(feature string) []Observation {
	s.mu.Lock()
	defer s.mu.Unlock()
	crashes := s.crashesWith(feature)
	slices.SortFunc(crashes, func(a, b Observation) int { return a.At.Compare(b.At) })
	return crashes
}

// Causes returns the features that are taken for causes in requests of some organisation.
func (s *Suspecter) Causes() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.allCauses()))
}

// crashesWith returns the crashes of requests with a feature; s.mu must be held.
func (s *Suspecter) crashesWith(feature string) []Observation {
	return observations(s.recordsWith(feature))
}

// settledWith returns those of which others have had the time to report what else the target was
// running; s.mu must be held.
func (s *Suspecter) settledWith(feature string) []Observation {
	return observations(slices.DeleteFunc(s.recordsWith(feature), func(r record) bool { return s.settlesIn(r) > 0 }))
}

// settlesIn returns the time until others have had the time to report what else a target was
// running; s.mu must be held.
func (s *Suspecter) settlesIn(r record) time.Duration {
	now := s.now()
	return s.SettleTime - max(now.Sub(r.At), now.Sub(r.seenAt))
}

// recordsWith returns the records of requests with a feature; s.mu must be held.
func (s *Suspecter) recordsWith(feature string) (records []record) {
	digests := s.features[feature]
	if len(digests) == 0 {
		return nil
	}
	for _, digest := range sortedKeys(digests) {
		for _, r := range s.current(digest) {
			if slices.Contains(r.Features, feature) {
				records = append(records, r)
			}
		}
	}
	return records
}

// suspectsAt returns the features that may have caused the crash of a start of a target: those that
// are left of the requests that ran there, unless another one's explain the crash; s.mu must be held.
func (s *Suspecter) suspectsAt(run string) (suspects []string) {
	for digest := range s.runs[run] {
		for _, r := range s.records[digest] {
			if r.Run == run && (!s.isExplained(r.Observation) || slices.Contains(r.Features, unknownFeature)) {
				suspects = union(suspects, r.Features)
			}
		}
	}
	return suspects
}

// unexplained returns the crashes of requests that no other request's features explain; s.mu must be
// held.
func (s *Suspecter) unexplained(crashes []Observation) []Observation {
	if len(crashes) == 0 || len(s.allCauses()) == 0 {
		return crashes
	}
	return slices.DeleteFunc(crashes, s.isExplained)
}

// isExplained reports whether another request that ran at the target had a feature that is taken
// for a cause, and the request of the observation had not; s.mu must be held.
func (s *Suspecter) isExplained(o Observation) bool {
	return explains(s.allCauses(), s.featuresAt(o.Run), o)
}

// explains reports whether one of the features at a crash is among the causes, and not a feature of
// the observation.
func explains(causes map[string]bool, features []string, o Observation) bool {
	return slices.ContainsFunc(features, func(f string) bool { return causes[f] && !slices.Contains(o.Features, f) })
}

// featuresAt returns the features of all requests that ran at a start of a target when it crashed;
// s.mu must be held.
func (s *Suspecter) featuresAt(run string) (features []string) {
	for digest := range s.runs[run] {
		for _, r := range s.records[digest] {
			if r.Run == run {
				features = append(features, r.Features...)
			}
		}
	}
	return features
}

// allCauses returns the features that are taken for causes in requests of some organisation; s.mu
// must be held. The one with the most crashes that no other cause explains comes first.
func (s *Suspecter) allCauses() map[string]bool {
	now := s.now()
	if s.causes != nil && (s.causesUntil.IsZero() || now.Before(s.causesUntil)) {
		return s.causes
	}
	s.causesUntil = time.Time{}
	candidates := make(map[string][]Observation)
	for _, f := range slices.Collect(maps.Keys(s.features)) { // recordsWith drops expired ones
		if f == unknownFeature {
			continue
		}
		for _, r := range s.recordsWith(f) {
			if left := s.settlesIn(r); left > 0 && (s.causesUntil.IsZero() || now.Add(left).Before(s.causesUntil)) {
				s.causesUntil = now.Add(left)
			}
		}
		if crashes := s.settledWith(f); len(crashes) > 0 && Convict(crashes, crashes[0].Organisation) {
			candidates[f] = crashes
		}
	}
	causes := make(map[string]bool)
	for len(candidates) > 0 {
		best, most := "", 0
		for _, f := range slices.Sorted(maps.Keys(candidates)) {
			crashes := slices.DeleteFunc(candidates[f], func(o Observation) bool { return explains(causes, s.featuresAt(o.Run), o) })
			candidates[f] = crashes
			if len(crashes) == 0 || !Convict(crashes, crashes[0].Organisation) {
				delete(candidates, f)
				continue
			}
			if n := countRuns(crashes); n > most {
				best, most = f, n
			}
		}
		if best == "" {
			break
		}
		causes[best] = true
		delete(candidates, best)
	}
	s.causes = causes
	return causes
}

// countRuns returns the number of different starts of targets in crashes.
func countRuns(crashes []Observation) int {
	runs := make(map[string]bool)
	for _, c := range crashes {
		runs[c.Run] = true
	}
	return len(runs)
}

// evidence returns the digests of poison requests and of those with a feature that is taken for a
// cause; s.mu must be held.
func (s *Suspecter) evidence() map[string]bool {
	digests := make(map[string]bool)
	for _, digest := range slices.Collect(maps.Keys(s.records)) { // judge drops expired ones
		if s.judge(digest) == Poison {
			digests[digest] = true
		}
	}
	for f := range s.allCauses() {
		for digest := range s.features[f] {
			digests[digest] = true
		}
	}
	return digests
}

// suspected returns the features of an observation that nothing rules out. Others are told of a
// feature that this process knows to be harmless, unless the crash is its own; s.mu must be held.
func (s *Suspecter) suspected(o Observation, own bool) (suspected []string) {
	for _, f := range o.Features {
		if s.isRuledOut(f, o.At) {
			continue
		}
		if last, ok := s.harmless.last(f); ok && o.At.Sub(last) <= harmlessTime {
			if !own {
				s.add(Observation{Digest: f, At: o.At}, true)
			}
			continue
		}
		if suspected = union(suspected, []string{f}); len(suspected) == maxFeatures {
			break
		}
	}
	return suspected
}

// isInformed reports whether this process knows which features are harmless; s.mu must be held.
func (s *Suspecter) isInformed() bool {
	now := s.now()
	return now.Sub(s.startedAt) >= maxInformTime || !s.firstCompletion.IsZero() && now.Sub(s.firstCompletion) >= informTime
}

// isRuledOut reports whether a complete response is known that rules a feature out as the cause of
// crashes until at; s.mu must be held.
func (s *Suspecter) isRuledOut(feature string, at time.Time) bool {
	return slices.ContainsFunc(s.records[feature], func(r record) bool { return r.Run == "" && !r.At.Before(at) })
}

// eliminate removes a feature from the crashes until at; s.mu must be held.
func (s *Suspecter) eliminate(feature string, at time.Time) {
	for _, digest := range sortedKeys(s.features[feature]) {
		for i, r := range s.records[digest] {
			if r.At.After(at) || !slices.Contains(r.Features, feature) {
				continue
			}
			s.unlist(r.Observation)
			r.Features = slices.DeleteFunc(slices.Clone(r.Features), func(f string) bool { return f == feature })
			s.list(r.Observation)
			s.records[digest][i] = r
		}
	}
}

// list adds an observation to the indexes, unlist removes it; s.mu must be held.
func (s *Suspecter) list(o Observation) {
	if o.Run != "" {
		s.runs.add(o.Run, o.Digest)
	}
	for _, f := range o.Features {
		s.features.add(f, o.Digest)
		s.causes = nil
	}
}

func (s *Suspecter) unlist(o Observation) {
	if o.Run != "" {
		s.runs.remove(o.Run, o.Digest)
	}
	for _, f := range o.Features {
		s.features.remove(f, o.Digest)
		s.causes = nil
	}
}

// isValid reports whether an observation may have been written by this program.
func (o Observation) isValid() bool {
	return o.Digest != "" && len(o.Digest) <= maxNameBytes && len(o.Run) <= maxNameBytes && len(o.Organisation) <= maxNameBytes &&
		!slices.ContainsFunc(o.Features, func(f string) bool { return f == "" || len(f) > maxNameBytes })
}

// union returns the sorted elements of a and b, each once.
func union(a, b []string) []string {
	if len(b) == 0 {
		return a
	}
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

// isSubset reports whether all of a, at least one, are in b.
func isSubset(a, b []string) bool {
	return len(a) > 0 && !slices.ContainsFunc(a, func(e string) bool { return !slices.Contains(b, e) })
}

func sortedKeys(m map[string]int) []string {
	return slices.Sorted(maps.Keys(m))
}
