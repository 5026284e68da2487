package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/exchanger"
	"github.com/egretroute/egretroute/internal/connection/receiver"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/registrar"
	"github.com/egretroute/egretroute/internal/request/admitter"
	"github.com/egretroute/egretroute/internal/request/placer"
	"github.com/egretroute/egretroute/internal/request/suspecter"
	"github.com/egretroute/egretroute/internal/version/matcher"
)

const (
	// maxBufferedBytes is the size up to which a response is read completely before any
	// of it is sent to the client.
	maxBufferedBytes = 1 << 20
	// noTargetRetryAfter is when a service without targets may have one again: an entry
	// that expired is written again within two seconds.
	noTargetRetryAfter = time.Second
	// busyRetryAfter is when a full target may have worked off some of its queue.
	busyRetryAfter = 400 * time.Millisecond
	// minAttemptTime is the minimum time until the deadline for another attempt.
	minAttemptTime = 10 * time.Millisecond
	// isolationTime bounds how long a suspect waits for a target apart from other suspects.
	// Clients leave a stream after a pause of two seconds.
	isolationTime = 800 * time.Millisecond
	// maxDialFailures is how many unreachable targets a request may skip.
	maxDialFailures = 4
)

// attemptResult is the result of forwarding a request to one target.
type attemptResult int

const (
	// resultAnswered means that the response was sent or that the client disconnected.
	resultAnswered attemptResult = iota
	// resultUnsent means that no byte was sent to the target.
	resultUnsent
	// resultNotRun means that the target declined the request without running it.
	resultNotRun
	// resultFailed means that the request may have run, but its response was not
	// forwarded, or only a part of it.
	resultFailed
)

// forward tries targets until the request is answered or may not be tried again. It
// returns nil if the last attempt's response was forwarded or the client has
// disconnected, and otherwise the refusal to send unless a response has begun.
func (g *Gateway) forward(ctx context.Context, out *clientResponse, q *request) *refusal {
	shape := q.shape(g.Domain)
	for dialFailures := 0; dialFailures <= maxDialFailures; {
		now := time.Now()
		if q.deadline.Sub(now) < minAttemptTime || ctx.Err() != nil {
			return timedOut(q)
		}
		if g.clientHasLeft(q) {
			q.outcome = outcomeDisconnected
			return nil
		}
		target, ref := g.place(ctx, out, q, shape, now)
		if ref != nil {
			return ref
		}
		switch g.attempt(ctx, out, q, target) {
		case resultAnswered:
			return nil
		case resultUnsent:
			dialFailures++
			continue
		case resultNotRun:
		case resultFailed:
			if !q.mayRunAgain() && ctx.Err() == nil {
				return failedRefusal()
			}
		}
		if ctx.Err() != nil {
			return timedOut(q)
		}
		if q.attempts >= q.route.MaxAttempts || !g.retries.Allow(q.service.Name, g.membership(), time.Now()) {
			return noTargetLeft(q, busyRetryAfter)
		}
	}
	return noTargetLeft(q, busyRetryAfter)
}

// place chooses a target for the next attempt and counts the request as running there. A
// suspect waits until it can have a target apart from this router's other suspects, and until
// those that are suspected of the same have ended and the last crash under them has settled, but
// for isolationTime at most.
func (g *Gateway) place(ctx context.Context, out *clientResponse, q *request, shape placer.Request, now time.Time) (registrar.Entry, *refusal) {
	isolateUntil := now.Add(min(isolationTime, q.deadline.Sub(now)/2))
	defer g.tracker.leaveQueue(q)
	for {
		if ref := g.refuseIfPoison(q); ref != nil {
			return registrar.Entry{}, ref
		}
		if settlesIn := q.assessment.SettlesIn; settlesIn > 0 && now.Before(isolateUntil) {
			waitFor(ctx, nil, now.Add(settlesIn))
			if ctx.Err() != nil {
				return registrar.Entry{}, timedOut(q)
			}
			now = time.Now()
			continue
		}
		shape.Suspect = q.assessment.Verdict != suspecter.Innocent
		target, closed, ok := g.nextTarget(q, shape, now)
		if !ok && closed.limited > 0 {
			if ref := g.waitForPermit(ctx, q, closed, now); ref != nil {
				return target, ref
			}
			now = time.Now()
			continue
		}
		if !ok {
			return target, g.refuseWithoutTarget(q, closed, now)
		}
		if ref := g.refuseIfTooLate(q, out, shape, target, now); ref != nil {
			return target, ref
		}
		inFlight, suspectEnded := g.tracker.begin(target, shape, q.assessment.Suspects, shape.Suspect && now.Before(isolateUntil), now)
		if inFlight != nil {
			q.triedRuns[runOf(target)], q.targetID, q.inFlight = true, target.ID, inFlight
			q.targetStart = g.suspects.Start(runOf(target))
			g.countLimited(q)
			return target, nil
		}
		waitFor(ctx, suspectEnded, isolateUntil)
		if ctx.Err() != nil {
			return target, timedOut(q)
		}
		now = time.Now()
	}
}

