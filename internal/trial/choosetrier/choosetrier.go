// Package choosetrier compares target choosers in a discrete-event simulation.
// The choosers and candidates are the real ones; the simulated targets batch
// requests, cache prompt prefixes in limited memory and report their load with
// a lag.
//
// # Usage
//
//	r := choosetrier.Run(chooser.NewPrefixAffinity(), time.Second, 1)
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
	targets                 = 18
	slots                   = 16
	routers                 = 6
	prefixes                = 600
	cachedPrefixesPerTarget = 60
	zipfExponent            = 1.1
	zipfOffset              = 4
	requests                = 60_000
	utilisation             = 0.7
	prefillMiss             = 0.180 // seconds
	prefillHit              = 0.015 // seconds
	decodeMean              = 1.2   // seconds
)

// Result holds the time to first token and the cache hit rate of one chooser.
type Result struct {
	FirstTokenP50 time.Duration
	FirstTokenP95 time.Duration
	HitRate       float64
}

// target is a simulated back end.
type target struct {
	slotFreeAt []float64       // heap of the times at which slots become free
	cache      map[int]float64 // time of last use by prefix
	inFlight   int
}

// event is the end of a request.
type event struct {
	at     float64
	target int
	router int
	end    func()
}

// Run simulates one seed with targets that report their load every lag. A nil
// chooser selects the omniscient baseline, which knows the current queue and
// cache of every target.
func Run(c chooser.Chooser, lag time.Duration, seed uint64) Result {
	s := newSimulation(seed)
	random := rand.New(rand.NewPCG(seed, 3))
	zipf := rand.NewZipf(random, zipfExponent, zipfOffset, prefixes-1)
	meanServiceTime := decodeMean + prefillMiss/2
	meanInterval := meanServiceTime / (utilisation * targets * slots)
	now, nextReport, hits := 0.0, 0.0, 0
	firstToken := hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	for range requests {
		now += random.ExpFloat64() * meanInterval
		for ; nextReport <= now; nextReport += lag.Seconds() {
			s.runUntil(nextReport)
			s.report(nextReport)
		}
		s.runUntil(now)
		router, prefix := random.IntN(routers), int(zipf.Uint64())
		i := s.choose(c, router, prefix, now)
		timeToFirstToken, hit := s.serve(i, router, prefix, now, random.ExpFloat64()*decodeMean)
		if hit {
			hits++
		}
		_ = firstToken.RecordValue(int64(timeToFirstToken * 1e6))
	}
	return Result{
		FirstTokenP50: time.Duration(firstToken.ValueAtQuantile(50)) * time.Microsecond,
		FirstTokenP95: time.Duration(firstToken.ValueAtQuantile(95)) * time.Microsecond,
		HitRate:       float64(hits) / requests,
	}
}

// simulation holds the targets and each router's view of them.
type simulation struct {
	targets []*target
	views   [][]*chooser.Candidate
	events  eventHeap
}

func newSimulation(uint64) *simulation {
	s := &simulation{}
	for range targets {
		s.targets = append(s.targets, &target{slotFreeAt: make([]float64, slots), cache: make(map[int]float64)})
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

func simulatedTime(at float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(at * float64(time.Second)))
}

// runUntil processes the events due by now.
func (s *simulation) runUntil(now float64) {
	for len(s.events) > 0 && s.events[0].at <= now {
		e := heap.Pop(&s.events).(event)
		s.targets[e.target].inFlight--
		e.end()
	}
}

// report sends every target's load to every router.
func (s *simulation) report(now float64) {
	for _, view := range s.views {
		for i, c := range view {
			c.Report(s.targets[i].inFlight, false, simulatedTime(now))
		}
	}
}

func (s *simulation) choose(c chooser.Chooser, router, prefix int, now float64) int {
	if c == nil {
		return s.omniscient(prefix, now)
	}
	affinity := chooser.AffinityKey([]byte{byte(prefix), byte(prefix >> 8)})
	return c.Choose(s.views[router], affinity, simulatedTime(now))
}

// omniscient returns the target with the earliest first token.
func (s *simulation) omniscient(prefix int, now float64) int {
	best, bestAt := 0, math.Inf(1)
	for i, t := range s.targets {
		at := max(t.slotFreeAt[0], now) + t.prefill(prefix)
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

// serve runs a request at target i and returns its time to first token in
// seconds and whether its prefix was cached.
func (s *simulation) serve(i, router, prefix int, now, decode float64) (timeToFirstToken float64, hit bool) {
	t := s.targets[i]
	_, hit = t.cache[prefix]
	prefill := t.prefill(prefix)
	t.cachePrefix(prefix, now)
	begin := max(t.slotFreeAt[0], now)
	timeToFirstToken = begin + prefill - now
	t.slotFreeAt[0] = begin + prefill + decode
	heap.Fix((*timeHeap)(&t.slotFreeAt), 0)
	t.inFlight++
	end := s.views[router][i].Begin()
	heap.Push(&s.events, event{at: begin + prefill + decode, target: i, router: router, end: end})
	return timeToFirstToken, hit
}

// cachePrefix caches a prefix and evicts the least recently used one if the
// cache is full.
func (t *target) cachePrefix(prefix int, now float64) {
	t.cache[prefix] = now
	if len(t.cache) <= cachedPrefixesPerTarget {
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

// eventHeap is a min-heap of events by time.
type eventHeap []event

// Len implements heap.Interface.
func (e eventHeap) Len() int { return len(e) }

// Less implements heap.Interface.
func (e eventHeap) Less(i, j int) bool { return e[i].at < e[j].at }

// Swap implements heap.Interface.
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventHeap) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *eventHeap) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// timeHeap is a min-heap of times.
type timeHeap []float64

// Len implements heap.Interface.
func (f timeHeap) Len() int { return len(f) }

// Less implements heap.Interface.
func (f timeHeap) Less(i, j int) bool { return f[i] < f[j] }

// Swap implements heap.Interface.
func (f timeHeap) Swap(i, j int) { f[i], f[j] = f[j], f[i] }

// Push implements heap.Interface.
func (f *timeHeap) Push(x any) { *f = append(*f, x.(float64)) }

// Pop implements heap.Interface.
func (f *timeHeap) Pop() any {
	old := *f
	last := old[len(old)-1]
	*f = old[:len(old)-1]
	return last
}
