package suspecter

import (
	"cmp"
	"slices"
	"time"
)

// Convict reports whether a feature is taken for the cause of the given crashes when an
// organisation's request has it. They are the crashes of requests with the feature that no complete
// response of such a request has followed.
//
// The load that it decides on: a few requests a second that have nothing in common but one feature,
// each of which crashes the target that runs it beside up to dozens of others. These have features
// too that no complete response has ruled out yet: rare ones, and in the first second after a start
// all. Targets that crash together count once, since hosts are lost together. One request alone is
// judged by its digest.
func Convict(crashes []Observation, organisation string) bool {
	otherRequest, otherOrganisation, own := false, false, false
	for _, c := range crashes {
		otherRequest = otherRequest || c.Digest != crashes[0].Digest
		otherOrganisation = otherOrganisation || c.Organisation != crashes[0].Organisation
		own = own || c.Organisation == organisation
	}
	return otherRequest && (own || otherOrganisation) && hasRounds(crashes, convictRounds)
}

// hasRounds reports whether n targets crashed one after the other: each while it ran a request that
// was sent after the crash before.
func hasRounds(crashes []Observation, n int) bool {
	sorted := slices.SortedFunc(slices.Values(crashes), func(a, b Observation) int {
		return cmp.Or(cmp.Compare(a.At.UnixMilli(), b.At.UnixMilli()), cmp.Compare(a.Run, b.Run), cmp.Compare(a.Digest, b.Digest))
	})
	counted := make([]string, 0, n)
	var last int64
	for _, c := range sorted {
		if len(counted) > 0 && (c.SentAt.UnixMilli() < last || c.At.UnixMilli()-last < roundTime.Milliseconds() || slices.Contains(counted, c.Run)) {
			continue
		}
		counted, last = append(counted, c.Run), c.At.UnixMilli()
		if len(counted) == n {
			return true
		}
	}
	return false
}

// RetrialAt returns when one request may try whether its features still crash targets, after the
// given crashes.
//
// The load that it decides on: requests with a cause that keep coming, be it harmful for hours or
// sound again, or a feature of all requests that was convicted wrongly.
func RetrialAt(crashes []Observation) time.Time {
	slices.SortFunc(crashes, func(a, b Observation) int { return a.At.Compare(b.At) })
	var last time.Time
	delay := MinRetrialTime
	for i, c := range crashes {
		if i > 0 && c.At.Sub(last) >= MinRetrialTime {
			delay = min(retrialFactor*delay, maxRetrialTime)
		}
		last = c.At
	}
	return last.Add(delay)
}
