// Package generator is a stand-in for a model engine, with continuous batching,
// a bounded cache of prompt prefixes, priorities, cancellation of streams, and
// crashes on request.
//
// # Usage
//
//	g := &generator.Generator{Model: "small-llm", TokenTime: time.Millisecond, MaxBatch: 64}
//	go g.Run(ctx)
//	http.Serve(ln, g.Handler())
//
// Every stream generates exactly max_tokens tokens, one per step. A prompt has as
// many tokens as words. A message that contains PoisonText crashes the engine: all
// streams are aborted, and so are new connections for RestartTime.
package generator

import (
	"context"
	"sync"
	"time"
)

// PoisonText is the text that crashes the engine.
const PoisonText = "egretroute-poison"

const (
	defaultMaxBatch = 64
	// maxKeptUsages limits the number of ended streams whose usage is kept.
	maxKeptUsages = 100_000
)

// Usage is the prompt length and the generated output of a stream, in tokens.
type Usage struct {
	Prompt int64
	Output int64
}

// stream is a request that waits for the batch or runs in it.
type stream struct {
	id          string
	priority    int
	prompt      int64
	maxTokens   int64
	prefillLeft int64 // steps until the first token
	poison      bool
	output      int64
	steps       chan int64 // receives the number of tokens generated so far
	done        chan struct{}
	ended       bool
	broken      bool // the response must not end as if it were complete
}

// Generator simulates one engine.
//
// Exported fields are set before Run.
type Generator struct {
	Model     string
	TokenTime time.Duration
	MaxBatch  int
	// PrefillTokens is the number of prompt tokens processed per step; 0 disables
	// prefill.
	PrefillTokens int64
	// CachePrefixes is the capacity of the prefix cache; 0 disables prefill and cache.
	CachePrefixes int
	RestartTime   time.Duration

	mu           sync.Mutex // guards all below
	active       []*stream
	waiting      []*stream
	usages       map[string]Usage
	usageOrder   []string
	cache        map[string]int64
	cacheClock   int64
	cacheHits    int64
	cacheLookups int64
	downUntil    time.Time
	crashes      int
	generated    int64
}

// Run advances the batch by one step per TokenTime until ctx ends.
func (g *Generator) Run(ctx context.Context) {
	ticker := time.NewTicker(g.TokenTime)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			steps := max(int64(now.Sub(last)/g.TokenTime), 1)
			last = last.Add(time.Duration(steps) * g.TokenTime)
			g.step(steps)
		}
	}
}

// step advances every stream of the batch by n steps.
func (g *Generator) step(n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fillBatch()
	kept := g.active[:0]
	for _, s := range g.active {
		if s.poison && s.prefillLeft <= 0 {
			g.crash()
			return
		}
		g.advance(s, n)
		if !s.ended {
			kept = append(kept, s)
		}
	}
	g.active = kept
}

// advance moves one stream by n steps.
func (g *Generator) advance(s *stream, n int64) {
	if s.ended {
		return
	}
	if s.prefillLeft > 0 {
		s.prefillLeft -= n
		return
	}
	produced := min(n, s.maxTokens-s.output)
	s.output += produced
	g.generated += produced
	if s.output == s.maxTokens {
		g.endStream(s)
	}
	select {
	case s.steps <- s.output:
	default:
		// The handler reads s.output itself when it catches up.
	}
}

// fillBatch moves waiting streams into the batch, highest priority first.
func (g *Generator) fillBatch() {
	limit := g.MaxBatch
	if limit == 0 {
		limit = defaultMaxBatch
	}
	for len(g.active) < limit && len(g.waiting) > 0 {
		next := 0
		for i, s := range g.waiting {
			if s.priority > g.waiting[next].priority {
				next = i
			}
		}
		g.active = append(g.active, g.waiting[next])
		g.waiting = append(g.waiting[:next], g.waiting[next+1:]...)
	}
}

// endStream closes a stream and stores its usage.
func (g *Generator) endStream(s *stream) {
	if s.ended {
		return
	}
	s.ended = true
	if g.usages == nil {
		g.usages = make(map[string]Usage)
	}
	g.usages[s.id] = Usage{Prompt: s.prompt, Output: s.output}
	g.usageOrder = append(g.usageOrder, s.id)
	if len(g.usageOrder) > maxKeptUsages {
		delete(g.usages, g.usageOrder[0])
		g.usageOrder = g.usageOrder[1:]
	}
	close(s.done)
}

// crash aborts every stream without storing its usage, and clears the cache.
func (g *Generator) crash() {
	g.crashes++
	g.downUntil = time.Now().Add(g.RestartTime)
	for _, s := range append(g.active, g.waiting...) {
		s.broken = true
		if !s.ended {
			s.ended = true
			close(s.done)
		}
	}
	g.active, g.waiting = nil, nil
	g.cache = nil
}

// Stats are counters of an engine; Running includes waiting streams.
type Stats struct {
	Generated int64 `json:"generated"`
	Crashes   int   `json:"crashes"`
	Lookups   int64 `json:"cacheLookups"`
	Hits      int64 `json:"cacheHits"`
	Running   int   `json:"running"`
}

// Stats returns the current counters.
func (g *Generator) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Stats{
		Generated: g.generated, Crashes: g.crashes, Lookups: g.cacheLookups, Hits: g.cacheHits,
		Running: len(g.active) + len(g.waiting),
	}
}

// Usages returns the usage of ended streams by ID.
func (g *Generator) Usages() map[string]Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make(map[string]Usage, len(g.usages))
	for id, u := range g.usages {
		out[id] = u
	}
	return out
}
