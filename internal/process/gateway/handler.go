package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/receiver"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/request/estimator"
	"github.com/egretroute/egretroute/internal/request/placer"
	"github.com/egretroute/egretroute/internal/request/splitter"
	"github.com/egretroute/egretroute/internal/request/suspecter"
	"github.com/egretroute/egretroute/internal/request/throttler"
	"github.com/egretroute/egretroute/internal/version/matcher"
)

const (
	// defaultTimeout applies if neither the client nor the route states a timeout.
	defaultTimeout = 30 * time.Second
	// startRetryAfter is when a router that has just started may have read the store.
	startRetryAfter = 500 * time.Millisecond
	// defaultMaxBodyBytes bounds a request body if the configuration states no limit.
	defaultMaxBodyBytes = 4 << 20
)

// request is a client's request with the state of its processing.
type request struct {
	RequestMetadata
	http *http.Request
	// conn is the client's connection, nil if it isn't known.
	conn *clientConn
	body []byte
	// traits are what is compared with requests that have crashed targets.
	traits suspecter.Traits
	// startedAt is when the request has arrived, as far as that is known.
	startedAt    time.Time
	deadline     time.Time
	matcher      *matcher.Matcher
	route        *matcher.Route
	organisation *matcher.Organisation
	service      *matcher.Service
	priority     int
	// reserved is the maximum cost that is reserved for the request, cost the cost
	// settled, both in tokens.
	reserved int64
	cost     int64
	// reservedOwn is the part of reserved from this router's holding; loans are the parts that other
	// routers have lent, which may exceed what is needed.
	reservedOwn int64
	loans       []loanPart
	// loanRefusals lists why loans for the request failed, as ROUTER:REASON.
	loanRefusals []string
	// offered is what this router and those asked for parts had free of the reservation.
	offered int64
	// deliveredEvents counts the events of a stream that were sent to the client.
	deliveredEvents int64
	// attempts counts the targets that the request was sent to; mayHaveRun is set once
	// one of them may have run it.
	attempts   int
	mayHaveRun bool
	// crashes counts the targets that crashed while they ran the request; assessment is what
	// was known of its traits before the current attempt.
	crashes    int
	assessment suspecter.Assessment
	triedRuns  map[string]bool
	// targetStart names the start of the target that the current attempt goes to; see
	// suspecter.Start.
	targetStart string
	// firstByteAfter and lastAttemptAfter are the times from the start to the first
	// byte of the response and to the last attempt.
	firstByteAfter   time.Duration
	lastAttemptAfter time.Duration
	// outcome is one of the outcomes below.
	outcome string
	// status is that of the last target's response or of the refusal; the client may
	// have received an earlier one.
	status   int
	targetID string
	// splitter splits a stream into events, over all attempts.
	splitter splitter.Splitter
	// inFlight is the current attempt at a target.
	inFlight *inFlightRequest
	choice   placer.Choice
	// waiter is the request's place among those that wait for a permit, nil if it doesn't wait.
	waiter          *throttler.Waiter
	waitedForPermit bool
	// limitedTargets is the number of targets that took no request at the last placement since
	// they limit the rate.
	limitedTargets int
}

// refusal is a response that the gateway makes itself instead of a target.
type refusal struct {
	status int
	reason string
	// retryAfter is about when the client should return; clients are spread around it.
	retryAfter time.Duration
	// notBefore, if not 0, is the time before which no target will take the request.
	notBefore       time.Duration
	closeConnection bool
	// readEnded is set if this process has ended the read of the body, after which net/http takes the
	// client for disconnected.
	readEnded bool
}

// minReturnSpread is the least time over which clients return after notBefore.
const minReturnSpread = 100 * time.Millisecond

// retryDelay returns the delay to tell the client.
func (r *refusal) retryDelay() time.Duration {
	if r.notBefore > 0 {
		return r.notBefore + rand.N(r.notBefore/4+minReturnSpread)
	}
	return jitter(r.retryAfter)
}

