package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PromptPart is one part of a prompt; requests may share their leading parts.
type PromptPart struct {
	ID     string
	Tokens int64
}

// RequestMetadata holds what the gateway decodes from a client's request headers.
type RequestMetadata struct {
	// ID identifies this attempt of the client.
	ID string
	// Key is the organisation's key.
	Key string
	// Timeout is how long the client waits, or zero if it states no limit.
	Timeout time.Duration
	Model   string
	// PromptTokens and MaxOutputTokens together bound the cost.
	PromptTokens    int64
	MaxOutputTokens int64
	// PromptParts are the parts of the prompt in order.
	PromptParts []PromptPart
	// LastEventID is the ID of the event after which the client resumes a stream.
	LastEventID string
}

// sharedParts returns the parts of the prompt that other requests may have too: all but the last.
func (m *RequestMetadata) sharedParts() []PromptPart {
	return m.PromptParts[:max(len(m.PromptParts)-1, 0)]
}

// maxPartFeatures bounds the features of a request, and maxFeatureBytes the length of each.
const (
	maxPartFeatures = 64
	maxFeatureBytes = 96
)

// partFeatures returns the features that a request shares with others of its service and model:
// the parts of their prompts; see suspecter.Traits.
func (m *RequestMetadata) partFeatures(service string) []string {
	parts := m.sharedParts()
	parts = parts[:min(len(parts), maxPartFeatures)]
	features := make([]string, 0, len(parts))
	for _, p := range parts {
		feature := service + "/" + m.Model + "/" + p.ID
		if len(feature) > maxFeatureBytes {
			feature = "hash/" + strconv.FormatUint(xxhash.Sum64String(feature), 16)
		}
		features = append(features, feature)
	}
	return features
}

// affinityKey returns the hash of the model and of all parts of the prompt but the
// last, which is unique to the request.
func (m *RequestMetadata) affinityKey() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(m.Model) // never fails
	for _, p := range m.sharedParts() {
		_, _ = h.WriteString("/" + p.ID)
	}
	return h.Sum64()
}

// ForwardMetadata holds what the gateway adds to the client's headers when it forwards
// a request to a target.
type ForwardMetadata struct {
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// Target is the ID of the target that the request is meant for.
	Target       string
	Organisation string
	// Priority is the rank that the target gives the request, or -1 for its default.
	Priority int
	// LastEventID is the ID of the last event that the client has, or empty.
	LastEventID string
}

// ResponseMetadata holds what the gateway decodes from a target's response head.
type ResponseMetadata struct {
	// ID identifies the client's attempt that the response belongs to.
	ID string
	// Signed is set if the target has signed the response.
	Signed bool
	// NotRun is set if the target did not run the request and never will.
	NotRun bool
	// Misdirected is set if another target than ForwardMetadata.Target responded.
	Misdirected bool
	// Leaving is set if the target states that it leaves, and takes no more requests.
	Leaving bool
	// PauseFor is how long the target wants no more requests from this router, or zero.
	PauseFor time.Duration
	// RateLimit is what the target states of the rate of requests that it takes.
	RateLimit RateLimit
}

// RateLimit is the rate of requests that a target takes from all routers together. Its zero value
// means that the target states none.
type RateLimit struct {
	Stated bool
	// PerSecond is at least 0.
	PerSecond float64
	// Unreadable is set if the target has stated something that is no rate, Text.
	Unreadable bool
	Text       string
}

// HeaderCodec translates between HTTP headers and the gateway's metadata types.
type HeaderCodec interface {
	// DecodeRequest decodes a client's headers; an error means that they are invalid.
	DecodeRequest(h http.Header) (RequestMetadata, error)
	// ForwardHeaders returns the headers of a request to a target, made from the
	// client's headers.
	ForwardHeaders(h http.Header, m ForwardMetadata) http.Header
	// DecodeResponse decodes the head of a target's response.
	DecodeResponse(status int, h http.Header) ResponseMetadata
	// ResponseHeaders returns the headers of a target's response that are returned to
	// the client.
	ResponseHeaders(h http.Header) http.Header
}
