// Package loader sends a fixed number of requests to routers on loopback and
// reports their outcomes and latencies.
//
// # Usage
//
//	l := &loader.Loader{
//		Routers: []string{"http://127.0.0.1:18080"}, Rate: 200, Requests: 2000, Clients: clients,
//		Model: "small-llm", MaxTokens: 100, Seed: 1,
//	}
//	report := l.Run(ctx)
//	report.Print(os.Stdout)
package loader

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Client sends the requests of one organisation.
type Client struct {
	Organisation string
	Key          string
	// Share is the client's weight in the choice of the next request's client.
	Share float64
	// UrgentFraction is the fraction of the client's requests that are urgent.
	UrgentFraction float64
}

// Loader sends requests at a fixed rate, whether or not earlier ones have
// finished (open loop).
//
// Exported fields are set before Run.
type Loader struct {
	// Routers are base URLs, used in turn.
	Routers []string
	// Rate is in requests per second.
	Rate     float64
	Requests int
	Clients  []Client
	Model    string
	// MaxTokens and PromptWords are the output limit and the prompt length of
	// each request.
	MaxTokens   int
	PromptWords int
	// StreamedFraction is the fraction of requests that ask for a streamed response.
	StreamedFraction float64
	Seed             uint64

	client *http.Client
}

// maxIdleConnections limits the idle connections to a router.
const maxIdleConnections = 512

// Report counts the outcomes and billed tokens of a load, as its clients saw them.
type Report struct {
	Outcomes map[string]int
	// Billed holds the billed tokens by organisation.
	Billed map[string]int64
	// BrokenStreams counts streams that were reported as answered but did not
	// end with [DONE].
	BrokenStreams int
	FirstByte     *hdrhistogram.Histogram // microseconds, answered requests only
	Total         *hdrhistogram.Histogram // microseconds, answered requests only
	Elapsed       time.Duration

	mu sync.Mutex // guards the fields above during Run, except Elapsed
}

// Run sends the requests and waits for the last response.
func (l *Loader) Run(ctx context.Context) *Report {
	const maxMicros = 600_000_000
	l.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}}
	rep := &Report{
		Outcomes: make(map[string]int), Billed: make(map[string]int64),
		FirstByte: hdrhistogram.New(1, maxMicros, 3), Total: hdrhistogram.New(1, maxMicros, 3),
	}
	random := rand.New(rand.NewPCG(l.Seed, 1))
	start := time.Now()
	var wg sync.WaitGroup
	for i := 0; i < l.Requests && ctx.Err() == nil; i++ {
		sendAt := start.Add(time.Duration(float64(i) / l.Rate * float64(time.Second)))
		time.Sleep(time.Until(sendAt))
		next := l.nextRequest(i, random)
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.send(ctx, next, rep)
		}()
	}
	wg.Wait()
	rep.Elapsed = time.Since(start)
	return rep
}

// request is a chat request and the router it is sent to.
type request struct {
	router string
	client Client
	urgent bool
	stream bool
	body   string
}

// nextRequest returns request number i, with random client, priority and prompt.
func (l *Loader) nextRequest(i int, random *rand.Rand) request {
	s := request{router: l.Routers[i%len(l.Routers)], client: l.pickClient(random)}
	s.urgent = random.Float64() < s.client.UrgentFraction
	s.stream = random.Float64() < l.StreamedFraction
	prompt := strings.Repeat("word ", max(l.PromptWords, 1)) + strconv.Itoa(random.IntN(1000))
	s.body = fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		l.Model, s.stream, l.MaxTokens, prompt)
	return s
}

func (l *Loader) pickClient(random *rand.Rand) Client {
	total := 0.0
	for _, c := range l.Clients {
		total += c.Share
	}
	x := random.Float64() * total
	for _, c := range l.Clients {
		if x -= c.Share; x < 0 {
			return c
		}
	}
	return l.Clients[len(l.Clients)-1]
}

// send sends one request, reads the whole response and adds it to the report.
func (l *Loader) send(ctx context.Context, s request, rep *Report) {
	start := time.Now()
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, s.router+"/v1/chat/completions", bytes.NewReader([]byte(s.body)))
	if err != nil {
		rep.countOutcome("unsent")
		return
	}
	httpReq.Header.Set("Authorization", "Bearer "+s.client.Key)
	httpReq.Header.Set("Content-Type", "application/json")
	if s.urgent {
		httpReq.Header.Set("Egretroute-Priority", "urgent")
	}
	resp, err := l.client.Do(httpReq)
	if err != nil {
		rep.countOutcome("no-answer")
		return
	}
	defer resp.Body.Close()
	firstByte, done, err := readResponse(resp.Body)
	outcome := resp.Trailer.Get("Egretroute-Outcome")
	billed := resp.Trailer.Get("Egretroute-Billed-Tokens")
	if outcome == "" {
		outcome = resp.Header.Get("Egretroute-Outcome")
		billed = resp.Header.Get("Egretroute-Billed-Tokens")
	}
	switch {
	case err != nil:
		outcome = "cut-off"
	case outcome == "" && resp.StatusCode == http.StatusOK:
		outcome = "answered" // an engine that is called directly sends no outcome header
	}
	broken := outcome == "answered" && s.stream && !done
	tokens, _ := strconv.ParseInt(billed, 10, 64)
	rep.add(s.client.Organisation, outcome, tokens, broken, firstByte.Sub(start), time.Since(start))
}

// readResponse reads a body to its end and returns the time of its first line
// and whether it contained a [DONE] event.
func readResponse(r io.Reader) (firstByte time.Time, done bool, err error) {
	const maxLineBytes = 16 << 20
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 4<<10), maxLineBytes)
	for scanner.Scan() {
		if firstByte.IsZero() {
			firstByte = time.Now()
		}
		done = done || scanner.Text() == "data: [DONE]"
	}
	if firstByte.IsZero() {
		firstByte = time.Now()
	}
	return firstByte, done, scanner.Err()
}

func (r *Report) countOutcome(outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Outcomes[outcome]++
}

func (r *Report) add(organisation, outcome string, billed int64, broken bool, firstByte, total time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Outcomes[outcome]++
	r.Billed[organisation] += billed
	if broken {
		r.BrokenStreams++
	}
	if outcome == "answered" {
		_ = r.FirstByte.RecordValue(max(firstByte.Microseconds(), 1))
		_ = r.Total.RecordValue(max(total.Microseconds(), 1))
	}
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "elapsed %s\n", r.Elapsed.Round(time.Millisecond))
	for _, k := range sortedKeys(r.Outcomes) {
		fmt.Fprintf(w, "outcome %-22s %d\n", k, r.Outcomes[k])
	}
	fmt.Fprintf(w, "broken answers %d\n", r.BrokenStreams)
	for _, k := range sortedKeys(r.Billed) {
		fmt.Fprintf(w, "billed  %-22s %d tokens\n", k, r.Billed[k])
	}
	printHistogram(w, "first byte", r.FirstByte)
	printHistogram(w, "whole answer", r.Total)
}

func printHistogram(w io.Writer, name string, h *hdrhistogram.Histogram) {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	fmt.Fprintf(w, "%-13s p50 %.2f ms  p95 %.2f ms  p99 %.2f ms  max %.2f ms\n", name, ms(50), ms(95), ms(99), float64(h.Max())/1000)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
