package router

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/receiver"
	"github.com/egretroute/egretroute/internal/process/treasurer"
	"github.com/egretroute/egretroute/internal/request/chooser"
	"github.com/egretroute/egretroute/internal/request/suspecter"
	"github.com/egretroute/egretroute/internal/version/declarer"
)

// Headers that clients set.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderPriority       = "Egretroute-Priority"
	HeaderDeadline       = "Egretroute-Deadline-Ms"
	HeaderNonIdempotent  = "Egretroute-Non-Idempotent"
)

const (
	maxBodyBytes    = 4 << 20
	maxKeyBytes     = 256
	maxDeadline     = time.Hour
	defaultDeadline = 2 * time.Minute
	chatPath        = "/v1/chat/completions"
	// promptOverheadTokens bounds the tokens that an engine adds around a prompt.
	promptOverheadTokens = 16
)

// clientRequest is a validated request of a client.
type clientRequest struct {
	id            string
	organisation  declarer.Organisation
	serves        string
	model         bool
	method        string
	path          string
	contentType   string
	body          []byte
	stream        bool
	priority      declarer.Priority
	deadline      time.Time
	nonIdempotent bool
	key           string
	// cost is the largest number of tokens that the request may use.
	cost     int64
	digest   string
	affinity uint64
}

// requestError is the reason why a request is rejected before it runs.
type requestError struct {
	status int
	reason string
	detail string
}

// Error implements error.
func (e *requestError) Error() string {
	return e.detail
}

func newRequestError(status int, reason, format string, args ...any) error {
	return &requestError{status: status, reason: reason, detail: fmt.Sprintf(format, args...)}
}

func badRequest(format string, args ...any) error {
	return newRequestError(http.StatusBadRequest, "bad-request", format, args...)
}

// parseRequest authenticates the client and reads the headers and the body that
// all kinds of requests share.
func (r *Router) parseRequest(req *http.Request) (*clientRequest, error) {
	organisation, err := r.authenticate(req)
	if err != nil {
		return nil, err
	}
	creq := &clientRequest{
		id: treasurer.NewIncarnation(r.Name), organisation: organisation,
		method: req.Method, contentType: req.Header.Get("Content-Type"), key: req.Header.Get(HeaderIdempotencyKey),
		nonIdempotent: req.Header.Get(HeaderNonIdempotent) == "true",
	}
	if len(creq.key) > maxKeyBytes {
		return nil, badRequest("%s is longer than %d bytes", HeaderIdempotencyKey, maxKeyBytes)
	}
	if err := creq.readPriority(req); err != nil {
		return nil, err
	}
	if err := creq.readDeadline(req); err != nil {
		return nil, err
	}
	creq.body, err = receiver.Of(req.Context()).ReadBody(req.Body, req.ContentLength, maxBodyBytes, creq.deadline)
	switch {
	case errors.Is(err, receiver.ErrTooLarge):
		return nil, newRequestError(http.StatusRequestEntityTooLarge, "too-large", "the body is larger than %d bytes", maxBodyBytes)
	case errors.Is(err, receiver.ErrNoRoom):
		return nil, newRequestError(http.StatusServiceUnavailable, "no-memory", "no memory is left for the body")
	case errors.Is(err, receiver.ErrLate):
		return nil, newRequestError(http.StatusRequestTimeout, "body-late", "the body was not received in time")
	case err != nil:
		return nil, badRequest("the body could not be read: %v", err)
	}
	return creq, nil
}

// authenticate returns the organisation that the bearer key belongs to.
func (r *Router) authenticate(req *http.Request) (declarer.Organisation, error) {
	key, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if ok {
		if o, found := r.directory.organisationByKeyHash(declarer.HashKey(key)); found {
			return o, nil
		}
	}
	return declarer.Organisation{}, newRequestError(http.StatusUnauthorized, "unauthorized", "the key is missing or unknown")
}

