package agent

import (
	"bytes"
	"context"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/exchanger"
	"github.com/egretroute/egretroute/internal/connection/framer"
)

// service is the Backend of a plain HTTP service.
type service struct {
	url  string
	name string
	http *http.Client
	// once opens a connection for each request, for those that may run only once:
	// exchanger.Transport repeats some requests by itself when a reused connection breaks.
	once *http.Client
}

// maxIdleToService is how many connections to a service may be idle.
const maxIdleToService = 64

// NewService returns the Backend of the plain service at url.
func NewService(url, name string) Backend {
	return &service{
		url: url, name: name,
		http: exchanger.NewClient(&net.Dialer{}, maxIdleToService), once: exchanger.NewClient(&net.Dialer{}, 0),
	}
}

// Service implements Backend.Service.
func (b *service) Service() string {
	return b.name
}

// Probe implements Backend.Probe.
func (b *service) Probe(ctx context.Context) bool {
	return probeURL(ctx, b.http, b.url)
}

// Settle implements Backend.Settle; a plain service keeps no record of attempts.
func (b *service) Settle(string) (Usage, error) {
	return Usage{}, ErrUnknownAttempt
}

// Execute implements Backend.Execute.
func (b *service) Execute(ctx context.Context, run *framer.Run, sink Sink) (Usage, error) {
	req, err := http.NewRequestWithContext(ctx, run.Method, b.url+run.Path, bytes.NewReader(run.Body))
	if err != nil {
		return Usage{}, errors.Wrap(ErrNotReached, err.Error())
	}
	// Without GetBody, net/http's client repeats no request that has a body after a redirection.
	req.GetBody = nil
	client := b.http
	if run.NonIdempotent {
		client = b.once
	}
	if run.ContentType != "" {
		req.Header.Set("Content-Type", run.ContentType)
	}
	if run.Key != "" {
		req.Header.Set("Idempotency-Key", run.Key)
	}
	usage := Usage{Fixed: run.Cost}
	resp, err := client.Do(req)
	if err != nil {
		if notReached(err) {
			return Usage{}, errors.Wrap(ErrNotReached, err.Error())
		}
		return usage, interruption(err)
	}
	defer resp.Body.Close()
	body, err := readResponse(resp.Body)
	if err != nil {
		return usage, interruption(err)
	}
	// The request has run, although its response may not be deliverable. The sink gets
	// the whole response even so, since it may keep it for replay.
	_ = sink.Head(resp.StatusCode, resp.Header.Get("Content-Type"))
	_ = sink.Data(body)
	return usage, nil
}

// interruption returns the error of a run whose response was not read to its end: ErrCrashed unless the target is up.
func interruption(err error) error {
	if errors.Is(err, errResponseTooLong) || errors.Is(err, exchanger.ErrMalformed) {
		return err
	}
	return errors.Wrap(ErrCrashed, err.Error())
}
