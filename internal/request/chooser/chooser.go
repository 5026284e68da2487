// Package chooser selects the target of a request with prefix affinity and bounded load.
// Routers use it; gateways use package placer.
//
// # Usage
//
//	c := chooser.NewPrefixAffinity()
//	i := c.Choose(candidates, chooser.AffinityKey(prompt), time.Now())
//	end := candidates[i].Begin()
//	defer end()
//
// The load of a Candidate is the number of the router's own requests in flight plus
// the last load report, whose weight falls with its age. Candidates that fail are
// ejected for a while, but are still used when all of them are ejected.
package chooser

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// prefixBytes is the number of leading bytes of a prompt that its affinity key covers.
	prefixBytes = 512
	// freshExcess and staleExcess are how far the load per slot of a preferred target
	// may be above the mean, with a new report and with an expired one.
	freshExcess = 0.2
	staleExcess = 0.08
	// sampleSize is the number of random candidates that the mean load is estimated from.
	sampleSize = 8
	// preferredCount is the number of preferred targets of a prefix; preferredStep is
	// the difference between the hash keys of successive ones.
	preferredCount = 4
	preferredStep  = 0x9E3779B97F4A7C15
)

// Chooser selects a target for a request.
type Chooser interface {
	// Choose returns the index of the selected candidate, or -1 if none is usable.
	Choose(candidates []*Candidate, affinityKey uint64, now time.Time) int
}

// AffinityKey returns a hash that is the same for all prompts with the same prefix of
// 512 bytes.
func AffinityKey(prompt []byte) uint64 {
	return xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)])
}

// prefixAffinity prefers the targets that are likely to have the prompt's prefix in
// their cache. Each prefix hashes to a short list of preferred targets, and the first
// one that is not much more loaded than the mean takes the request. A hot prefix is
// thus cached on a few targets, always the same ones.
type prefixAffinity struct{}

// NewPrefixAffinity returns the Chooser that routers use: consistent hashing of the
// prompt prefix with bounded load.
func NewPrefixAffinity() Chooser {
	return prefixAffinity{}
}

// Choose implements Chooser.Choose.
func (prefixAffinity) Choose(candidates []*Candidate, affinityKey uint64, now time.Time) int {
	n := len(candidates)
	if n == 0 {
		return -1
	}
	nowNanos := now.UnixNano()
	fallback, mean := sample(candidates, nowNanos)
	if fallback < 0 {
		return randomNotDraining(candidates)
	}
	for i := range preferredCount {
		preferred := jumpHash(affinityKey+uint64(i)*preferredStep, n)
		if usable(candidates[preferred], nowNanos) && candidates[preferred].load(nowNanos) <= mean+maxExcess(candidates[preferred], nowNanos) {
			return preferred
		}
	}
	return fallback
}

// maxExcess returns how far above the mean the load of a preferred candidate may be.
func maxExcess(c *Candidate, now int64) float64 {
	return staleExcess + (freshExcess-staleExcess)*c.freshness(now)
}

// sample returns the least loaded of a few random usable candidates, or -1 if none is
// usable, and their mean load.
func sample(candidates []*Candidate, now int64) (best int, mean float64) {
	best = -1
	bestLoad, sum, sampled := 0.0, 0.0, 0
	n := len(candidates)
	start, stride := rand.IntN(n), sampleStride(n)
	for i := 0; i < n && sampled < sampleSize; i++ {
		index := (start + i*stride) % n
		if !usable(candidates[index], now) {
			continue
		}
		sampled++
		load := candidates[index].load(now)
		sum += load
		if best < 0 || load < bestLoad {
			best, bestLoad = index, load
		}
	}
	return best, sum / float64(max(sampled, 1))
}

// sampleStride returns a step that is coprime to n, so that it visits all n candidates,
// and close to 5/8 of n, so that the sample is spread out.
func sampleStride(n int) int {
	for step := n*5/8 + 1; ; step++ {
		if gcd(step, n) == 1 {
			return step
		}
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// usable reports whether a candidate takes new requests and is not ejected.
func usable(c *Candidate, now int64) bool {
	return !c.Draining() && !c.isEjected(now)
}

// randomNotDraining returns a random candidate that is not draining, or -1. It is used
// when every candidate is ejected: to refuse all requests then would turn a failure
// with a common cause into an outage.
func randomNotDraining(candidates []*Candidate) int {
	start := rand.IntN(len(candidates))
	for i := range candidates {
		index := (start + i) % len(candidates)
		if !candidates[index].Draining() {
			return index
		}
	}
	return -1
}

// jumpHash is the jump consistent hash of Lamping and Veach (arXiv:1406.2294).
func jumpHash(key uint64, buckets int) int {
	b, j := int64(-1), int64(0)
	for j < int64(buckets) {
		b = j
		key = key*2862933555777941757 + 1
		j = int64(float64(b+1) * (float64(int64(1)<<31) / float64((key>>33)+1)))
	}
	return int(b)
}
