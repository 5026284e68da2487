package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/exchanger"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/registrar"
	"github.com/egretroute/egretroute/internal/request/admitter"
	"github.com/egretroute/egretroute/internal/request/placer"
	"github.com/egretroute/egretroute/internal/request/splitter"
	"github.com/egretroute/egretroute/internal/version/matcher"
)

const (
	// maxBuffered is how large an answer may be to be checked whole before any
	// of it is passed on.
	maxBuffered = 1 << 20
	// noTargetRetryAfter is when a service without targets may have one: an entry
	// that lapsed is back within two seconds.
	noTargetRetryAfter = time.Second
	// busyRetryAfter is when a full target has drained some of its queue.
	busyRetryAfter = 400 * time.Millisecond
	// minSendTime is the least time left that is worth a send.
	minSendTime = 10 * time.Millisecond
	// maxDials is how many targets that can't be reached are passed over.
	maxDials = 4
)

// ending is what became of one send.
type ending int

const (
	// endedAnswered means that the caller has its answer, or is gone.
	endedAnswered ending = iota
	// endedUnsent means that no byte has left.
	endedUnsent
	// endedNotRun means that the target said that it did not run the request.
	endedNotRun
	// endedFailed means that the request may have run and nothing reached the caller.
	endedFailed
	// endedBroken means that part of the answer reached the caller.
	endedBroken
)

// run offers a request to targets until it is answered or nothing is left to try.
func (g *Gateway) run(ctx context.Context, w http.ResponseWriter, q *request) *refusal {
	work := q.work(g.Domain)
	out := &output{w: w, q: q}
	for dials := 0; dials <= maxDials; {
		now := time.Now()
		if q.deadline.Sub(now) < minSendTime {
			return g.timedOut(q, out)
		}
		target, ok := g.next(q, work, now)
		if !ok {
			return g.exhausted(q, out, noTargetRetryAfter)
		}
		if ref := g.tooLate(q, out, work, target, now); ref != nil {
			return ref
		}
		q.tried[target.ID] = true
		q.target = target.ID
		switch g.send(ctx, out, q, work, target) {
		case endedAnswered:
			return nil
		case endedUnsent:
			dials++
			continue
		case endedNotRun:
		case endedFailed:
			if ctx.Err() != nil {
				return g.timedOut(q, out)
			}
			if !q.route.Repeatable() && !q.route.Resumable {
				return failedRefusal()
			}
		case endedBroken:
			if !q.route.Resumable {
				q.outcome = outcomeBroken
				return nil
			}
		}
		if ctx.Err() != nil {
			return g.timedOut(q, out)
		}
		if q.sends >= q.route.MaxAttempts || !g.retries.allow(q.service.Name, g.fleet.routers(), time.Now()) {
			return g.exhausted(q, out, busyRetryAfter)
		}
	}
	return g.exhausted(q, out, busyRetryAfter)
}

// tooLate refuses a request that nothing was sent of and whose first token would
// come too late.
func (g *Gateway) tooLate(q *request, out *output, work placer.Request, target registrar.Entry, now time.Time) *refusal {
	if !work.Engine || q.ran || out.begun {
		return nil
	}
	v := admitter.Decide(admitter.Request{
		WaitTokens: q.choice.Wait, SecondsPerToken: g.fleet.pace(target.ID), TimeLeft: q.deadline.Sub(now),
	})
	if !v.Refuse {
		return nil
	}
	logger.NoTargetInTime.Log(g.Log, "request", q.ID, "target", target.ID, "wait", int64(q.choice.Wait), "firstToken", v.TimeToFirstToken,
		"timeLeft", q.deadline.Sub(now))
	return &refusal{status: http.StatusServiceUnavailable, reason: "no target is free in time", retryAfter: v.RetryAfter}
}

// work returns the shape of the request.
func (q *request) work(domain string) placer.Request {
	w := placer.Request{
		PromptTokens: q.PromptTokens, UniqueTokens: q.PromptTokens, AffinityKey: q.affinity(), Engine: q.service.Engine != nil,
		Domain: domain,
	}
	if n := len(q.PromptParts); n > 0 {
		w.UniqueTokens = q.PromptParts[n-1].Tokens
		for _, p := range q.PromptParts[1:max(n-1, 1)] {
			w.SharedTokens += p.Tokens
		}
	}
	return w
}

// next returns the best target that was not tried.
func (g *Gateway) next(q *request, work placer.Request, now time.Time) (registrar.Entry, bool) {
	entries := g.targets.Service(q.service.Name, now)
	for _, c := range g.fleet.plan(q.service.Name, work, entries, now) {
		if e := entries[c.Index]; !q.tried[e.ID] {
			q.choice = c
			return e, true
		}
	}
	return registrar.Entry{}, false
}

// exhausted ends a request that no further target is tried for.
func (g *Gateway) exhausted(q *request, out *output, retryAfter time.Duration) *refusal {
	switch {
	case out.begun:
		q.outcome = outcomeBroken
		return nil
	case q.ran:
		return failedRefusal()
	default:
		return &refusal{status: http.StatusServiceUnavailable, reason: "no target took the request", retryAfter: retryAfter}
	}
}

// failedRefusal ends a request that may have run.
func failedRefusal() *refusal {
	return &refusal{status: http.StatusBadGateway, reason: "the target failed"}
}

