package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/egretroute/egretroute/internal/process/registrar"
)

// loadView is how even the targets of a service look to this router, and how old its view is.
type loadView struct {
	// busiestToMean is the ratio of the most running requests per slot at a target to the mean, 0 if none run.
	busiestToMean float64
	// slow is the number of targets that are taken to be slower than others, short that of targets for short
	// requests.
	slow  int
	short int
	// known is the share of the other routers whose loads are known, age the mean age of their reports.
	known float64
	age   time.Duration
}

// view returns what this router sees of the given targets of a service.
func (t *targetTracker) view(service string, entries []registrar.Entry, now time.Time) (v loadView) {
	others := t.others()
	t.mu.Lock()
	defer t.mu.Unlock()
	mean, sum, most := t.meanSecondsPerToken(entries), 0.0, 0.0
	for _, e := range entries {
		load := t.target(e.ID).Load
		load.Add(t.peerLoad(e.ID, e.StartedAt, others, mean, now))
		perSlot := float64(load.Running()) / float64(max(e.Slots, 1))
		sum, most = sum+perSlot, max(most, perSlot)
		if others >= minSharingPeers && t.speeds.Slowness(e.ID, others+1, now) > 1 {
			v.slow++
		}
	}
	if sum > 0 {
		v.busiestToMean = most * float64(len(entries)) / sum
	}
	v.short = int(t.service(service).shortTargets + 0.5)
	known := 0
	for _, p := range t.peerLoads {
		if age := now.Sub(p.receivedAt); age <= peerLoadLifetime {
			known++
			v.age += age
		}
	}
	v.age /= time.Duration(max(known, 1))
	v.known = float64(known) / float64(max(others, known, 1))
	return v
}

// loadCollector is a prometheus.Collector of the load views of services with engines.
type loadCollector struct {
	gateway                            *Gateway
	busiest, slow, short, known, older *prometheus.Desc
}

func newLoadCollector(g *Gateway) *loadCollector {
	desc := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc("egretroute_gateway_"+name, help, []string{"service"}, nil)
	}
	return &loadCollector{
		gateway: g,
		busiest: desc("targets_busiest_to_mean", "Running requests per slot of the busiest target, against the mean of all."),
		slow:    desc("targets_slow", "Targets that are taken to be slower than others."),
		short:   desc("targets_short", "Targets that serve short requests."),
		known:   desc("loads_known", "Share of the other routers whose loads are known."),
		older:   desc("loads_age_seconds", "Mean age of the loads that other routers have reported."),
	}
}

// Describe implements prometheus.Collector.
func (c *loadCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.busiest, c.slow, c.short, c.known, c.older} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c *loadCollector) Collect(ch chan<- prometheus.Metric) {
	m := c.gateway.matcher.Load()
	if m == nil {
		return
	}
	now := time.Now()
	for _, s := range m.Document.Services {
		if s.Engine == nil {
			continue
		}
		v := c.gateway.tracker.view(s.Name, c.gateway.targets.Service(s.Name, now), now)
		for desc, value := range map[*prometheus.Desc]float64{
			c.busiest: v.busiestToMean, c.slow: float64(v.slow), c.short: float64(v.short), c.known: v.known, c.older: v.age.Seconds(),
		} {
			ch <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, s.Name)
		}
	}
}
