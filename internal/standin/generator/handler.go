package generator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
)

// prefixBytes is the length of the prompt prefix that identifies a cache entry.
const prefixBytes = 256

// chatRequest is the body of a chat request.
type chatRequest struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int64         `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// usageDocument is the usage object of an engine's API.
type usageDocument struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

func newUsageDocument(u Usage) usageDocument {
	return usageDocument{PromptTokens: u.Prompt, CompletionTokens: u.Output, TotalTokens: u.Prompt + u.Output}
}

// Handler returns the HTTP API.
func (g *Generator) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/v1/chat/completions", g.serveChat).Methods(http.MethodPost)
	m.HandleFunc("/v1/streams/{id}", g.serveCancel).Methods(http.MethodDelete)
	m.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) { g.abortIfDown() }).Methods(http.MethodGet)
	m.HandleFunc("/stats", g.serveStats).Methods(http.MethodGet)
	m.HandleFunc("/usages", g.serveUsages).Methods(http.MethodGet)
	return m
}

func (g *Generator) serveChat(w http.ResponseWriter, r *http.Request) {
	g.abortIfDown()
	var body chatRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.MaxTokens < 1 {
		http.Error(w, `{"error":{"message":"max_tokens and messages are required"}}`, http.StatusBadRequest)
		return
	}
	s := g.enqueue(r, &body)
	if body.Stream {
		g.serveStream(w, r, s)
		return
	}
	select {
	case <-s.done:
	case <-r.Context().Done():
		g.Cancel(s.id)
		return
	}
	if s.broken {
		panic(http.ErrAbortHandler)
	}
	g.writeResponse(w, s)
}

// abortIfDown aborts the connection while the engine restarts.
func (g *Generator) abortIfDown() {
	g.mu.Lock()
	down := time.Now().Before(g.downUntil)
	g.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
}

// enqueue adds a request to the waiting streams.
func (g *Generator) enqueue(r *http.Request, body *chatRequest) *stream {
	var prompt strings.Builder
	for _, m := range body.Messages {
		prompt.WriteString(m.Content)
		prompt.WriteByte('\n')
	}
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority"))
	s := &stream{
		id: r.Header.Get("X-Request-Id"), priority: priority, maxTokens: body.MaxTokens,
		prompt: int64(len(strings.Fields(prompt.String()))),
		poison: strings.Contains(prompt.String(), PoisonText),
		steps:  make(chan int64, 1), done: make(chan struct{}),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s.prefillLeft = g.prefillSteps(prompt.String(), s.prompt)
	g.waiting = append(g.waiting, s)
	return s
}

// prefillSteps looks a prompt's prefix up in the cache and returns the number of
// prefill steps, 0 if the prefix was cached.
func (g *Generator) prefillSteps(text string, prompt int64) int64 {
	if g.PrefillTokens == 0 || g.CachePrefixes == 0 {
		return 0
	}
	prefix := text[:min(len(text), prefixBytes)]
	g.cacheLookups++
	g.cacheClock++
	if g.cache == nil {
		g.cache = make(map[string]int64)
	}
	_, hit := g.cache[prefix]
	g.cache[prefix] = g.cacheClock
	if len(g.cache) > g.CachePrefixes {
		g.evict()
	}
	if hit {
		g.cacheHits++
		return 0
	}
	return prompt / g.PrefillTokens
}

// evict removes the least recently used prefix from the cache.
func (g *Generator) evict() {
	oldest, oldestUse := "", int64(0)
	for prefix, use := range g.cache {
		if oldest == "" || use < oldestUse {
			oldest, oldestUse = prefix, use
		}
	}
	delete(g.cache, oldest)
}

// serveStream sends one event per token, then the usage and [DONE].
func (g *Generator) serveStream(w http.ResponseWriter, r *http.Request, s *stream) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	flusher.Flush()
	sent := int64(0)
	for {
		ended := false
		select {
		case <-s.steps:
		case <-s.done:
			ended = true
		case <-r.Context().Done():
			g.Cancel(s.id)
			return
		}
		output, broken := g.progress(s)
		for ; sent < output; sent++ {
			_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t%d \"}}]}\n\n", s.id, sent)
		}
		flusher.Flush()
		if broken {
			panic(http.ErrAbortHandler)
		}
		if ended && sent == output {
			break
		}
	}
	usage, _ := json.Marshal(newUsageDocument(Usage{Prompt: s.prompt, Output: sent}))
	_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"choices\":[],\"usage\":%s}\n\ndata: [DONE]\n\n", s.id, usage)
	flusher.Flush()
}

func (g *Generator) progress(s *stream) (output int64, broken bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return s.output, s.broken
}

func (g *Generator) writeResponse(w http.ResponseWriter, s *stream) {
	var text strings.Builder
	for i := range s.output {
		_, _ = fmt.Fprintf(&text, "t%d ", i)
	}
	type choice struct {
		Index   int         `json:"index"`
		Message chatMessage `json:"message"`
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		ID      string        `json:"id"`
		Object  string        `json:"object"`
		Model   string        `json:"model"`
		Choices []choice      `json:"choices"`
		Usage   usageDocument `json:"usage"`
	}{
		ID: s.id, Object: "chat.completion", Model: g.Model,
		Choices: []choice{{Message: chatMessage{Role: "assistant", Content: text.String()}}},
		Usage:   newUsageDocument(Usage{Prompt: s.prompt, Output: s.output}),
	})
}

// Cancel ends a stream and returns its usage; it returns false if there is no
// stream or usage of that ID. The response of a stream that it ends is aborted.
func (g *Generator) Cancel(id string) (Usage, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, list := range [][]*stream{g.active, g.waiting} {
		for _, s := range list {
			if s.id == id && !s.ended {
				s.broken = true
				g.endStream(s)
			}
		}
	}
	u, ok := g.usages[id]
	return u, ok
}

func (g *Generator) serveCancel(w http.ResponseWriter, r *http.Request) {
	g.abortIfDown()
	u, ok := g.Cancel(mux.Vars(r)["id"])
	if !ok {
		http.Error(w, "unknown stream", http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(struct {
		Usage usageDocument `json:"usage"`
	}{newUsageDocument(u)})
}

func (g *Generator) serveStats(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(g.Stats())
}

func (g *Generator) serveUsages(w http.ResponseWriter, _ *http.Request) {
	out := make(map[string]usageDocument)
	for id, u := range g.Usages() {
		out[id] = newUsageDocument(u)
	}
	_ = json.NewEncoder(w).Encode(out)
}
