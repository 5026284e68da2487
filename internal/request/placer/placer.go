// Package placer decides which targets a request is offered to, and in which order.
//
// A Plan is a pure function of plain data: the request's shape, and what one
// router knows of each target. It answers four load patterns:
//
//   - Long prompts beside short streams. Prefill delays every stream of the same
//     batch, so long prompts are kept on a part of the targets. The part for short
//     streams follows the number of them that run, so that their slots suffice.
//   - Long prompts behind each other. A prompt waits for the prefill of those
//     before it, so it goes where the least is left to prefill, its own included.
//   - Shared prefixes. Requests that share all parts of their prompt but the last
//     have the same two homes, where those parts count as cached; elsewhere they
//     count as work, so a home is left only when waiting there would take longer.
//   - Plain services. The least loaded target takes the request, the nearer one
//     where loads are equal.
//
// # Usage
//
//	order := placer.Plan(placer.Work{PromptTokens: 9000, Engine: true, ...}, targets, placer.Pool{ShortTargets: 6})
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
	// shortOccupancy is the share of an engine's slots that short streams should
	// fill, so that they find a free slot while their number swings.
	shortOccupancy = 0.55
	// pressedOccupancy is the share that they may fill while long prompts press,
	// longRunning how many long requests a target serves without that.
	pressedOccupancy = 0.8
	longRunning      = 4
	// maxShortShare and minShortShare bound the part for short streams.
	maxShortShare = 0.7
	minShortShare = 0.2
	// runningTokens is what a running stream counts as, in tokens to prefill: it
	// makes each step a little longer.
	runningTokens = 40
	// sharedFactor makes shared parts that would be read again count more than
	// their own prefill: they delay the requests behind them as well.
	sharedFactor = 4
	// full is the share of an engine's slots from which on a request may have to
	// wait for one, fullTokens what each request beyond it counts as.
	full       = 0.9
	fullTokens = 4000
	// quietTokens is how much may be left to prefill on a target for short
	// streams, with a long prompt added, without a pause that callers notice.
	quietTokens = 6000
	// spillTokens is how much longer the wait among the targets for long prompts
	// must be before one goes to a target for short streams.
	spillTokens = 20000
)

// Request is the shape of a request.
type Request struct {
	PromptTokens int64
	// UniqueTokens is the last part of the prompt, which no other request shares,
	// SharedTokens the parts before it but for the first, which many share.
	UniqueTokens int64
	SharedTokens int64
	// AffinityKey is the hash of the shared parts of the prompt.
	AffinityKey uint64
	// Engine is set for work of a model engine.
	Engine bool
	// Domain is the router's failure domain.
	Domain string
}

// Long reports whether the request's prefill would disturb short streams.
func (w Request) Long() bool {
	return w.PromptTokens >= LongPromptTokens
}

// Target is what a router knows of a target.
type Target struct {
	ID string
	// Hash is a hash of the id, the same in every router.
	Hash   uint64
	Domain string
	Slots  int
	// Running is the number of requests that are known to be there, Pending the
	// tokens of their prompts that are still to be prefilled.
	Running       int
	PendingTokens int64
	// Cached is set if the request's shared parts are known to be cached there.
	Cached bool
	// Ejected is set while the target is not to be offered work if there is another.
	Ejected bool
	// Slowness is the factor by which the target is slower than its peers, or 0 if unknown.
	Slowness float64
}

// perSlot returns the running requests for each slot.
func (t Target) perSlot() float64 {
	return float64(t.Running) / float64(max(t.Slots, 1))
}

// wait returns how much is left to prefill before the request's first token, in
// tokens, with the shared parts counted as often as given if they aren't cached.
func (t Target) wait(w Request, home bool, shared float64) float64 {
	tokens := float64(t.PendingTokens + w.UniqueTokens)
	if !home && !t.Cached {
		tokens += shared * float64(w.SharedTokens)
	}
	tokens += runningTokens * float64(t.Running)
	if over := float64(t.Running+1) - full*float64(t.Slots); over > 0 {
		tokens += fullTokens * over
	}
	if t.Slowness > 0 {
		tokens *= t.Slowness
	}
	return tokens
}

// PoolSplit splits the targets of an engine's service.
type PoolSplit struct {
	// ShortTargets is how many targets serve short requests; the others serve long ones.
	ShortTargets int
}

