// Package soaker runs gateways and companions as separate processes under
// random faults and checks the system's guarantees by what clients and targets
// observe.
//
// The platform's store and the targets are stand-ins in the soak's own process.
// Faults are injected from outside the programs: by signals, by a loopback proxy
// in front of each program's store and of each target, and by the store and the
// targets themselves. A seed determines the sequence of faults, which may overlap.
//
// # Usage
//
//	s := &soaker.Soak{
//		Binary: "/path/to/egretroute", Dir: dir, Seed: 7, Gateways: 3, Companions: 2, Engines: 4, Services: 3,
//		Clients: 12, FaultDuration: 20 * time.Second, CalmDuration: 8 * time.Second,
//	}
//	findings, err := s.Run(ctx)
//
// Every finding names the violated guarantee; the programs' logs stay in Dir.
package soaker

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/platform/platformtest"
)

// Soak is one soak test run.
//
// Exported fields are set before Run.
type Soak struct {
	// Binary is the path of the program, Dir the folder for settings and logs.
	Binary string
	Dir    string
	Seed   uint64
	// Gateways and Companions are numbers of processes, Engines and Services
	// numbers of targets.
	Gateways   int
	Companions int
	Engines    int
	Services   int
	Clients    int
	// KeepingClients is the number of further clients that use open connections until the gateway
	// closes them.
	KeepingClients int
	// PlannedOnly passes over the faults that disturb programs in ways that nobody plans: kills and
	// freezes.
	PlannedOnly bool
	// LongFreezes adds freezes of gateways that last until the others have declared them gone.
	LongFreezes bool
	// FaultDuration is how long faults are injected, CalmDuration how long clients
	// go on after all faults have ended.
	FaultDuration time.Duration
	CalmDuration  time.Duration
	// IgnoreConditions makes the store ignore the conditions of commits, to test
	// that the check of spending fails then. The store does not come back from copies
	// then: the budgets would count as drawn, and nobody could draw tokens twice. Targets
	// name no limits then: requests would be too few to spend the budget.
	IgnoreConditions bool
	// HarmfulParts adds requests that have a part in common which crashes targets.
	HarmfulParts bool
	// Resumed is the number of times that streams were resumed, ResumedAtFailing how
	// many of them at a target that failed; Run sets both.
	Resumed          int
	ResumedAtFailing int
	// CrashingRuns is the number of runs of requests that crash targets, Crashes the number
	// of crashes; Run sets both.
	CrashingRuns int
	Crashes      int
	// Losses counts what the check of losses has judged; Run sets it.
	Losses Losses

	random   *rand.Rand
	store    *platformtest.Store
	programs []*program
	targets  []*target
	history  History
	log      *os.File

	// senders send requests that crash targets until clientsCtx ends.
	senders    sync.WaitGroup
	clientsCtx context.Context

	mu              sync.Mutex // guards the fields below
	configuration   platformtest.Configuration
	storeFaultCount int
	copies          []platformtest.Copy
	// disturbances are the times in which each target may have broken off responses.
	disturbances  map[string][]Period
	harmfulCount  int
	crashingCount int
}

const (
	secret = "secret of the fault soak"
	// readyTimeout is how long a program may take to be ready without faults.
	readyTimeout = 10 * time.Second
	// initialBudget is alpha's first budget in tokens; every raise adds budgetRaise.
	initialBudget = 150_000
	budgetRaise   = 40_000
	// stopLimit is the shutdownLimit in the gateways' settings.
	stopLimit = 6 * time.Second
)

// target is a stand-in target behind a proxy.
type target struct {
	standin *platformtest.Target
	proxy   *proxy
}

// Run runs the soak and returns its findings.
func (s *Soak) Run(ctx context.Context) ([]string, error) {
	s.random = rand.New(rand.NewPCG(s.Seed, 1))
	s.store = platformtest.NewStore()
	defer s.store.Close()
	s.store.SetEra(0)
	s.disturbances = make(map[string][]Period)
	var err error
	if s.log, err = os.Create(filepath.Join(s.Dir, "soak.log")); err != nil {
		return nil, errors.Wrap(err, "create log")
	}
	defer s.log.Close()
	s.configuration = platformtest.Configuration{Version: 1, AlphaBudget: initialBudget, ExtraRoutes: 1}
	s.configuration.Put(s.store)
	s.store.SetFaults(s.withIgnoredConditions(platformtest.Faults{}))
	defer s.stopAll()
	if err := s.startAll(); err != nil {
		return nil, err
	}
	clientsCtx, stopClients := context.WithCancel(ctx)
	defer stopClients()
	s.clientsCtx = clientsCtx
	var wg sync.WaitGroup
	for i := range s.Clients {
		wg.Go(func() { s.runClient(clientsCtx, i) })
	}
	for i := range s.KeepingClients {
		wg.Go(func() { s.runKeepingClient(clientsCtx, i) })
	}
	s.injectFaults(ctx)
	s.endFaults()
	s.logEvent("calm", "")
	recoveryDeadline := time.Now().Add(s.CalmDuration / 2)
	sleep(ctx, s.CalmDuration)
	stopClients()
	wg.Wait()
	s.senders.Wait()
	evidence := s.evidence()
	s.count(evidence.Runs)
	s.Losses = s.history.countLosses(evidence)
	findings := s.history.Check(Bounds{AlphaBudget: s.configuration.AlphaBudget, RecoveryDeadline: recoveryDeadline}, evidence)
	return append(findings, s.checkStops()...), nil
}

