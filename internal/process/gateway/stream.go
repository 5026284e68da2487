package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/egretroute/egretroute/internal/connection/exchanger"
	"github.com/egretroute/egretroute/internal/process/registrar"
)

// streamBufferBytes is the buffer size for reading a stream.
const streamBufferBytes = 8 << 10

// copyStream sends a target's stream to the client event by event, as complete events
// arrive.
func (g *Gateway) copyStream(ctx context.Context, out *clientResponse, q *request, target registrar.Entry, resp *exchanger.Response) attemptResult {
	out.splitter.DiscardPartial()
	if !out.headerSent {
		out.writeHeader(g.HeaderCodec.ResponseHeaders(resp.Header), resp.Status, false, 0)
		q.status = resp.Status
	}
	flusher := http.NewResponseController(out.w)
	if err := flusher.Flush(); err != nil {
		q.outcome = outcomeDisconnected
		return resultAnswered
	}
	buf := make([]byte, streamBufferBytes)
	for {
		n, err := resp.Read(buf)
		if n > 0 {
			if writeErr := g.copyEvents(out, q, flusher, buf[:n]); writeErr != nil {
				q.outcome = outcomeDisconnected
				return resultAnswered
			}
		}
		switch {
		case err == io.EOF && !out.splitter.Pending():
			g.metrics.attempts.WithLabelValues("ok").Inc()
			g.tracker.recordSuccess(target.ID)
			q.outcome = outcomeAnswered
			return resultAnswered
		case err != nil || out.splitter.TooLong():
			return g.recordFailedAttempt(ctx, q, target, errOr(err, io.ErrUnexpectedEOF), resultBroken)
		}
	}
}

// copyEvents sends the events that are completed by b to the client.
func (g *Gateway) copyEvents(out *clientResponse, q *request, flusher *http.ResponseController, b []byte) error {
	events := out.splitter.Feed(b)
	if len(events) == 0 {
		return nil
	}
	out.inFlight.recordFirstToken()
	if q.deliveredEvents == 0 {
		q.firstByteAfter = time.Since(q.startedAt)
		g.metrics.observeFirstByte(q.route.Kind.String(), q.firstByteAfter)
	}
	q.deliveredEvents = out.splitter.Events
	if _, err := out.w.Write(events); err != nil {
		return err
	}
	return flusher.Flush()
}

func errOr(err, other error) error {
	if err != nil {
		return err
	}
	return other
}
