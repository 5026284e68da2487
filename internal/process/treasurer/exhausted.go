package treasurer

import (
	"sync"
	"time"
)

// exhaustedBudgets holds the budgets that recently had no tokens left at the
// platform.
type exhaustedBudgets struct {
	mu    sync.Mutex // guards until
	until map[string]time.Time
}

func (d *exhaustedBudgets) add(organisation string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.until == nil {
		d.until = make(map[string]time.Time)
	}
	d.until[organisation] = now.Add(exhaustedPause)
}

func (d *exhaustedBudgets) contains(organisation string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Before(d.until[organisation])
}
