// Package placer ranks the targets that a gateway can send a request to.
//
// Plan is a pure function of the request's token counts and of what one router
// knows about each target. It handles these load patterns:
//
//   - Long prompts beside short streams. Prefill delays every stream of the same
//     batch, so long prompts are confined to a subset of the targets. The subset
//     for short streams grows with the number of running short streams, so that
//     it has enough slots for them.
//   - Long prompts behind each other. A prompt waits for the prefill of those
//     queued before it, so it goes to the target with the fewest tokens left to
//     prefill, its own included.
//   - Shared prefixes. Requests that share all parts of their prompt but the last
//     have the same preferred target, where those parts count as cached. On other
//     targets they count as tokens to prefill, so a request leaves its preferred
//     target only if waiting there would take longer.
//   - Many routers that know little of each other's requests. Many targets look equally
//     loaded to each router, so requests are spread over these at random.
//   - Plain services. The least loaded target takes the request; among equally
//     loaded ones, a target in the router's own failure domain.
//   - Targets that limit the rate of requests. They belong to no part of the split and are no
//     request's preferred ones, so that neither changes whenever one takes a request; each is as good
//     as others for a request whose prefix it has cached, or that has none.
//   - Requests that may crash their target. Suspects are kept apart from each other, so
//     that a crash has one cause. At a plain service other requests avoid their targets
//     too, as long as the others have room.
//
// # Usage
//
//	ranked := placer.Plan(placer.Request{PromptTokens: 9000, Engine: true, ...}, targets, placer.PoolSplit{ShortTargets: 6})
//	best := targets[ranked[0].Index]
package placer

import (
	"cmp"
	"math"
	"slices"
)

const (
	// LongPromptTokens is the prompt length, in tokens, from which a request counts
	// as long: an engine takes several batch steps to prefill it.
	LongPromptTokens = 3000
	// targetShortOccupancy is the share of an engine's slots that short streams
	// should use; the rest absorbs fluctuations in their number.
	targetShortOccupancy = 0.55
	// maxShortOccupancy is the share that they may use when long requests need
	// more targets; a target serves up to longPerTarget long requests.
	maxShortOccupancy = 0.8
	longPerTarget     = 4
	// maxShortShare and minShortShare bound the share of targets for short streams.
	maxShortShare = 0.7
	minShortShare = 0.2
	// runningTokens is the cost of a running stream, in tokens to prefill: each
	// stream makes a batch step slightly longer.
	runningTokens = 40
	// sharedCostFactor weights the prefill of shared prompt parts that are not
	// cached on a target: it delays the requests queued behind as well.
	sharedCostFactor = 4
	// saturation is the share of an engine's slots above which a request may have
	// to wait for one; each request above it costs saturationTokens.
	saturation       = 0.9
	saturationTokens = 4000
	// maxSpillCost is the highest cost, in tokens, at which a target for short
	// streams takes a long prompt: up to it, clients notice no pause in the streams.
	maxSpillCost = 6000
	// minSpillGain is the least reduction in cost, in tokens, for which a request
	// is sent to a target of the other kind.
	minSpillGain = 20000
)

// Request describes a request by its token counts and its routing key.
type Request struct {
	PromptTokens int64
	// UniqueTokens is the size of the last part of the prompt, which no other
	// request shares. SharedTokens is the size of the parts between the first and
	// the last one, which many requests share.
	UniqueTokens int64
	SharedTokens int64
	// AffinityKey is the hash of the shared parts of the prompt.
	AffinityKey uint64
	// Seed orders targets of the same cost. It differs between requests: routers that know of
	// no load would all choose the same target otherwise.
	Seed uint64
	// Engine is set for a request to a model engine.
	Engine bool
	// Suspect is set for a request that was running at a target that crashed.
	Suspect bool
	// Domain is the router's failure domain.
	Domain string
}

// Long reports whether the request's prefill would delay short streams noticeably.
func (r Request) Long() bool {
	return r.PromptTokens >= LongPromptTokens
}

// Target is the state of a target as one router knows it.
type Target struct {
	ID string
	// Hash is a hash of the ID, the same in every router.
	Hash   uint64
	Domain string
	Slots  int
	// Running is the number of requests known to run there, PendingTokens the
	// number of their prompt tokens that are still to be prefilled.
	Running       int
	PendingTokens int64
	// Cached is set if the request's shared prompt parts are known to be cached there.
	Cached bool
	// Ejected is set for a while after failures; the target is ranked last then.
	Ejected bool
	// Limited is set if the target limits the rate of requests: it takes one now and then.
	Limited bool
	// Suspects is the number of suspects among the running requests.
	Suspects int
	// Slowness is the factor by which the target is slower than its peers, or 0 if unknown.
	Slowness float64
	// Share is the target's share of the preferred ones, against 1 for others; 0 counts as 1.
	Share float64
}

