// Package capacitytrier measures how a process's memory, messages and CPU time
// grow with its load. Each measurement has at least four sizes, to which a line
// is fitted.
//
// # Usage
//
//	for _, m := range capacitytrier.Measurements {
//		capacitytrier.Print(os.Stdout, m, m.Run())
//	}
package capacitytrier

import (
	"context"
	"fmt"
	"io"
	"math"
	"runtime"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/process/bookkeeper"
	"github.com/egretroute/egretroute/internal/process/spender"
	"github.com/egretroute/egretroute/internal/process/storer"
	"github.com/egretroute/egretroute/internal/request/chooser"
	"github.com/egretroute/egretroute/internal/request/claimer"
	"github.com/egretroute/egretroute/internal/version/declarer"
)

// Point is the value measured at size N.
type Point struct {
	N     int
	Value float64
}

// Measurement is one quantity measured at several sizes.
type Measurement struct {
	Name       string
	Per        string
	Unit       string
	Sizes      []int
	TargetSize int
	read       func(n int) float64
}

// Run measures the quantity at every size.
func (m Measurement) Run() []Point {
	points := make([]Point, len(m.Sizes))
	for i, n := range m.Sizes {
		points[i] = Point{N: n, Value: m.read(n)}
	}
	return points
}

// Measurements are the basis of docs/CAPACITY.md.
var Measurements = []Measurement{
	{"router: memory of budgets held", "budget", "bytes", []int{100, 1000, 10_000, 100_000, 280_000}, 280_000, tokenPoolBytes},
	{"router: one review of budgets held", "budget", "ns", []int{100, 400, 1600, 6400}, 683, reviewNanos},
	{"router: memory of targets known", "target", "bytes", []int{18, 100, 400, 1100}, 1100, candidateBytes},
	{"router: one choice of a target", "target", "ns", []int{18, 100, 400, 1100}, 1100, chooseNanos},
	{"any: configuration document", "target", "bytes", []int{18, 100, 400, 1100}, 1100, documentBytesByTargets},
	{"any: configuration document", "organisation", "bytes", []int{10, 100, 1000, 5300}, 5300, documentBytesByOrganisations},
	{"any: reading a configuration", "organisation", "ns", []int{10, 100, 1000, 5300}, 5300, decodeNanos},
	{"any: memory of a configuration", "organisation", "bytes", []int{10, 100, 1000, 5300}, 5300, fleetBytes},
	{"agent: memory of claims", "claim", "bytes", []int{1000, 4000, 16_000, 64_000}, 64_000, claimBytes},
	{"platform: holder's row", "open part", "bytes", []int{10, 100, 1000, 4000}, 1000, holderRowBytes},
	{"platform: budget's row", "holder", "bytes", []int{2, 6, 40, 410}, 40, budgetRowBytes},
	{"platform: ledger segment", "bill", "bytes", []int{10, 40, 160, 640}, 46, segmentBytes},
	{"link: heartbeat of an agent, both ways", "bill offered", "bytes", []int{0, 10, 50, 200}, 0, heartbeatBytes},
}

// Print writes a measurement's points, the fitted line with its largest error,
// and the line's value at TargetSize.
func Print(w io.Writer, m Measurement, points []Point) {
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	_, _ = fmt.Fprintf(w, "%s\n", m.Name)
	for i, p := range points {
		xs[i], ys[i] = float64(p.N), p.Value
		_, _ = fmt.Fprintf(w, "  %7d %ss: %.0f %s\n", p.N, m.Per, p.Value, m.Unit)
	}
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	var maxResidual float64
	for i := range xs {
		maxResidual = max(maxResidual, math.Abs(intercept+slope*xs[i]-ys[i]))
	}
	_, _ = fmt.Fprintf(w, "  slope %.3f %s per %s, base %.0f, R2 %.4f, largest error %.0f; at %d: %.0f %s\n\n",
		slope, m.Unit, m.Per, intercept, stat.RSquared(xs, ys, nil, intercept, slope), maxResidual, m.TargetSize, intercept+slope*float64(m.TargetSize), m.Unit)
}

