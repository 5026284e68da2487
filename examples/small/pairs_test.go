package small_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	pairSeeds  = flag.Int("pairSeeds", 2, "number of seeds for the pairs of faults")
	pairFirst  = flag.Int("pairFirst", 1, "first seed for the pairs of faults")
	pairRounds = flag.Int("pairRounds", 3, "pairs of faults for each seed")
)

// fault is a temporary fault.
type fault struct {
	name  string
	begin func(s *fleet)
	end   func(s *fleet)
}

func kill(name string, arguments ...string) fault {
	return fault{
		name:  "kill " + name,
		begin: func(s *fleet) { s.trySignal(name, syscall.SIGKILL) },
		end:   func(s *fleet) { s.restart(name, arguments...) },
	}
}

func freeze(name string) fault {
	return fault{
		name:  "freeze " + name,
		begin: func(s *fleet) { s.trySignal(name, syscall.SIGSTOP) },
		end:   func(s *fleet) { s.trySignal(name, syscall.SIGCONT) },
	}
}

func platformFault(name, document string) fault {
	set := func(document string) func(s *fleet) {
		return func(s *fleet) { s.do(http.MethodPost, "http://127.0.0.1:18100/faults", "", document) }
	}
	return fault{name: name, begin: set(document), end: set("{}")}
}

// faults are the faults that pairs are chosen from at random.
var faults = []fault{
	kill("router-1", "router", "-settings", "router-1.toml"),
	kill("router-2", "router", "-settings", "router-2.toml"),
	kill("agent-engine-1", "agent", "-settings", "agent-engine-1.toml"),
	kill("agent-desk-1", "agent", "-settings", "agent-desk-1.toml"),
	freeze("router-1"), freeze("router-2"), freeze("agent-engine-2"), freeze("agent-desk-1"), freeze("engine-1"),
	platformFault("platform outage", `{"outage":true}`),
	platformFault("platform slow", `{"delayMillis":300}`),
	platformFault("platform loses replies", `{"loseAnswers":0.5}`),
}

// traffic sends chats and orders through both routers until stop is closed.
type traffic struct {
	s    *fleet
	stop chan struct{}
	wg   sync.WaitGroup

	mu       sync.Mutex // guards all below
	orders   map[string][]string
	outcomes map[string]int
}

func (t *traffic) run(worker int, random *rand.Rand) {
	defer t.wg.Done()
	for n := 0; ; n++ {
		select {
		case <-t.stop:
			return
		case <-time.After(time.Duration(20+random.IntN(40)) * time.Millisecond):
		}
		router := []string{router1, router2}[random.IntN(2)]
		if random.IntN(3) > 0 {
			t.record("", t.s.chatWithDeadline(router, []string{"alpha-key", "beta-key"}[random.IntN(2)], 20+random.IntN(150), random.IntN(2) == 0))
			continue
		}
		key := fmt.Sprintf("pair-%d-%d", worker, n)
		for range 1 + random.IntN(3) {
			t.record(key, t.s.orderWithDeadline([]string{router1, router2}[random.IntN(2)], key))
		}
	}
}

func (t *traffic) record(order string, resp response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.s.outcomes.Store(resp.header.Get("Egretroute-Request-Id"), fmt.Sprint(resp.outcome(), " ", resp.err, " billed ", resp.billed(), " at ", time.Now().Format("05.000")))
	outcome := resp.outcome()
	if resp.err != nil {
		outcome = "broken-off"
	}
	t.outcomes[outcome]++
	if order != "" {
		t.orders[order] = append(t.orders[order], outcome)
	}
	if outcome == "answered" && strings.HasPrefix(resp.header.Get("Content-Type"), "text/event-stream") {
		assert.Check(t.s.t, strings.HasSuffix(resp.body, "data: [DONE]\n\n"), "an answered stream does not end with [DONE]")
	}
}

// TestPairsOfFaults repeatedly injects two random faults at once under traffic.
// Afterwards spend, bills and orders must match what the engines generated and
// the service ran.
func TestPairsOfFaults(t *testing.T) {
	for i := range *pairSeeds {
		seed := uint64(*pairFirst + i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runFaultPairs(t, seed) })
	}
}

