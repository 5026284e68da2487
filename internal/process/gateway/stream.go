package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/egretroute/egretroute/internal/connection/exchanger"
	"github.com/egretroute/egretroute/internal/process/registrar"
)

// streamBuffer is the size of one read of a stream.
const streamBuffer = 8 << 10

// stream passes whole events on as they come.
func (g *Gateway) stream(ctx context.Context, out *output, q *request, target registrar.Entry, resp *exchanger.Response) ending {
	out.splitter.DiscardPartial()
	if !out.begun {
		out.head(g.HeaderCodec.ResponseHeaders(resp.Header), resp.Status, false, 0)
		q.status = resp.Status
	}
	flusher := http.NewResponseController(out.w)
	if err := flusher.Flush(); err != nil {
		q.outcome = outcomeGone
		return endedAnswered
	}
	buf := make([]byte, streamBuffer)
	for {
		n, err := resp.Read(buf)
		if n > 0 {
			if failed := g.passEvents(out, q, flusher, buf[:n]); failed != nil {
				q.outcome = outcomeGone
				return endedAnswered
			}
		}
		switch {
		case err == io.EOF && !out.splitter.Pending():
			g.metrics.sends.WithLabelValues("ok").Inc()
			g.fleet.succeeded(target.ID)
			q.outcome = outcomeAnswered
			return endedAnswered
		case err != nil || out.splitter.TooLong():
			return g.sendFailed(ctx, q, target, errOr(err, io.ErrUnexpectedEOF), endedBroken)
		}
	}
}

// passEvents passes on the events that are whole.
func (g *Gateway) passEvents(out *output, q *request, flusher *http.ResponseController, b []byte) error {
	whole := out.splitter.Feed(b)
	if len(whole) == 0 {
		return nil
	}
	out.visit.firstToken()
	if q.delivered == 0 {
		q.first = time.Since(q.begun)
		g.metrics.firstByte(q.route.Kind.String(), q.first)
	}
	q.delivered = out.splitter.Events
	if _, err := out.w.Write(whole); err != nil {
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
