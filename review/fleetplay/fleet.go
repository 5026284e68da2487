package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/egretroute/egretroute/platform/platformtest"
)

const (
	// heartbeatInterval is how often a target writes its entry.
	heartbeatInterval = 1200 * time.Millisecond
	// copyInterval is the time between two copies of the store, of which maxCopies are kept.
	copyInterval = 250 * time.Millisecond
	maxCopies    = 80
	startTimeout = 10 * time.Second
	// maxPlayTime is when a play is given up: a script may run for 120 s.
	maxPlayTime = 115 * time.Second
)

// tenant is an organisation with a prepaid budget and one key.
type tenant struct {
	name    string
	prepaid int64
}

func (t tenant) key() string { return t.name + "-key" }

// fleet is a small deployment: the system's processes, the platform's store and the targets.
type fleet struct {
	dir, binary  string
	rec          *record
	store        *platformtest.Store
	storeAddress string
	seeds        []string
	gateways     []*process
	companions   []*process
	engines      []*platformtest.Target
	// desks are the targets of a plain service, if a case has one.
	desks   []*platformtest.Target
	tenants []tenant
	running atomic.Bool
	version int
	// away is set while the store is away: targets can't write then.
	away atomic.Bool

	mu     sync.Mutex // guards all below, and the writes of the targets
	copies []platformtest.Copy
	// leaving is the ID of a target that writes no more entries of its own.
	leaving string
	// processes are all that were made, those that were replaced too.
	processes []*process
	stop      chan struct{}
}

func newFleet(rec *record, gateways, companions, engines int, tenants []tenant) (*fleet, error) {
	dir, err := os.MkdirTemp("", "fleetplay-")
	if err != nil {
		return nil, err
	}
	binary := os.Getenv("EGRETROUTE_BINARY")
	if binary == "" {
		binary = "target/egretroute"
	}
	f := &fleet{dir: dir, binary: binary, rec: rec, store: platformtest.NewStore(), tenants: tenants, version: 1, stop: make(chan struct{})}
	f.storeAddress = f.store.Address()
	f.store.SetEra(0)
	for n := range gateways {
		g := f.newProcess("gateway-"+strconv.Itoa(n+1), "gateway")
		f.gateways = append(f.gateways, g)
		if n < 3 {
			f.seeds = append(f.seeds, strconv.Quote(g.fleet))
		}
	}
	for n := range companions {
		f.companions = append(f.companions, f.newProcess("side-"+strconv.Itoa(n+1), "companion"))
	}
	for n := range engines {
		f.engines = append(f.engines, platformtest.NewTarget("i-"+strconv.Itoa(n+1), "llm"))
	}
	f.configure()
	go f.giveUp()
	return f, nil
}

