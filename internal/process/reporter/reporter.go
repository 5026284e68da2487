// Package reporter counts requests and reports the burn rate of each
// organisation's error budget.
//
// # Usage
//
//	bt := reporter.NewBurnTracker(time.Now)
//	bt.Add(reporter.Observation{Organisation: "alpha", Priority: declarer.PriorityUrgent, Answered: true})
//	rows := bt.BurnRates()
//
// A burn rate of 1 uses up the error budget exactly by the end of the objective's
// period. An alert requires that both windows of a pair exceed its threshold: 14.4
// for the fast pair and 6 for the slow pair, as in the multi-window method of the
// Google SRE workbook.
package reporter

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/egretroute/egretroute/internal/version/declarer"
)

const (
	bucketWidth = time.Minute
	bucketCount = 6 * 60
	// fastBurnRate and slowBurnRate are the alert thresholds of the fast and the slow
	// pair of windows.
	fastBurnRate = 14.4
	slowBurnRate = 6
)

// Windows of the report. The fast pair is 5m and 1h, the slow pair 30m and 6h.
const (
	window5m  = 5 * time.Minute
	window30m = 30 * time.Minute
	window1h  = time.Hour
	window6h  = 6 * time.Hour
)

// Observation is the outcome of one request.
type Observation struct {
	Organisation  string
	Priority      declarer.Priority
	Answered      bool
	FirstByte     time.Duration
	Refused       bool
	BudgetRefused bool
	// ClientFault is set if the client caused the failure; the request is not counted.
	ClientFault bool
}

// tally counts the requests of one minute.
type tally struct {
	minute        int64
	total         int32
	failed        int32
	slow          int32
	refused       int32
	budgetRefused int32
}

type seriesKey struct {
	organisation string
	priority     declarer.Priority
}

// BurnTracker counts requests by organisation and priority, in buckets of one minute
// over the last six hours.
type BurnTracker struct {
	now func() time.Time

	mu         sync.Mutex // guards all below
	series     map[seriesKey][]tally
	objectives map[declarer.Priority]declarer.Objective
}

// NewBurnTracker returns an empty BurnTracker that reads the time from now.
func NewBurnTracker(now func() time.Time) *BurnTracker {
	return &BurnTracker{now: now, series: make(map[seriesKey][]tally), objectives: make(map[declarer.Priority]declarer.Objective)}
}

// SetObjectives sets the objectives for later observations and reports.
func (bt *BurnTracker) SetObjectives(all []declarer.Objective) {
	bt.mu.Lock()
	defer bt.mu.Unlock()
	clear(bt.objectives)
	for _, o := range all {
		bt.objectives[o.Priority] = o
	}
}

// Add counts one request.
func (bt *BurnTracker) Add(obs Observation) {
	if obs.ClientFault {
		return
	}
	bt.mu.Lock()
	defer bt.mu.Unlock()
	t := bt.currentBucket(seriesKey{obs.Organisation, obs.Priority})
	t.total++
	if !obs.Answered {
		t.failed++
	}
	limit := bt.objectives[obs.Priority].FirstToken
	if obs.Answered && limit > 0 && obs.FirstByte > limit {
		t.slow++
	}
	if obs.Refused {
		t.refused++
	}
	if obs.BudgetRefused {
		t.budgetRefused++
	}
}

// currentBucket returns the tally of the current minute, which it adds if needed.
func (bt *BurnTracker) currentBucket(key seriesKey) *tally {
	minute := bt.now().Unix() / int64(bucketWidth.Seconds())
	list := bt.series[key]
	if n := len(list); n == 0 || list[n-1].minute != minute {
		list = append(list, tally{minute: minute})
		if len(list) > bucketCount {
			list = slices.Delete(list, 0, len(list)-bucketCount)
		}
		bt.series[key] = list
	}
	return &list[len(list)-1]
}

// Row is the report of one organisation and priority.
type Row struct {
	Organisation  string
	Priority      declarer.Priority
	Objective     float64
	Requests      int64
	Refused       int64
	BudgetRefused int64
	// Burn rates by window; 1 uses up the error budget exactly.
	Burn5m, Burn30m, Burn1h, Burn6h float64
	// Alert is "fast", "slow" or empty.
	Alert string
}

// BurnRates returns a row for each organisation and priority, sorted by
// organisation and then by descending priority.
func (bt *BurnTracker) BurnRates() []Row {
	bt.mu.Lock()
	defer bt.mu.Unlock()
	rows := make([]Row, 0, len(bt.series))
	for key, list := range bt.series {
		rows = append(rows, bt.row(key, list))
	}
	slices.SortFunc(rows, func(a, b Row) int {
		if c := strings.Compare(a.Organisation, b.Organisation); c != 0 {
			return c
		}
		return int(b.Priority) - int(a.Priority)
	})
	return rows
}

func (bt *BurnTracker) row(key seriesKey, list []tally) Row {
	const defaultObjective = 0.99
	row := Row{Organisation: key.organisation, Priority: key.priority, Objective: defaultObjective}
	if o, ok := bt.objectives[key.priority]; ok {
		row.Objective = o.Success
	}
	all := bt.sum(list, window6h)
	row.Requests, row.Refused, row.BudgetRefused = int64(all.total), int64(all.refused), int64(all.budgetRefused)
	row.Burn5m = burnRate(bt.sum(list, window5m), row.Objective)
	row.Burn30m = burnRate(bt.sum(list, window30m), row.Objective)
	row.Burn1h = burnRate(bt.sum(list, window1h), row.Objective)
	row.Burn6h = burnRate(all, row.Objective)
	switch {
	case row.Burn5m >= fastBurnRate && row.Burn1h >= fastBurnRate:
		row.Alert = "fast"
	case row.Burn30m >= slowBurnRate && row.Burn6h >= slowBurnRate:
		row.Alert = "slow"
	}
	return row
}

// sum returns the sum of the tallies in a window that ends now.
func (bt *BurnTracker) sum(list []tally, window time.Duration) tally {
	from := bt.now().Add(-window).Unix() / int64(bucketWidth.Seconds())
	var t tally
	for _, b := range list {
		if b.minute <= from {
			continue
		}
		t.total += b.total
		t.failed += b.failed
		t.slow += b.slow
		t.refused += b.refused
		t.budgetRefused += b.budgetRefused
	}
	return t
}

// burnRate returns the fraction of bad requests divided by the fraction allowed.
func burnRate(t tally, objective float64) float64 {
	if t.total == 0 {
		return 0
	}
	bad := float64(t.failed+t.slow) / float64(t.total)
	return bad / (1 - objective)
}