// waitFor waits until done is closed, until the given time or until ctx ends.
func waitFor(ctx context.Context, done <-chan struct{}, until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// mayRunAgain reports whether the request may be sent to another target after one may have
// run it: a begun stream needs a position from which to go on.
func (q *request) mayRunAgain() bool {
	return q.route.Repeatable() && q.splitter.Resumable()
}

// refuseIfTooLate refuses a request that can't have run yet if its first token is
// predicted to come too late for its deadline.
func (g *Gateway) refuseIfTooLate(q *request, out *clientResponse, shape placer.Request, target registrar.Entry, now time.Time) *refusal {
	if !shape.Engine || q.mayHaveRun || out.begun() {
		return nil
	}
	decision := admitter.Decide(admitter.Request{
		WaitTokens: q.choice.Wait, SecondsPerToken: g.tracker.secondsPerToken(target.ID), TimeLeft: q.deadline.Sub(now),
	})
	if !decision.Refuse {
		return nil
	}
	logger.NoTargetInTime.Log(g.Log, "request", q.ID, "target", target.ID, "wait", int64(q.choice.Wait), "firstToken", decision.TimeToFirstToken,
		"timeLeft", q.deadline.Sub(now))
	return &refusal{status: http.StatusServiceUnavailable, reason: "no target is free in time", retryAfter: decision.RetryAfter}
}

// shape returns the properties of the request that decide its placement.
func (q *request) shape(domain string) placer.Request {
	shape := placer.Request{
		PromptTokens: q.PromptTokens, UniqueTokens: q.PromptTokens, AffinityKey: q.affinityKey(), Engine: q.service.Engine != nil,
		Domain: domain, Seed: rand.Uint64(),
	}
	if n := len(q.PromptParts); n > 0 {
		shape.UniqueTokens = q.PromptParts[n-1].Tokens
		for _, p := range q.PromptParts[1:max(n-1, 1)] {
			shape.SharedTokens += p.Tokens
		}
	}
	return shape
}

// nextTarget returns the best target that was not tried yet, if any, and the targets of the
// service that take no requests from this router.
func (g *Gateway) nextTarget(q *request, shape placer.Request, now time.Time) (registrar.Entry, closedTargets, bool) {
	entries, domains := g.inOpenDomains(q, g.targets.Service(q.service.Name, now), now)
	entries, closed := g.tracker.open(q, entries, now)
	closed.domains = domains
	q.limitedTargets = closed.limited
	for _, c := range g.tracker.plan(q.service.Name, shape, entries, now) {
		if e := entries[c.Index]; !q.triedRuns[runOf(e)] {
			q.choice = c
			return e, closed, true
		}
	}
	return registrar.Entry{}, closed, false
}

// refuseWithoutTarget returns the refusal of a request for which no target is left. If
// targets have asked for a pause, the client may return when the first of them is over.
func (g *Gateway) refuseWithoutTarget(q *request, closed closedTargets, now time.Time) *refusal {
	ref := noTargetLeft(q, noTargetRetryAfter)
	if closed.domains != (closedDomains{}) {
		logger.DomainsClosed.Log(g.Log, "request", q.ID, "service", q.service.Name, "drained", closed.domains.drained,
			"outside", closed.domains.outside, "paused", closed.paused, "leaving", closed.leaving, "attempts", q.attempts)
	}
	if closed.paused == 0 {
		return ref
	}
	ref.notBefore = closed.pausedUntil.Sub(now)
	ref.retryAfter = ref.notBefore
	logger.TargetsPaused.Log(g.Log, "request", q.ID, "service", q.service.Name, "paused", closed.paused, "leaving", closed.leaving,
		"attempts", q.attempts, "notBefore", ref.notBefore)
	return ref
}

// noTargetLeft returns the refusal of a request for which no further target may be
// tried.
func noTargetLeft(q *request, retryAfter time.Duration) *refusal {
	if q.mayHaveRun {
		return failedRefusal()
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: "no target took the request", retryAfter: retryAfter}
}

// failedRefusal returns the refusal of a request that may have run.
func failedRefusal() *refusal {
	return &refusal{status: http.StatusBadGateway, reason: "the target failed"}
}

// timedOut returns the refusal of a request whose deadline has passed.
func timedOut(q *request) *refusal {
	if q.mayHaveRun {
		return &refusal{status: http.StatusGatewayTimeout, reason: "no answer in time"}
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: "no target was free in time", retryAfter: busyRetryAfter}
}

// attempt forwards the request to the target where place has counted it, and the response
// to the client.
func (g *Gateway) attempt(ctx context.Context, out *clientResponse, q *request, target registrar.Entry) attemptResult {
	defer q.inFlight.end()
	q.lastAttemptAfter = time.Since(q.startedAt)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, err := g.pool.Exchange(ctx, target.Address, exchanger.Request{
		Method: q.http.Method, URI: q.http.RequestURI, Host: q.http.Host, Body: q.body,
		HasBody: q.http.ContentLength != 0, NewConnection: !q.route.Repeatable() && q.service.Engine == nil,
		Header: g.HeaderCodec.ForwardHeaders(q.http.Header, ForwardMetadata{
			TimeLeft: time.Until(q.deadline), Target: target.ID, Organisation: q.organisationName(),
			Priority: -1, LastEventID: q.splitter.LastID,
		}),
		Matches: func(status int, h http.Header) bool {
			id := g.HeaderCodec.DecodeResponse(status, h).ID
			return id == "" || id == q.ID
		},
	})
	if errors.Is(err, exchanger.ErrNotSent) {
		q.inFlight.returnPermit()
		return g.recordFailedAttempt(ctx, q, target, err, resultUnsent)
	}
	q.attempts++
	if err != nil {
		q.mayHaveRun = true
		return g.recordFailedAttempt(ctx, q, target, err, resultFailed)
	}
	defer resp.Close()
	return g.copyResponse(ctx, out, q, target, resp)
}

// recordFailedAttempt logs and counts an attempt without a usable response and returns
// its result. It ejects the target unless the client has disconnected.
func (g *Gateway) recordFailedAttempt(ctx context.Context, q *request, target registrar.Entry, err error, result attemptResult) attemptResult {
	outcome := "error"
	if errors.Is(err, exchanger.ErrEndless) {
		outcome = "endless"
	}
	g.metrics.attempts.WithLabelValues(outcome).Inc()
	if ctx.Err() != nil && result == resultFailed {
		g.recordAbandoned(q, target)
	}
	if ctx.Err() != nil && q.http.Context().Err() != nil {
		return result
	}
	ejection := g.tracker.recordLoss(target.ID, time.Now())
	g.pool.CloseIdle(target.Address)
	if result == resultFailed && ctx.Err() == nil {
		switch g.probe(ctx, target) {
		case exchanger.ProbeRefused:
			g.recordCrashUnder(q, target)
		case exchanger.ProbeUnknown:
			g.recordAbandoned(q, target)
		}
	}
	event := logger.AttemptFailed
	if errors.Is(err, exchanger.ErrEndless) {
		event = logger.TargetEndless
	}
	event.Log(g.Log, "request", q.ID, "digest", q.traits.Digest, "target", target.ID, "revision", target.Revision,
		"sent", result != resultUnsent, "beside", g.tracker.runningAt(target.ID)-1, "aside", ejection, "error", err)
	return result
}

// copyResponse checks a target's response and sends it to the client.
func (g *Gateway) copyResponse(ctx context.Context, out *clientResponse, q *request, target registrar.Entry, resp *exchanger.Response) attemptResult {
	metadata := g.HeaderCodec.DecodeResponse(resp.Status, resp.Header)
	q.status = resp.Status
	if metadata.ID != q.ID {
		q.mayHaveRun = true
		return g.recordFailedAttempt(ctx, q, target, errNoID, resultFailed)
	}
	g.tracker.clearAbandoned(target.ID, q.targetStart, time.Now())
	g.recordWithdrawal(q, target, metadata)
	if metadata.NotRun {
		g.metrics.attempts.WithLabelValues("notRun").Inc()
		logger.TargetRefused.Log(g.Log, "request", q.ID, "target", target.ID, "status", resp.Status, "revision", target.Revision, "pause", metadata.PauseFor)
		if metadata.Misdirected {
			g.targets.MarkMisdirected(target.ID, target.Revision)
		}
		return resultNotRun
	}
	q.mayHaveRun = true
	success := resp.Status/100 == 2
	if success && (!metadata.Signed || resp.Header.Get("Content-Encoding") != "") {
		return g.recordFailedAttempt(ctx, q, target, errors.New("the response is unsigned or encoded"), resultFailed)
	}
	if promisesNotRun(resp.Status) {
		g.recordFailureResponse(q, target, resp.Status, false)
		return resultFailed
	}
	if out.begun() && !out.continuedBy(resp.Status, resp.Header) {
		g.recordFailureResponse(q, target, resp.Status, false)
		return resultFailed
	}
	if success && q.route.Kind == matcher.Streaming {
		return g.copyStream(ctx, out, q, target, resp)
	}
	return g.copyBuffered(ctx, out, q, target, resp)
}

// errNoID is the reason of a failed attempt whose response may belong to an earlier request.
var errNoID = errors.New("the response lacks the ID of the request")

// promisesNotRun reports whether a status tells the client that the request did not run and never
// will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		return true
	}
	return false
}

