package router

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/process/treasurer"
	"github.com/egretroute/egretroute/internal/request/chooser"
	"github.com/egretroute/egretroute/internal/request/suspecter"
	"github.com/egretroute/egretroute/internal/version/declarer"
)

// Headers that callers set.
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
	// promptOverheadTokens bounds what an engine adds around a prompt.
	promptOverheadTokens = 16
)

// job is one request of a caller, checked and ready to run.
type job struct {
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
	// cost is the worst case, in tokens.
	cost     int64
	digest   string
	affinity uint64
}

// faultError is a request that can't be served as it is.
type faultError struct {
	status int
	reason string
	detail string
}

// Error implements error.
func (e *faultError) Error() string {
	return e.detail
}

func fault(status int, reason, format string, args ...any) error {
	return &faultError{status: status, reason: reason, detail: fmt.Sprintf(format, args...)}
}

func badRequest(format string, args ...any) error {
	return fault(http.StatusBadRequest, "bad-request", format, args...)
}

// newJob authenticates the caller and reads what all requests have in common.
func (r *Router) newJob(w http.ResponseWriter, req *http.Request) (*job, error) {
	organisation, err := r.authenticate(req)
	if err != nil {
		return nil, err
	}
	j := &job{
		id: treasurer.NewIncarnation(r.Name), organisation: organisation,
		method: req.Method, contentType: req.Header.Get("Content-Type"), key: req.Header.Get(HeaderIdempotencyKey),
		nonIdempotent: req.Header.Get(HeaderNonIdempotent) == "true",
	}
	if len(j.key) > maxKeyBytes {
		return nil, badRequest("%s is longer than %d bytes", HeaderIdempotencyKey, maxKeyBytes)
	}
	if err := j.readPriority(req); err != nil {
		return nil, err
	}
	if err := j.readDeadline(req); err != nil {
		return nil, err
	}
	j.body, err = io.ReadAll(http.MaxBytesReader(w, req.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fault(http.StatusRequestEntityTooLarge, "too-large", "the body is larger than %d bytes", maxBodyBytes)
	}
	if err != nil {
		return nil, badRequest("the body could not be read: %v", err)
	}
	return j, nil
}

// authenticate returns the organisation of the bearer key.
func (r *Router) authenticate(req *http.Request) (declarer.Organisation, error) {
	key, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if ok {
		if o, known := r.sheet.caller(declarer.HashKey(key)); known {
			return o, nil
		}
	}
	return declarer.Organisation{}, fault(http.StatusUnauthorized, "unauthorized", "the key is missing or unknown")
}

func (j *job) readPriority(req *http.Request) error {
	j.priority = declarer.PriorityOrdinary
	switch name := req.Header.Get(HeaderPriority); name {
	case "", declarer.PriorityOrdinary.String():
	case declarer.PriorityUrgent.String():
		j.priority = declarer.PriorityUrgent
		if !j.organisation.Urgent {
			return fault(http.StatusForbidden, "forbidden", "organisation %q may not send urgent requests", j.organisation.Name)
		}
	default:
		return badRequest("%s must be urgent or ordinary, not %q", HeaderPriority, name)
	}
	return nil
}

func (j *job) readDeadline(req *http.Request) error {
	j.deadline = time.Now().Add(defaultDeadline)
	text := req.Header.Get(HeaderDeadline)
	if text == "" {
		return nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis <= 0 || millis > maxDeadline.Milliseconds() {
		return badRequest("%s must be 1 to %d, not %q", HeaderDeadline, maxDeadline.Milliseconds(), text)
	}
	j.deadline = time.Now().Add(time.Duration(millis) * time.Millisecond)
	return nil
}

// chatBody is the part of a chat request that the router reads.
type chatBody struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	N                   *int64          `json:"n"`
	Messages            json.RawMessage `json:"messages"`
}

// fillChat reads a chat request and bounds its cost.
func (j *job) fillChat(f *declarer.Fleet) error {
	var body chatBody
	if err := json.Unmarshal(j.body, &body); err != nil {
		return badRequest("the body is no JSON chat request: %v", err)
	}
	model, ok := f.FindModel(body.Model)
	if !ok {
		return fault(http.StatusNotFound, "unknown-model", "model %q is not served", body.Model)
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
	j.model, j.serves, j.path, j.stream = true, model.Name, chatPath, body.Stream
	j.cost = output + int64(len(body.Messages))/model.BytesPerToken + promptOverheadTokens
	j.digest = suspecter.Digest(j.organisation.Name, j.body)
	j.affinity = chooser.AffinityKey(body.Messages)
	return j.boundOutput(output)
}

// outputLimit returns the most tokens that the request may generate.
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

// boundOutput writes the limit into the body that the engine gets.
func (j *job) boundOutput(limit int64) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(j.body, &fields); err != nil {
		return badRequest("the body is no JSON object: %v", err)
	}
	delete(fields, "max_completion_tokens")
	fields["max_tokens"] = json.RawMessage(strconv.FormatInt(limit, 10))
	if j.stream {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	body, err := json.Marshal(fields)
	j.body = body
	return errors.Wrap(err, "encode chat request")
}

// fillService reads a call to a plain service.
func (j *job) fillService(f *declarer.Fleet, name, path, query string) error {
	s, ok := f.FindService(name)
	if !ok {
		return fault(http.StatusNotFound, "unknown-service", "service %q is not served", name)
	}
	j.serves, j.cost = s.Name, s.Cost
	j.path = "/" + path
	if query != "" {
		j.path += "?" + query
	}
	if slices.Contains(s.NonIdempotent, j.method) {
		j.nonIdempotent = true
	}
	j.digest = suspecter.Digest(j.organisation.Name, append([]byte(j.method+" "+j.path+"\x00"+j.key+"\x00"), j.body...))
	j.affinity = chooser.AffinityKey([]byte(j.organisation.Name + "\x00" + j.key))
	return nil
}
