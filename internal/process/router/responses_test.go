package router_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/connection/linker"
	"github.com/egretroute/egretroute/internal/process/agent"
	"github.com/egretroute/egretroute/internal/process/router"
	"github.com/egretroute/egretroute/internal/process/spender"
	"github.com/egretroute/egretroute/internal/process/storer"
	"github.com/egretroute/egretroute/internal/request/suspecter"
	"github.com/egretroute/egretroute/internal/version/declarer"
	"github.com/egretroute/egretroute/internal/version/patcher"
)

const testSecret = "answers-test-secret"

// scriptedAgent replies to each run with the frames of the next script; the last
// script is repeated for all further runs.
type scriptedAgent struct {
	mu      sync.Mutex // guards scripts
	scripts [][]string
}

// next returns the frames of the next run.
func (a *scriptedAgent) next() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	frames := a.scripts[0]
	if len(a.scripts) > 1 {
		a.scripts = a.scripts[1:]
	}
	return frames
}

func (a *scriptedAgent) setScripts(scripts [][]string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.scripts = scripts
}

// ServeStream implements linker.Handler.
func (a *scriptedAgent) ServeStream(s *linker.Stream, first any) {
	switch m := first.(type) {
	case *framer.Run:
		a.play(s, m)
	case *framer.Ping:
		_ = s.Write(&framer.Pong{Load: framer.Load{Capacity: 1}})
	case *framer.Audit:
		_ = s.Write(&framer.Audited{State: framer.AuditNotRun})
	default:
		_ = s.Write(&framer.Done{})
	}
}

func (a *scriptedAgent) play(s *linker.Stream, run *framer.Run) {
	sum, bytes := xxhash.New(), int64(0)
	event := func(text string) []byte { return []byte("data: " + text + "\n\n") }
	for _, frame := range a.next() {
		kind, text, _ := strings.Cut(frame, " ")
		end := &framer.End{Attempt: run.Attempt, Outcome: framer.OutcomeAnswered, Bytes: bytes, Checksum: sum.Sum64()}
		switch kind {
		case "head":
			_ = s.Write(&framer.Head{Attempt: run.Attempt, Status: http.StatusOK, ContentType: "text/event-stream"})
		case "status":
			status, _ := strconv.Atoi(text) // the scripts have numbers
			_ = s.Write(&framer.Head{Attempt: run.Attempt, Status: status, ContentType: "text/plain"})
		case "chunk":
			_, _ = sum.Write(event(text))
			bytes += int64(len(event(text)))
			_ = s.Write(&framer.Chunk{Attempt: run.Attempt, Data: event(text)})
		case "repeat":
			_ = s.Write(&framer.Chunk{Attempt: run.Attempt, Data: event(text)})
		case "foreign":
			_ = s.Write(&framer.Chunk{Attempt: run.Attempt + 1000, Data: event(text)})
		case "late-end":
			end.Attempt += 1000
			_ = s.Write(end)
		case "end-bytes":
			end.Bytes++
			_ = s.Write(end)
		case "end-sum":
			end.Checksum++
			_ = s.Write(end)
		case "end-failed":
			end.Outcome = framer.OutcomeFailedAfterStart
			_ = s.Write(end)
		case "end-crashed":
			end.Outcome, end.Reason = framer.OutcomeFailedAfterStart, agent.ReasonPoison
			for i := range 3 {
				end.Crashes = append(end.Crashes, suspecter.Observation{Digest: run.Digest, Run: fmt.Sprint("engine/", i), At: time.Now()})
			}
			_ = s.Write(end)
		case "not-run":
			end.Outcome = framer.OutcomeNotRun
			_ = s.Write(end)
		case "end":
			_ = s.Write(end)
		case "cut":
			return
		}
	}
}

// answerCase is one case of testdata/answers.txt.
type answerCase struct {
	name    string
	plain   bool       // no stream is requested
	scripts [][]string // frames by attempt
	outcome string
	body    string // one letter per event
	ending  string // done, error or whole
}

func readAnswerCases(t *testing.T) []answerCase {
	file, err := os.Open("testdata/answers.txt")
	assert.NilError(t, err)
	defer file.Close()
	var cases []answerCase
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		line := lines.Text()
		if line == "plain" {
			cases[len(cases)-1].plain = true
			continue
		}
		if frames, ok := strings.CutPrefix(line, "frames: "); ok {
			c := &cases[len(cases)-1]
			for _, script := range strings.Split(frames, " then ") {
				c.scripts = append(c.scripts, strings.Split(script, ", "))
			}
			continue
		}
		if expect, ok := strings.CutPrefix(line, "expect: "); ok {
			parts := strings.Split(expect, ", ")
			c := &cases[len(cases)-1]
			c.outcome, c.body, c.ending = parts[0], strings.TrimPrefix(parts[1], "body "), parts[2]
			continue
		}
		if line != "" && !strings.HasPrefix(line, "#") {
			cases = append(cases, answerCase{name: line})
		}
	}
	return cases
}