// recordFailureResponse logs and counts a response that is a failure or can't continue
// the client's.
func (g *Gateway) recordFailureResponse(q *request, target registrar.Entry, status int, forwarded bool) {
	g.metrics.attempts.WithLabelValues("failed").Inc()
	ejection := time.Duration(0)
	if status >= 500 && status != http.StatusGatewayTimeout { // a 504 says that the request's time is up
		ejection = g.tracker.recordFailure(target.ID, time.Now())
	}
	logger.TargetFailed.Log(g.Log, "request", q.ID, "target", target.ID, "status", status, "events", q.deliveredEvents, "forwarded", forwarded, "aside", ejection)
}

// copyBuffered reads a response of up to maxBufferedBytes completely before it sends
// any of it to the client, so that a broken one can be retried.
func (g *Gateway) copyBuffered(ctx context.Context, out *clientResponse, q *request, target registrar.Entry, resp *exchanger.Response) attemptResult {
	body, whole, err := receiver.Of(q.http.Context()).ReadResponse(resp, bodyLength(q, resp), maxBufferedBytes)
	if err != nil {
		return g.recordFailedAttempt(ctx, q, target, err, resultFailed)
	}
	if resp.Status >= 500 {
		retry := q.route.Repeatable() && q.attempts < q.route.MaxAttempts
		g.recordFailureResponse(q, target, resp.Status, !retry)
		if retry {
			return resultFailed
		}
	} else {
		g.metrics.attempts.WithLabelValues("ok").Inc()
		g.tracker.recordSuccess(target.ID, q.inFlight.startedAt)
	}
	g.rotation.count(len(body))
	q.firstByteAfter = time.Since(q.startedAt)
	g.metrics.observeFirstByte(q.route.Kind.String(), q.firstByteAfter)
	q.outcome = outcomeAnswered
	length := len(body)
	switch {
	case q.http.Method == http.MethodHead:
		length = int(resp.Length) // of the body that a GET would return
	case !whole:
		length = unknownLength
	}
	out.begin(g.HeaderCodec.ResponseHeaders(resp.Header), resp.Status, length)
	err = out.write(body)
	if err == nil && length == unknownLength {
		err = out.copy(resp)
	}
	if err != nil {
		q.outcome = outcomeBroken
		return resultAnswered
	}
	out.finish()
	if resp.Status < http.StatusInternalServerError {
		g.recordAnswer(q, target, resp)
	}
	return resultAnswered
}

// bodyLength returns the length of a response's body, or unknownLength.
func bodyLength(q *request, resp *exchanger.Response) int64 {
	if q.http.Method == http.MethodHead || resp.Length < 0 {
		return unknownLength // that of a HEAD's response is of the body that a GET would return
	}
	return resp.Length
}

func (q *request) organisationName() string {
	if q.organisation == nil {
		return ""
	}
	return q.organisation.Name
}
