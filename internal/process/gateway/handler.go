package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/spender"
	"github.com/egretroute/egretroute/internal/request/placer"
	"github.com/egretroute/egretroute/internal/version/matcher"
)

const (
	// defaultTimeout holds where neither the client nor the route states a time.
	defaultTimeout = 30 * time.Second
	// drawWait is how long a request waits for tokens to be drawn: some commits
	// of a store that answers.
	drawWait = time.Second
	// drawAnswers is how many commits made for a request may bring too little before
	// other routers are asked: the first may only raise a mark.
	drawAnswers = 3
	// freshConfiguration is the age up to which a configuration may be taken for
	// the newest; beyond it a budget may have been raised unseen.
	freshConfiguration = 2500 * time.Millisecond
	// budgetRetryAfter is when tokens held elsewhere may have come back: two
	// intervals of settlement.
	budgetRetryAfter = 2 * stockInterval
	// startRetryAfter is when a router that has just started may know its
	// configuration.
	startRetryAfter = 500 * time.Millisecond
	// defaultMaxBody bounds a body if the configuration states no limit.
	defaultMaxBody = 4 << 20
)

// request is one call with all that was decided about it.
type request struct {
	RequestMetadata
	http         *http.Request
	body         []byte
	begun        time.Time
	deadline     time.Time
	matcher      *matcher.Matcher
	route        *matcher.Route
	organisation *matcher.Organisation
	service      *matcher.Service
	priority     int
	// reserved is what the request may cost at most, delivered counts events.
	reserved int64
	cost     int64
	// lender is the router whose tokens are reserved under the voucher, if any.
	lender    string
	voucher   string
	delivered int64
	// sends counts targets that the request was sent to, ran is set once one of
	// them may have run it.
	sends int
	ran   bool
	tried map[string]bool
	// first is the time to the first byte of the answer, sent that to the last send.
	first time.Duration
	sent  time.Duration
	// outcome is what the log says of the end.
	outcome string
	status  int
	target  string
	choice  placer.Choice
}

// refusal is an answer of the gateway's own.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
	closes     bool
}

// serveCall answers one request of a caller.
func (g *Gateway) serveCall(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	q := &request{http: r, begun: time.Now(), tried: make(map[string]bool)}
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if ref := g.admit(w, q); ref != nil {
		g.refuse(w, q, ref)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	if ref := g.reserve(ctx, q); ref != nil {
		g.refuse(w, q, ref)
		return
	}
	g.retries.request(q.service.Name, q.begun)
	ref := g.run(ctx, w, q)
	g.settle(q)
	if ref != nil {
		g.refuse(w, q, ref)
		return
	}
	g.logEnd(q)
	if q.outcome == outcomeBroken {
		panic(http.ErrAbortHandler) // the only way to end an answer so that it can't look whole
	}
}

// Outcomes of requests, for logs and metrics.
const (
	outcomeAnswered = "answered"
	outcomeRefused  = "notRun"
	outcomeRejected = "rejected"
	outcomeFailed   = "failed"
	outcomeBroken   = "broken"
	outcomeGone     = "callerGone"
)

// admit finds out what a request is and whether it may be served.
func (g *Gateway) admit(w http.ResponseWriter, q *request) *refusal {
	m := g.matcher.Load()
	if m == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no configuration known", retryAfter: startRetryAfter}
	}
	q.matcher = m
	var err error
	if q.RequestMetadata, err = g.HeaderCodec.DecodeRequest(q.http.Header); err != nil {
		return &refusal{status: http.StatusBadRequest, reason: err.Error(), closes: true}
	}
	uri := q.http.RequestURI
	if !strings.HasPrefix(uri, "/") {
		return &refusal{status: http.StatusBadRequest, reason: "request target is no path", closes: true}
	}
	path, _, _ := strings.Cut(uri, "?")
	route, ok := m.Route(q.http.Host, path)
	if !ok {
		return &refusal{status: http.StatusNotFound, reason: "no route"}
	}
	q.route, q.priority = route, route.Priority
	if ref := q.authorize(); ref != nil {
		return ref
	}
	q.setDeadline()
	if ref := q.readBody(w); ref != nil {
		return ref
	}
	name := route.Pick(xxhash.Sum64String(q.ID))
	if q.service, ok = m.Service(name); !ok {
		q.service = &matcher.Service{Name: name}
	}
	return nil
}

// authorize finds the organisation that holds the request's key.
func (q *request) authorize() *refusal {
	if len(q.matcher.Document.Organisations) == 0 {
		return nil
	}
	o, ok := q.matcher.Organisation(q.Key)
	switch {
	case ok:
		q.organisation = o
		if o.HasPriority {
			q.priority = o.Priority
		}
	case !q.route.Public:
		return &refusal{status: http.StatusUnauthorized, reason: "unknown key"}
	}
	return nil
}

// setDeadline takes the earlier one of the client's and the route's.
func (q *request) setDeadline() {
	left := defaultTimeout
	if q.route.Timeout > 0 {
		left = q.route.Timeout
	}
	if q.Timeout > 0 {
		left = min(left, q.Timeout)
	}
	q.deadline = q.begun.Add(left)
}