// heapBytes returns the heap size of build's result.
func heapBytes(build func() any) float64 {
	var before, after runtime.MemStats
	collectGarbage()
	runtime.ReadMemStats(&before)
	kept := build()
	collectGarbage()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// collectGarbage runs the collector three times, so that objects in a sync.Pool
// and objects with finalizers are freed too.
func collectGarbage() {
	for range 3 {
		runtime.GC()
	}
}

// nanosPerCall returns the mean duration of f over at least 200 ms of calls.
func nanosPerCall(f func()) float64 {
	const minDuration = 200 * time.Millisecond
	start, n := time.Now(), 0
	for time.Since(start) < minDuration {
		f()
		n++
	}
	return float64(time.Since(start).Nanoseconds()) / float64(n)
}

func budgetName(i int) string {
	return fmt.Sprintf("organisation-%06d", i)
}

func tokenPoolBytes(n int) float64 {
	return heapBytes(func() any {
		p := spender.NewTokenPool("router-1@0123456789abcdef")
		for i := range n {
			p.RecordDemand(budgetName(i), 500, time.Unix(1000, 0))
		}
		return p
	})
}

// reviewNanos returns the duration of a flush that reads and settles n budgets.
func reviewNanos(n int) float64 {
	ctx, table := context.Background(), storer.NewMemory()
	for i := range n {
		var c storer.Commit
		c.Update(bookkeeper.BudgetKey(budgetName(i)), 0, bookkeeper.EncodeBudget(bookkeeper.NewBudget(budgetName(i), 1_000_000)))
		_ = table.Commit(ctx, c)
	}
	p := spender.NewTokenPool("router-1@0123456789abcdef")
	f := &spender.Flusher{Pool: p, Table: table, Policy: spender.NewProportional(0, spender.DefaultTrendFactor)}
	_ = f.Register(ctx, nil)
	now := time.Unix(1000, 0)
	for i := range n {
		p.RecordDemand(budgetName(i), 500, now)
	}
	return nanosPerCall(func() {
		now = now.Add(5 * time.Second)
		_ = f.Flush(ctx, now)
	})
}

func candidates(n int) []*chooser.Candidate {
	out := make([]*chooser.Candidate, n)
	for i := range out {
		out[i] = &chooser.Candidate{Name: fmt.Sprintf("target-%04d", i), Domain: "domain-1", Capacity: 16}
	}
	return out
}

func candidateBytes(n int) float64 {
	return heapBytes(func() any { return candidates(n) })
}

func chooseNanos(n int) float64 {
	all, c, now, i := candidates(n), chooser.NewPrefixAffinity(), time.Unix(1000, 0), uint64(0)
	return nanosPerCall(func() {
		i++
		c.Choose(all, i, now)
	})
}

func fleet(organisations, targets int) *declarer.Fleet {
	f := &declarer.Fleet{Version: 1, PatchID: "patch", Models: []declarer.Model{{Name: "model", MaxTokens: 4096, BytesPerToken: 1}}}
	for i := range organisations {
		f.Organisations = append(f.Organisations, declarer.Organisation{
			Name: budgetName(i), KeyHash: declarer.HashKey(budgetName(i)), Budget: 1_000_000, Weight: 1,
		})
	}
	for i := range targets {
		f.Targets = append(f.Targets, declarer.Target{
			Name: fmt.Sprintf("target-%04d", i), Serves: "model", Agent: "10.0.0.1:18201", Domain: "domain-1", Capacity: 16,
		})
	}
	return f
}

func documentBytesByTargets(n int) float64 {
	return float64(len(declarer.Encode(fleet(0, n))))
}

func documentBytesByOrganisations(n int) float64 {
	return float64(len(declarer.Encode(fleet(n, 0))))
}

func decodeNanos(n int) float64 {
	document := declarer.Encode(fleet(n, 0))
	return nanosPerCall(func() { _, _ = declarer.Decode(document) })
}

func fleetBytes(n int) float64 {
	document := declarer.Encode(fleet(n, 0))
	bytes := heapBytes(func() any {
		f, _ := declarer.Decode(document)
		return f
	})
	runtime.KeepAlive(document)
	return bytes
}

func claimBytes(n int) float64 {
	ctx, table := context.Background(), discardTable{}
	return heapBytes(func() any {
		c := &claimer.Claimer{Table: table, Service: "depot-api"}
		for i := range n {
			_, _ = c.Begin(ctx, claimer.Key{Service: "depot-api", Organisation: "alpha", Key: fmt.Sprintf("order-%08d", i)}, "router-1@0123456789abcdef", true)
		}
		return c
	})
}

// discardTable accepts every commit and stores nothing.
type discardTable struct{ storer.Table }

// Commit implements storer.Table.Commit.
func (discardTable) Commit(context.Context, storer.Commit) error { return nil }

func holderRowBytes(n int) float64 {
	h := &bookkeeper.Holder{Incarnation: "router-1@0123456789abcdef", NextSequence: 1_000_000, Agents: map[string]string{}}
	for i := range n {
		h.OpenSequences = append(h.OpenSequences, uint64(900_000+i))
	}
	return float64(len(bookkeeper.EncodeHolder(h)))
}

func budgetRowBytes(n int) float64 {
	b := bookkeeper.NewBudget("alpha", 1_000_000_000)
	for i := range n {
		_ = b.Draw(fmt.Sprintf("router-%03d@0123456789abcdef", i), "domain-1", 1_000_000)
		b.SetDemand(fmt.Sprintf("router-%03d@0123456789abcdef", i), 123.456789, 123.456789)
	}
	return float64(len(bookkeeper.EncodeBudget(b)))
}

func bills(n int) []framer.Bill {
	out := make([]framer.Bill, n)
	for i := range out {
		out[i] = framer.Bill{
			Organisation: "organisation-000001", RequestID: "router-1@0123456789abcdef", Payer: "router-1@fedcba9876543210",
			Sequence: uint64(1_000_000 + i), Amount: 450, Target: "target-0001",
		}
	}
	return out
}

func segmentBytes(n int) float64 {
	return float64(len(bookkeeper.EncodeBills(bills(n))))
}

// countingWriter counts the bytes that a framer writes.
type countingWriter struct{ n int }

// Read implements io.Reader.
func (*countingWriter) Read([]byte) (int, error) { return 0, io.EOF }

// Write implements io.Writer.
func (c *countingWriter) Write(p []byte) (int, error) {
	c.n += len(p)
	return len(p), nil
}

// yamuxOverheadBytes is the size of the headers of one call: the open, data,
// reply and close frames of both directions, six of 12 bytes each.
const yamuxOverheadBytes = 6 * 12

func heartbeatBytes(n int) float64 {
	w := &countingWriter{}
	f := framer.New(w)
	_ = f.Write(&framer.Ping{Incarnation: "router-1@0123456789abcdef", Version: 1000, Listed: true})
	_ = f.Write(&framer.Pong{
		Incarnation: "target-0001@0123456789abcdef", Version: 1000,
		Load: framer.Load{Running: 12, Queued: 3, Capacity: 16}, Bills: bills(n),
	})
	return float64(w.n + yamuxOverheadBytes)
}
