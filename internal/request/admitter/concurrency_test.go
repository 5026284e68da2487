package admitter_test

import (
	"bufio"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/request/admitter"
)

// The processor of TestBursts: a request that is served takes startWork, and a stepWork for each of
// its steps, which are stepInterval apart; one that is refused takes refuseWork.
const (
	startWork    = time.Second / 1000
	stepWork     = time.Second / 5000
	refuseWork   = time.Second / 3000
	steps        = 12
	stepInterval = 50 * time.Millisecond
	burstLasts   = 20 * time.Second
	// burstDeadline is how long a client waits for the first and each further part.
	burstDeadline = time.Second
)

// event is work of the processor that is due.
type event struct {
	due    time.Duration
	others bool
	// organisation is that of a request that is being served.
	organisation string
	step         int // 0 is the arrival
	late         bool
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].due < e[j].due }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// replayBurst returns the numbers of requests in time and of requests of the other organisations,
// in time and in all.
func replayBurst(hotRate, othersRate float64, limit bool) (inTime, othersInTime, othersAll int) {
	random := rand.New(rand.NewPCG(1, 2))
	var queue events
	for _, source := range []struct {
		rate   float64
		others bool
	}{{hotRate, false}, {othersRate, true}} {
		if source.rate == 0 {
			continue
		}
		for at := 0.0; at < burstLasts.Seconds(); at += random.ExpFloat64() / source.rate {
			queue = append(queue, event{due: time.Duration(at * float64(time.Second)), others: source.others})
		}
	}
	heap.Init(&queue)
	var c admitter.Concurrency
	now, adjustAt, worst := time.Duration(0), 100*time.Millisecond, time.Duration(0)
	for queue.Len() > 0 {
		e := heap.Pop(&queue).(event)
		now = max(now, e.due)
		worst = max(worst, now-e.due)
		if now >= adjustAt {
			if limit {
				c.Adjust(worst)
			}
			adjustAt, worst = now+100*time.Millisecond, 0
		}
		if e.step == 0 {
			e.organisation = "hot"
			if e.others {
				e.organisation = fmt.Sprint("other", random.IntN(5))
			}
		}
		e.late = e.late || now-e.due > burstDeadline
		switch {
		case e.step == 0 && !c.Enter(e.organisation):
			now += refuseWork
			if e.others {
				othersAll++
			}
			continue
		case e.step == 0:
			now += startWork
			if e.others {
				othersAll++
			}
		default:
			now += stepWork
		}
		if e.step < steps {
			heap.Push(&queue, event{due: now + stepInterval, others: e.others, organisation: e.organisation, step: e.step + 1, late: e.late})
			continue
		}
		c.Leave(e.organisation)
		if !e.late {
			inTime++
			if e.others {
				othersInTime++
			}
		}
	}
	return inTime, othersInTime, othersAll
}

// TestBursts replays testdata/bursts.txt. The limit must serve the given shares in time, and no
// fewer requests than without it.
func TestBursts(t *testing.T) {
	f, err := os.Open("testdata/bursts.txt")
	assert.NilError(t, err)
	defer f.Close()
	served := startWork + steps*stepWork
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "#") {
			continue
		}
		var hot, others, minOthers, minAll float64
		_, err := fmt.Sscanf(lines.Text(), "%g %g = %g %g", &hot, &others, &minOthers, &minAll)
		assert.NilError(t, err, lines.Text())
		inTime, othersInTime, othersAll := replayBurst(hot, others, true)
		without, _, _ := replayBurst(hot, others, false)
		// With n served and the rest refused, n*served + (rate-n)*refuseWork = 1 s.
		rate := hot + others
		possible := min(rate, max((1-rate*refuseWork.Seconds())/(served-refuseWork).Seconds(), 0)) * burstLasts.Seconds()
		t.Logf("%s: %d of %.0f possible in time, %d without a limit; others %d of %d", lines.Text(), inTime, possible, without, othersInTime, othersAll)
		assert.Check(t, float64(inTime) >= minAll*min(possible, rate*burstLasts.Seconds()*0.97), "%d of %.0f in time", inTime, possible)
		assert.Check(t, float64(othersInTime) >= minOthers*float64(othersAll), "%d of %d of the others in time", othersInTime, othersAll)
		assert.Check(t, inTime >= without*9/10, "%d in time, %d without a limit", inTime, without)
	}
}

// TestLateForOtherReasons lets the process be late with few requests in progress, as on a host whose
// processor other programs use. They were refused.
func TestLateForOtherReasons(t *testing.T) {
	var c admitter.Concurrency
	for n := range 60 {
		c.Adjust(time.Second)
		assert.Assert(t, c.Enter("alpha"), "request %d", n)
	}
}
