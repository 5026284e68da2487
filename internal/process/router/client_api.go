package router

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"github.com/egretroute/egretroute/internal/connection/framer"
	"github.com/egretroute/egretroute/internal/version/declarer"
)

// Headers and trailers of responses.
const (
	HeaderRequestID = "Egretroute-Request-Id"
	HeaderOutcome   = "Egretroute-Outcome"
	HeaderReason    = "Egretroute-Reason"
	HeaderBilled    = "Egretroute-Billed-Tokens"
	HeaderTarget    = "Egretroute-Target"
)

// clientAPI returns the handler of the clients' API.
func (r *Router) clientAPI() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc(chatPath, r.serveChat).Methods(http.MethodPost)
	m.HandleFunc("/v1/models", r.serveModels).Methods(http.MethodGet)
	m.HandleFunc("/v1/budget", r.serveOwnBudget).Methods(http.MethodGet)
	m.HandleFunc("/services/{name}/{path:.*}", r.serveService)
	m.HandleFunc("/healthz", r.serveHealth).Methods(http.MethodGet)
	return m
}

func (r *Router) serveChat(w http.ResponseWriter, req *http.Request) {
	r.serveRequest(w, req, func(creq *clientRequest, f *declarer.Fleet) error {
		return creq.parseChat(f)
	})
}

func (r *Router) serveService(w http.ResponseWriter, req *http.Request) {
	vars := mux.Vars(req)
	r.serveRequest(w, req, func(creq *clientRequest, f *declarer.Fleet) error {
		return creq.parseService(f, vars["name"], vars["path"], req.URL.RawQuery)
	})
}

// serveRequest parses a request, runs it and writes the response.
func (r *Router) serveRequest(w http.ResponseWriter, req *http.Request, parse func(*clientRequest, *declarer.Fleet) error) {
	start := time.Now()
	fleet := r.follower.Fleet()
	if r.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if fleet == nil || r.draining.Load() {
		writeRefusal(w, "", &result{outcome: framer.OutcomeNotRun, reason: "not-ready", retryAfter: time.Second})
		return
	}
	creq, err := r.parseRequest(req)
	if err == nil {
		err = parse(creq, fleet)
	}
	if err != nil {
		r.writeRequestError(w, err)
		return
	}
	resp := &clientResponse{w: w, request: creq, startedAt: start}
	res := r.execute(req.Context(), creq, resp)
	resp.finish(res)
	r.recordRequest(creq, resp, res, start)
}

// writeRequestError writes the error response to a request that was rejected
// before it ran.
func (r *Router) writeRequestError(w http.ResponseWriter, err error) {
	var f *requestError
	if !errors.As(err, &f) {
		f = &requestError{status: http.StatusInternalServerError, reason: "internal", detail: err.Error()}
	}
	r.metrics.requests.WithLabelValues("none", framer.OutcomeNotRun.String(), f.reason).Inc()
	w.Header().Set(HeaderOutcome, framer.OutcomeNotRun.String())
	w.Header().Set(HeaderReason, f.reason)
	w.Header().Set(HeaderBilled, "0")
	switch f.status {
	case http.StatusServiceUnavailable, http.StatusRequestTimeout: // a part of the body may be unread
		w.Header().Set("Retry-After", "1")
		w.Header().Set("Connection", "close")
	}
	writeError(w, f.status, f.reason, f.detail)
}

func (r *Router) serveModels(w http.ResponseWriter, req *http.Request) {
	if _, err := r.authenticate(req); err != nil {
		r.writeRequestError(w, err)
		return
	}
	type modelDocument struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	list := struct {
		Object string          `json:"object"`
		Data   []modelDocument `json:"data"`
	}{Object: "list"}
	if f := r.follower.Fleet(); f != nil {
		for _, m := range f.Models {
			list.Data = append(list.Data, modelDocument{ID: m.Name, Object: "model"})
		}
	}
	writeJSON(w, http.StatusOK, list)
}

// serveOwnBudget serves the budget of the client's organisation.
func (r *Router) serveOwnBudget(w http.ResponseWriter, req *http.Request) {
	o, err := r.authenticate(req)
	if err != nil {
		r.writeRequestError(w, err)
		return
	}
	b, err := r.readBudget(req.Context(), o.Name)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, "platform-down", err.Error())
		return
	}
	writeJSON(w, http.StatusOK, newBudgetDocument(b))
}

func (r *Router) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if r.follower.Fleet() == nil || r.leaving.Load() {
		writeError(w, http.StatusServiceUnavailable, "not-ready", "the router does not serve callers")
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Status        string `json:"status"`
		Version       uint64 `json:"version"`
		LinkedTargets int    `json:"linkedTargets"`
		OwnedSlots    int    `json:"ownedSlots"`
		HeldBudgets   int    `json:"heldBudgets"`
	}{"ok", r.follower.Version(), r.directory.linkedCount(), r.slotOwners.count(), r.treasury.HeldBudgetCount()})
}

// errorDocument is the body of an error response.
type errorDocument struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Outcome string `json:"outcome,omitempty"`
}

func writeError(w http.ResponseWriter, status int, reason, detail string) {
	writeJSON(w, status, errorDocument{Error: errorDetail{
		Message: detail, Type: reason, Outcome: w.Header().Get(HeaderOutcome),
	}})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// writeRefusal writes the error response to a request that was not answered.
func writeRefusal(w http.ResponseWriter, id string, res *result) {
	h := w.Header()
	res.setHeaders(h, id)
	if res.retryAfter > 0 {
		seconds := int64((res.retryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writeError(w, res.httpStatus(), res.reason, res.message())
}
