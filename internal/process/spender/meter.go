package spender

import (
	"math"
	"time"
)

const (
	// slowFactor is how much longer the slow window is than the fast one.
	slowFactor = 4
	// minMeterAge keeps a meter that has just begun from dividing by almost nothing.
	minMeterAge = 20 * time.Second
)

// meter estimates a rate in tokens a second with exponential forgetting; what
// it has not yet had the time to see is corrected for.
type meter struct {
	window time.Duration
	sum    float64
	begun  time.Time
	last   time.Time
}

// add counts n tokens at now.
func (m *meter) add(n int64, now time.Time) {
	m.decay(now)
	m.sum += float64(n) / m.window.Seconds()
}

// value returns the rate as of now.
func (m *meter) value(now time.Time) float64 {
	m.decay(now)
	age := max(now.Sub(m.begun), minMeterAge)
	return m.sum / (1 - math.Exp(-age.Seconds()/m.window.Seconds()))
}

func (m *meter) decay(now time.Time) {
	if m.begun.IsZero() {
		m.begun, m.last = now, now
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
	return demand{fast: meter{window: window}, slow: meter{window: slowFactor * window}}
}

func (d *demand) add(n int64, now time.Time) {
	d.fast.add(n, now)
	d.slow.add(n, now)
}

func (d *demand) value(now time.Time) (fast, slow float64) {
	return d.fast.value(now), d.slow.value(now)
}

// seed makes a meter that has just begun start from a rate known otherwise.
func (m *meter) seed(rate float64, now time.Time) {
	if m.sum >= rate {
		return
	}
	m.sum = rate
	m.last = now
	m.begun = now.Add(-minMeterAge)
}
