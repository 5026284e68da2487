// Package soaker runs gateways and companions as separate processes under
// random faults, and holds them to what must always be true, from what their
// callers and targets see.
//
// The platform's store and the targets are stand-ins in the soak's own process.
// Faults come from outside the programs: signals, a loopback proxy before the
// store of each program and before each target, and a store and targets that
// misbehave. They overlap and come in series, drawn from a seed.
//
// # Usage
//
//	s := &soaker.Soak{Binary: "/path/to/egretroute", Dir: dir, Seed: 7, Gateways: 3, Companions: 2, Engines: 4, Desks: 3,
//		Callers: 12, Faulty: 20 * time.Second, Calm: 8 * time.Second}
//	findings, err := s.Run(ctx)
//
// Every finding names the promise that was broken; the programs' logs stay in Dir.
package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/platform/platformtest"
)

// Soak is one run.
//
// Exported fields are set before Run.
type Soak struct {
	// Binary is the program, Dir takes settings and logs.
	Binary string
	Dir    string
	Seed   uint64
	// Gateways, Companions, Engines and Desks are numbers of processes and targets.
	Gateways   int
	Companions int
	Engines    int
	Services   int
	Clients    int
	// FaultDuration is how long faults come, Calm how long traffic goes on after the last.
	FaultDuration time.Duration
	CalmDuration  time.Duration
	// IgnoreConditions has the store ignore the conditions of commits, so that the check
	// of spending can be seen to fail.
	IgnoreConditions bool

	random   *rand.Rand
	store    *platformtest.Store
	programs []*program
	targets  []*target
	history  History
	log      *os.File

	mu              sync.Mutex // guards configuration and storeFaults
	configuration   platformtest.Configuration
	storeFaultCount int
}

const (
	secret = "secret of the fault soak"
	// readyTimeout is how long a program may take to be ready in a calm fleet.
	readyTimeout = 10 * time.Second
	// initialBudget is what alpha may spend; raises come on top.
	initialBudget = 150_000
	budgetRaise   = 40_000
	// stopLimit is how long a stopped gateway may finish requests, by its settings.
	stopLimit = 6 * time.Second
)

// target is a stand-in behind a proxy.
type target struct {
	standin *platformtest.Target
	proxy   *proxy
}

// Run plays the soak and returns what was found.
func (s *Soak) Run(ctx context.Context) ([]string, error) {
	s.random = rand.New(rand.NewPCG(s.Seed, 1))
	s.store = platformtest.NewStore()
	defer s.store.Close()
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
	var wg sync.WaitGroup
	for i := range s.Clients {
		wg.Go(func() { s.runClient(clientsCtx, i) })
	}
	s.injectFaults(ctx)
	s.endFaults()
	s.logEvent("calm", "")
	recoveryDeadline := time.Now().Add(s.CalmDuration / 2)
	sleep(ctx, s.CalmDuration)
	stopClients()
	wg.Wait()
	findings := s.history.Check(Bounds{AlphaBudget: s.configuration.AlphaBudget, RecoveryDeadline: recoveryDeadline}, s.runs())
	return append(findings, s.checkStops()...), nil
}

// logEvent writes a line of the soak's own log.
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
		s.targets = append(s.targets, t)
		s.putEntry(t, "ready")
	}
	addresses := make([]string, s.Gateways)
	for i := range addresses {
		addresses[i] = freeAddress()
	}
	for i := range s.Gateways {
		if err := s.addProgram(fmt.Sprintf("gateway-%d", i), "gateway", addresses[i], addresses); err != nil {
			return err
		}
	}
	for i := range s.Companions {
		if err := s.addProgram(fmt.Sprintf("companion-%d", i), "companion", freeAddress(), nil); err != nil {
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

// addProgram starts a program behind a proxy of its own to the store.
func (s *Soak) addProgram(name, kind, fleetAddress string, seeds []string) error {
	storeProxy, err := newProxy(s.store.Address())
	if err != nil {
		return err
	}
	p := &program{
		name: name, kind: kind, binary: s.Binary, dir: s.Dir, fleetAddress: fleetAddress, seeds: seeds, storeProxy: storeProxy,
		callerAddress: freeAddress(), readyAddress: freeAddress(), retrySlack: 50,
	}
	s.programs = append(s.programs, p)
	return p.start()
}

// putEntry writes a target's entry, by the address of its proxy.
func (s *Soak) putEntry(t *target, state string) {
	platformtest.PutTarget(s.store, t.standin.ID, t.standin.EntryAt(t.proxy.address(), state))
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

// withIgnoredConditions adds the sabotage, if any, to the withIgnoredConditions of the store.
func (s *Soak) withIgnoredConditions(f platformtest.Faults) platformtest.Faults {
	f.Unconditional = s.IgnoreConditions
	return f
}

// runs returns what all targets ran.
func (s *Soak) runs() map[string][]platformtest.Run {
	out := make(map[string][]platformtest.Run)
	for _, t := range s.targets {
		for _, r := range t.standin.Runs() {
			out[r.ID] = append(out[r.ID], r)
		}
	}
	return out
}

// checkStops reports gateways that did not end by themselves when told to stop.
func (s *Soak) checkStops() []string {
	var found []string
	for _, p := range s.programs {
		found = append(found, p.collectFindings()...)
	}
	return found
}

// freeAddress returns a loopback address that was free a moment ago.
func freeAddress() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0" // the program that is given it says so
	}
	defer ln.Close()
	return ln.Addr().String()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
