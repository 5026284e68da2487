package main

import (
	"slices"
	"sync"
	"time"
)

const (
	// recoveryTime is the platform's recovery-s.
	recoveryTime = 12 * time.Second
	// countTime is how long requests are counted after that, downTime how long processes are down in the final fault.
	countTime    = 15 * time.Second
	downTime     = 1100 * time.Millisecond
	restartPause = 500 * time.Millisecond
)

// playRestarts takes a gateway away for good. Half a minute later the companions are stopped and started in turn, and then the store
// comes back from a copy. The final fault ends it.
func playRestarts(rec *record, trouble bool) (bool, error) {
	f, err := newFleet(rec, 4, 3, 3, []tenant{{"alpha", 500_000}, {"beta", 500_000}})
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
	time.Sleep(8 * time.Second)
	f.gateways[3].stop()
	time.Sleep(26 * time.Second)
	for _, c := range f.companions {
		c.stop()
		time.Sleep(restartPause)
		if err := c.start(); err != nil {
			return false, err
		}
		time.Sleep(restartPause)
	}
	time.Sleep(time.Second)
	if trouble {
		f.drill(time.Second, 4*time.Second)
	}
	time.Sleep(14 * time.Second)
	return f.endWithFinalFault(l, began)
}

// endWithFinalFault lets a configuration be acknowledged and kills all processes. It reports whether less than a quarter of the requests are
// served that are sent later than recoveryTime after the processes are back, though a quarter or more was before.
func (f *fleet) endWithFinalFault(l *load, began time.Time) (isBroken bool, err error) {
	fault := time.Now()
	f.configure()
	running := slices.DeleteFunc(slices.Concat(l.members(), f.companions), func(p *process) bool { return !p.isRunning() })
	var kills sync.WaitGroup
	for _, p := range running {
		kills.Go(p.kill)
	}
	kills.Wait()
	time.Sleep(downTime)
	for _, p := range running {
		if err := p.start(); err != nil {
			return false, err
		}
	}
	back := time.Now()
	time.Sleep(recoveryTime + countTime)
	end := time.Now()
	l.stop()
	f.recordSpent(l)
	before, allBefore := l.share(began, fault)
	after, allAfter := l.share(back.Add(recoveryTime), end)
	f.rec.event("served: %d of %d before the final fault, %d of %d later than %v after", before, allBefore, after, allAfter, recoveryTime)
	return 4*before >= allBefore && 4*after < allAfter, nil
}

// recordSpent records what each tenant has consumed.
func (f *fleet) recordSpent(l *load) {
	spent := f.spent(l)
	for _, t := range f.tenants {
		f.rec.event("%s: %d of %d prepaid tokens are spent", t.name, spent[t.name], t.prepaid)
	}
}
