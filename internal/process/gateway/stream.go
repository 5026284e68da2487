package gateway

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/exchanger"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/registrar"
)

// errRepeats is the reason of a failed resumption whose target starts the stream again.
var errRepeats = errors.New("the resumed stream repeats events")

// streamBufferBytes is the buffer size for reading a stream.
const streamBufferBytes = 8 << 10

// copyStream sends a target's stream to the client event by event, as complete events
// arrive.
func (g *Gateway) copyStream(ctx context.Context, out *clientResponse, q *request, target registrar.Entry, resp *exchanger.Response) attemptResult {
	q.splitter.Resume()
	if out.begun() {
		logger.StreamResumed.Log(g.Log, "request", q.ID, "target", target.ID, "after", q.splitter.LastID, "events", q.deliveredEvents, "sends", q.attempts)
	} else {
		out.begin(g.HeaderCodec.ResponseHeaders(resp.Header), resp.Status, unknownLength)
	}
	if err := out.flush(); err != nil {
		q.outcome = outcomeDisconnected
		return resultAnswered
	}
	buf := make([]byte, streamBufferBytes)
	for {
		n, err := resp.Read(buf)
		if n > 0 {
			if writeErr := g.copyEvents(out, q, buf[:n]); writeErr != nil {
				q.outcome = outcomeDisconnected
				return resultAnswered
			}
		}
		switch {
		case q.splitter.Repeats():
			return g.recordFailedAttempt(ctx, q, target, errRepeats, resultFailed)
		case err == io.EOF && !q.splitter.Pending():
			g.metrics.attempts.WithLabelValues("ok").Inc()
			g.tracker.recordSuccess(target.ID, q.inFlight.startedAt)
			q.outcome = outcomeAnswered
			out.finish()
			g.recordAnswer(q, target, resp)
			return resultAnswered
		case q.splitter.Endless():
			return g.recordFailedAttempt(ctx, q, target, errors.Wrap(exchanger.ErrEndless, "stream without an event"), resultFailed)
		case err != nil:
			return g.recordFailedAttempt(ctx, q, target, errMidEvent(err), resultFailed)
		}
	}
}

// copyEvents sends the events that are completed by b to the client.
func (g *Gateway) copyEvents(out *clientResponse, q *request, b []byte) error {
	g.rotation.count(len(b))
	events := q.splitter.Feed(b)
	if len(events) == 0 {
		return nil
	}
	if q.splitter.Events > 0 {
		q.inFlight.recordFirstToken()
		q.inFlight.recordEvents(q.splitter.Events - q.deliveredEvents)
	}
	if q.deliveredEvents == 0 && q.splitter.Events > 0 {
		q.firstByteAfter = time.Since(q.startedAt)
		g.metrics.observeFirstByte(q.route.Kind.String(), q.firstByteAfter)
	}
	q.deliveredEvents = q.splitter.Events
	if err := out.write(events); err != nil {
		return err
	}
	return out.flush()
}

// errMidEvent returns the error of a stream that ended in the middle of an event.
func errMidEvent(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
