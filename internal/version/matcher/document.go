package matcher

import "time"

// Kind says what may be repeated of a route's requests.
type Kind int

// The kinds of route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests are answered by a series of events; without
	// Route.Resumable they run at most once.
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

// Share is the weight of a service among those that a route splits its
// requests over.
type Share struct {
	Service string
	Weight  int
}

// Route leads requests of a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is how long a request may be kept without its answer.
	Timeout time.Duration
	// LatencyTarget is the time to the answer or, for a stream, to its first event.
	LatencyTarget time.Duration
	// EventGapTarget is the longest pause between events of a stream that is on time.
	EventGapTarget time.Duration
	// Priority is the rank, 0 first.
	Priority int
	// MaxAttempts is how many targets a request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another target after the last event.
	Resumable bool
	Shares    []Share
}

// Repeatable reports whether a request that may have run may run again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// CacheTokens is an engine's memory for running requests and cached prefixes.
	CacheTokens int64
	// TokensPerEvent is how many tokens an event of a stream holds.
	TokensPerEvent int64
}

// Service is a set of equal targets.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Organisation holds keys and, if Limited, a prepaid budget.
type Organisation struct {
	Name string
	Keys []string
	// Priority goes before the route's if HasPriority is set.
	Priority    int
	HasPriority bool
	// Budget is the budget in tokens.
	Budget    int64
	HasBudget bool
}

// Document is one configuration version.
type Document struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}