// Demand is the work that runs over a whole service.
type Demand struct {
	// Short and Long are the numbers of requests of either kind that run or wait.
	Short int
	Long  int
}

// ShortTargets returns how many of the targets should serve short requests, as a real
// number, so that a caller can keep it from flapping; 0 means all of them.
func ShortTargets(d Demand, targets, slots int) float64 {
	if targets < 2 || d.Long == 0 || d.Short == 0 {
		return 0
	}
	perTarget := float64(max(slots, 1))
	wanted, forLong := float64(d.Short)/(shortOccupancy*perTarget), float64(d.Long)/longRunning
	if wanted+forLong > float64(targets) {
		shared := float64(targets) * wanted / (wanted + forLong)
		wanted = min(wanted, max(shared, float64(d.Short)/(pressedOccupancy*perTarget)))
	}
	return min(max(wanted, minShortShare*float64(targets)), maxShortShare*float64(targets))
}

// Choice is a target to offer a request to, with what decided.
type Choice struct {
	// Index is that of the target.
	Index int
	// Wait is what is left to prefill before the request's first token, in tokens.
	Wait float64
	// Cost is the wait with what it costs the requests behind.
	Cost float64
	// Preferred is set if requests with the same shared parts meet there.
	Preferred bool
}

// Plan returns the targets in the order in which the request should be offered
// to them; targets set aside come last.
func Plan(w Request, targets []Target, pool PoolSplit) []Choice {
	if !w.Engine {
		return byLoad(targets, w.Domain)
	}
	own, other := divide(targets, pool, w.Long())
	ranked, rest := rank(w, targets, own), rank(w, targets, other)
	if len(ranked) == 0 || (len(rest) > 0 && spills(w, targets[rest[0].Index], ranked[0].Cost, rest[0].Cost)) {
		ranked, rest = rest, ranked
	}
	return lastAside(append(ranked, rest...), targets)
}

// spills reports whether a request should leave its part of the targets for the
// best target of the other part.
func spills(w Request, other Target, cost, otherCost float64) bool {
	if other.Ejected || otherCost+spillTokens > cost {
		return false
	}
	return !w.Long() || otherCost < quietTokens
}

// divide returns the targets for the request's kind and the others. Every
// router orders targets by their hash, so all of them divide alike.
func divide(targets []Target, pool PoolSplit, long bool) (own, other []int) {
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

// rank orders targets by the wait that the request would have there.
func rank(w Request, targets []Target, among []int) []Choice {
	home := homes(w.AffinityKey, targets, among)
	order := make([]Choice, len(among))
	for k, i := range among {
		atHome := slices.Contains(home, i)
		order[k] = Choice{
			Index: i, Wait: targets[i].wait(w, atHome, 1), Cost: targets[i].wait(w, atHome, sharedFactor), Preferred: atHome,
		}
	}
	slices.SortStableFunc(order, func(a, b Choice) int { return cmp.Compare(a.Cost, b.Cost) })
	return lastAside(order, targets)
}

func asInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// homeCount is how many targets requests with the same shared parts meet on.
const homeCount = 1

// homes returns the usable targets with the highest scores by rendezvous hashing.
func homes(affinity uint64, targets []Target, among []int) []int {
	best := make([]int, 0, homeCount)
	scores := make([]uint64, 0, homeCount)
	for _, i := range among {
		if targets[i].Ejected {
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

// byLoad orders targets by load per slot; those of the domain go first among equals.
func byLoad(targets []Target, domain string) []Choice {
	order := make([]Choice, len(targets))
	for i := range order {
		order[i] = Choice{Index: i, Wait: math.Floor(targets[i].perSlot() * loadSteps), Preferred: targets[i].Domain == domain}
	}
	slices.SortStableFunc(order, func(a, b Choice) int {
		if c := cmp.Compare(a.Wait, b.Wait); c != 0 {
			return c
		}
		return cmp.Compare(asInt(b.Preferred), asInt(a.Preferred))
	})
	return lastAside(order, targets)
}

// loadSteps is how finely loads are told apart: a difference below half of a
// slot's share isn't worth a call to another domain.
const loadSteps = 8

// lastAside moves targets set aside to the end.
func lastAside(order []Choice, targets []Target) []Choice {
	slices.SortStableFunc(order, func(a, b Choice) int {
		return cmp.Compare(asInt(targets[a.Index].Ejected), asInt(targets[b.Index].Ejected))
	})
	return order
}