func runFaultPairs(t *testing.T, seed uint64) {
	const workers, faultTime, restTime = 6, 4 * time.Second, 3 * time.Second
	s := start(t)
	random := rand.New(rand.NewPCG(seed, 0))
	tr := &traffic{s: s, stop: make(chan struct{}), orders: make(map[string][]string), outcomes: make(map[string]int)}
	for i := range workers {
		tr.wg.Add(1)
		go tr.run(i, rand.New(rand.NewPCG(seed, uint64(i+1))))
	}
	for range *pairRounds {
		a, b := random.IntN(len(faults)), random.IntN(len(faults))
		t.Logf("faults: %s, %s", faults[a].name, faults[b].name)
		faults[a].begin(s)
		if a != b {
			faults[b].begin(s)
		}
		time.Sleep(faultTime)
		faults[a].end(s)
		if a != b {
			faults[b].end(s)
		}
		time.Sleep(restTime)
	}
	close(tr.stop)
	tr.wg.Wait()
	t.Logf("outcomes: %v", tr.outcomes)
	tr.checkOrders()
	s.checkSpend()
}

// checkOrders compares the outcomes of each order with the runs that the
// service has counted.
func (t *traffic) checkOrders() {
	executed := 0
	for key, outcomes := range t.orders {
		runs := t.s.runs(key)
		assert.Check(t.s.t, runs == "0" || runs == "1", "order %s ran %s times: %v", key, runs, outcomes)
		onlyNotRun, answered := true, false
		for _, o := range outcomes {
			onlyNotRun = onlyNotRun && o == "not-run"
			answered = answered || o == "answered"
		}
		if onlyNotRun {
			assert.Check(t.s.t, runs == "0", "order %s ran although every outcome was not-run", key)
		}
		if answered {
			assert.Check(t.s.t, runs == "1", "order %s was answered but ran %s times", key, runs)
		}
		if runs == "1" {
			executed++
		}
	}
	t.s.t.Logf("%d orders, %d ran", len(t.orders), executed)
}

// checkSpend waits for settlement and compares spend with the tokens that the
// engines generated. Missing tokens must still be withheld from the budgets: they
// can't be billed if all processes that could confirm them have crashed.
func (s *fleet) checkSpend() {
	var generated, spent, withheld int64
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		alpha, beta := s.budget("alpha"), s.budget("beta")
		generated, spent = s.generated(), alpha.Spent+beta.Spent
		withheld = alpha.Uncertain + beta.Uncertain + s.heldByEndedRouters(alpha, beta)
		if alpha.Limit > 0 && spent == generated {
			break
		}
	}
	s.t.Logf("generated %d, spent %d, withheld %d", generated, spent, withheld)
	assert.Assert(s.t, spent <= generated, "more was billed than generated")
	assert.Assert(s.t, spent+withheld >= generated, "generated tokens can be spent again")
	for _, name := range []string{"alpha", "beta"} {
		b := s.budget(name)
		assert.Equal(s.t, b.Spent+b.Held+b.Remaining+b.Uncertain, b.Limit)
	}
	s.checkLedger(spent)
}

// heldByEndedRouters returns the tokens that ended router incarnations still
// hold. They stay held while only the router itself or its agents could confirm
// their usage.
func (s *fleet) heldByEndedRouters(budgets ...budget) int64 {
	live := make(map[string]bool)
	for _, operator := range []string{"http://127.0.0.1:18081", operator2} {
		for _, line := range strings.Fields(s.do(http.MethodGet, operator+"/v1/incarnation", "operator-key", "").body) {
			live[line] = true
		}
	}
	var sum int64
	for _, b := range budgets {
		for holder, held := range b.Holders {
			if !live[holder] {
				sum += held
			}
		}
	}
	return sum
}

// checkLedger checks that every part is billed once, that the bills add up to
// spent, and that no request is billed for more than was generated.
func (s *fleet) checkLedger(spent int64) {
	type bill struct {
		RequestID string
		Payer     string
		Sequence  uint64
		Amount    int64
	}
	var bills []bill
	s.decode(operator2+"/v1/bills", &bills)
	billedParts := make(map[string]bool)
	var sum int64
	byRequest := make(map[string]int64)
	for _, b := range bills {
		byRequest[b.RequestID] += b.Amount
		part := fmt.Sprint(b.Payer, "/", b.Sequence)
		assert.Check(s.t, !billedParts[part], "part %s was billed twice", part)
		billedParts[part] = true
		sum += b.Amount
	}
	assert.Equal(s.t, sum, spent)
	for request, generated := range s.generatedByRequest() {
		assert.Check(s.t, byRequest[request] <= generated, "request %s: generated %d, billed %d", request, generated, byRequest[request])
		if byRequest[request] != generated {
			s.t.Logf("request %s: generated %d, billed %d, client saw %s", request, generated, byRequest[request], s.clientOutcome(request))
		}
	}
}
