package router

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/process/agent"
)

// Reasons that routers give besides those of agents.
const (
	reasonBudget   = "budget-exhausted"
	reasonNoTarget = "no-target"
	reasonDeadline = "deadline-passed"
	reasonLost     = "contact-lost"
	reasonBroken   = "answer-broken"
	reasonGone     = "caller-gone"
	reasonRetries  = "retries-used-up"
)

// result is how a request ended.
type result struct {
	outcome framer.Outcome
	reason  string
	billed  int64
	target  string
	// retryAfter is when the caller may come back; zero means it is not said.
	retryAfter time.Duration
}

// httpStatus returns the status of an answer that is an error.
func (r *result) httpStatus() int {
	switch r.reason {
	case reasonBudget:
		return http.StatusTooManyRequests
	case agent.ReasonStarted:
		return http.StatusConflict
	case agent.ReasonPoison:
		return http.StatusUnprocessableEntity
	case reasonDeadline:
		return http.StatusGatewayTimeout
	}
	if r.outcome == framer.OutcomeNotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// message explains the outcome to a caller.
func (r *result) message() string {
	switch r.outcome {
	case framer.OutcomeNotRun:
		return "the request did not run and will not: " + r.reason
	case framer.OutcomeFailedAfterStart:
		return "the request ran and failed: " + r.reason
	default:
		return "the request may have run: " + r.reason
	}
}

func (r *result) setHeaders(h http.Header, id string) {
	if id != "" {
		h.Set(HeaderRequestID, id)
	}
	h.Set(HeaderOutcome, r.outcome.String())
	h.Set(HeaderBilled, strconv.FormatInt(r.billed, 10))
	if r.reason != "" {
		h.Set(HeaderReason, r.reason)
	}
	if r.target != "" {
		h.Set(HeaderTarget, r.target)
	}
}

// answer writes to one caller: event streams as they come, all else once it
// is whole.
type answer struct {
	w       http.ResponseWriter
	job     *job
	begunAt time.Time

	status      int
	contentType string
	buffer      []byte
	streaming   bool
	firstByte   time.Time
}

// head takes the status of a new attempt; what an earlier one left is dropped.
func (a *answer) head(status int, contentType string) {
	a.status, a.contentType = status, contentType
	a.buffer = nil
}

// data takes a piece of the body.
func (a *answer) data(p []byte) error {
	if a.firstByte.IsZero() {
		a.firstByte = time.Now()
	}
	if !a.job.stream || a.status != http.StatusOK || !strings.HasPrefix(a.contentType, "text/event-stream") {
		a.buffer = append(a.buffer, p...)
		return nil
	}
	if !a.streaming {
		a.beginStream()
	}
	if _, err := a.w.Write(p); err != nil {
		return err
	}
	a.flush()
	return nil
}

// begun reports whether the caller has seen a part of the answer.
func (a *answer) begun() bool {
	return a.streaming
}

func (a *answer) beginStream() {
	h := a.w.Header()
	h.Set("Content-Type", a.contentType)
	h.Set("Cache-Control", "no-cache")
	h.Set(HeaderRequestID, a.job.id)
	h.Set("Trailer", strings.Join([]string{HeaderOutcome, HeaderBilled, HeaderReason, HeaderTarget}, ", "))
	a.w.WriteHeader(a.status)
	a.streaming = true
}

func (a *answer) flush() {
	if f, ok := a.w.(http.Flusher); ok {
		f.Flush()
	}
}

// finish closes the answer; a stream gets [DONE] only if it is whole.
func (a *answer) finish(res *result) {
	switch {
	case a.streaming:
		a.finishStream(res)
	case res.outcome != framer.OutcomeAnswered:
		writeRefusal(a.w, a.job.id, res)
	default:
		res.setHeaders(a.w.Header(), a.job.id)
		a.w.Header().Set("Content-Type", a.contentType)
		a.w.WriteHeader(a.status)
		_, _ = a.w.Write(a.buffer)
	}
}

func (a *answer) finishStream(res *result) {
	if res.outcome == framer.OutcomeAnswered {
		_, _ = fmt.Fprint(a.w, "data: [DONE]\n\n")
	} else {
		doc, _ := json.Marshal(errorDocument{Error: errorDetail{
			Message: res.message(), Type: res.reason, Outcome: res.outcome.String(),
		}})
		_, _ = fmt.Fprintf(a.w, "event: error\ndata: %s\n\n", doc)
	}
	res.setHeaders(a.w.Header(), "")
	a.flush()
}
