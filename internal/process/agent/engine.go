package agent

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/exchanger"
	"github.com/egretroute/egretroute/internal/connection/framer"
)

const (
	maxEventBytes = 1 << 20
	// maxIdleBytes bounds what comes between two events.
	maxIdleBytes      = 64 << 10
	settleTimeout     = 2 * time.Second
	eventBufferBytes  = 4 << 10
	eventStreamPrefix = "text/event-stream"
	maxIdleToEngine   = 256 // connections
)

// engine is the Backend of a model engine with an OpenAI-compatible API.
type engine struct {
	url   string
	model string
	http  *http.Client
}

// NewEngine returns the Backend of the engine at url.
func NewEngine(url, model string) Backend {
	return &engine{url: url, model: model, http: exchanger.NewClient(&net.Dialer{}, maxIdleToEngine)}
}

// Service implements Backend.Service.
func (b *engine) Service() string {
	return b.model
}

// Execute implements Backend.Execute.
func (b *engine) Execute(ctx context.Context, run *framer.Run, sink Sink) (Usage, error) {
	id := AttemptID(run.RequestID, run.Attempt)
	req, err := http.NewRequestWithContext(ctx, run.Method, b.url+run.Path, bytes.NewReader(run.Body))
	if err != nil {
		return Usage{}, errors.Wrap(ErrNotReached, err.Error())
	}
	req.Header.Set("Content-Type", run.ContentType)
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Priority", fmt.Sprint(run.Priority))
	resp, err := b.http.Do(req)
	if err != nil {
		return b.settleInterrupted(ctx, id, Usage{}, err)
	}
	defer resp.Body.Close()
	contentType := resp.Header.Get("Content-Type")
	if err := sink.Head(resp.StatusCode, contentType); err != nil {
		return b.settleInterrupted(ctx, id, Usage{}, err)
	}
	var usage Usage
	if strings.HasPrefix(contentType, eventStreamPrefix) {
		usage, err = forwardEvents(resp.Body, sink)
	} else {
		usage, err = forwardDocument(resp.Body, sink)
	}
	if err != nil {
		return b.settleInterrupted(ctx, id, usage, err)
	}
	return usage, nil
}

// settleInterrupted asks for the usage of a run that ended with err. observed is the
// usage counted until then; it is returned if the target does not report any.
func (b *engine) settleInterrupted(ctx context.Context, id string, observed Usage, err error) (Usage, error) {
	if notReached(err) {
		return Usage{}, errors.Wrap(ErrNotReached, err.Error())
	}
	usage, settleErr := b.Settle(id)
	switch {
	case settleErr != nil:
		// ErrUnknownAttempt is not final either: the request may still be in a
		// buffer on its way to the target, so the target must be asked again.
		return observed, fmt.Errorf("%w: %w", ErrUnsettled, err)
	case ctx.Err() != nil:
		return usage, errors.Wrap(ctx.Err(), "run canceled")
	default:
		return usage, errors.Wrap(err, "forward response")
	}
}

// Probe implements Backend.Probe.
func (b *engine) Probe(ctx context.Context) bool {
	return probeURL(ctx, b.http, b.url)
}

// Settle implements Backend.Settle.
func (b *engine) Settle(id string) (Usage, error) {
	ctx, stop := context.WithTimeout(context.Background(), settleTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, b.url+"/v1/streams/"+id, nil)
	if err != nil {
		return Usage{}, errors.Wrap(ErrUnsettled, err.Error())
	}
	resp, err := b.http.Do(req)
	if err != nil {
		return Usage{}, errors.Wrap(ErrUnsettled, err.Error())
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		return Usage{}, ErrUnknownAttempt
	}
	var doc usageDocument
	if err := json.NewDecoder(resp.Body).Decode(&doc); err != nil || resp.StatusCode != http.StatusOK {
		return Usage{}, ErrUnsettled
	}
	return doc.Usage.usage(), nil
}

// tokenCounts is the usage object of an engine's API.
type tokenCounts struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

func (c tokenCounts) usage() Usage {
	return Usage{Prompt: c.PromptTokens, Output: c.CompletionTokens}
}

// usageDocument is the part of an engine's response that reports the usage.
type usageDocument struct {
	Usage tokenCounts `json:"usage"`
}

