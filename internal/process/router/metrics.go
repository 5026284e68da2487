package router

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/process/reporter"
)

// metrics holds the router's Prometheus metrics. To bound their cardinality, no label
// has one value per budget.
type metrics struct {
	requests     *prometheus.CounterVec
	firstByte    *prometheus.HistogramVec
	billed       prometheus.Counter
	version      prometheus.Gauge
	stuckTokens  prometheus.Gauge
	malformed    prometheus.Counter
	foreign      prometheus.Counter
	broken       prometheus.Counter
	peersRefused prometheus.Counter
}

func newMetrics(r *prometheus.Registry) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretroute_requests_total", Help: "Requests by priority, outcome and reason.",
		}, []string{"priority", "outcome", "reason"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "egretroute_first_byte_seconds", Help: "Time to the first byte of an answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"priority"}),
		billed: counter("egretroute_billed_tokens_total", "Tokens billed."),
		version: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "egretroute_configuration_version", Help: "Configuration version in force.",
		}),
		stuckTokens: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "egretroute_stuck_tokens", Help: "Tokens of dead holders that stay held.",
		}),
		malformed:    counter("egretroute_malformed_messages_total", "Messages of an unexpected kind."),
		foreign:      counter("egretroute_foreign_frames_total", "Frames of another attempt that were dropped."),
		broken:       counter("egretroute_broken_answers_total", "Answers that did not match their checksum."),
		peersRefused: counter("egretroute_peers_refused_total", "Connections that failed the handshake."),
	}
	r.MustRegister(m.requests, m.firstByte, m.billed, m.version, m.stuckTokens, m.malformed, m.foreign, m.broken, m.peersRefused)
	return m
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}

// recordRequest counts a request in the metrics and in the burn-rate report.
func (r *Router) recordRequest(creq *clientRequest, resp *clientResponse, res *result, start time.Time) {
	priority := creq.priority.String()
	r.metrics.requests.WithLabelValues(priority, res.outcome.String(), res.reason).Inc()
	r.metrics.billed.Add(float64(res.billed))
	var firstByte time.Duration
	if !resp.firstByte.IsZero() {
		firstByte = resp.firstByte.Sub(start)
		r.metrics.firstByte.WithLabelValues(priority).Observe(firstByte.Seconds())
	}
	r.burnTracker.Add(reporter.Observation{
		Organisation: creq.organisation.Name, Priority: creq.priority,
		Answered: res.outcome == framer.OutcomeAnswered, FirstByte: firstByte,
		Refused: res.outcome == framer.OutcomeNotRun, BudgetRefused: res.reason == reasonBudgetExhausted,
		ClientFault: res.reason == reasonCallerGone,
	})
}
