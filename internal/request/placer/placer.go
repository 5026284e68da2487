// Package placer decides which targets a request is offered to, and in which order.
//
// A Plan is a pure function of plain data: the request's shape, and what one
// router knows of each target. It answers four load patterns:
//
//   - Long prompts beside short streams. Prefill delays every stream of the same
//     batch, so long prompts are kept on a part of the targets. The part for short
//     streams follows the number of them that run, so that their slots suffice.
//   - Shared prefixes. Requests that share all parts of their prompt but the last
//     meet on the same two targets, so that shared parts are prefilled seldom.
//   - Hot prefixes. The less loaded of the two takes the request, and a third
//     target is taken when both are far above the mean.
//   - Plain services. The least loaded target takes the request, the nearer one
//     where loads are equal.
//
// # Usage
//
//	order := placer.Plan(placer.Work{PromptTokens: 9000, Affinity: h, Engine: true}, targets, placer.Pool{ShortTargets: 6})
//	best := targets[order[0]]
package placer

import (
	"cmp"
	"math"
	"slices"
)

const (
	// LongPromptTokens is the prompt length from which a request counts as long;
	// such a prompt takes several batch steps of an engine to prefill.
	LongPromptTokens = 3000
	// longWeight is the load of a long request, in short ones: its prefill takes
	// about as long as six short ones (docs/MEASUREMENTS.md).
	longWeight = 6
	// shortOccupancy is the share of an engine's slots that short streams should
	// fill; beyond it each token takes notably longer.
	shortOccupancy = 0.55
	// maxShortShare and minShortShare bound the part for short streams.
	maxShortShare = 0.7
	minShortShare = 0.2
	// spill is how far above the mean load of its part, per slot, a target may be
	// before the request goes to the least loaded one.
	spill = 0.25
	// full is the load per slot at which a part counts as full and requests go
	// to the other part.
	full = 0.95
)

// Work is the shape of a request.
type Work struct {
	PromptTokens int64
	// Affinity is the hash of the shared parts of the prompt.
	Affinity uint64
	// Engine is set for work of a model engine.
	Engine bool
	// Domain is the router's failure domain.
	Domain string
}

// Long reports whether the request's prefill would disturb short streams.
func (w Work) Long() bool {
	return w.PromptTokens >= LongPromptTokens
}

// Weight returns the load of a request, in short ones.
func (w Work) Weight() float64 {
	if w.Engine && w.Long() {
		return longWeight
	}
	return 1
}

// Target is what a router knows of a target.
type Target struct {
	ID string
	// Hash is a hash of the id, the same in every router.
	Hash   uint64
	Domain string
	Slots  int
	// Load is the weight of all requests that are known to be there.
	Load float64
	// Aside is set while the target is not to be offered work if there is another.
	Aside bool
	// Slowness is the factor by which the target is slower than its peers, or 0 if unknown.
	Slowness float64
}

// perSlot returns the load for each slot, as felt by a request.
func (t Target) perSlot() float64 {
	return t.Load * max(t.Slowness, 1) / float64(max(t.Slots, 1))
}

// Pool splits the targets of an engine's service.
type Pool struct {
	// ShortTargets is how many targets serve short requests; the others serve long ones.
	ShortTargets int
}

// Demand is the work that runs over a whole service.
type Demand struct {
	// ShortRunning is the number of short requests that run or wait, LongRate and
	// ShortRate the tokens a second to prefill of either kind.
	ShortRunning float64
	LongRate     float64
	ShortRate    float64
}

// Split returns how many of the targets should serve short requests, as a real
// number, so that a caller can keep it from flapping.
func Split(d Demand, targets, slots int) float64 {
	if targets < 2 || d.LongRate == 0 || (d.ShortRunning == 0 && d.ShortRate == 0) {
		return 0
	}
	wanted := d.ShortRunning / (shortOccupancy * float64(max(slots, 1)))
	return min(max(wanted, minShortShare*float64(targets)), maxShortShare*float64(targets))
}