// serveRequest handles a client's request.
func (g *Gateway) serveRequest(w http.ResponseWriter, r *http.Request) {
	g.activeRequests.Add(1)
	defer g.activeRequests.Add(-1)
	q := &request{http: r, startedAt: time.Now(), triedRuns: make(map[string]bool)}
	if conn, ok := r.Context().Value(clientConnKey{}).(*clientConn); ok {
		q.conn, q.startedAt = conn, conn.arrivedAt(q.startedAt, g.currentLag(q.startedAt))
	}
	if g.draining.Load() || g.rotation.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	out := &clientResponse{w: w, closeDelimited: !r.ProtoAtLeast(1, 1)}
	ref := g.handle(out, q)
	switch {
	case ref == nil && q.outcome != outcomeDisconnected:
		g.logOutcome(out, q)
	case ref == nil || (r.Context().Err() != nil && !ref.readEnded):
		g.logDisconnection(out, q)
	case out.begun() && g.ended():
		q.outcome = outcomeCut
		g.logOutcome(out, q, "reason", stoppedReason)
	case out.begun():
		q.outcome = outcomeBroken
		g.logOutcome(out, q, "reason", ref.reason)
	case g.ended():
		g.refuse(out, q, stoppedRefusal(q))
	default:
		g.refuse(out, q, ref)
	}
	out.end()
}

// handle admits, forwards and settles a request. It returns what forward returns, or a
// refusal if the request was not forwarded.
func (g *Gateway) handle(out *clientResponse, q *request) *refusal {
	if ref := g.refuseIfLate(out.w.Header(), time.Now()); ref != nil {
		return ref
	}
	if ref := g.admit(q); ref != nil {
		return ref
	}
	if ref := g.refuseIfStopping(q, time.Now()); ref != nil {
		return ref
	}
	if ref := g.limitConnection(out.w.Header()); ref != nil {
		return ref
	}
	leaveForwarding, ref := g.enterForwarding(out.w.Header())
	if ref != nil {
		return ref
	}
	defer leaveForwarding()
	leave, ref := g.refuseInOverload(out.w.Header(), q)
	if ref != nil {
		return ref
	}
	defer leave()
	if ref := g.refuseIfPoison(q); ref != nil {
		return ref
	}
	ctx, cancel := context.WithDeadline(q.http.Context(), q.deadline)
	defer cancel()
	defer context.AfterFunc(g.running, cancel)()
	if ref := g.reserve(ctx, q); ref != nil {
		return ref
	}
	g.retries.RecordRequest(q.service.Name, time.Now())
	defer g.settle(q)
	defer g.durations.End(g.durations.Begin(q.route.Name, q.MaxOutputTokens, q.startedAt))
	return g.forward(ctx, out, q)
}

const (
	// stoppingRetryAfter is when a client may return whose request this router can't end any more: at once, to
	// another router.
	stoppingRetryAfter = 100 * time.Millisecond
	// stoppedReason is the reason of what a stop has ended.
	stoppedReason = "router stops"
)

// stoppedRefusal returns the refusal of a request that this router has no time left for.
func stoppedRefusal(q *request) *refusal {
	if q.mayHaveRun {
		return &refusal{status: http.StatusGatewayTimeout, reason: stoppedReason, closeConnection: true}
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: stoppedReason, retryAfter: stoppingRetryAfter, closeConnection: true}
}

// ended reports whether the requests that still ran have been ended.
func (g *Gateway) ended() bool {
	return g.running != nil && g.running.Err() != nil
}

// refuseIfStopping refuses a request that can't be expected to end before this router does, and any that comes after the
// load balancer must have noticed the stop.
func (g *Gateway) refuseIfStopping(q *request, now time.Time) *refusal {
	stopsAt := g.stopsAt.Load()
	switch {
	case stopsAt == nil:
		return nil
	case g.refusing.Load():
		return stoppedRefusal(q)
	}
	longest := q.deadline.Sub(now)
	if expected, ok := g.durations.Longest(q.route.Name, q.MaxOutputTokens, now); ok {
		longest = min(longest, expected)
	}
	if now.Add(longest).Before(*stopsAt) {
		return nil
	}
	return &refusal{
		status: http.StatusServiceUnavailable, reason: "router stops before the request would end", retryAfter: stoppingRetryAfter, closeConnection: true,
	}
}

