package agent

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the counters of an agent.
type Metrics struct {
	Runs         *prometheus.CounterVec
	PeersRefused prometheus.Counter
	Malformed    prometheus.Counter
}

// NewMetrics creates the metrics of an agent and registers them with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		Runs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretroute_agent_runs_total", Help: "Attempts by outcome.",
		}, []string{"outcome"}),
		PeersRefused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "egretroute_peers_refused_total", Help: "Connections that failed the handshake.",
		}),
		Malformed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "egretroute_malformed_messages_total", Help: "Messages of an unexpected kind.",
		}),
	}
	r.MustRegister(m.Runs, m.PeersRefused, m.Malformed)
	return m
}
