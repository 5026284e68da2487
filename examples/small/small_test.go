package small_test

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const (
	router1     = "http://127.0.0.1:18080"
	router2     = "http://127.0.0.1:18090"
	operator2   = "http://127.0.0.1:18091"
	serviceURL  = "http://127.0.0.1:18303"
	waitTimeout = 30 * time.Second
)

// fleet is the running example; every component is a separate process.
type fleet struct {
	t      *testing.T
	binary string
	folder string
	script *exec.Cmd
	// outcomes holds the outcome of each request by its ID.
	outcomes sync.Map
}

// clientOutcome returns the outcome of a request as its client saw it.
func (s *fleet) clientOutcome(request string) string {
	outcome, ok := s.outcomes.Load(request)
	if !ok {
		return "nothing"
	}
	return outcome.(string)
}

var builtBinary string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "egretroute-test")
	if err != nil {
		panic(err)
	}
	builtBinary = filepath.Join(folder, "egretroute")
	if out, err := exec.Command("go", "build", "-o", builtBinary, "../../cmd/egretroute").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// start runs run.sh until the test ends.
func start(t *testing.T) *fleet {
	s := &fleet{t: t, binary: builtBinary, script: exec.Command("./run.sh")}
	s.script.Env = append(os.Environ(), "EGRETROUTE="+builtBinary, "TMPDIR="+t.TempDir())
	out, err := s.script.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, s.script.Start())
	t.Cleanup(s.stop)
	lines := bufio.NewScanner(out)
	assert.Assert(t, lines.Scan())
	s.folder = lines.Text()
	for lines.Scan() {
		if lines.Text() == "ready" {
			go func() { _, _ = io.Copy(io.Discard, out) }()
			return s
		}
	}
	t.Fatal("run.sh ended before it was ready")
	return nil
}

func (s *fleet) stop() {
	if s.t.Failed() {
		s.printLogs()
	}
	s.signalAll(syscall.SIGCONT)
	_ = s.script.Process.Signal(syscall.SIGTERM)
	_ = s.script.Wait()
}

func (s *fleet) printLogs() {
	logs, _ := filepath.Glob(filepath.Join(s.folder, "*.log"))
	for _, name := range logs {
		text, _ := os.ReadFile(name)
		s.t.Logf("%s:\n%s", filepath.Base(name), text)
	}
}

func (s *fleet) pid(name string) int {
	text, err := os.ReadFile(filepath.Join(s.folder, name+".pid"))
	assert.NilError(s.t, err)
	pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
	assert.NilError(s.t, err)
	return pid
}

// signal signals a process. After SIGSTOP it waits until all threads have stopped: kill
// returns before.
func (s *fleet) signal(name string, sig syscall.Signal) {
	pid := s.pid(name)
	assert.NilError(s.t, syscall.Kill(pid, sig))
	if sig == syscall.SIGSTOP {
		poll.WaitOn(s.t, func(poll.LogT) poll.Result { return isStopped(pid) }, poll.WithDelay(time.Millisecond))
	}
}

// isStopped checks that all threads of a process have stopped.
func isStopped(pid int) poll.Result {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(threads) == 0 {
		return poll.Error(fmt.Errorf("process %d has no threads: %v", pid, err))
	}
	for _, name := range threads {
		stat, err := os.ReadFile(name)
		if err != nil {
			continue // the thread has ended
		}
		_, fields, _ := strings.Cut(string(stat), ") ") // after the name of the program
		if !strings.HasPrefix(fields, "T") {
			return poll.Continue("%s: %s", name, fields)
		}
	}
	return poll.Success()
}

// trySignal signals a process that another fault may have killed.
func (s *fleet) trySignal(name string, sig syscall.Signal) {
	err := syscall.Kill(s.pid(name), sig)
	assert.Assert(s.t, err == nil || errors.Is(err, syscall.ESRCH), "%v", err)
}

func (s *fleet) signalAll(sig syscall.Signal) {
	names, _ := filepath.Glob(filepath.Join(s.folder, "*.pid"))
	for _, name := range names {
		_ = syscall.Kill(s.pid(strings.TrimSuffix(filepath.Base(name), ".pid")), sig)
	}
}