// timedOut ends a request whose time is over.
func (g *Gateway) timedOut(q *request, out *output) *refusal {
	switch {
	case out.begun:
		q.outcome = outcomeBroken
		return nil
	case q.ran:
		return &refusal{status: http.StatusGatewayTimeout, reason: "no answer in time"}
	default:
		return &refusal{status: http.StatusServiceUnavailable, reason: "no target was free in time", retryAfter: busyRetryAfter}
	}
}

// output is the answer to the caller.
type output struct {
	w http.ResponseWriter
	q *request
	// begun is set once the head has been sent.
	begun bool
	// splitter is the state of a stream over all its runs.
	splitter splitter.Splitter
	// visit is the request at the target that answers.
	visit *visit
}

// send offers the request to one target and passes its answer on.
func (g *Gateway) send(ctx context.Context, out *output, q *request, work placer.Request, target registrar.Entry) ending {
	v := g.fleet.begin(target.ID, work, time.Now())
	defer v.end()
	out.visit = v
	q.sent = time.Since(q.begun)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, err := g.pool.Exchange(ctx, target.Address, exchanger.Request{
		Method: q.http.Method, URI: q.http.RequestURI, Host: q.http.Host, Body: q.body,
		HasBody: q.http.ContentLength != 0, Fresh: !q.route.Repeatable() && !work.Engine,
		Header: g.HeaderCodec.ForwardHeaders(q.http.Header, ForwardMetadata{
			TimeLeft: time.Until(q.deadline), Target: target.ID, Organisation: q.organisationName(),
			Priority: -1, LastEventID: out.splitter.LastID,
		}),
		Mine: func(status int, h http.Header) bool {
			id := g.HeaderCodec.DecodeResponse(status, h).ID
			return id == "" || id == q.ID
		},
	})
	if errors.Is(err, exchanger.ErrNotSent) {
		return g.sendFailed(ctx, q, target, err, endedUnsent)
	}
	q.sends++
	if err != nil {
		q.ran = true
		return g.sendFailed(ctx, q, target, err, endedFailed)
	}
	defer resp.Close()
	return g.receive(ctx, out, q, target, resp)
}

// sendFailed notes a send that brought no answer.
func (g *Gateway) sendFailed(ctx context.Context, q *request, target registrar.Entry, err error, e ending) ending {
	g.metrics.sends.WithLabelValues("error").Inc()
	if ctx.Err() != nil && q.http.Context().Err() != nil {
		return e
	}
	aside := g.fleet.failed(target.ID, time.Now())
	g.pool.Drop(target.Address)
	logger.SendFailed.Log(g.Log, "request", q.ID, "target", target.ID, "revision", target.Revision, "sent", e != endedUnsent,
		"aside", aside, "error", err)
	return e
}

// receive passes the answer of a target on.
func (g *Gateway) receive(ctx context.Context, out *output, q *request, target registrar.Entry, resp *exchanger.Response) ending {
	answer := g.HeaderCodec.DecodeResponse(resp.Status, resp.Header)
	if answer.NotRun {
		g.metrics.sends.WithLabelValues("notRun").Inc()
		logger.TargetRefused.Log(g.Log, "request", q.ID, "target", target.ID, "status", resp.Status, "revision", target.Revision)
		if answer.Misdirected {
			g.targets.Moved(target.ID, target.Revision)
		}
		return endedNotRun
	}
	q.ran = true
	success := resp.Status/100 == 2
	if success && (!answer.Signed || answer.ID != q.ID || resp.Header.Get("Content-Encoding") != "") {
		return g.sendFailed(ctx, q, target, errors.New("the answer is not the target's own"), endedFailed)
	}
	if success && q.route.Kind == matcher.Streaming {
		return g.stream(ctx, out, q, target, resp)
	}
	return g.whole(ctx, out, q, target, resp)
}

// whole reads an answer to its end before any of it is passed on.
func (g *Gateway) whole(ctx context.Context, out *output, q *request, target registrar.Entry, resp *exchanger.Response) ending {
	body, err := io.ReadAll(io.LimitReader(resp, maxBuffered+1))
	if err != nil {
		return g.sendFailed(ctx, q, target, err, endedFailed)
	}
	if resp.Status >= 500 {
		g.metrics.sends.WithLabelValues("failed").Inc()
		if q.route.Repeatable() && q.sends < q.route.MaxAttempts && !out.begun {
			logger.TargetFailed.Log(g.Log, "request", q.ID, "target", target.ID, "status", resp.Status)
			return endedFailed
		}
	} else {
		g.metrics.sends.WithLabelValues("ok").Inc()
		g.fleet.succeeded(target.ID)
	}
	q.first = time.Since(q.begun)
	g.metrics.firstByte(q.route.Kind.String(), q.first)
	out.head(g.HeaderCodec.ResponseHeaders(resp.Header), resp.Status, len(body) <= maxBuffered, len(body))
	_, err = out.w.Write(body)
	if err == nil && len(body) > maxBuffered {
		_, err = io.Copy(out.w, resp)
	}
	q.status, q.outcome = resp.Status, outcomeAnswered
	if err != nil {
		q.outcome = outcomeBroken
	}
	return endedAnswered
}

// head sends the status and the headers.
func (o *output) head(h http.Header, status int, sized bool, length int) {
	own := o.w.Header()
	for name, values := range h {
		own[name] = values
	}
	if _, ok := own["Content-Type"]; !ok {
		own["Content-Type"] = nil // keeps net/http from guessing one
	}
	if sized {
		own.Set("Content-Length", strconv.Itoa(length))
	}
	o.begun = true
	o.w.WriteHeader(status)
}

func (q *request) organisationName() string {
	if q.organisation == nil {
		return ""
	}
	return q.organisation.Name
}