func (creq *clientRequest) readPriority(req *http.Request) error {
	creq.priority = declarer.PriorityOrdinary
	switch name := req.Header.Get(HeaderPriority); name {
	case "", declarer.PriorityOrdinary.String():
	case declarer.PriorityUrgent.String():
		creq.priority = declarer.PriorityUrgent
		if !creq.organisation.Urgent {
			return newRequestError(http.StatusForbidden, "forbidden", "organisation %q may not send urgent requests", creq.organisation.Name)
		}
	default:
		return badRequest("%s must be urgent or ordinary, not %q", HeaderPriority, name)
	}
	return nil
}

func (creq *clientRequest) readDeadline(req *http.Request) error {
	creq.deadline = time.Now().Add(defaultDeadline)
	text := req.Header.Get(HeaderDeadline)
	if text == "" {
		return nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis <= 0 || millis > maxDeadline.Milliseconds() {
		return badRequest("%s must be 1 to %d, not %q", HeaderDeadline, maxDeadline.Milliseconds(), text)
	}
	creq.deadline = time.Now().Add(time.Duration(millis) * time.Millisecond)
	return nil
}

// chatBody holds the fields of a chat request that the router reads.
type chatBody struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	N                   *int64          `json:"n"`
	Messages            json.RawMessage `json:"messages"`
}

// parseChat reads a chat request, computes its highest possible cost and limits
// its output accordingly.
func (creq *clientRequest) parseChat(f *declarer.Fleet) error {
	var body chatBody
	if err := json.Unmarshal(creq.body, &body); err != nil {
		return badRequest("the body is no JSON chat request: %v", err)
	}
	model, ok := f.FindModel(body.Model)
	if !ok {
		return newRequestError(http.StatusNotFound, "unknown-model", "model %q is not served", body.Model)
	}
	if len(body.Messages) == 0 || body.Messages[0] != '[' {
		return badRequest("messages must be a list")
	}
	if body.N != nil && *body.N != 1 {
		return badRequest("n must be 1, not %d", *body.N)
	}
	output, err := outputLimit(body, model)
	if err != nil {
		return err
	}
	creq.model, creq.serves, creq.path, creq.stream = true, model.Name, chatPath, body.Stream
	creq.cost = output + int64(len(body.Messages))/model.BytesPerToken + promptOverheadTokens
	creq.digest = suspecter.Digest(creq.organisation.Name, creq.body)
	creq.affinity = chooser.AffinityKey(body.Messages)
	return creq.limitOutput(output)
}

// outputLimit returns the largest number of tokens that the request may generate.
func outputLimit(body chatBody, model declarer.Model) (int64, error) {
	limit := model.MaxTokens
	for _, n := range []*int64{body.MaxTokens, body.MaxCompletionTokens} {
		if n == nil {
			continue
		}
		if *n < 1 || *n > model.MaxTokens {
			return 0, badRequest("max_tokens must be 1 to %d, not %d", model.MaxTokens, *n)
		}
		limit = min(limit, *n)
	}
	return limit, nil
}

// limitOutput sets max_tokens in the body that is sent to the engine, and asks for
// the usage at the end of a stream.
func (creq *clientRequest) limitOutput(limit int64) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(creq.body, &fields); err != nil {
		return badRequest("the body is no JSON object: %v", err)
	}
	delete(fields, "max_completion_tokens")
	fields["max_tokens"] = json.RawMessage(strconv.FormatInt(limit, 10))
	if creq.stream {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	body, err := json.Marshal(fields)
	creq.body = body
	return errors.Wrap(err, "encode chat request")
}

// parseService reads a request to a service other than a model.
func (creq *clientRequest) parseService(f *declarer.Fleet, name, path, query string) error {
	s, ok := f.FindService(name)
	if !ok {
		return newRequestError(http.StatusNotFound, "unknown-service", "service %q is not served", name)
	}
	creq.serves, creq.cost = s.Name, s.Cost
	creq.path = "/" + path
	if query != "" {
		creq.path += "?" + query
	}
	if slices.Contains(s.NonIdempotent, creq.method) {
		creq.nonIdempotent = true
	}
	creq.digest = suspecter.Digest(creq.organisation.Name, []byte(creq.method+" "+creq.path), []byte(creq.key), creq.body)
	creq.affinity = chooser.AffinityKey([]byte(creq.organisation.Name + "\x00" + creq.key))
	return nil
}