// restart starts a process again and stops it at the end of the test.
func (s *fleet) restart(name string, arguments ...string) {
	cmd := exec.Command(s.binary, arguments...)
	log, err := os.Create(filepath.Join(s.folder, name+"-again.log"))
	assert.NilError(s.t, err)
	cmd.Stdout, cmd.Stderr = log, log
	assert.NilError(s.t, cmd.Start())
	pid := strconv.Itoa(cmd.Process.Pid)
	assert.NilError(s.t, os.WriteFile(filepath.Join(s.folder, name+".pid"), []byte(pid), 0o600))
	s.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		_ = cmd.Wait()
	})
}

// response is the response to a request, or its error.
type response struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
	err     error
}

func (r response) outcome() string {
	if o := r.trailer.Get("Egretroute-Outcome"); o != "" {
		return o
	}
	return r.header.Get("Egretroute-Outcome")
}

func (r response) billed() int64 {
	text := r.trailer.Get("Egretroute-Billed-Tokens")
	if text == "" {
		text = r.header.Get("Egretroute-Billed-Tokens")
	}
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

func (s *fleet) do(method, url, key, body string, headers ...string) response {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(s.t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, trailer: resp.Trailer, body: string(text), err: err}
}

func (s *fleet) chat(router, key string, tokens int, stream bool) response {
	body := fmt.Sprintf(`{"model":"small-llm","max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":"hello"}]}`, tokens, stream)
	return s.do(http.MethodPost, router+"/v1/chat/completions", key, body)
}

func (s *fleet) order(router, key string) response {
	return s.do(http.MethodPost, router+"/services/small-desk/orders", "alpha-key", "{}", "Idempotency-Key", key)
}

// chatWithDeadline and orderWithDeadline set a deadline, so that a frozen process
// does not block the client.
func (s *fleet) chatWithDeadline(router, key string, tokens int, stream bool) response {
	body := fmt.Sprintf(`{"model":"small-llm","max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":"hello"}]}`, tokens, stream)
	return s.do(http.MethodPost, router+"/v1/chat/completions", key, body, "Egretroute-Deadline-Ms", "8000")
}

func (s *fleet) orderWithDeadline(router, key string) response {
	return s.do(http.MethodPost, router+"/services/small-desk/orders", "alpha-key", "{}",
		"Idempotency-Key", key, "Egretroute-Deadline-Ms", "8000")
}

// decode reads a JSON document from the operators' API.
func (s *fleet) decode(url string, into any) {
	resp := s.do(http.MethodGet, url, "operator-key", "")
	assert.NilError(s.t, resp.err)
	assert.NilError(s.t, json.Unmarshal([]byte(resp.body), into))
}

func (s *fleet) runs(key string) string {
	return s.do(http.MethodGet, serviceURL+"/runs/"+key, "", "").body
}

// budget is one entry of /v1/budgets, in tokens.
type budget struct {
	Organisation string
	Limit        int64
	Spent        int64
	Remaining    int64
	Held         int64
	Uncertain    int64
	Holders      map[string]int64
}

func (s *fleet) budget(organisation string) budget {
	resp := s.do(http.MethodGet, operator2+"/v1/budgets", "operator-key", "")
	var all []budget
	if resp.err != nil || json.Unmarshal([]byte(resp.body), &all) != nil {
		return budget{}
	}
	for _, b := range all {
		if b.Organisation == organisation {
			return b
		}
	}
	return budget{}
}

// generated returns the prompt and output tokens of all requests at the engines.
func (s *fleet) generated() int64 {
	var sum int64
	for _, tokens := range s.generatedByRequest() {
		sum += tokens
	}
	return sum
}

// generatedByRequest returns the prompt and output tokens of each request at the
// engines.
func (s *fleet) generatedByRequest() map[string]int64 {
	sum := make(map[string]int64)
	for _, engine := range []string{"http://127.0.0.1:18301", "http://127.0.0.1:18302"} {
		resp := s.do(http.MethodGet, engine+"/usages", "", "")
		var usages map[string]struct {
			Total int64 `json:"total_tokens"`
		}
		assert.NilError(s.t, json.Unmarshal([]byte(resp.body), &usages))
		for id, u := range usages {
			request, _, _ := strings.Cut(id, ".")
			sum[request] += u.Total
		}
	}
	return sum
}

// awaitSettled waits until the budgets' spend equals what the engines generated
// and the incarnation endedHolder, if given, holds no tokens of alpha.
func (s *fleet) awaitSettled(endedHolder string) {
	check := func(poll.LogT) poll.Result {
		alpha, beta := s.budget("alpha"), s.budget("beta")
		if spent, generated := alpha.Spent+beta.Spent, s.generated(); spent != generated {
			return poll.Continue("spent %d, generated %d", spent, generated)
		}
		for holder, held := range alpha.Holders {
			if endedHolder != "" && strings.HasPrefix(holder, endedHolder) && held > 0 {
				return poll.Continue("%s still holds %d", holder, held)
			}
		}
		return poll.Success()
	}
	poll.WaitOn(s.t, check, poll.WithTimeout(waitTimeout), poll.WithDelay(100*time.Millisecond))
}

// inBackground runs f and returns a function that waits for its response.
func inBackground(f func() response) func() response {
	ch := make(chan response, 1)
	go func() { ch <- f() }()
	return func() response { return <-ch }
}

func TestRouterKilledMidStream(t *testing.T) {
	s := start(t)
	incarnation := s.holderOf("alpha", "router-1")
	wait := inBackground(func() response { return s.chat(router1, "alpha-key", 3000, true) })
	time.Sleep(time.Second)
	s.signal("router-1", syscall.SIGKILL)
	resp := wait()
	assert.Assert(t, resp.err != nil, "the client must get an error when its stream is cut off")
	assert.Assert(t, !strings.Contains(resp.body, "[DONE]"))
	begun := time.Now()
	s.awaitSettled(incarnation)
	t.Logf("the dead router's tokens were usable again after %s", time.Since(begun).Round(time.Millisecond))
	b := s.budget("alpha")
	assert.Equal(t, b.Spent+b.Held+b.Remaining+b.Uncertain, b.Limit)
	assert.Equal(t, s.chat(router2, "alpha-key", 10, false).outcome(), "answered")
}

// holderOf waits until a router holds tokens of a budget and returns the router's
// incarnation.
func (s *fleet) holderOf(organisation, router string) string {
	found := ""
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		s.chat(router1, organisation+"-key", 1, false)
		for holder := range s.budget(organisation).Holders {
			if strings.HasPrefix(holder, router+"@") {
				found = holder
				return poll.Success()
			}
		}
		return poll.Continue("%s holds nothing of %s", router, organisation)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(200*time.Millisecond))
	return found
}

