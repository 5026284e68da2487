package suspecter

import "time"

// Observation is what a process has seen of a request: that a target crashed while it
// ran the request or, if Run is empty, that a target answered it.
type Observation struct {
	// Digest identifies the request's contents; see Digest. An answer may have a feature
	// instead: no request with it has crashed a target until At.
	Digest string
	// Run identifies one start of a target, so that several processes that see the same
	// crash report the same Run.
	Run string
	At  time.Time
	// Isolated is set if the request was a suspect already when it was sent, and the
	// process knows of no other request that the target was running.
	Isolated bool
	// SentAt is when the request was sent to the target.
	SentAt time.Time
	// Organisation sent the request, and Features are what it shares with requests of other
	// contents, as far as the process doesn't know them to be harmless. All are empty for
	// answers.
	Organisation string
	Features     []string
}

// Verdict says how a request is to be treated.
type Verdict int

const (
	// Innocent requests run like any other.
	Innocent Verdict = iota
	// Suspect requests were running at a target that crashed. They run apart from each
	// other.
	Suspect
	// Poison requests crash the targets that run them. They are refused.
	Poison
)

// String returns the verdict's name.
func (v Verdict) String() string {
	return [...]string{"innocent", "suspect", "poison"}[v]
}

// maxCrashes is the number of crashes that make a request poison whatever else was
// running.
const maxCrashes = 3

// Judge returns the verdict on a request from its crashes, each with a Run of its own.
// alone reports whether no process has seen another request at a crash.
//
// A single crash has many suspects: everything that the target was running. A second one
// that hits a suspect with nothing beside it has only one possible cause.
func Judge(crashes []Observation, alone func(Observation) bool) Verdict {
	switch {
	case len(crashes) == 0:
		return Innocent
	case len(crashes) >= maxCrashes:
		return Poison
	case len(crashes) == 1:
		return Suspect
	}
	for _, c := range crashes {
		if c.Isolated && alone(c) {
			return Poison
		}
	}
	return Suspect
}
