package gateway

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PromptPart is one part of a prompt, in order; requests share leading parts.
type PromptPart struct {
	ID     string
	Tokens int64
}

// RequestMetadata is what a client says of its request.
type RequestMetadata struct {
	// ID names this attempt of the client.
	ID string
	// Key is the organisation's key.
	Key string
	// Timeout is how long the client waits; zero if it doesn't say.
	Timeout time.Duration
	Model   string
	// PromptTokens and MaxOutputTokens bound the cost.
	PromptTokens    int64
	MaxOutputTokens int64
	PromptParts     []PromptPart
	// LastEventID is the event after which the client resumes a stream.
	LastEventID string
}

// affinity returns the hash of all parts of the prompt but the last, which is
// the request's own.
func (c *RequestMetadata) affinity() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(c.Model) // never fails
	for _, p := range c.PromptParts[:max(len(c.PromptParts)-1, 0)] {
		_, _ = h.WriteString("/" + p.ID)
	}
	return h.Sum64()
}

// ForwardMetadata is what the system tells a target beside the client's own headers.
type ForwardMetadata struct {
	// TimeLeft is how long the target may work.
	TimeLeft time.Duration
	// Target is the id of the target that is meant.
	Target       string
	Organisation string
	// Priority is the rank that the target gives the request, or -1 for its default.
	Priority    int
	LastEventID string
}

// ResponseMetadata is what a target says in the head of its answer.
type ResponseMetadata struct {
	// ID is the attempt that is answered.
	ID string
	// Signed is set if the target vouches for the body.
	Signed bool
	// NotRun is set if the target did not run the request and never will.
	NotRun bool
	// Misdirected is set if another target than the one meant answered.
	Misdirected bool
}

// HeaderCodec translates between headers and what the gateway knows.
type HeaderCodec interface {
	// DecodeRequest decodes a client's headers; an error is the client's fault.
	DecodeRequest(h http.Header) (RequestMetadata, error)
	// ForwardHeaders returns the headers for a target.
	ForwardHeaders(h http.Header, o ForwardMetadata) http.Header
	// DecodeResponse decodes the head of a target's answer.
	DecodeResponse(status int, h http.Header) ResponseMetadata
	// ResponseHeaders returns the headers of a target's answer for the client.
	ResponseHeaders(h http.Header) http.Header
}