// readBody reads the whole body, so that it can be sent with its length and again.
func (q *request) readBody(w http.ResponseWriter) *refusal {
	limit := q.matcher.Document.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if q.http.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large", closes: true}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, q.http.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large", closes: true}
	case err != nil:
		return &refusal{status: http.StatusBadRequest, reason: "body cut short", closes: true}
	}
	q.body = body
	return nil
}

// reserve sets aside the most that the request may cost.
func (g *Gateway) reserve(ctx context.Context, q *request) *refusal {
	if q.organisation == nil || !q.organisation.Limited {
		return nil
	}
	name, amount := q.organisation.Name, q.PromptTokens+q.MaxOutputTokens
	if amount == 0 {
		return nil
	}
	g.stock.RecordDemand(name, amount, q.begun)
	waitUntil := q.begun.Add(min(drawWait, q.deadline.Sub(q.begun)/3))
	reservation := &spender.Reservation{Organisation: name, Limit: q.organisation.Prepaid, Amount: amount}
	err := g.stock.Reserve(reservation)
	for errors.Is(err, spender.ErrInsufficientHolding) && reservation.FailedRounds < drawAnswers && g.waitForDraw(ctx, waitUntil) {
		err = g.stock.Reserve(reservation)
	}
	if err == nil {
		q.reserved = amount
		return nil
	}
	if errors.Is(err, spender.ErrInsufficientHolding) && g.borrow(ctx, q, name, amount) {
		return nil
	}
	balance := g.stock.Balance(name, time.Now())
	logger.BudgetRefused.Log(g.Log, "request", q.ID, "organisation", name, "amount", amount, "limit", balance.Limit,
		"spent", balance.Spent, "held", balance.Held, "free", balance.Free, "elsewhere", balance.HeldByOthers, "lenders", balance.Lenders, "rowAge", balance.RowAge, "silence", balance.SinceHeartbeat, "error", err)
	if errors.Is(err, spender.ErrExhausted) && g.feedAge(g.Schema.ConfigurationTable) < freshConfiguration {
		return &refusal{status: http.StatusPaymentRequired, reason: "budget spent"}
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: "budget held elsewhere", retryAfter: budgetRetryAfter}
}

// waitForDraw waits for the next commit and reports whether it is worth trying again.
func (g *Gateway) waitForDraw(ctx context.Context, until time.Time) bool {
	done, answering := g.stock.Wait()
	left := time.Until(until)
	if !answering || left <= 0 {
		return false
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// settle ends the reservation with what the request cost: its prompt once, if
// it may have run, and the events that were delivered.
func (g *Gateway) settle(q *request) {
	if q.reserved == 0 {
		return
	}
	cost := int64(0)
	if q.ran {
		events := int64(1)
		if q.service.Engine != nil {
			events = q.service.Engine.EventTokens
		}
		cost = q.PromptTokens + min(q.delivered*events, q.MaxOutputTokens)
	}
	q.cost = cost
	if q.lender != "" {
		go g.repay(q.lender, q.voucher, cost)
		return
	}
	g.stock.Settle(q.organisation.Name, q.reserved, cost, time.Now())
}

// refuse sends an answer of the gateway's own.
func (g *Gateway) refuse(w http.ResponseWriter, q *request, ref *refusal) {
	if q.http.Context().Err() != nil {
		q.outcome = outcomeGone
		g.logEnd(q)
		return
	}
	h := w.Header()
	switch ref.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		q.outcome = outcomeRefused
		h.Set("Retry-After", seconds(spread(ref.retryAfter)))
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		q.outcome = outcomeFailed
	default:
		q.outcome = outcomeRejected
	}
	if ref.closes {
		h.Set("Connection", "close")
	}
	q.status = ref.status
	h.Set("Content-Type", "text/plain")
	h.Set("Content-Length", strconv.Itoa(len(ref.reason)+1))
	w.WriteHeader(ref.status)
	_, _ = io.WriteString(w, ref.reason+"\n") // the client may have gone
	g.logEnd(q, "reason", ref.reason, "retryAfter", ref.retryAfter)
}

// spread draws a time around d, so that those told to wait don't return together.
func spread(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2+1)
}

// seconds formats a Retry-After.
func seconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}

// logEnd writes the line and counts the outcome of a request.
func (g *Gateway) logEnd(q *request, more ...any) {
	kind, version := "none", uint64(0)
	if q.route != nil {
		kind = q.route.Kind.String()
	}
	if q.matcher != nil {
		version = q.matcher.Document.Version
	}
	g.metrics.requests.WithLabelValues(kind, q.outcome).Inc()
	e := logger.RequestEnded
	if q.outcome != outcomeAnswered {
		e = logger.RequestNotAnswered
	}
	e.Log(g.Log, append([]any{
		"request", q.ID, "kind", kind, "outcome", q.outcome, "status", q.status, "target", q.target, "sends", q.sends,
		"ms", time.Since(q.begun).Milliseconds(), "firstMs", q.first.Milliseconds(), "sentMs", q.sent.Milliseconds(),
		"prompt", q.PromptTokens, "wait", int64(q.choice.Wait), "home", q.choice.Preferred, "events", q.delivered, "version", version,
		"organisation", q.organisationName(), "reserved", q.reserved, "cost", q.cost, "lender", q.lender,
	}, more...)...)
}