// Outcomes of requests, for logs and metrics.
const (
	outcomeAnswered     = "answered"
	outcomeNotRun       = "notRun"
	outcomeRejected     = "rejected"
	outcomeFailed       = "failed"
	outcomeBroken       = "broken"
	outcomeDisconnected = "callerGone"
	outcomeCut          = "cut"
)

// admit decodes, routes and authorizes a request and reads its body. It returns a
// refusal if the request can't be served.
func (g *Gateway) admit(q *request) *refusal {
	verdict := g.currency.inspect(time.Now())
	m := g.matcher.Load()
	if m == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no configuration known", retryAfter: startRetryAfter}
	}
	if !g.crashesKnown.Load() {
		return &refusal{status: http.StatusServiceUnavailable, reason: "requests that crash targets not known yet", retryAfter: startRetryAfter}
	}
	q.matcher = m
	var err error
	if q.RequestMetadata, err = g.HeaderCodec.DecodeRequest(q.http.Header); err != nil {
		return &refusal{status: http.StatusBadRequest, reason: err.Error(), closeConnection: true}
	}
	uri := q.http.RequestURI
	if !strings.HasPrefix(uri, "/") {
		return &refusal{status: http.StatusBadRequest, reason: "request target is no path", closeConnection: true}
	}
	path, _, _ := strings.Cut(uri, "?")
	route, ok := m.Route(q.http.Host, path)
	if !ok {
		return g.refuseUnknown(verdict, http.StatusNotFound, "no route")
	}
	q.route, q.priority = route, route.Priority
	if !q.authorize() {
		return g.refuseUnknown(verdict, http.StatusUnauthorized, "unknown key")
	}
	q.setDeadline()
	if ref := g.readBody(q); ref != nil {
		return ref
	}
	name := route.Pick(xxhash.Sum64String(q.ID))
	if q.service, ok = m.Service(name); !ok {
		q.service = &matcher.Service{Name: name}
	}
	q.traits = suspecter.Traits{
		Digest:       suspecter.Digest(q.organisationName(), []byte(q.http.Method), []byte(q.http.Host), []byte(uri), q.body),
		Organisation: q.organisationName(), Features: q.partFeatures(name),
	}
	return nil
}

// authorize sets the organisation to which the request's key belongs and reports whether
// the request may be served. Public routes need no key, and none is checked if the
// configuration has no organisations.
func (q *request) authorize() bool {
	if len(q.matcher.Document.Organisations) == 0 {
		return true
	}
	organisation, ok := q.matcher.Organisation(q.Key)
	switch {
	case ok:
		q.organisation = organisation
		if organisation.HasPriority {
			q.priority = organisation.Priority
		}
	case !q.route.Public:
		return false
	}
	return true
}

// setDeadline sets the earlier one of the client's deadline and the route's.
func (q *request) setDeadline() {
	timeout := defaultTimeout
	if q.route.Timeout > 0 {
		timeout = q.route.Timeout
	}
	if q.Timeout > 0 {
		timeout = min(timeout, q.Timeout)
	}
	q.deadline = q.startedAt.Add(timeout)
}