// loadPerSlot returns the number of running requests per slot. Each suspect counts as a
// full target.
func (t Target) loadPerSlot() float64 {
	return float64(t.Running)/float64(max(t.Slots, 1)) + float64(t.Suspects)
}

// waitTokens returns the prefill before the request's first token, in tokens,
// its own prompt included. Shared parts that aren't cached count sharedFactor times.
func (t Target) waitTokens(r Request, preferred bool, sharedFactor float64) float64 {
	tokens := float64(t.PendingTokens + r.UniqueTokens)
	if !preferred && !t.Cached {
		tokens += sharedFactor * float64(r.SharedTokens)
	}
	tokens += runningTokens * float64(t.Running)
	if excess := float64(t.Running+1) - saturation*float64(t.Slots); excess > 0 {
		tokens += saturationTokens * excess
	}
	if t.Slowness > 0 {
		tokens *= t.Slowness
	}
	return tokens
}

// PoolSplit divides the targets of an engine's service by the length of prompts.
type PoolSplit struct {
	// ShortTargets is how many targets serve short requests; the others serve long ones.
	ShortTargets int
}

// Demand is the load of a whole service.
type Demand struct {
	// Short and Long are the numbers of running and waiting requests of each kind.
	Short int
	Long  int
}

// FleetDemand estimates the demand of a fleet from that of this router and the reports of
// others. In a large fleet reports are rare: known is the number of others whose report is not
// too old, others the number of all. Those that have not reported count like the rest; so
// all routers split the targets alike, however little each of them sees.
func FleetDemand(own, reported Demand, known, others int) Demand {
	scale := float64(others+1) / float64(min(known, others)+1)
	return Demand{
		Short: int(math.Round(float64(own.Short+reported.Short) * scale)),
		Long:  int(math.Round(float64(own.Long+reported.Long) * scale)),
	}
}

// ShortTargets returns how many of the targets should serve short requests; 0 means
// all of them. The result is not rounded, so that the caller can smooth it against
// flapping.
func ShortTargets(d Demand, targets, slots int) float64 {
	if targets < 2 || d.Long == 0 || d.Short == 0 {
		return 0
	}
	perTarget := float64(max(slots, 1))
	shortTargets, longTargets := float64(d.Short)/(targetShortOccupancy*perTarget), float64(d.Long)/longPerTarget
	if shortTargets+longTargets > float64(targets) {
		proportional := float64(targets) * shortTargets / (shortTargets + longTargets)
		shortTargets = min(shortTargets, max(proportional, float64(d.Short)/(maxShortOccupancy*perTarget)))
	}
	return min(max(shortTargets, minShortShare*float64(targets)), maxShortShare*float64(targets))
}

// Choice is a target that a request can be sent to, with the values that ranked it.
type Choice struct {
	// Index is the position of the target in the slice given to Plan.
	Index int
	// Wait is the prefill before the request's first token, in tokens; for a plain
	// service, the target's load in steps of 1/8 request per slot.
	Wait float64
	// Cost is Wait plus the delay of the requests queued behind, in tokens; 0 for a
	// plain service.
	Cost float64
	// Preferred is set for the target that requests with the same shared prompt
	// parts hash to; for a plain service, for a target in the router's domain.
	Preferred bool
}

// Plan returns all targets in the order in which the request should be sent to
// them; ejected targets come last.
func Plan(r Request, targets []Target, split PoolSplit) []Choice {
	if !r.Engine {
		return rankByLoad(targets, r.Domain)
	}
	eligible, others := partition(targets, split, r.Long())
	eligible = append(eligible, limited(targets)...)
	ranked, otherRanked := rank(r, targets, eligible), rank(r, targets, others)
	if len(ranked) == 0 || (len(otherRanked) > 0 && spills(r, targets[otherRanked[0].Index], ranked[0].Cost, otherRanked[0].Cost)) {
		ranked, otherRanked = otherRanked, ranked
	}
	order := slices.Concat(ranked, otherRanked)
	if r.Suspect {
		slices.SortStableFunc(order, func(a, b Choice) int { return cmp.Compare(targets[a.Index].Suspects, targets[b.Index].Suspects) })
	}
	return ejectedLast(order, targets)
}

