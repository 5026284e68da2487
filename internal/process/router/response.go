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

// Reasons that the router sets itself; agents set the others.
const (
	reasonBudgetExhausted = "budget-exhausted"
	reasonNoTarget        = "no-target"
	reasonDeadlinePassed  = "deadline-passed"
	reasonContactLost     = "contact-lost"
	reasonAnswerBroken    = "answer-broken"
	reasonCallerGone      = "caller-gone"
	reasonRetriesUsedUp   = "retries-used-up"
)

// result is how a request ended.
type result struct {
	outcome framer.Outcome
	reason  string
	billed  int64
	target  string
	// retryAfter is sent as the Retry-After header; zero omits the header.
	retryAfter time.Duration
}

// httpStatus returns the status code of an error response.
func (r *result) httpStatus() int {
	switch r.reason {
	case reasonBudgetExhausted:
		return http.StatusTooManyRequests
	case agent.ReasonStarted:
		return http.StatusConflict
	case agent.ReasonPoison:
		return http.StatusUnprocessableEntity
	case reasonDeadlinePassed:
		return http.StatusGatewayTimeout
	}
	if r.outcome == framer.OutcomeNotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// message describes the outcome to the client.
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

// clientResponse writes the response to one client. Event streams are forwarded
// chunk by chunk; any other response is buffered until it is complete.
type clientResponse struct {
	w         http.ResponseWriter
	request   *clientRequest
	startedAt time.Time

	status      int
	contentType string
	buffer      []byte
	streaming   bool
	firstByte   time.Time
}

// setHead records the status and content type that a new attempt returned and
// discards the body that an earlier attempt has buffered.
func (resp *clientResponse) setHead(status int, contentType string) {
	resp.status, resp.contentType = status, contentType
	resp.buffer = nil
}

// write forwards or buffers a chunk of the body.
func (resp *clientResponse) write(p []byte) error {
	if resp.firstByte.IsZero() {
		resp.firstByte = time.Now()
	}
	if !resp.request.stream || resp.status != http.StatusOK || !strings.HasPrefix(resp.contentType, "text/event-stream") {
		resp.buffer = append(resp.buffer, p...)
		return nil
	}
	if !resp.streaming {
		resp.startStream()
	}
	if _, err := resp.w.Write(p); err != nil {
		return err
	}
	resp.flush()
	return nil
}

// started reports whether part of the response has been sent to the client.
func (resp *clientResponse) started() bool {
	return resp.streaming
}

func (resp *clientResponse) startStream() {
	h := resp.w.Header()
	h.Set("Content-Type", resp.contentType)
	h.Set("Cache-Control", "no-cache")
	h.Set(HeaderRequestID, resp.request.id)
	h.Set("Trailer", strings.Join([]string{HeaderOutcome, HeaderBilled, HeaderReason, HeaderTarget}, ", "))
	resp.w.WriteHeader(resp.status)
	resp.streaming = true
}

func (resp *clientResponse) flush() {
	if f, ok := resp.w.(http.Flusher); ok {
		f.Flush()
	}
}

// finish completes the response; a stream ends with [DONE] only if it is complete.
func (resp *clientResponse) finish(res *result) {
	switch {
	case resp.streaming:
		resp.finishStream(res)
	case res.outcome != framer.OutcomeAnswered:
		writeRefusal(resp.w, resp.request.id, res)
	default:
		res.setHeaders(resp.w.Header(), resp.request.id)
		resp.w.Header().Set("Content-Type", resp.contentType)
		if len(resp.buffer) > 0 { // a response to HEAD, or with status 204 or 304, has none
			resp.w.Header().Set("Content-Length", strconv.Itoa(len(resp.buffer)))
		}
		resp.w.WriteHeader(resp.status)
		_, _ = resp.w.Write(resp.buffer)
	}
}

func (resp *clientResponse) finishStream(res *result) {
	if res.outcome == framer.OutcomeAnswered {
		_, _ = fmt.Fprint(resp.w, "data: [DONE]\n\n")
	} else {
		doc, _ := json.Marshal(errorDocument{Error: errorDetail{
			Message: res.message(), Type: res.reason, Outcome: res.outcome.String(),
		}})
		_, _ = fmt.Fprintf(resp.w, "event: error\ndata: %s\n\n", doc)
	}
	res.setHeaders(resp.w.Header(), "")
	resp.flush()
}