func TestAgentKilledMidStream(t *testing.T) {
	s := start(t)
	wait1 := inBackground(func() response { return s.chat(router1, "alpha-key", 2000, true) })
	wait2 := inBackground(func() response { return s.chat(router2, "beta-key", 2000, true) })
	time.Sleep(time.Second)
	s.signal("agent-engine-1", syscall.SIGKILL)
	s.signal("agent-engine-2", syscall.SIGKILL)
	for _, resp := range []response{wait1(), wait2()} {
		assert.Equal(t, resp.outcome(), "unknown")
		assert.Assert(t, strings.Contains(resp.body, "event: error"))
		assert.Assert(t, !strings.Contains(resp.body, "[DONE]"))
	}
	s.restart("agent-engine-1", "agent", "-settings", "agent-engine-1.toml")
	s.restart("agent-engine-2", "agent", "-settings", "agent-engine-2.toml")
	s.awaitSettled("")
	assert.Equal(t, s.budget("alpha").Uncertain, int64(0))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if resp := s.chat(router1, "alpha-key", 10, false); resp.outcome() != "answered" {
			return poll.Continue("outcome %q", resp.outcome())
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout))
}

func TestPlatformFrozen(t *testing.T) {
	s := start(t)
	s.holderOf("alpha", "router-1")
	s.signal("platform", syscall.SIGSTOP)
	for i := range 40 {
		router := []string{router1, router2}[i%2]
		resp := s.chat(router, "alpha-key", 20, i%3 == 0)
		assert.Equal(t, resp.outcome(), "answered", "request %d: %s", i, resp.body)
	}
	s.signal("platform", syscall.SIGCONT)
	s.awaitSettled("")
}