// Plan returns the indices of the targets in the order in which the request
// should be offered to them; targets set aside come last.
func Plan(w Work, targets []Target, pool Pool) []int {
	order := make([]int, len(targets))
	for i := range order {
		order[i] = i
	}
	if !w.Engine {
		sortByLoad(order, targets, w.Domain)
		return order
	}
	own, other := divide(targets, pool, w.Long())
	ranked := rank(w, targets, own)
	rest := rank(w, targets, other)
	if len(ranked) == 0 || (len(rest) > 0 && targets[ranked[0]].perSlot() > full && targets[rest[0]].perSlot() < targets[ranked[0]].perSlot()/2) {
		ranked, rest = rest, ranked
	}
	return lastAside(append(ranked, rest...), targets)
}

// divide returns the targets for the request's kind and the others. Every
// router orders targets by their hash, so all of them divide alike.
func divide(targets []Target, pool Pool, long bool) (own, other []int) {
	order := make([]int, len(targets))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(targets[a].Hash, targets[b].Hash) })
	n := min(max(pool.ShortTargets, 0), len(order))
	if n == 0 {
		return order, nil
	}
	if long {
		return order[n:], order[:n]
	}
	return order[:n], order[n:]
}

// rank orders targets for a request: the less loaded of its two homes first,
// unless it is far above the mean; then by load.
func rank(w Work, targets []Target, among []int) []int {
	order := slices.Clone(among)
	sortByLoad(order, targets, "")
	usable, mean := 0, 0.0
	for _, i := range order {
		if !targets[i].Aside {
			mean += targets[i].perSlot()
			usable++
		}
	}
	mean /= float64(max(usable, 1))
	best := -1
	for _, i := range homes(w.Affinity, targets, among) {
		if best < 0 || targets[i].perSlot() < targets[best].perSlot() {
			best = i
		}
	}
	if best < 0 || targets[best].perSlot() > mean+spill {
		return order
	}
	at := slices.Index(order, best)
	copy(order[1:at+1], order[:at])
	order[0] = best
	return order
}

// homeCount is how many targets requests with the same shared parts meet on.
const homeCount = 2

// homes returns the usable targets with the highest scores by rendezvous hashing.
func homes(affinity uint64, targets []Target, among []int) []int {
	best := make([]int, 0, homeCount)
	scores := make([]uint64, 0, homeCount)
	for _, i := range among {
		if targets[i].Aside {
			continue
		}
		score := mix(affinity ^ targets[i].Hash)
		at := 0
		for at < len(best) && scores[at] >= score {
			at++
		}
		if at == homeCount {
			continue
		}
		best, scores = slices.Insert(best, at, i), slices.Insert(scores, at, score)
		best, scores = best[:min(len(best), homeCount)], scores[:min(len(scores), homeCount)]
	}
	return best
}

// mix is the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// sortByLoad sorts by load per slot; domain, if not empty, goes first among equals.
func sortByLoad(order []int, targets []Target, domain string) {
	near := func(i int) int {
		if domain == "" || targets[i].Domain == domain {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(order, func(a, b int) int {
		ta, tb := targets[a], targets[b]
		if ta.Aside != tb.Aside {
			if ta.Aside {
				return 1
			}
			return -1
		}
		if c := cmp.Compare(math.Floor(ta.perSlot()*loadSteps), math.Floor(tb.perSlot()*loadSteps)); c != 0 {
			return c
		}
		return cmp.Compare(near(a), near(b))
	})
}

// loadSteps is how finely loads are told apart: a difference below half of a
// slot's share isn't worth a call to another domain.
const loadSteps = 8

// lastAside moves targets set aside to the end.
func lastAside(order []int, targets []Target) []int {
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case targets[a].Aside == targets[b].Aside:
			return 0
		case targets[a].Aside:
			return 1
		default:
			return -1
		}
	})
	return order
}