func listenLoopback(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// startRouter runs a router with two targets behind one scripted agent and returns
// the URL of the clients' API.
func startRouter(t *testing.T, agent *scriptedAgent) string {
	url, stop := startRouterOn(t, startAgent(t, agent), 2)
	t.Cleanup(stop)
	return url
}

// startAgent runs an agent and returns a table whose configuration has two targets
// behind it.
func startAgent(t *testing.T, agent *scriptedAgent) storer.Table {
	agents := listenLoopback(t)
	srv := &linker.Server{
		Secret: []byte(testSecret), Self: linker.Identity{Name: "engine", Incarnation: "engine@1"}, Handler: agent,
	}
	go func() { _ = srv.Serve(agents) }()
	t.Cleanup(srv.Close)
	table := storer.NewMemory()
	_, err := (&patcher.Patcher{Table: table}).Apply(context.Background(), &declarer.Fleet{
		Organisations: []declarer.Organisation{{Name: "alpha", KeyHash: declarer.HashKey("key"), Budget: 1_000_000, Weight: 1}},
		Models:        []declarer.Model{{Name: "m", MaxTokens: 100, BytesPerToken: 1}},
		Targets: []declarer.Target{
			{Name: "engine-1", Serves: "m", Agent: agents.Addr().String(), Domain: "d", Capacity: 1},
			{Name: "engine-2", Serves: "m", Agent: agents.Addr().String(), Domain: "d", Capacity: 1},
		},
	}, "first")
	assert.NilError(t, err)
	return table
}

// startRouterOn runs a router over a table until stop is called.
func startRouterOn(t *testing.T, table storer.Table, targets int) (url string, stop func()) {
	r := &router.Router{
		Name: "router", Domain: "d", Secret: []byte(testSecret), Table: table,
		Policy: spender.NewProportional(0, spender.DefaultTrendFactor), FlushInterval: 20 * time.Millisecond,
		ShutdownLimit: 5 * time.Second, Log: slog.New(slog.DiscardHandler), Registry: prometheus.NewRegistry(),
		ClientListener: listenLoopback(t), OperatorListener: listenLoopback(t), FleetListener: listenLoopback(t),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	for !r.Ready(targets) {
		time.Sleep(5 * time.Millisecond)
	}
	return "http://" + r.ClientListener.Addr().String(), func() {
		cancel()
		assert.NilError(t, <-done)
	}
}

// TestResponsesAreCompleteAndFromOneAttempt guards against responses that mix frames
// of several attempts, and against incomplete or corrupted responses that the client
// takes for complete. A scripted agent sends the frames of each case.
func TestResponsesAreCompleteAndFromOneAttempt(t *testing.T) {
	agent := &scriptedAgent{}
	url := startRouter(t, agent)
	for _, c := range readAnswerCases(t) {
		t.Run(c.name, func(t *testing.T) {
			agent.setScripts(c.scripts)
			req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions",
				strings.NewReader(fmt.Sprintf(`{"model":"m","stream":%t,"messages":[{"role":"user","content":"x"}]}`, !c.plain)))
			assert.NilError(t, err)
			req.Header.Set("Authorization", "Bearer key")
			resp, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			outcome := resp.Trailer.Get("Egretroute-Outcome") + resp.Header.Get("Egretroute-Outcome")
			assert.Equal(t, outcome, c.outcome)
			var want strings.Builder
			for _, letter := range c.body {
				_, _ = fmt.Fprintf(&want, "data: %c\n\n", letter)
			}
			text := string(body)
			assert.Assert(t, strings.HasPrefix(text, want.String()), text)
			assert.Equal(t, strings.HasSuffix(text, "data: [DONE]\n\n"), c.ending == "done", text)
			assert.Equal(t, strings.Contains(text, `"error"`), c.ending == "error", text)
			assert.Equal(t, text == want.String(), c.ending == "whole", text)
			assert.Assert(t, !strings.Contains(text, "X") && !strings.Contains(text, "Y"), text)
		})
	}
}

// TestCutResponseDoesNotLookCompleteToHTTP10 guards against a plain response without its
// length: a client of HTTP/1.0 takes one for complete wherever the connection closes.
func TestCutResponseDoesNotLookCompleteToHTTP10(t *testing.T) {
	agent := &scriptedAgent{}
	url := startRouter(t, agent)
	for _, letters := range []int{1, 10_000} { // net/http adds the length of short responses itself
		t.Run(fmt.Sprint(letters, " letters"), func(t *testing.T) {
			agent.setScripts([][]string{{"head", "chunk " + strings.Repeat("a", letters), "end"}})
			conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
			assert.NilError(t, err)
			defer conn.Close()
			request := `{"model":"m","messages":[{"role":"user","content":"x"}]}`
			_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.0\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n%s",
				len(request), request)
			assert.NilError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, len(body), letters+len("data: \n\n"))
			assert.Equal(t, resp.ContentLength, int64(len(body)))
		})
	}
}
