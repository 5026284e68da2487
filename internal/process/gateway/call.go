package gateway

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part is one part of a prompt, in order; requests share leading parts.
type Part struct {
	ID     string
	Tokens int64
}

// Call is what a client says of its request.
type Call struct {
	// ID names this attempt of the client.
	ID string
	// Key is the organisation's key.
	Key string
	// Deadline is how long the client waits; zero if it doesn't say.
	Deadline time.Duration
	Model    string
	// PromptTokens and MaxOutputTokens bound the cost.
	PromptTokens    int64
	MaxOutputTokens int64
	Prefix          []Part
	// LastEvent is the event after which the client resumes a stream.
	LastEvent string
}

// affinity returns the hash of all parts of the prompt but the last, which is
// the request's own.
func (c *Call) affinity() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(c.Model) // never fails
	for _, p := range c.Prefix[:max(len(c.Prefix)-1, 0)] {
		_, _ = h.WriteString("/" + p.ID)
	}
	return h.Sum64()
}

// Outgoing is what the system tells a target beside the client's own headers.
type Outgoing struct {
	// TimeLeft is how long the target may work.
	TimeLeft time.Duration
	// Target is the id of the target that is meant.
	Target       string
	Organisation string
	// Priority is the rank that the target gives the request, or -1 for its default.
	Priority  int
	LastEvent string
}

// Answer is what a target says in the head of its answer.
type Answer struct {
	// ID is the attempt that is answered.
	ID string
	// Signed is set if the target vouches for the body.
	Signed bool
	// NotRun is set if the target did not run the request and never will.
	NotRun bool
	// OtherTarget is set if another target than the one meant answered.
	OtherTarget bool
}

// Dialect translates between headers and what the gateway knows.
type Dialect interface {
	// DecodeRequest decodes a client's headers; an error is the client's fault.
	DecodeRequest(h http.Header) (Call, error)
	// ForwardHeaders returns the headers for a target.
	ForwardHeaders(h http.Header, o Outgoing) http.Header
	// DecodeResponse decodes the head of a target's answer.
	DecodeResponse(status int, h http.Header) Answer
	// ResponseHeaders returns the headers of a target's answer for the client.
	ResponseHeaders(h http.Header) http.Header
}
