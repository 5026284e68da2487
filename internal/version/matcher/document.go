package matcher

import "time"

// Kind determines whether a route's requests may run more than once.
type Kind int

// The kinds of route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests receive a stream of events. Unless Route.Resumable is set,
	// they run at most once.
	Streaming
)

// String returns the kind's name.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "nonIdempotent"
	case Streaming:
		return "streaming"
	default:
		return "unknown"
	}
}

// Share is one service's weight in the traffic split of a route.
type Share struct {
	Service string
	Weight  int
}

// Route maps requests with a host name and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time that a request may wait for its response.
	Timeout time.Duration
	// LatencyTarget is the target time to the response or, for a stream, to its first event.
	LatencyTarget time.Duration
	// EventGapTarget is the target for the longest gap between two events of a stream.
	EventGapTarget time.Duration
	// Priority orders requests; 0 is served first.
	Priority int
	// MaxAttempts is the maximum number of targets that a request is sent to.
	MaxAttempts int
	// Public routes accept requests without an API key.
	Public bool
	// Resumable allows a broken stream to resume at another target after the last event.
	Resumable bool
	Shares    []Share
	// Regions are those whose targets may run the requests; none means all.
	Regions []string
}

// Repeatable reports whether a request that may already have run may run again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Resumable
}

// Engine describes the model engines that serve a service.
type Engine struct {
	// Slots is the maximum number of concurrent requests of an engine.
	Slots int
	// CacheTokens is the capacity of an engine's KV cache, in tokens; running requests
	// and cached prefixes share it.
	CacheTokens int64
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int64
}

// Service is a set of interchangeable targets.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Warmup is how long a target is cold after its start, WarmupPerSecond the number of requests a second
	// that a cold one takes; 0 if it takes any number.
	Warmup          time.Duration
	WarmupPerSecond float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits restricts the size and the duration of client requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Organisation holds API keys and, if HasBudget is set, a prepaid budget.
type Organisation struct {
	Name string
	Keys []string
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	// Budget is the prepaid limit in tokens.
	Budget    int64
	HasBudget bool
	// Regions are those whose targets may run the organisation's requests; none means all.
	Regions []string
}

// Document is one version of the configuration of gateways; that of routers is a
// declarer.Fleet.
type Document struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}