// eventDocument is the part of an engine's event that the agent reads.
type eventDocument struct {
	Usage *tokenCounts `json:"usage"` // nil in an event without usage
	Error any          `json:"error"` // nil in an event without error
}

// decodeEvent reads the data of an event. Most events carry text only and are not decoded:
// within a JSON string, the quotes of the names would be escaped.
func decodeEvent(data []byte) (eventDocument, error) {
	var doc eventDocument
	if !bytes.Contains(data, []byte(`"usage"`)) && !bytes.Contains(data, []byte(`"error"`)) {
		return doc, nil
	}
	err := json.Unmarshal(data, &doc)
	return doc, errors.Wrap(err, "decode event")
}

// Errors of event streams that end early or without what is needed of them.
var (
	// errIncompleteStream is returned for an event stream that ends before [DONE].
	errIncompleteStream = errors.New("event stream ended before [DONE]")
	// errEngineFailed is returned for an event stream in which the engine reports an error.
	errEngineFailed = errors.New("engine reported an error in its event stream")
	// errEndless is returned for an event stream that goes on without an event.
	errEndless = errors.New("event stream goes on without an event")
	// errNoUsage is returned for an event stream that ends without reporting its usage.
	errNoUsage = errors.New("event stream ended without reporting its usage")
)

// forwardEvents copies server-sent events to sink, except the closing [DONE], which the
// router adds once the response is known to be complete. Only [DONE] says that a stream is
// complete: the usage may come in every event, and the end of the response may be that of
// a connection. An error that the engine reports is not copied: it ends the run as failed,
// and the response may then come from another target.
func forwardEvents(r io.Reader, sink Sink) (Usage, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, eventBufferBytes), maxEventBytes)
	scanner.Split(scanWholeLines)
	f := eventForwarder{sink: sink}
	for scanner.Scan() {
		done, err := f.forward(scanner.Bytes())
		if done || err != nil {
			return f.usage, err
		}
		if f.idleBytes > maxIdleBytes {
			return f.usage, errEndless
		}
	}
	if err := scanner.Err(); err != nil {
		return f.usage, errors.Wrap(err, "read events")
	}
	return f.usage, errIncompleteStream
}

// eventForwarder copies the events of one stream and counts their usage.
type eventForwarder struct {
	sink     Sink
	usage    Usage
	reported bool // the engine has reported a usage
	// idleBytes counts comments and other lines since the last event.
	idleBytes int
}

// forward copies one line of the stream if it is an event, and reports whether it is the
// closing [DONE].
func (f *eventForwarder) forward(line []byte) (done bool, err error) {
	if name, ok := bytes.CutPrefix(line, []byte("event:")); ok && string(bytes.TrimSpace(name)) == "error" {
		return false, errEngineFailed
	}
	data, ok := bytes.CutPrefix(line, []byte("data: "))
	if !ok {
		f.idleBytes += len(line) + 1
		return false, nil
	}
	f.idleBytes = 0
	if bytes.Equal(data, []byte("[DONE]")) {
		if !f.reported {
			return false, errNoUsage
		}
		return true, nil
	}
	doc, err := decodeEvent(data)
	switch {
	case err != nil:
		return false, err
	case doc.Error != nil:
		return false, errEngineFailed
	case doc.Usage != nil:
		f.usage, f.reported = doc.Usage.usage(), true
	default:
		f.usage.Output++
	}
	return false, f.sink.Data(append(append([]byte(nil), line...), '\n', '\n'))
}

// scanWholeLines is a bufio.SplitFunc like bufio.ScanLines, except that it drops a last
// line without a line end, which may be a part of a line.
func scanWholeLines(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if bytes.IndexByte(data, '\n') < 0 {
		return 0, nil, nil
	}
	return bufio.ScanLines(data, atEOF)
}

// forwardDocument copies a JSON response to sink.
func forwardDocument(r io.Reader, sink Sink) (Usage, error) {
	body, err := readResponse(r)
	if err != nil {
		return Usage{}, err
	}
	var doc usageDocument
	if err := json.Unmarshal(body, &doc); err != nil {
		return Usage{}, errors.Wrap(err, "decode response")
	}
	return doc.Usage.usage(), sink.Data(body)
}