// spills reports whether a request should leave the targets for its kind for the
// best target of the other kind.
func spills(r Request, alternative Target, cost, otherCost float64) bool {
	if alternative.Ejected || otherCost+minSpillGain > cost {
		return false
	}
	return !r.Long() || otherCost < maxSpillCost
}

// limited returns the limited targets.
func limited(targets []Target) (indexes []int) {
	for i, t := range targets {
		if t.Limited {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// partition returns the targets for the request's kind and the others, without limited ones. Every
// router orders targets by their hash, so all routers get the same partition.
func partition(targets []Target, split PoolSplit, long bool) (eligible, others []int) {
	order := make([]int, 0, len(targets))
	for i, t := range targets {
		if !t.Limited {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(targets[a].Hash, targets[b].Hash) })
	n := min(max(split.ShortTargets, 0), len(order))
	if n == 0 {
		return order, nil
	}
	if long {
		return slices.Clip(order[n:]), order[:n]
	}
	return slices.Clip(order[:n]), order[n:]
}

// rank orders targets by the cost of the request there.
func rank(r Request, targets []Target, subset []int) []Choice {
	preferred := preferredTargets(r.AffinityKey, targets, subset)
	order := make([]Choice, len(subset))
	for k, i := range subset {
		isPreferred := slices.Contains(preferred, i)
		order[k] = Choice{
			Index: i, Wait: targets[i].waitTokens(r, isPreferred, 1), Cost: targets[i].waitTokens(r, isPreferred, sharedCostFactor), Preferred: isPreferred,
		}
	}
	slices.SortFunc(order, func(a, b Choice) int {
		if c := cmp.Compare(a.Cost, b.Cost); c != 0 {
			return c
		}
		return cmp.Compare(mix(r.Seed^targets[a.Index].Hash), mix(r.Seed^targets[b.Index].Hash))
	})
	return ejectedLast(order, targets)
}

func asInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// preferredCount is the number of preferred targets of requests with the same
// shared prompt parts.
const preferredCount = 1

// preferredTargets returns the targets with the highest scores of rendezvous hashing,
// weighted by their shares; ejected and limited targets are left out.
func preferredTargets(affinityKey uint64, targets []Target, subset []int) []int {
	best := make([]int, 0, preferredCount)
	scores := make([]float64, 0, preferredCount)
	for _, i := range subset {
		if targets[i].Ejected || targets[i].Limited {
			continue
		}
		score := weightedScore(mix(affinityKey^targets[i].Hash), targets[i].Share)
		position := 0
		for position < len(best) && scores[position] >= score {
			position++
		}
		if position == preferredCount {
			continue
		}
		best, scores = slices.Insert(best, position, i), slices.Insert(scores, position, score)
		best, scores = best[:min(len(best), preferredCount)], scores[:min(len(scores), preferredCount)]
	}
	return best
}

// weightedScore returns a score of weighted rendezvous hashing. Of equal shares, the order is that
// of the hashes.
func weightedScore(hash uint64, share float64) float64 {
	if share <= 0 {
		share = 1
	}
	const hashes = 1 << 53
	return -share / math.Log((float64(hash>>11)+0.5)/hashes)
}

// mix is the SplitMix64 finaliser.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// rankByLoad orders targets by load per slot; among equally loaded ones, those in
// the router's domain come first.
func rankByLoad(targets []Target, domain string) []Choice {
	order := make([]Choice, len(targets))
	for i := range order {
		order[i] = Choice{Index: i, Wait: math.Floor(targets[i].loadPerSlot() * loadSteps), Preferred: targets[i].Domain == domain}
	}
	slices.SortStableFunc(order, func(a, b Choice) int {
		if c := cmp.Compare(a.Wait, b.Wait); c != 0 {
			return c
		}
		return cmp.Compare(asInt(b.Preferred), asInt(a.Preferred))
	})
	return ejectedLast(order, targets)
}

// loadSteps is the number of steps that a load of one request per slot is divided
// into: a difference below half of a slot's share isn't worth a call to another
// domain.
const loadSteps = 8

// ejectedLast moves ejected targets to the end.
func ejectedLast(order []Choice, targets []Target) []Choice {
	slices.SortStableFunc(order, func(a, b Choice) int {
		return cmp.Compare(asInt(targets[a.Index].Ejected), asInt(targets[b.Index].Ejected))
	})
	return order
}
