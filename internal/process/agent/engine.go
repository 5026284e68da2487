package agent

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/framer"
)

const (
	maxResponseBytes  = 64 << 20
	maxEventBytes     = 1 << 20
	settleTimeout     = 2 * time.Second
	eventBufferBytes  = 4 << 10
	eventStreamPrefix = "text/event-stream"
)

// engine is the Backend of a model engine with an OpenAI-compatible API.
type engine struct {
	url   string
	model string
	http  *http.Client
}

// NewEngine returns the Backend of the engine at url.
func NewEngine(url, model string) Backend {
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	return &engine{url: url, model: model, http: &http.Client{Transport: transport}}
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
		return observed, errors.Wrap(ErrUnsettled, err.Error())
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
	return doc.usage(), nil
}

// usageDocument is the part of an engine's response that reports the usage.
type usageDocument struct {
	Usage struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
	} `json:"usage"`
}

func (d usageDocument) usage() Usage {
	return Usage{Prompt: d.Usage.PromptTokens, Output: d.Usage.CompletionTokens}
}

// Errors of event streams that end early or without what is needed of them.
var (
	// errIncompleteStream is returned for an event stream that ends before [DONE].
	errIncompleteStream = errors.New("event stream ended before [DONE]")
	// errNoUsage is returned for an event stream that ends without reporting its usage.
	errNoUsage = errors.New("event stream ended without reporting its usage")
)

// forwardEvents copies server-sent events to sink, except the closing [DONE], which the
// router adds once the response is known to be complete. Only [DONE] says that a stream is
// complete: the usage may come in every event, and the end of the response may be that of
// a connection.
func forwardEvents(r io.Reader, sink Sink) (Usage, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, eventBufferBytes), maxEventBytes)
	scanner.Split(scanWholeLines)
	usage := Usage{}
	reported := false
	for scanner.Scan() {
		line := scanner.Bytes()
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if bytes.Equal(data, []byte("[DONE]")) {
			if !reported {
				return usage, errNoUsage
			}
			return usage, nil
		}
		if bytes.Contains(data, []byte(`"usage":{`)) {
			var doc usageDocument
			if err := json.Unmarshal(data, &doc); err != nil {
				return usage, errors.Wrap(err, "decode usage")
			}
			usage, reported = doc.usage(), true
		} else {
			usage.Output++
		}
		if err := sink.Data(append(append([]byte(nil), line...), '\n', '\n')); err != nil {
			return usage, err
		}
	}
	if err := scanner.Err(); err != nil {
		return usage, errors.Wrap(err, "read events")
	}
	return usage, errIncompleteStream
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
	body, err := io.ReadAll(io.LimitReader(r, maxResponseBytes))
	if err != nil {
		return Usage{}, errors.Wrap(err, "read response")
	}
	var doc usageDocument
	if err := json.Unmarshal(body, &doc); err != nil {
		return Usage{}, errors.Wrap(err, "decode response")
	}
	return doc.usage(), sink.Data(body)
}
