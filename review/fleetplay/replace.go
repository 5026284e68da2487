package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/egretroute/egretroute/platform/platformtest"
)

const (
	// replaceRounds is how often all gateways are replaced, replaceInterval the time between two replacements.
	replaceRounds   = 3
	replaceInterval = 2 * time.Second
	// drainTime is the platform's drain-ms.
	drainTime = 2 * time.Second
)

// playReplace replaces the gateways one after the other by new ones of other names and addresses: a new one is started, and an old one is
// stopped once the new one is ready and taken away for good. Then one of the three hosts with targets is emptied and taken away. All of it is
// planned work. The final fault ends it.
func playReplace(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 3, 3, 3, []tenant{{"alpha", 500_000}, {"beta", 500_000}})
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := f.start(); err != nil {
		return false, err
	}
	l := newLoad(f, 50*time.Millisecond)
	began := time.Now()
	l.start()
	time.Sleep(10 * time.Second)
	var stops sync.WaitGroup
	if trouble {
		for n := range replaceRounds * len(l.members()) {
			g := f.newProcess(fmt.Sprintf("gateway-%d", n+4), "gateway")
			if err := g.start(); err != nil {
				return false, err
			}
			if !g.waitReady(startTimeout) {
				return false, fmt.Errorf("%s is not ready", g.name)
			}
			old := l.replace(n%len(l.members()), g)
			stops.Go(old.stop)
			time.Sleep(replaceInterval)
		}
		stops.Wait()
	}
	f.takeAway(2)
	time.Sleep(10 * time.Second)
	return f.endWithFinalFault(l, began)
}

// takeAway empties a host with a target and takes it away: the target says that it leaves and ends, and the companion is stopped.
func (f *fleet) takeAway(n int) {
	e := f.engines[n]
	f.mu.Lock()
	f.leaving = e.ID
	platformtest.PutTarget(f.store, e.ID, e.Entry("draining"))
	f.mu.Unlock()
	f.rec.event("%s leaves", e.ID)
	time.Sleep(drainTime + time.Second)
	f.mu.Lock()
	platformtest.PutTarget(f.store, e.ID, nil)
	f.mu.Unlock()
	e.Stop()
	f.companions[n].stop()
}
