package placer_test

import (
	"bufio"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/request/placer"
)

// load is a pattern from testdata/loads.txt.
type load struct {
	name string
	// targets, slots and routers shape the fleet; lag is how old a router's
	// knowledge of the others' work is, in ms.
	targets, slots, routers int
	lag                     float64
	// long and short are requests a second, with their tokens to prefill and
	// shared tokens; sessions is how many sets of shared parts there are.
	long, longTokens, longShared    float64
	short, shortTokens, shortEvents float64
	sessions                        int
	// lateLong and lateShort bound the share of late requests, in percent.
	lateLong, lateShort float64
}

func readLoads(t *testing.T) (loads []load) {
	t.Helper()
	f, err := os.Open("testdata/loads.txt")
	assert.NilError(t, err)
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "#") || lines.Text() == "" {
			continue
		}
		var l load
		_, err := fmt.Sscan(lines.Text(), &l.name, &l.targets, &l.slots, &l.routers, &l.lag, &l.long, &l.longTokens,
			&l.longShared, &l.short, &l.shortTokens, &l.shortEvents, &l.sessions, &l.lateLong, &l.lateShort)
		assert.NilError(t, err, lines.Text())
		loads = append(loads, l)
	}
	return loads
}

// Engine figures of the model: a batch step, prefill and events, in ms and tokens.
const (
	stepMillis      = 5.0
	tokensPerMilli  = 40.0
	chunkTokens     = 2048
	tokensPerEvent  = 4
	cacheLife       = 15_000.0
	longAim         = 600.0
	shortAim        = 400.0
	pauseAim        = 300.0
	replaySeconds   = 30
	longEventCount  = 13
	warmUpMillis    = 5_000
	maxReportedPct  = 100
	secondsToMillis = 1000
)

// job is one request in the model.
type job struct {
	at, first, last, pause float64
	left                   float64 // tokens to prefill
	events                 float64 // events to make
	made                   float64 // tokens made towards the next event
	long                   bool
	target                 int
	router                 int
	work                   placer.Request
}

// engine is a target in the model: it prefills one chunk a step, oldest prompt
// first, and makes a token for each running stream.
type engine struct {
	now    float64
	queue  []*job
	active []*job
	cached map[uint64]float64
}

func (e *engine) step() float64 {
	took := stepMillis
	if len(e.queue) > 0 {
		j := e.queue[0]
		chunk := min(j.left, chunkTokens)
		j.left -= chunk
		took += chunk / tokensPerMilli
		if j.left <= 0 {
			e.queue = e.queue[1:]
			e.active = append(e.active, j)
		}
	}
	e.now += took
	running := e.active[:0]
	for _, j := range e.active {
		j.made++
		if j.made >= tokensPerEvent || j.first == 0 {
			if j.first == 0 {
				j.first = e.now
			} else {
				j.pause = max(j.pause, e.now-j.last)
			}
			j.last, j.made = e.now, 0
			j.events--
		}
		if j.events > 0 {
			running = append(running, j)
		}
	}
	e.active = running
	return took
}

// clock orders engines by time.
type clock []*engine

func (c clock) Len() int           { return len(c) }
func (c clock) Less(i, j int) bool { return c[i].now < c[j].now }
func (c clock) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *clock) Push(x any)        { *c = append(*c, x.(*engine)) }
func (c *clock) Pop() any {
	old := *c
	x := old[len(old)-1]
	*c = old[:len(old)-1]
	return x
}

// policy picks a target for a job.
type policy func(j *job, targets []placer.Target, demand placer.Demand) int

func planned(j *job, targets []placer.Target, demand placer.Demand) int {
	pool := placer.PoolSplit{ShortTargets: int(placer.ShortTargets(demand, len(targets), targets[0].Slots) + 0.5)}
	return placer.Plan(j.work, targets, pool)[0].Index
}

// twoChoices is the baseline: the less loaded of two random targets.
func twoChoices(random *rand.Rand) policy {
	return func(_ *job, targets []placer.Target, _ placer.Demand) int {
		a, b := random.IntN(len(targets)), random.IntN(len(targets))
		if targets[b].Running < targets[a].Running {
			return b
		}
		return a
	}
}