// logEvent writes a line to the soak's own log.
func (s *Soak) logEvent(event, detail string) {
	_, _ = fmt.Fprintf(s.log, "%s %s %s\n", time.Now().UTC().Format("15:04:05.000"), event, detail) // the checks don't depend on it
}

func (s *Soak) startAll() error {
	for i := range s.Engines + s.Services {
		service := "llm"
		if i >= s.Engines {
			service = "desk"
		}
		standin := platformtest.NewTarget(fmt.Sprintf("i-%s-%d", service, i), service)
		standin.SetBehaviour(healthyBehaviour)
		p, err := newProxy(standin.Address())
		if err != nil {
			return err
		}
		t := &target{standin: standin, proxy: p}
		standin.CrashOn(crashText)
		standin.CrashOnPart(platformtest.PartCrash{Parts: harmfulParts(), Point: platformtest.InsideEvent})
		standin.OnCrash = func() {
			s.logEvent("crash", standin.ID)
			s.noteCrash(standin.ID)
			p.refuse()
		}
		standin.OnRestart = func() { s.restartTarget(t) }
		s.targets = append(s.targets, t)
		s.putEntry(t, "ready")
	}
	addresses := make([]string, s.Gateways)
	for i := range addresses {
		addresses[i] = platformtest.NewAddress()
	}
	for i := range s.Gateways {
		if err := s.addProgram(fmt.Sprintf("gateway-%d", i), "gateway", addresses[i], addresses); err != nil {
			return err
		}
	}
	for i := range s.Companions {
		if err := s.addProgram(fmt.Sprintf("companion-%d", i), "companion", platformtest.NewAddress(), nil); err != nil {
			return err
		}
	}
	for _, p := range s.programs {
		if !p.waitReady(readyTimeout) {
			return errors.Errorf("%s is not ready", p.name)
		}
	}
	return nil
}

// addProgram starts a program with its own proxy in front of the store.
func (s *Soak) addProgram(name, kind, fleetAddress string, seeds []string) error {
	storeProxy, err := newProxy(s.store.Address())
	if err != nil {
		return err
	}
	p := &program{
		name: name, kind: kind, binary: s.Binary, dir: s.Dir, fleetAddress: fleetAddress, seeds: seeds, storeProxy: storeProxy,
		callerAddress: platformtest.NewAddress(), readyAddress: platformtest.NewAddress(), retrySlack: 50,
	}
	s.programs = append(s.programs, p)
	return p.start()
}

// putEntry writes a target's entry with the address of its proxy.
func (s *Soak) putEntry(t *target, state string) {
	platformtest.PutTarget(s.store, t.standin.ID, t.standin.EntryAt(t.proxy.address, state))
}

func (s *Soak) stopAll() {
	for _, p := range s.programs {
		p.kill()
		p.storeProxy.close()
	}
	for _, t := range s.targets {
		t.proxy.close()
		t.standin.Close()
	}
}

// withIgnoredConditions returns f with Unconditional set to IgnoreConditions.
func (s *Soak) withIgnoredConditions(f platformtest.Faults) platformtest.Faults {
	f.Unconditional = s.IgnoreConditions
	return f
}

// runs returns the runs of all targets by request ID.
func (s *Soak) runs() map[string][]platformtest.Run {
	out := make(map[string][]platformtest.Run)
	for _, t := range s.targets {
		for _, r := range t.standin.Runs() {
			out[r.ID] = append(out[r.ID], r)
		}
	}
	return out
}

// arrivals returns the requests that reached each target.
func (s *Soak) arrivals() map[string][]platformtest.Arrival {
	out := make(map[string][]platformtest.Arrival)
	for _, t := range s.targets {
		out[t.standin.ID] = t.standin.Arrivals()
	}
	return out
}

// evidence returns what is known besides the clients' observations.
func (s *Soak) evidence() Evidence {
	ev := Evidence{Runs: s.runs(), Arrivals: s.arrivals(), Signals: make(map[string][]Signal)}
	for _, p := range s.programs {
		ev.Signals[p.name] = p.noted()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ev.Disturbances = maps.Clone(s.disturbances)
	return ev
}

// noteCrash notes that a target has crashed and is down.
func (s *Soak) noteCrash(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.disturbances[target] = append(s.disturbances[target], Period{From: now.Add(-crashNotice), Until: now.Add(crashNotice)})
}

// count counts the runs that show what the seed has tested.
func (s *Soak) count(runs map[string][]platformtest.Run) {
	for _, list := range runs {
		for _, r := range list {
			if strings.HasPrefix(r.Body, crashText) {
				s.CrashingRuns++
			}
			if r.Crashed {
				s.Crashes++
			}
			if r.LastEventID == "" {
				continue
			}
			s.Resumed++
			if r.Behaviour.IsFailure() {
				s.ResumedAtFailing++
			}
		}
	}
}

// checkStops returns the programs' findings: crashes and stops that took too long.
func (s *Soak) checkStops() []string {
	var found []string
	for _, p := range s.programs {
		found = append(found, p.collectFindings()...)
	}
	return found
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
