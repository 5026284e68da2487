// Package choosetrier measures ways of choosing a target in model time, with
// the real choosers and candidates before targets that batch, cache prompt
// prefixes in limited memory and report their load late.
//
// # Usage
//
//	r := choosetrier.Run(chooser.NewAffine(), time.Second, 1)
//	fmt.Println(r.FirstTokenP95, r.HitRate)
package choosetrier

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/egretroute/egretroute/internal/request/chooser"
)

const (
	targets       = 18
	slots         = 16
	routers       = 6
	prefixes      = 600
	cachedPerNode = 60
	zipfExponent  = 1.1
	zipfOffset    = 4
	requests      = 60_000
	utilisation   = 0.7
	prefillMiss   = 0.180 // seconds
	prefillHit    = 0.015
	decodeMean    = 1.2
)

// Result is what one way has achieved.
type Result struct {
	FirstTokenP50 time.Duration
	FirstTokenP95 time.Duration
	HitRate       float64
}

// target is one back end in model time.
type target struct {
	free  []float64 // when each slot is free, a heap
	cache map[int]float64
	load  int
}

// event is the end of a request or a load report.
type event struct {
	at     float64
	target int
	router int
	end    func()
}

// Run plays one seed; a nil chooser stands for one that sees every target's
// queue and cache as they are.
func Run(c chooser.Chooser, lag time.Duration, seed uint64) Result {
	s := newState(seed)
	random := rand.New(rand.NewPCG(seed, 3))
	zipf := rand.NewZipf(random, zipfExponent, zipfOffset, prefixes-1)
	meanService := decodeMean + prefillMiss/2
	gap := meanService / (utilisation * targets * slots)
	now, nextReport, hits := 0.0, 0.0, 0
	first := hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	for range requests {
		now += random.ExpFloat64() * gap
		for ; nextReport <= now; nextReport += lag.Seconds() {
			s.runUntil(nextReport)
			s.report(nextReport)
		}
		s.runUntil(now)
		router, prefix := random.IntN(routers), int(zipf.Uint64())
		i := s.choose(c, router, prefix, now)
		wait, hit := s.serve(i, router, prefix, now, random.ExpFloat64()*decodeMean)
		if hit {
			hits++
		}
		_ = first.RecordValue(int64(wait * 1e6))
	}
	return Result{
		FirstTokenP50: time.Duration(first.ValueAtQuantile(50)) * time.Microsecond,
		FirstTokenP95: time.Duration(first.ValueAtQuantile(95)) * time.Microsecond,
		HitRate:       float64(hits) / requests,
	}
}

// state is every target, and each router's view of them.
type state struct {
	targets []*target
	views   [][]*chooser.Candidate
	events  events
}

func newState(uint64) *state {
	s := &state{}
	for range targets {
		s.targets = append(s.targets, &target{free: make([]float64, slots), cache: make(map[int]float64)})
	}
	for range routers {
		view := make([]*chooser.Candidate, targets)
		for i := range view {
			view[i] = &chooser.Candidate{Capacity: slots}
		}
		s.views = append(s.views, view)
	}
	return s
}

func modelTime(at float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(at * float64(time.Second)))
}

// runUntil ends the requests that are over by now.
func (s *state) runUntil(now float64) {
	for len(s.events) > 0 && s.events[0].at <= now {
		e := heap.Pop(&s.events).(event)
		s.targets[e.target].load--
		e.end()
	}
}

// report tells every router of every target's load.
func (s *state) report(now float64) {
	for _, view := range s.views {
		for i, c := range view {
			c.Report(s.targets[i].load, false, modelTime(now))
		}
	}
}

func (s *state) choose(c chooser.Chooser, router, prefix int, now float64) int {
	if c == nil {
		return s.omniscient(prefix, now)
	}
	affinity := chooser.AffinityKey([]byte{byte(prefix), byte(prefix >> 8)})
	return c.Choose(s.views[router], affinity, modelTime(now))
}

// omniscient picks the target with the earliest first token.
func (s *state) omniscient(prefix int, now float64) int {
	best, bestAt := 0, math.Inf(1)
	for i, t := range s.targets {
		at := max(t.free[0], now) + t.prefill(prefix)
		if at < bestAt {
			best, bestAt = i, at
		}
	}
	return best
}

func (t *target) prefill(prefix int) float64 {
	if _, ok := t.cache[prefix]; ok {
		return prefillHit
	}
	return prefillMiss
}

// serve runs a request at a target; it returns the wait for the first token.
func (s *state) serve(i, router, prefix int, now, decode float64) (wait float64, hit bool) {
	t := s.targets[i]
	_, hit = t.cache[prefix]
	prefill := t.prefill(prefix)
	t.remember(prefix, now)
	begin := max(t.free[0], now)
	wait = begin + prefill - now
	t.free[0] = begin + prefill + decode
	heap.Fix((*floats)(&t.free), 0)
	t.load++
	end := s.views[router][i].Begin()
	heap.Push(&s.events, event{at: begin + prefill + decode, target: i, router: router, end: end})
	return wait, hit
}

// remember caches a prefix and forgets the one used longest ago.
func (t *target) remember(prefix int, now float64) {
	t.cache[prefix] = now
	if len(t.cache) <= cachedPerNode {
		return
	}
	oldest, at := -1, math.Inf(1)
	for p, used := range t.cache {
		if used < at {
			oldest, at = p, used
		}
	}
	delete(t.cache, oldest)
}

// events is a heap by time.
type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// floats is a heap of times.
type floats []float64

// Len implements heap.Interface.
func (f floats) Len() int { return len(f) }

// Less implements heap.Interface.
func (f floats) Less(i, j int) bool { return f[i] < f[j] }

// Swap implements heap.Interface.
func (f floats) Swap(i, j int) { f[i], f[j] = f[j], f[i] }

// Push implements heap.Interface.
func (f *floats) Push(x any) { *f = append(*f, x.(float64)) }

// Pop implements heap.Interface.
func (f *floats) Pop() any {
	old := *f
	last := old[len(old)-1]
	*f = old[:len(old)-1]
	return last
}
