package demonstrator_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/standin/generator"
	"github.com/egretroute/egretroute/internal/trial/delayer"
	"github.com/egretroute/egretroute/internal/trial/demonstrator"
	"github.com/egretroute/egretroute/internal/trial/loader"
	"github.com/egretroute/egretroute/internal/version/declarer"
	"github.com/egretroute/egretroute/internal/version/patcher"
)

var clients = []loader.Client{{Organisation: "alpha", Key: "alpha-key", Share: 1}, {Organisation: "beta", Key: "beta-key", Share: 1}}

// start runs a fleet until the end of the test; each of its two organisations
// has the given budget.
func start(t *testing.T, d *demonstrator.Demonstrator, budget int64) *demonstrator.Demonstrator {
	t.Helper()
	for _, c := range clients {
		d.Organisations = append(d.Organisations, declarer.Organisation{
			Name: c.Organisation, KeyHash: declarer.HashKey(c.Key), Budget: budget, Weight: 1, Urgent: true,
		})
	}
	assert.NilError(t, d.Start(context.Background()))
	t.Cleanup(d.Stop)
	return d
}

func newLoader(d *demonstrator.Demonstrator, rate float64, requests int) *loader.Loader {
	return &loader.Loader{
		Routers: []string{d.ClientURL(0), d.ClientURL(1)}, Rate: rate, Requests: requests, Clients: clients,
		Model: demonstrator.Model, MaxTokens: 100, PromptWords: 5, StreamedFraction: 0.5, Seed: 1,
	}
}

// Graceful shutdown of a router and of an agent under load must not break any
// request, and the tokens that a stopped router holds must be returned.
func TestShutdownFinishesRequests(t *testing.T) {
	d := start(t, &demonstrator.Demonstrator{Routers: 2, Engines: 2}, 10_000_000)
	l := newLoader(d, 100, 200)
	l.Routers = l.Routers[:1]
	reports := make(chan *loader.Report, 1)
	go func() { reports <- l.Run(context.Background()) }()
	time.Sleep(500 * time.Millisecond)
	assert.NilError(t, d.StopAgent(0))
	assert.NilError(t, d.StopRouter(1))
	rep := <-reports
	assert.Equal(t, rep.Outcomes["answered"], 200, "%v", rep.Outcomes)
	assert.Equal(t, rep.BrokenStreams, 0)
	assert.NilError(t, d.StopRouter(0))
	for _, name := range []string{"alpha", "beta"} {
		b := d.Budget(name)
		assert.Equal(t, b.Held(), int64(0), "tokens of %s were not returned", name)
		assert.Equal(t, b.Spent, rep.Billed[name])
	}
}

// TestStopLosesWhatALateRouterHasNotRead sends requests on kept and on new connections to a router that is late when
// its leave time ends. Each must be answered, by a refusal if need be.
func TestStopLosesWhatALateRouterHasNotRead(t *testing.T) {
	ln := make(chan *delayer.Listener, 1)
	d := start(t, &demonstrator.Demonstrator{
		Routers: 1, Engines: 1, WrapClientListener: func(tcp *net.TCPListener) net.Listener {
			l := &delayer.Listener{TCPListener: tcp}
			ln <- l
			return l
		},
	}, 10_000_000)
	late := <-ln
	send := func(client *http.Client) (status int, err error) {
		req, err := http.NewRequest(http.MethodGet, d.ClientURL(0)+"/v1/models", nil)
		assert.NilError(t, err)
		req.Header.Set("Authorization", "Bearer alpha-key")
		resp, err := client.Do(req)
		if err != nil {
			return 0, err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode, err
	}
	kept := make([]*http.Client, 3)
	for n := range kept {
		kept[n] = &http.Client{Transport: &http.Transport{}}
		status, err := send(kept[n])
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
	time.Sleep(50 * time.Millisecond) // until the connections are idle
	late.SetLate(true)
	stopped := make(chan error, 1)
	go func() { stopped <- d.StopRouter(0) }()
	var requests sync.WaitGroup
	for n, client := range append(kept, &http.Client{Transport: &http.Transport{}}, &http.Client{Transport: &http.Transport{}}) {
		requests.Go(func() {
			status, err := send(client)
			assert.Check(t, err == nil && (status == http.StatusOK || status == http.StatusServiceUnavailable), "request %d: status %d, %v", n, status, err)
		})
	}
	time.Sleep(1500 * time.Millisecond) // longer than the leave time
	late.SetLate(false)
	requests.Wait()
	assert.NilError(t, <-stopped)
}

// TestOrderHasNoAnswerAtTheEndOfAStop stops a router during an order that lasts longer than the stop. Its client must be
// told before the router has stopped that it may have run.
func TestOrderHasNoAnswerAtTheEndOfAStop(t *testing.T) {
	d := start(t, &demonstrator.Demonstrator{Routers: 1, Services: 1, OrderTime: 8 * time.Second, ShutdownLimit: 4 * time.Second}, 10_000_000)
	answered := make(chan string, 1)
	go func() {
		req, err := http.NewRequest(http.MethodPost, d.ClientURL(0)+"/services/"+demonstrator.Service+"/orders", strings.NewReader("{}"))
		if err != nil {
			answered <- err.Error()
			return
		}
		req.Header.Set("Authorization", "Bearer alpha-key")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			answered <- err.Error()
			return
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		answered <- fmt.Sprint(resp.Header.Get("Egretroute-Outcome"), " ", err)
	}()
	time.Sleep(300 * time.Millisecond)
	assert.NilError(t, d.StopRouter(0))
	select {
	case got := <-answered:
		assert.Assert(t, got == "unknown <nil>" || got == "failed-after-start <nil>", got)
	default:
		t.Fatal("no answer before the router has stopped")
	}
}

// A router that is shut down while it forwards streams must finish them.
func TestRouterShutdownFinishesItsStreams(t *testing.T) {
	d := start(t, &demonstrator.Demonstrator{Routers: 2, Engines: 2}, 10_000_000)
	l := newLoader(d, 400, 100)
	l.MaxTokens, l.Routers = 1000, l.Routers[:1]
	reports := make(chan *loader.Report, 1)
	go func() { reports <- l.Run(context.Background()) }()
	time.Sleep(600 * time.Millisecond)
	assert.NilError(t, d.StopRouter(0))
	rep := <-reports
	assert.Equal(t, rep.Outcomes["answered"], 100, "%v", rep.Outcomes)
	assert.Equal(t, rep.BrokenStreams, 0)
}

// chat sends one request and returns its outcome and reason.
func chat(t *testing.T, url, key, text string, tokens int) (outcome, reason string) {
	t.Helper()
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, demonstrator.Model, tokens, text)
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.Header.Get("Egretroute-Outcome"), resp.Header.Get("Egretroute-Reason")
}

// A request that crashes engines is sent again and again through every router.
// It must crash at most two engines, and the requests that share its batches
// must all be answered.
func TestPoisonRequestAmongOthers(t *testing.T) {
	d := start(t, &demonstrator.Demonstrator{Routers: 2, Engines: 3}, 10_000_000)
	var wg sync.WaitGroup
	var mu sync.Mutex
	otherOutcomes := make(map[string]int)
	for i := range 30 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			outcome, reason := chat(t, d.ClientURL(i%2), "alpha-key", fmt.Sprint("innocent ", i), 400)
			mu.Lock()
			defer mu.Unlock()
			otherOutcomes[outcome+" "+reason]++
		}()
	}
	time.Sleep(150 * time.Millisecond)
	for i := range 6 {
		outcome, reason := chat(t, d.ClientURL(i%2), "beta-key", generator.PoisonText, 50)
		assert.Assert(t, outcome != "answered", "outcome %s reason %s", outcome, reason)
	}
	wg.Wait()
	crashes := 0
	for _, g := range d.Generators {
		crashes += g.Stats().Crashes
	}
	t.Logf("crashes %d, other requests %v", crashes, otherOutcomes)
	assert.Assert(t, crashes <= 2, "%d targets crashed", crashes)
	assert.Equal(t, otherOutcomes["answered "], 30, "%v", otherOutcomes)
}

