package gateway

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/egretroute/egretroute/internal/connection/receiver"
	"github.com/egretroute/egretroute/internal/process/logger"
)

// metrics holds the gateway's Prometheus metrics. No label contains a request ID or a key.
type metrics struct {
	requests  *prometheus.CounterVec
	firstByte *prometheus.HistogramVec
	attempts  *prometheus.CounterVec
	commits   *prometheus.CounterVec
	crashes   *prometheus.CounterVec
	// loans counts the routers that a loan was to be asked of, by why it failed.
	loans *prometheus.CounterVec
	// movedTokens counts the tokens reserved by loans, lent and borrowed.
	movedTokens *prometheus.CounterVec
	// withdrawals counts what targets have said of the requests after a response.
	withdrawals *prometheus.CounterVec
	// limitChanges counts changes of the limits that targets name.
	limitChanges *prometheus.CounterVec
	// limited counts the requests to targets that limit the rate of requests.
	limited *prometheus.CounterVec
	// coldRequests counts the requests to cold targets, warmups that targets have become cold.
	coldRequests prometheus.Counter
	warmups      *prometheus.CounterVec
	// storeEra is one more than how often the store has come back from a copy, or 0 if it does not
	// tell; countedTokens counts tokens that were counted as drawn after that for other routers.
	storeEra      prometheus.Gauge
	countedTokens *prometheus.CounterVec
	// unread counts the clients' connections that were closed while a request waited on them unread.
	unread *prometheus.CounterVec
	// lag is how late the process is, requestLimit the limit of requests in progress, 0 if there is
	// none.
	lag          prometheus.Gauge
	requestLimit prometheus.Gauge
	// utilisation is the part in use of the processor or the link, rotationChanges counts the times that the router asked
	// to leave the load balancer's rotation, left it and came back.
	utilisation     prometheus.Gauge
	rotationChanges *prometheus.CounterVec
}

// gauges holds the functions of metrics that are worked out when they are read.
type gauges struct {
	clientConnections, limitedTargets, coldTargets, crashCauses, drainedDomains func() float64
}

func newMetrics(r *prometheus.Registry, f gauges) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretroute_gateway_requests_total", Help: "Requests by route kind and outcome.",
		}, []string{"kind", "outcome"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "egretroute_gateway_first_byte_seconds", Help: "Time to the first byte of an answer by route kind.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}, []string{"kind"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretroute_gateway_sends_total", Help: "Sends to targets by outcome.",
		}, []string{"outcome"}),
		commits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretroute_gateway_budget_commits_total", Help: "Commits of budget rows by outcome.",
		}, []string{"outcome"}),
		crashes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretroute_gateway_crashed_requests_total", Help: "Requests whose target crashed while it ran them, by the verdict on them.",
		}, []string{"verdict"}),
		loans: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretroute_gateway_loan_requests_total", Help: "Requests to other routers for a loan of tokens, by why they failed (none: the loan was made).",
		}, []string{"refusal"}),
		movedTokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretroute_gateway_loan_tokens_total", Help: "Tokens reserved by loans, lent to and borrowed from other routers.",
		}, []string{"direction"}),
		withdrawals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretroute_gateway_target_withdrawals_total", Help: "Targets that say that they leave or want nothing for a time, by source.",
		}, []string{"state", "source"}),
		limitChanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretroute_gateway_target_limit_changes_total", Help: "Changes of the limits of requests a second that targets name, by source.",
		}, []string{"source"}),
		limited: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretroute_gateway_limited_requests_total", Help: "Requests to targets that limit the rate of requests, by outcome: sent at once, sent after a wait, or refused.",
		}, []string{"outcome"}),
		coldRequests: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "egretroute_gateway_cold_requests_total", Help: "Requests sent to cold targets.",
		}),
		warmups: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretroute_gateway_warmups_total", Help: "Times that targets became cold, by the first source.",
		}, []string{"source"}),
		storeEra: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "egretroute_gateway_store_era", Help: "Era of the platform's store: it rises when the store comes back from a copy.",
		}),
		countedTokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretroute_gateway_counted_tokens_total", Help: "Tokens counted as drawn after the store came back from a copy, by method.",
		}, []string{"method"}),
		unread: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretroute_gateway_unread_connections_total", Help: "Clients' connections closed while a request waited on them unread, by what they waited for.",
		}, []string{"state"}),
		lag: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "egretroute_gateway_lag_seconds", Help: "How late the process has run at most in the last tenth of a second.",
		}),
		requestLimit: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "egretroute_gateway_request_limit", Help: "Limit of requests in progress for want of processor time, 0 if there is none.",
		}),
		utilisation: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "egretroute_gateway_utilisation", Help: "Part in use of the processor or of the link, the larger one; 0 if the settings don't state them.",
		}),
		rotationChanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "egretroute_gateway_rotation_changes_total", Help: "Changes of the gateway's place in the load balancer's rotation, by the new one: in, asking, out.",
		}, []string{"phase"}),
	}
	if r != nil {
		r.MustRegister(m.utilisation, m.rotationChanges, m.requests, m.firstByte, m.attempts, m.commits, m.loans, m.movedTokens, m.crashes, m.withdrawals, m.limitChanges, m.limited, m.coldRequests, m.warmups, m.storeEra, m.countedTokens, m.unread, m.lag, m.requestLimit, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "egretroute_gateway_client_connections", Help: "Open connections of clients.",
		}, f.clientConnections), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "egretroute_gateway_limited_targets", Help: "Targets that limit the rate of requests.",
		}, f.limitedTargets), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "egretroute_gateway_cold_targets", Help: "Targets that are cold.",
		}, f.coldTargets), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "egretroute_gateway_crash_causes", Help: "Features of requests, such as parts of prompts, that are taken for causes of crashes of targets.",
		}, f.crashCauses), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "egretroute_gateway_drained_domains", Help: "Failure domains whose targets get no requests since operators drain them.",
		}, f.drainedDomains))
	}
	return m
}

func (m *metrics) observeFirstByte(kind string, d time.Duration) {
	m.firstByte.WithLabelValues(kind).Observe(d.Seconds())
}

func (g *Gateway) serveMetrics() {
	mux := http.NewServeMux()
	mux.Handle("/", promhttp.HandlerFor(g.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET "+PreviewPath, g.servePreview)
	srv := receiver.NewOtherServer(mux)
	if err := srv.Serve(receiver.NewOtherListener(g.MetricsListener, g.Budget)); err != nil {
		logger.MetricsServerFailed.Log(g.Log, "error", err)
	}
}
