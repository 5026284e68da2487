package main

import "time"

const (
	// recoveryTime is the platform's recovery-s.
	recoveryTime = 12 * time.Second
	restartPause = 500 * time.Millisecond
)

// playRestarts takes a gateway away for good. Half a minute later the companions are stopped and started in turn, and then the store
// comes back from a copy.
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
	back := time.Now()
	time.Sleep(recoveryTime + 30*time.Second)
	end := time.Now()
	l.stop()
	return f.judgeRecovery(l, began, back.Add(-4*time.Second), back, end), nil
}

// judgeRecovery reports whether less than a quarter of the requests sent later than recoveryTime after back were served, though a
// quarter or more was before fault.
func (f *fleet) judgeRecovery(l *load, began, fault, back, end time.Time) bool {
	before, allBefore := l.share(began, fault)
	after, allAfter := l.share(back.Add(recoveryTime), end)
	spent := f.spent(l)
	for _, t := range f.tenants {
		f.rec.event("%s: %d of %d prepaid tokens are spent", t.name, spent[t.name], t.prepaid)
	}
	f.rec.event("served: %d of %d before, %d of %d later than %v after", before, allBefore, after, allAfter, recoveryTime)
	return 4*before >= allBefore && 4*after < allAfter
}