// Two budgets are spent completely through both routers, and never overspent.
//
// On a busy machine most requests of the first load run at once and reserve all
// remaining tokens, so that others are refused although unused tokens are
// returned later. The second, slower load spends those.
func TestBudgetRunsOut(t *testing.T) {
	d := start(t, &demonstrator.Demonstrator{Routers: 2, Engines: 2}, 10_000)
	report := newLoader(d, 200, 400).Run(context.Background())
	slowReport := newLoader(d, 40, 160).Run(context.Background())
	time.Sleep(time.Second)
	for _, name := range []string{"alpha", "beta"} {
		b := d.Budget(name)
		assert.NilError(t, b.Check())
		assert.Assert(t, b.Spent <= b.Limit)
		assert.Equal(t, b.Spent, report.Billed[name]+slowReport.Billed[name])
		// The worst case of one request is left at most: 100 tokens and the prompt's bytes.
		assert.Assert(t, b.Limit-b.Spent < 200, "%d of %s are left", b.Limit-b.Spent, name)
	}
	assert.Assert(t, report.Outcomes["not-run"] > 0)
	assert.Equal(t, report.Outcomes["answered"]+report.Outcomes["not-run"], 400, "%v", report.Outcomes)
	assert.Equal(t, slowReport.Outcomes["answered"]+slowReport.Outcomes["not-run"], 160, "%v", slowReport.Outcomes)
}

// TestVersionIsAppliedEverywhere applies a version with a new organisation while requests run.
// Every router must serve the organisation within ten seconds, and go on doing so.
func TestVersionIsAppliedEverywhere(t *testing.T) {
	const routers, bound = 4, 10 * time.Second
	d := start(t, &demonstrator.Demonstrator{Routers: routers, Engines: 2}, 10_000_000)
	p := &patcher.Patcher{Table: d.Platform.Table}
	fleet, err := p.Current(t.Context())
	assert.NilError(t, err)
	fleet.Organisations = append(fleet.Organisations, declarer.Organisation{
		Name: "gamma", KeyHash: declarer.HashKey("gamma-key"), Budget: 1_000_000, Weight: 1,
	})
	_, err = p.Apply(t.Context(), fleet, "adds gamma")
	assert.NilError(t, err)
	applied := time.Now()
	var wg sync.WaitGroup
	for i := range routers {
		wg.Go(func() {
			outcome := ""
			for outcome != "answered" && time.Since(applied) < bound {
				outcome, _ = chat(t, d.ClientURL(i), "gamma-key", "hello", 5)
				time.Sleep(50 * time.Millisecond)
			}
			assert.Check(t, outcome == "answered", "router %d: %s after %v", i, outcome, time.Since(applied))
			t.Logf("router %d applied the version after %v", i, time.Since(applied).Round(10*time.Millisecond))
			outcome, _ = chat(t, d.ClientURL(i), "gamma-key", "hello again", 5)
			assert.Check(t, outcome == "answered", "router %d: %s later", i, outcome)
		})
	}
	wg.Wait()
}