func TestRouterFrozenAndResumed(t *testing.T) {
	s := start(t)
	incarnation := s.holderOf("alpha", "router-1")
	s.signal("router-1", syscall.SIGSTOP)
	s.awaitSettled(incarnation)
	s.signal("router-1", syscall.SIGCONT)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if resp := s.chat(router1, "alpha-key", 10, false); resp.outcome() != "answered" {
			return poll.Continue("outcome %q %s", resp.outcome(), resp.body)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout))
	s.awaitSettled(incarnation)
}

func TestOrderRunsOnceDespiteCrashes(t *testing.T) {
	s := start(t)
	assert.Equal(t, s.order(router1, "k1").outcome(), "answered")
	assert.Equal(t, s.order(router2, "k1").outcome(), "answered")
	s.signal("agent-desk-1", syscall.SIGKILL)
	time.Sleep(200 * time.Millisecond)
	resp := s.order(router1, "k1")
	assert.Assert(t, resp.outcome() != "failed-after-start")
	s.restart("agent-desk-1", "agent", "-settings", "agent-desk-1.toml")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if resp := s.order(router1, "k1"); resp.outcome() != "answered" {
			return poll.Continue("outcome %q %s", resp.outcome(), resp.body)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout))
	assert.Equal(t, s.runs("k1"), "1")
}

// A new order must run while the platform is down. Its repeats must not run again,
// whichever router they reach, even after the agent has been killed.
func TestOrdersWhilePlatformIsFrozen(t *testing.T) {
	s := start(t)
	assert.Equal(t, s.order(router1, "warm").outcome(), "answered")
	s.signal("platform", syscall.SIGSTOP)
	for i := range 10 {
		key := fmt.Sprint("frozen-", i)
		assert.Equal(t, s.order(router1, key).outcome(), "answered")
		assert.Equal(t, s.order(router2, key).outcome(), "answered")
		assert.Equal(t, s.runs(key), "1")
	}
	s.signal("agent-desk-1", syscall.SIGKILL)
	s.signal("router-1", syscall.SIGKILL)
	time.Sleep(500 * time.Millisecond)
	s.signal("platform", syscall.SIGCONT)
	s.restart("agent-desk-1", "agent", "-settings", "agent-desk-1.toml")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if resp := s.order(router2, "after"); resp.outcome() != "answered" {
			return poll.Continue("outcome %q %s", resp.outcome(), resp.body)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout))
	for i := range 10 {
		key := fmt.Sprint("frozen-", i)
		assert.Equal(t, s.order(router2, key).outcome(), "unknown")
		assert.Equal(t, s.runs(key), "1")
	}
	assert.Equal(t, s.runs("after"), "1")
}

// A router that starts while the platform is down must fetch the configuration and
// vouchers from its peer and then serve.
func TestRouterRestartsWhilePlatformIsFrozen(t *testing.T) {
	s := start(t)
	s.signal("platform", syscall.SIGSTOP)
	s.signal("router-1", syscall.SIGKILL)
	time.Sleep(500 * time.Millisecond)
	s.restart("router-1", "router", "-settings", "router-1.toml")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if resp := s.chat(router1, "alpha-key", 20, false); resp.outcome() != "answered" {
			return poll.Continue("outcome %q %s", resp.outcome(), resp.body)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout))
	for range 10 {
		assert.Equal(t, s.chat(router1, "alpha-key", 20, true).outcome(), "answered")
	}
	s.signal("platform", syscall.SIGCONT)
	s.awaitSettled("")
}
