package soaker

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/egretroute/egretroute/platform/platformtest"
)

const (
	// seriesGap limits the time between the starts of two series of stops, stopGap that between
	// two SIGTERM of a series.
	seriesGap = 8 * time.Second
	stopGap   = 700 * time.Millisecond
	// secondSignalDelay limits the time until a process that stops gets SIGTERM again.
	secondSignalDelay = 2 * time.Second
	// downTime limits how long a process is down after its stop.
	downTime = 500 * time.Millisecond
)

// stopSeries are drawn from a sequence of their own too.
var stopSeries = []fault{
	{name: "stops in a series", begin: func(s *Soak, random *rand.Rand) func() { return s.stopInSeries(random) }},
	{name: "stops in an outage of the store", begin: func(s *Soak, random *rand.Rand) func() {
		endFault := s.setStoreFault(pick(random, []platformtest.Faults{{Silent: true}, {Status: 503}, {DropAnswers: true}}))
		return both(endFault, s.stopInSeries(random))
	}},
	{name: "stops while the store is slow", begin: func(s *Soak, random *rand.Rand) func() {
		endFault := s.setStoreFault(pick(random, []platformtest.Faults{{Delay: slowStoreDelay}, {LateCommits: lateCommitDelay}}))
		return both(endFault, s.stopInSeries(random))
	}},
}

// both returns a function that calls two.
func both(first, second func()) func() {
	return func() {
		first()
		second()
	}
}

// stopInSeries stops some gateways one after the other and starts each again once it has ended. Some
// read their settings again or get SIGTERM twice, and the configuration may change meanwhile. It
// returns a function that waits until all run again.
func (s *Soak) stopInSeries(random *rand.Rand) func() {
	var gateways []*program
	for _, n := range random.Perm(s.Gateways)[:1+random.IntN(s.Gateways)] {
		gateways = append(gateways, s.gateways()[n])
	}
	s.logEvent("series", fmt.Sprintf("of %d stops", len(gateways)))
	var wg sync.WaitGroup
	var delay time.Duration
	for _, p := range gateways {
		stopAfter := delay
		delay += randomDuration(random, stopGap)
		reloads, signalsAgain := random.IntN(2) == 0, random.IntN(2) == 0
		again, down := randomDuration(random, secondSignalDelay), randomDuration(random, downTime)
		wg.Go(func() {
			time.Sleep(stopAfter)
			if reloads {
				if err := p.reload(true); err != nil {
					s.logEvent("reload failed", err.Error())
				}
			}
			s.logEvent(p.name, "stops")
			if signalsAgain {
				wg.Go(func() {
					time.Sleep(again)
					p.signalStopping(syscall.SIGTERM)
				})
			}
			p.stop()
			s.logEvent(p.name, "has stopped")
			time.Sleep(down)
			s.restart(p)
		})
	}
	if random.IntN(2) == 0 {
		s.reconfigure(random)
	}
	return wg.Wait
}