// readBody reads the whole body, so that it can be forwarded with its length and, on
// a retry, again.
func (g *Gateway) readBody(q *request) *refusal {
	limit := q.matcher.Document.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, err := receiver.Of(q.http.Context()).ReadBody(q.http.Body, q.http.ContentLength, limit, q.deadline)
	switch {
	case errors.Is(err, receiver.ErrTooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large", closeConnection: true}
	case errors.Is(err, receiver.ErrNoRoom) && g.refusing.Load():
		ref := stoppedRefusal(q)
		ref.readEnded = true
		return ref
	case errors.Is(err, receiver.ErrNoRoom):
		return &refusal{status: http.StatusServiceUnavailable, reason: "no memory left for the body", retryAfter: noRoomRetryAfter, closeConnection: true, readEnded: true}
	case errors.Is(err, receiver.ErrLate):
		return &refusal{status: http.StatusRequestTimeout, reason: "body not received in time", retryAfter: noRoomRetryAfter, closeConnection: true, readEnded: true}
	case err != nil:
		return &refusal{status: http.StatusBadRequest, reason: "body cut short", closeConnection: true}
	}
	q.body = body
	g.rotation.count(headBytes + len(body))
	return nil
}

// refuse sends a refusal to the client and logs the outcome.
func (g *Gateway) refuse(out *clientResponse, q *request, ref *refusal) {
	h := make(http.Header)
	switch ref.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		q.outcome = outcomeNotRun
		h.Set("Retry-After", formatSeconds(ref.retryDelay()))
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		q.outcome = outcomeFailed
	default:
		q.outcome = outcomeRejected
	}
	if ref.closeConnection {
		h.Set("Connection", "close")
	}
	q.status = ref.status
	h.Set("Content-Type", "text/plain")
	body := []byte(ref.reason + "\n")
	out.begin(h, ref.status, len(body))
	if err := out.write(body); err == nil {
		out.finish()
	}
	g.logOutcome(out, q, "reason", ref.reason, "retryAfter", ref.retryAfter)
}

// jitter returns a random duration within a quarter of d, so that refused clients
// don't retry all at once.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}

// formatSeconds formats d for a Retry-After header.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

// logDisconnection logs a request whose connection has ended before its response: this process has cut it, or the
// client has left.
func (g *Gateway) logDisconnection(out *clientResponse, q *request) {
	cause := ""
	switch {
	case g.cutting.Load():
		cause = stoppedReason
	case receiver.Of(q.http.Context()).Evicted():
		cause = "connection evicted"
	}
	if cause == "" {
		q.outcome = outcomeDisconnected
		g.logOutcome(out, q)
		return
	}
	q.outcome = outcomeCut
	g.logOutcome(out, q, "reason", cause)
}

// logOutcome logs and counts the outcome of a request.
func (g *Gateway) logOutcome(out *clientResponse, q *request, attrs ...any) {
	kind, version := "none", uint64(0)
	if q.route != nil {
		kind = q.route.Kind.String()
	}
	if q.matcher != nil {
		version = q.matcher.Document.Version
	}
	g.metrics.requests.WithLabelValues(kind, q.outcome).Inc()
	event := logger.RequestEnded
	if q.outcome != outcomeAnswered {
		event = logger.RequestNotAnswered
	} else {
		g.durations.Observe(q.route.Name, estimator.Sample{First: q.firstByteAfter, Total: time.Since(q.startedAt), Tokens: q.MaxOutputTokens})
	}
	event.Log(g.Log, append([]any{
		"request", q.ID, "digest", q.traits.Digest, "kind", kind, "outcome", q.outcome, "status", q.status, "sentStatus", out.status, "complete", out.complete, "target", q.targetID, "sends", q.attempts,
		"ms", time.Since(q.startedAt).Milliseconds(), "firstMs", q.firstByteAfter.Milliseconds(), "sentMs", q.lastAttemptAfter.Milliseconds(),
		"prompt", q.PromptTokens, "wait", int64(q.choice.Wait), "home", q.choice.Preferred, "events", q.deliveredEvents, "limited", q.limitedTargets, "version", version,
		"organisation", q.organisationName(), "reserved", q.reserved, "cost", q.cost, "lender", q.lenders(),
	}, append(g.stopAttrs(q), attrs...)...)...)
}

// stopAttrs returns how long before a request, in milliseconds, the process had begun to stop, if it had.
func (g *Gateway) stopAttrs(q *request) []any {
	began := g.stopBegan.Load()
	if began == nil || q.startedAt.Before(*began) {
		return nil
	}
	return []any{"stoppingMs", q.startedAt.Sub(*began).Milliseconds()}
}
