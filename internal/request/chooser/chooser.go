// Package chooser picks the target of a request.
//
// # Usage
//
//	c := chooser.NewAffine()
//	i := c.Choose(candidates, chooser.Affinity(prefix), time.Now())
//	end := candidates[i].Begin()
//	defer end()
//
// A Candidate counts the router's own requests in flight on top of the last
// load report, which ages out. Candidates that fail are set aside, unless most
// of them fail at once.
package chooser

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// affinityBytes is how much of a prompt decides where its prefix is cached.
	affinityBytes = 512
	// freshSlack and staleSlack are how far above the mean an affine target may
	// be, per slot, by the age of its report.
	freshSlack = 0.2
	staleSlack = 0.08
	// probes is how many random candidates are looked at.
	probes = 8
	// chainLength is how many targets a prefix has, chainStep what tells them apart.
	chainLength = 4
	chainStep   = 0x9E3779B97F4A7C15
)

// Chooser picks one of the candidates, or -1 if there is none.
type Chooser interface {
	Choose(candidates []*Candidate, affinity uint64, now time.Time) int
}

// AffinityKey returns the value that requests with the same prompt prefix share.
func AffinityKey(prompt []byte) uint64 {
	return xxhash.Sum64(prompt[:min(len(prompt), affinityBytes)])
}

// affine prefers the targets that are likely to have the prompt's prefix in
// their cache: a short chain given by the prefix, of which the first one that
// is not much more loaded than the average takes the request. Hot prefixes so
// come to stand in a few caches, and always the same ones.
type affine struct{}

// NewPrefixAffinity returns the Chooser that routers use.
func NewPrefixAffinity() Chooser {
	return affine{}
}

// Choose implements Chooser.Choose.
func (affine) Choose(candidates []*Candidate, affinity uint64, now time.Time) int {
	n := len(candidates)
	if n == 0 {
		return -1
	}
	nanos := now.UnixNano()
	best, mean := sample(candidates, nanos)
	if best < 0 {
		return firstNotLeaving(candidates)
	}
	for i := range chainLength {
		home := jump(affinity+uint64(i)*chainStep, n)
		if usable(candidates[home], nanos) && candidates[home].load(nanos) <= mean+slack(candidates[home], nanos) {
			return home
		}
	}
	return best
}

// slack returns how far above the mean a candidate may be.
func slack(c *Candidate, now int64) float64 {
	return staleSlack + (freshSlack-staleSlack)*c.freshness(now)
}

// sample looks at a few random candidates and returns the least loaded one,
// or -1 if none is usable, and their mean load.
func sample(candidates []*Candidate, now int64) (best int, mean float64) {
	best = -1
	bestLoad, sum, seen := 0.0, 0.0, 0
	n := len(candidates)
	start, stride := rand.IntN(n), probeStride(n)
	for i := 0; i < n && seen < probes; i++ {
		k := (start + i*stride) % n
		if !usable(candidates[k], now) {
			continue
		}
		seen++
		load := candidates[k].load(now)
		sum += load
		if best < 0 || load < bestLoad {
			best, bestLoad = k, load
		}
	}
	return best, sum / float64(max(seen, 1))
}

// probeStride returns a step that visits all of n candidates and is far from 1.
func probeStride(n int) int {
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

// usable reports whether a candidate takes work and is not set aside.
func usable(c *Candidate, now int64) bool {
	return !c.Draining() && !c.aside(now)
}

// firstNotLeaving is the choice when every candidate is set aside: setting all
// aside would turn a common cause into an outage.
func firstNotLeaving(candidates []*Candidate) int {
	start := rand.IntN(len(candidates))
	for i := range candidates {
		k := (start + i) % len(candidates)
		if !candidates[k].Draining() {
			return k
		}
	}
	return -1
}

// jump is the jump consistent hash of Lamping and Veach (arXiv:1406.2294).
func jump(key uint64, buckets int) int {
	b, j := int64(-1), int64(0)
	for j < int64(buckets) {
		b = j
		key = key*2862933555777941757 + 1
		j = int64(float64(b+1) * (float64(int64(1)<<31) / float64((key>>33)+1)))
	}
	return int(b)
}
