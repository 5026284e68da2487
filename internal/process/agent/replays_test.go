package agent

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/connection/linker"
	"github.com/egretroute/egretroute/internal/process/storer"
	"github.com/egretroute/egretroute/internal/request/claimer"
	"github.com/egretroute/egretroute/internal/request/queuer"
	"github.com/egretroute/egretroute/internal/request/suspecter"
	"github.com/egretroute/egretroute/internal/version/follower"
)

// linkLossDelay is how long an agent has to notice that a link is closed. With a delay
// that is too short, a case passes without having checked anything.
const linkLossDelay = 200 * time.Millisecond

// pollPause is the pause between two looks at an agent's queue.
const pollPause = 5 * time.Millisecond

// stopLimit bounds the drain of an agent at the end of a test.
const stopLimit = time.Second

// replayCase is one line of testdata/replays.txt.
type replayCase struct {
	name      string
	bytes     int
	lost      bool
	successor bool
	whole     bool
}

func readReplayCases(t *testing.T) []replayCase {
	file, err := os.Open("testdata/replays.txt")
	assert.NilError(t, err)
	defer file.Close()
	var cases []replayCase
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		line := lines.Text()
		if strings.HasPrefix(line, "#") {
			continue
		}
		c := replayCase{name: strings.Join(strings.Fields(line), "-")}
		var router, agent, retry string
		_, err := fmt.Sscan(line, &c.bytes, &router, &agent, &retry)
		assert.NilError(t, err)
		c.lost, c.successor, c.whole = router == "lost", agent == "successor", retry == "whole"
		cases = append(cases, c)
	}
	assert.NilError(t, lines.Err())
	assert.Assert(t, len(cases) > 0)
	return cases
}

// orderService is a service whose orders wait for release.
type orderService struct {
	url      string
	received chan struct{}
	release  chan struct{}
}

func startOrderService(t *testing.T, body []byte) *orderService {
	s := &orderService{received: make(chan struct{}, 1), release: make(chan struct{})}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.received <- struct{}{}
		<-s.release
		w.Header().Set("Content-Type", "text/plain")
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write(body)
	}))
	t.Cleanup(srv.Close)
	s.url = srv.URL
	return s
}

// startAgent runs an agent of the service at url and returns it with its address.
func startAgent(t *testing.T, url string, table storer.Table) (*Agent, string) {
	return startAgentOf(t, NewService(url, "orders"), table)
}

// startAgentOf runs an agent of a backend and returns it with its address.
func startAgentOf(t *testing.T, backend Backend, table storer.Table) (*Agent, string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	a := &Agent{
		Target: "orders-1", Incarnation: "orders-1@1", Secret: []byte("secret"),
		Backend: backend, Queue: queuer.New(1), Claims: &claimer.Claimer{Table: table},
		Follower: &follower.Follower{}, Suspects: suspecter.New(time.Now), Log: slog.New(slog.DiscardHandler),
		Metrics: NewMetrics(prometheus.NewRegistry()),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx, ln, stopLimit) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return a, ln.Addr().String()
}

// sendOrder sends one attempt of the same order over a new link.
func sendOrder(t *testing.T, address string, attempt uint64) (*linker.Link, *linker.Stream) {
	return sendRun(t, address, &framer.Run{Attempt: attempt, Body: []byte("x"), Key: "key", NonIdempotent: true})
}

// sendRun sends a run, which gets what all runs have, over a new link.
func sendRun(t *testing.T, address string, run *framer.Run) (*linker.Link, *linker.Stream) {
	link, err := linker.Dial(context.Background(), address, []byte("secret"), linker.Identity{Name: "router-1"})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = link.Close() })
	stream, err := link.Open()
	assert.NilError(t, err)
	run.RequestID, run.RouterInstance, run.Organisation = fmt.Sprint("request-", run.Attempt), "router-1@1", "alpha"
	run.Target, run.Method, run.Path = "orders-1", http.MethodPost, "/orders"
	assert.NilError(t, stream.Write(run))
	return link, stream
}

// receivedResponse is what a router receives of one attempt.
type receivedResponse struct {
	heads  int
	status int
	body   []byte
	end    *framer.End
}

func receiveResponse(t *testing.T, stream *linker.Stream) *receivedResponse {
	r := &receivedResponse{}
	for r.end == nil {
		m, err := stream.Read()
		assert.NilError(t, err)
		switch m := m.(type) {
		case *framer.Head:
			r.heads++
			r.status = m.Status
		case *framer.Chunk:
			r.body = append(r.body, m.Data...)
		case *framer.End:
			r.end = m
		}
	}
	return r
}

// TestRetryIsNotAnsweredWithPartOfTheResponse guards against a retry of an order that is
// answered, with status and a matching checksum, by less than the order's own response.
func TestRetryIsNotAnsweredWithPartOfTheResponse(t *testing.T) {
	for _, c := range readReplayCases(t) {
		t.Run(c.name, func(t *testing.T) { retryOrder(t, c) })
	}
}

func retryOrder(t *testing.T, c replayCase) {
	body := bytes.Repeat([]byte("r"), c.bytes)
	service := startOrderService(t, body)
	table := storer.NewMemory()
	a, address := startAgent(t, service.url, table)
	link, stream := sendOrder(t, address, 1)
	<-service.received
	if c.lost {
		assert.NilError(t, link.Close())
		time.Sleep(linkLossDelay)
	}
	close(service.release)
	if !c.lost {
		response := receiveResponse(t, stream)
		assert.Equal(t, response.end.Outcome, framer.OutcomeAnswered)
		assert.Assert(t, bytes.Equal(response.body, body))
	}
	awaitIdle(a)
	if c.successor {
		_, address = startAgent(t, service.url, table)
	}
	_, stream = sendOrder(t, address, 2)
	retry := receiveResponse(t, stream)
	if !c.whole {
		assert.Equal(t, retry.end.Outcome, framer.OutcomeUnknown, "%d bytes, status %d", len(retry.body), retry.status)
		assert.Equal(t, retry.end.Reason, ReasonStarted)
		assert.Equal(t, retry.heads, 0)
		return
	}
	assert.Equal(t, retry.end.Outcome, framer.OutcomeAnswered)
	assert.Equal(t, retry.status, http.StatusCreated)
	assert.Equal(t, len(retry.body), len(body), "bytes of the replayed response")
	assert.Assert(t, bytes.Equal(retry.body, body))
}

// TestLongResponseDoesNotLoseContact guards against a complete response that the router
// can't read because a frame of it is too large.
func TestLongResponseDoesNotLoseContact(t *testing.T) {
	for _, n := range []int{framer.MaxFrameBytes, framer.MaxFrameBytes + 1, maxResponseBytes} {
		t.Run(fmt.Sprint(n, " bytes"), func(t *testing.T) {
			body := bytes.Repeat([]byte("r"), n)
			service := startOrderService(t, body)
			close(service.release)
			_, address := startAgent(t, service.url, storer.NewMemory())
			_, stream := sendOrder(t, address, 1)
			response := receiveResponse(t, stream)
			assert.Equal(t, response.end.Outcome, framer.OutcomeAnswered)
			assert.Equal(t, response.heads, 1)
			assert.Assert(t, bytes.Equal(response.body, body))
		})
	}
}

// awaitIdle waits until no run is in progress at the agent.
func awaitIdle(a *Agent) {
	for {
		if running, _, _, _ := a.Queue.Stats(); running == 0 {
			return
		}
		time.Sleep(pollPause)
	}
}