// configure writes a configuration with one route to the engines.
func (f *fleet) configure() {
	type object = map[string]any
	var tenants []object
	for _, t := range f.tenants {
		tenants = append(tenants, object{"name": t.name, "api-keys": []string{t.key()}, "priority": 1, "prepaid": t.prepaid})
	}
	value, _ := json.Marshal(object{ // always encodes
		"version": f.version,
		"routes": []object{{
			"name": "checks", "hostname": "api.example", "prefix": "/checks/", "route-type": "idempotent", "timeout-ms": 1500,
			"target-latency-ms": 300, "priority": 2, "service": "desk", "max-attempts": 2,
		}, {
			"name": "reviews", "hostname": "api.example", "prefix": "/reviews/", "route-type": "streaming", "timeout-ms": 5000,
			"target-latency-ms": 600, "priority": 1, "service": "llm", "max-attempts": 1, "session-affinity": true, "stream-resume": false,
			"gap-target-ms": 300,
		}, {
			"name": "notes", "hostname": "api.example", "prefix": "/notes/", "route-type": "streaming", "timeout-ms": 5000,
			"target-latency-ms": 400, "priority": 0, "service": "llm", "max-attempts": 2, "session-affinity": true, "stream-resume": true,
			"gap-target-ms": 300,
		}},
		"services": []object{{"name": "desk", "health-path": "/healthz", "max-connections": 100}, {
			"name": "llm", "health-path": "/healthz", "max-connections": 300,
			"engine": object{"slots": 48, "kv-capacity": 328336, "stride": platformtest.TokensPerEvent},
		}},
		"limits":  object{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": tenants,
	})
	f.store.Put("op", "", "config", value)
	f.version += 3
}

// start starts all processes and targets, and waits until the gateways are ready.
func (f *fleet) start() error {
	f.register()
	go f.beat()
	for _, p := range append(append([]*process{}, f.companions...), f.gateways...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, g := range f.gateways {
		if !g.waitReady(startTimeout) {
			return fmt.Errorf("%s is not ready", g.name)
		}
	}
	f.running.Store(true)
	return nil
}

// targets returns all targets.
func (f *fleet) targets() []*platformtest.Target {
	return slices.Concat(f.engines, f.desks)
}

// register lets all targets that are up write their entries.
func (f *fleet) register() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.targets() {
		if t.Up() && t.ID != f.leaving {
			platformtest.PutTarget(f.store, t.ID, t.Entry("ready"))
		}
	}
}

// beat lets the targets write their entries and takes copies of the store.
func (f *fleet) beat() {
	ticker := time.NewTicker(copyInterval)
	defer ticker.Stop()
	beatAt := time.Now()
	for {
		select {
		case <-f.stop:
			return
		case <-ticker.C:
		}
		if f.away.Load() {
			continue
		}
		if time.Since(beatAt) >= heartbeatInterval {
			beatAt = time.Now()
			f.register()
		}
		f.mu.Lock()
		f.copies = append(f.copies, f.store.Copy())
		f.copies = f.copies[max(len(f.copies)-maxCopies, 0):]
		f.mu.Unlock()
	}
}

// drill lets the store be away for a moment and come back from a copy of some age. What the operator and
// the targets wrote is written again at once.
func (f *fleet) drill(away, age time.Duration) {
	f.away.Store(true)
	f.rec.event("the store is away")
	f.store.SetFaults(platformtest.Faults{Status: 503})
	f.mu.Lock()
	restored := f.copies[max(len(f.copies)-1-int(age/copyInterval), 0)]
	f.mu.Unlock()
	time.Sleep(away)
	rewrite := f.store.Restore(restored)
	f.store.SetFaults(platformtest.Faults{})
	rewrite()
	f.mu.Lock()
	f.copies = nil
	f.mu.Unlock()
	f.away.Store(false)
	f.rec.event("the store is back from a copy %v old", age)
}

// close ends all processes and targets, and records what the targets ran.
func (f *fleet) close() {
	close(f.stop)
	for _, t := range f.targets() {
		for _, r := range t.Runs() {
			f.rec.line("%s ran %s of %s: %s", t.ID, r.ID, r.Tenant, r.URI)
		}
	}
	f.killAll()
	for _, t := range f.targets() {
		t.Close()
	}
	f.store.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
		return
	}
	fmt.Println("logs in", f.dir)
}

// killAll ends all processes.
func (f *fleet) killAll() {
	f.mu.Lock()
	processes := slices.Clone(f.processes)
	f.mu.Unlock()
	var ends sync.WaitGroup
	for _, p := range processes {
		if p.isRunning() {
			ends.Go(p.kill)
		}
	}
	ends.Wait()
}

// giveUp ends all processes and the play when it is told to end or has lasted too long.
func (f *fleet) giveUp() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-f.stop:
		return
	case <-signals:
	case <-time.After(maxPlayTime):
	}
	f.rec.event("the play is given up")
	f.killAll()
	_ = os.RemoveAll(f.dir)
	os.Exit(unplayed)
}

// spent returns what each tenant has consumed as the engines and clients have seen it: the prompts of requests that ran,
// each once, and the events that clients got.
func (f *fleet) spent(l *load) map[string]int64 {
	ran := make(map[string]bool)
	out := make(map[string]int64)
	for _, e := range f.engines {
		for _, r := range e.Runs() {
			if !ran[r.ID] {
				ran[r.ID] = true
				out[r.Tenant] += promptTokens
			}
		}
	}
	for _, o := range l.observed() {
		out[o.tenant] += int64(len(o.response.Events)) * platformtest.TokensPerEvent
	}
	return out
}
