package declarer

import "time"

// Priority orders requests; higher priorities are served first.
type Priority int

// Priorities that clients may request.
const (
	PriorityOrdinary Priority = 10
	PriorityUrgent   Priority = 20
)

// String returns the priority's name in headers and fleet documents.
func (p Priority) String() string {
	if p >= PriorityUrgent {
		return "urgent"
	}
	return "ordinary"
}

// ParsePriority returns the priority with the given name, or PriorityOrdinary if
// the name is unknown.
func ParsePriority(name string) Priority {
	if name == PriorityUrgent.String() {
		return PriorityUrgent
	}
	return PriorityOrdinary
}

// Fleet is one numbered version of the configuration that operators declare.
type Fleet struct {
	Version       uint64
	PatchID       string
	Organisations []Organisation
	Models        []Model
	Services      []Service
	Targets       []Target
	Objectives    []Objective
}

// Organisation is a customer with a prepaid budget.
type Organisation struct {
	Name string
	// KeyHash is the lower-case hexadecimal SHA-256 of the client's key.
	KeyHash string
	// Budget is the lifetime limit of prepaid tokens; it never resets.
	Budget int64
	// Weight is the organisation's relative share among requests of one priority.
	Weight float64
	// Urgent permits requests with PriorityUrgent.
	Urgent bool
}

// Model is a language model that targets serve.
type Model struct {
	Name string
	// MaxTokens is the maximum number of output tokens of one request.
	MaxTokens int64
	// BytesPerToken is the minimum number of prompt bytes per token.
	BytesPerToken int64
}

// Service is a plain HTTP service that targets serve.
type Service struct {
	Name string
	// NonIdempotent lists the HTTP methods whose requests run at most once.
	NonIdempotent []string
	// Cost is the number of tokens billed for one request.
	Cost int64
}

// Target is one back end behind an agent.
type Target struct {
	Name string
	// Serves is the name of the model or service that the target provides.
	Serves string
	// Agent is the IP address and port of the agent in front of the target.
	Agent  string
	Domain string
	// Capacity is the maximum number of concurrent requests.
	Capacity int
	// ChecksFence is set if the target rejects requests with an outdated fencing number.
	ChecksFence bool
}

// Objective is a service-level objective (SLO) that the burn report evaluates for
// one priority.
type Objective struct {
	Priority Priority
	// Success is the fraction of requests that must be answered, between 0 and 1.
	Success float64
	// FirstToken is the maximum time until a response begins; 0 means no limit.
	FirstToken time.Duration
}

// FindModel returns the model with the given name.
func (f *Fleet) FindModel(name string) (Model, bool) {
	return find(f.Models, func(m Model) bool { return m.Name == name })
}

// FindService returns the service with the given name.
func (f *Fleet) FindService(name string) (Service, bool) {
	return find(f.Services, func(s Service) bool { return s.Name == name })
}

// FindTarget returns the target with the given name.
func (f *Fleet) FindTarget(name string) (Target, bool) {
	return find(f.Targets, func(t Target) bool { return t.Name == name })
}

// FindOrganisation returns the organisation with the given name.
func (f *Fleet) FindOrganisation(name string) (Organisation, bool) {
	return find(f.Organisations, func(o Organisation) bool { return o.Name == name })
}

func find[T any](all []T, match func(T) bool) (T, bool) {
	for _, v := range all {
		if match(v) {
			return v, true
		}
	}
	var zero T
	return zero, false
}
