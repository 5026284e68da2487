package spender

import (
	"math"
	"time"
)

const (
	// slowWindowFactor is the ratio of the slow window to the fast one.
	slowWindowFactor = 4
	// minMeterAge is the least age that a meter divides by: a new meter would divide by
	// almost zero.
	minMeterAge = 20 * time.Second
)

// meter estimates a rate in tokens per second with exponential decay, corrected for the
// start-up bias of a meter that is younger than a few windows.
type meter struct {
	window time.Duration
	sum    float64
	start  time.Time
	last   time.Time
}

// add counts n tokens at now.
func (m *meter) add(n int64, now time.Time) {
	m.decay(now)
	m.sum += float64(n) / m.window.Seconds()
}

// rate returns the estimate as of now.
func (m *meter) rate(now time.Time) float64 {
	m.decay(now)
	age := max(now.Sub(m.start), minMeterAge)
	return m.sum / (1 - math.Exp(-age.Seconds()/m.window.Seconds()))
}

func (m *meter) decay(now time.Time) {
	if m.start.IsZero() {
		m.start, m.last = now, now
		return
	}
	elapsed := now.Sub(m.last)
	if elapsed <= 0 {
		return
	}
	m.sum *= math.Exp(-elapsed.Seconds() / m.window.Seconds())
	m.last = now
}

// demand is a rate averaged over a fast and a slow window.
type demand struct {
	fast meter
	slow meter
}

func newDemand(window time.Duration) demand {
	return demand{fast: meter{window: window}, slow: meter{window: slowWindowFactor * window}}
}

func (d *demand) add(n int64, now time.Time) {
	d.fast.add(n, now)
	d.slow.add(n, now)
}

func (d *demand) rates(now time.Time) (fast, slow float64) {
	return d.fast.rate(now), d.slow.rate(now)
}

// seed initialises a new meter with a rate from another source, unless its own is higher.
func (m *meter) seed(rate float64, now time.Time) {
	if m.sum >= rate {
		return
	}
	m.sum = rate
	m.last = now
	m.start = now.Add(-minMeterAge)
}