// replay plays a load and returns the percentages of late requests.
func replay(l load, pick policy) (lateLong, lateShort float64) {
	random := rand.New(rand.NewPCG(1, uint64(l.targets)))
	jobs := arrivals(l, random)
	engines := make([]*engine, l.targets)
	clocks := make(clock, l.targets)
	for i := range engines {
		engines[i] = &engine{cached: make(map[uint64]float64)}
		clocks[i] = engines[i]
	}
	heap.Init(&clocks)
	var placed []*job
	for _, j := range jobs {
		for clocks[0].now < j.at {
			e := clocks[0]
			if len(e.queue)+len(e.active) == 0 {
				e.now = j.at
			} else {
				e.step()
			}
			heap.Fix(&clocks, 0)
		}
		place(l, j, engines, placed, pick)
		placed = append(placed, j)
	}
	for range 4000 {
		for _, e := range engines {
			if len(e.queue)+len(e.active) > 0 {
				e.step()
			}
		}
	}
	return late(jobs, true), late(jobs, false)
}

// place shows the router what it may know: its own work, and the others' as of
// the lag.
func place(l load, j *job, engines []*engine, placed []*job, pick policy) {
	targets := make([]placer.Target, len(engines))
	for i := range targets {
		targets[i] = placer.Target{ID: fmt.Sprint(i), Hash: uint64(i+1) * 0x9E3779B97F4A7C15, Slots: l.slots}
		targets[i].Cached = j.at-engines[i].cached[j.work.AffinityKey] < cacheLife && engines[i].cached[j.work.AffinityKey] > 0
	}
	var demand placer.Demand
	for k := len(placed) - 1; k >= 0 && placed[k].at > j.at-10*secondsToMillis; k-- {
		p := placed[k]
		if p.events <= 0 || (p.router != j.router && p.at > j.at-l.lag) {
			continue
		}
		targets[p.target].Running++
		if p.first == 0 {
			targets[p.target].PendingTokens += p.work.UniqueTokens
		}
		if p.long {
			demand.Long++
		} else {
			demand.Short++
		}
	}
	j.target = pick(j, targets, demand)
	e := engines[j.target]
	if !targets[j.target].Cached {
		j.left += float64(j.work.SharedTokens)
	}
	e.cached[j.work.AffinityKey] = j.at
	e.now = max(e.now, j.at)
	e.queue = append(e.queue, j)
}

func arrivals(l load, random *rand.Rand) []*job {
	var jobs []*job
	add := func(rate, tokens, shared, events float64, long bool) {
		for at := 0.0; at < replaySeconds*secondsToMillis; at += random.ExpFloat64() / rate * secondsToMillis {
			own := tokens * (0.3 + random.ExpFloat64()*0.7)
			j := &job{at: at, left: own, events: max(1, events*(0.3+random.ExpFloat64()*0.7)), long: long, router: random.IntN(l.routers)}
			j.work = placer.Request{
				PromptTokens: int64(own + shared), UniqueTokens: int64(own), SharedTokens: int64(shared), Engine: true,
				AffinityKey: uint64(random.IntN(l.sessions)+1) * 0xBF58476D1CE4E5B9,
			}
			jobs = append(jobs, j)
		}
	}
	add(l.long, l.longTokens, l.longShared, longEventCount, true)
	add(l.short, l.shortTokens, 0, l.shortEvents, false)
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].at < jobs[b].at })
	return jobs
}

func late(jobs []*job, long bool) float64 {
	n, missed := 0.0, 0.0
	for _, j := range jobs {
		if j.long != long || j.at < warmUpMillis {
			continue
		}
		n++
		aim := shortAim
		if long {
			aim = longAim
		}
		if j.first == 0 || j.first-j.at > aim || j.pause > pauseAim {
			missed++
		}
	}
	return maxReportedPct * missed / max(n, 1)
}

// TestLoads replays each load of testdata/loads.txt and holds the shares of late
// requests against its bounds; two random choices must do worse.
func TestLoads(t *testing.T) {
	for _, l := range readLoads(t) {
		t.Run(l.name, func(t *testing.T) {
			lateLong, lateShort := replay(l, planned)
			baseLong, baseShort := replay(l, twoChoices(rand.New(rand.NewPCG(3, 4))))
			t.Logf("late: long %.1f%%, short %.1f%%; two choices: long %.1f%%, short %.1f%%", lateLong, lateShort, baseLong, baseShort)
			assert.Assert(t, lateLong <= l.lateLong, "%.1f%% of long prompts are late", lateLong)
			assert.Assert(t, lateShort <= l.lateShort, "%.1f%% of short streams are late", lateShort)
			assert.Assert(t, lateLong+lateShort <= baseLong+baseShort)
		})
	}
}
