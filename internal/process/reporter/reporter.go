// Package reporter keeps score of requests and reports how fast each
// organisation's error budget burns.
//
// # Usage
//
//	s := reporter.NewScores(time.Now)
//	s.Add(reporter.Score{Organisation: "alpha", Priority: declarer.PriorityUrgent, Answered: true})
//	rows := s.Burn()
//
// A burn of 1 uses up the error budget exactly by the end of the objective's
// period. A pair of windows alerts together: a fast pair at 14.4, a slow pair
// at 6, as in the multi-window method of the Google SRE workbook.
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
	// fastBurn and slowBurn are the burns that alert in the fast and slow pair.
	fastBurn = 14.4
	slowBurn = 6
)

// Windows of the report: the fast pair is 5m and 1h, the slow pair 30m and 6h.
const (
	window5m  = 5 * time.Minute
	window30m = 30 * time.Minute
	window1h  = time.Hour
	window6h  = 6 * time.Hour
)

// Observation is one request that has ended.
type Observation struct {
	Organisation  string
	Priority      declarer.Priority
	Answered      bool
	FirstByte     time.Duration
	Refused       bool
	BudgetRefused bool
	// CallerFault requests count neither way.
	CallerFault bool
}

// tally counts the requests of one bucket.
type tally struct {
	minute        int64
	total         int32
	failed        int32
	slow          int32
	refused       int32
	budgetRefused int32
}

type series struct {
	organisation string
	priority     declarer.Priority
}

// BurnTracker keeps tallies of the last six hours, by organisation and priority.
type BurnTracker struct {
	now func() time.Time

	mu         sync.Mutex // guards all below
	series     map[series][]tally
	objectives map[declarer.Priority]declarer.Objective
}

// NewBurnTracker returns empty scores that read the time from now.
func NewBurnTracker(now func() time.Time) *BurnTracker {
	return &BurnTracker{now: now, series: make(map[series][]tally), objectives: make(map[declarer.Priority]declarer.Objective)}
}

// SetObjectives sets the bounds that a request is held against from now on.
func (s *BurnTracker) SetObjectives(all []declarer.Objective) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.objectives)
	for _, o := range all {
		s.objectives[o.Priority] = o
	}
}

// Add counts one request.
func (s *BurnTracker) Add(score Observation) {
	if score.CallerFault {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.bucket(series{score.Organisation, score.Priority})
	t.total++
	if !score.Answered {
		t.failed++
	}
	limit := s.objectives[score.Priority].FirstToken
	if score.Answered && limit > 0 && score.FirstByte > limit {
		t.slow++
	}
	if score.Refused {
		t.refused++
	}
	if score.BudgetRefused {
		t.budgetRefused++
	}
}

// bucket returns the tally of the current minute.
func (s *BurnTracker) bucket(key series) *tally {
	minute := s.now().Unix() / int64(bucketWidth.Seconds())
	list := s.series[key]
	if n := len(list); n == 0 || list[n-1].minute != minute {
		list = append(list, tally{minute: minute})
		if len(list) > bucketCount {
			list = slices.Delete(list, 0, len(list)-bucketCount)
		}
		s.series[key] = list
	}
	return &list[len(list)-1]
}

// Row is the report on one organisation and priority.
type Row struct {
	Organisation  string
	Priority      declarer.Priority
	Objective     float64
	Requests      int64
	Refused       int64
	BudgetRefused int64
	// Burns by window; 1 uses up the error budget exactly.
	Burn5m, Burn30m, Burn1h, Burn6h float64
	// Alert is "fast", "slow" or empty.
	Alert string
}

// BurnRates returns a row for each organisation and priority, sorted.
func (s *BurnTracker) BurnRates() []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := make([]Row, 0, len(s.series))
	for key, list := range s.series {
		rows = append(rows, s.row(key, list))
	}
	slices.SortFunc(rows, func(a, b Row) int {
		if c := strings.Compare(a.Organisation, b.Organisation); c != 0 {
			return c
		}
		return int(b.Priority) - int(a.Priority)
	})
	return rows
}

func (s *BurnTracker) row(key series, list []tally) Row {
	const defaultObjective = 0.99
	row := Row{Organisation: key.organisation, Priority: key.priority, Objective: defaultObjective}
	if o, ok := s.objectives[key.priority]; ok {
		row.Objective = o.Success
	}
	all := s.sum(list, window6h)
	row.Requests, row.Refused, row.BudgetRefused = int64(all.total), int64(all.refused), int64(all.budgetRefused)
	row.Burn5m = burn(s.sum(list, window5m), row.Objective)
	row.Burn30m = burn(s.sum(list, window30m), row.Objective)
	row.Burn1h = burn(s.sum(list, window1h), row.Objective)
	row.Burn6h = burn(all, row.Objective)
	switch {
	case row.Burn5m >= fastBurn && row.Burn1h >= fastBurn:
		row.Alert = "fast"
	case row.Burn30m >= slowBurn && row.Burn6h >= slowBurn:
		row.Alert = "slow"
	}
	return row
}

// sum adds the tallies of a window that ends now.
func (s *BurnTracker) sum(list []tally, window time.Duration) tally {
	from := s.now().Add(-window).Unix() / int64(bucketWidth.Seconds())
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

// burn returns the fraction of bad requests over the fraction allowed.
func burn(t tally, objective float64) float64 {
	if t.total == 0 {
		return 0
	}
	bad := float64(t.failed+t.slow) / float64(t.total)
	return bad / (1 - objective)
}
