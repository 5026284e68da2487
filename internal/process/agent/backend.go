package agent

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/exchanger"
	"github.com/egretroute/egretroute/internal/connection/framer"
)

const (
	// probeTimeout bounds one probe of a target.
	probeTimeout = 500 * time.Millisecond
	// maxResponseBytes bounds a response that is not streamed; agent and router hold it
	// in memory.
	maxResponseBytes = 64 << 20
)

// Errors of backends.
var (
	// ErrNotReached is returned when a request was not sent to the target.
	ErrNotReached = errors.New("target was not reached")
	// ErrUnknownAttempt is returned when a target does not know an attempt.
	ErrUnknownAttempt = errors.New("target does not know the attempt")
	// ErrUnsettled is returned when the usage of an attempt is not known yet.
	ErrUnsettled = errors.New("target did not report the usage of the attempt")
	// ErrCrashed is returned when the connection to the target failed during a run.
	ErrCrashed = errors.New("connection to the target failed during the run")
	// errResponseTooLong is returned for a response above maxResponseBytes.
	errResponseTooLong = errors.New("response of the target is too long")
)

// Usage is the cost of a run, in tokens.
type Usage struct {
	Prompt int64
	Output int64
	// Fixed is the price of a request to a plain service.
	Fixed int64
}

// total returns the sum of all kinds of usage.
func (u Usage) total() int64 {
	return u.Prompt + u.Output + u.Fixed
}

// Sink receives a response in pieces.
type Sink interface {
	Head(status int, contentType string) error
	Data(p []byte) error
}

// Backend runs requests at a target.
type Backend interface {
	// Execute runs one request; the usage is valid even if err is not nil.
	Execute(ctx context.Context, run *framer.Run, sink Sink) (Usage, error)
	// Probe reports whether the target responds at all.
	Probe(ctx context.Context) bool
	// Settle stops an attempt and returns its usage, ErrUnknownAttempt if the target
	// does not know the attempt or has forgotten it, or ErrUnsettled if the target
	// does not respond.
	Settle(attemptID string) (Usage, error)
	// Service returns the name of the service or model under which claims are made.
	Service() string
}

// readResponse reads the whole body of a response, or none of it.
func readResponse(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxResponseBytes+1)) // one more shows that it is too long
	if err != nil {
		return nil, errors.Wrap(err, "read response")
	}
	if len(body) > maxResponseBytes {
		return nil, errResponseTooLong
	}
	return body, nil
}

// probeURL reports whether an HTTP server responds, with any status.
func probeURL(ctx context.Context, client *http.Client, url string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/healthz", nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return true
}

// notReached reports whether an HTTP request failed before any of it was sent.
func notReached(err error) bool {
	return errors.Is(err, exchanger.ErrNotSent)
}

// AttemptID returns the ID under which a target knows an attempt.
func AttemptID(requestID string, attempt uint64) string {
	return fmt.Sprintf("%s.%d", requestID, attempt)
}
