package router

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/egretroute/egretroute/internal/connection/receiver"
	"github.com/egretroute/egretroute/internal/process/bookkeeper"
	"github.com/egretroute/egretroute/internal/process/logger"
	"github.com/egretroute/egretroute/internal/process/storer"
	"github.com/egretroute/egretroute/internal/version/declarer"
	"github.com/egretroute/egretroute/internal/version/patcher"
)

const (
	maxPatchBytes = 16 << 20
	// patchTimeout bounds the time in which a patch arrives.
	patchTimeout = time.Minute
)

// operatorAPI returns the handler of the operators' API.
func (r *Router) operatorAPI() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/healthz", r.serveHealth).Methods(http.MethodGet)
	m.Handle("/metrics", promhttp.HandlerFor(r.Registry, promhttp.HandlerOpts{})).Methods(http.MethodGet)
	m.HandleFunc("/v1/fleet", r.requireOperator(false, r.serveFleet)).Methods(http.MethodGet)
	m.HandleFunc("/v1/patches", r.requireOperator(true, r.servePatch)).Methods(http.MethodPost)
	m.HandleFunc("/v1/budgets", r.requireOperator(false, r.serveBudgets)).Methods(http.MethodGet)
	m.HandleFunc("/v1/bills", r.requireOperator(false, r.serveBills)).Methods(http.MethodGet)
	m.HandleFunc("/v1/targets", r.requireOperator(false, r.serveTargets)).Methods(http.MethodGet)
	m.HandleFunc("/v1/holders", r.requireOperator(false, r.serveHolders)).Methods(http.MethodGet)
	m.HandleFunc("/v1/incarnation", r.requireOperator(false, r.serveIncarnation)).Methods(http.MethodGet)
	m.HandleFunc("/v1/report/burn", r.requireOperator(false, r.serveBurn)).Methods(http.MethodGet)
	return m
}

// requireOperator rejects requests without a valid operator's key; with needsWrite
// set it also rejects viewers.
func (r *Router) requireOperator(needsWrite bool, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		key, _ := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
		o, ok := r.findOperator(declarer.HashKey(key))
		switch {
		case !ok:
			logger.OperatorRefused.Log(r.Log, "path", req.URL.Path)
			writeError(w, http.StatusUnauthorized, "unauthorized", "the operator's key is missing or unknown")
		case needsWrite && o.Viewer:
			writeError(w, http.StatusForbidden, "forbidden", "operator "+o.Name+" may only look")
		default:
			next(w, req)
		}
	}
}

func (r *Router) findOperator(hash string) (Operator, bool) {
	for _, o := range r.Operators {
		if subtle.ConstantTimeCompare([]byte(o.KeyHash), []byte(hash)) == 1 {
			return o, true
		}
	}
	return Operator{}, false
}

func (r *Router) serveFleet(w http.ResponseWriter, req *http.Request) {
	f, err := r.patcher.Current(req.Context())
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, "platform-down", err.Error())
		return
	}
	if f == nil {
		f = &declarer.Fleet{}
	}
	w.Header().Set("Content-Type", "application/toml")
	_, _ = w.Write(declarer.Encode(f))
}

// PatchDocument is the request body of POST /v1/patches.
type PatchDocument struct {
	PatchID  string `json:"patchId"`
	Document string `json:"document"`
}

// PatchResponse is the response body of POST /v1/patches.
type PatchResponse struct {
	Version uint64 `json:"version"`
}

func (r *Router) servePatch(w http.ResponseWriter, req *http.Request) {
	body, err := receiver.Of(req.Context()).ReadBody(req.Body, req.ContentLength, maxPatchBytes, time.Now().Add(patchTimeout))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, "too-large", err.Error())
		return
	}
	var doc PatchDocument
	if err := json.Unmarshal(body, &doc); err != nil || doc.PatchID == "" {
		writeError(w, http.StatusBadRequest, "bad-request", "the body must be JSON with patchId and document")
		return
	}
	fleet, err := declarer.Decode([]byte(doc.Document))
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad-request", err.Error())
		return
	}
	version, err := r.patcher.Apply(req.Context(), fleet, doc.PatchID)
	if err != nil {
		status, reason := patchStatus(err)
		writeError(w, status, reason, err.Error())
		return
	}
	logger.PatchApplied.Log(r.Log, "version", version, "patch", doc.PatchID)
	_ = r.follower.Poll(req.Context(), r.Table)
	writeJSON(w, http.StatusOK, PatchResponse{Version: version})
}

// patchStatus maps an error from the patcher to an HTTP status and a reason.
func patchStatus(err error) (int, string) {
	var stale *patcher.StaleError
	switch {
	case errors.As(err, &stale):
		return http.StatusConflict, "stale-version"
	case errors.Is(err, patcher.ErrInvalid):
		return http.StatusUnprocessableEntity, "invalid"
	case errors.Is(err, bookkeeper.ErrInsufficient):
		return http.StatusConflict, "budget-in-use"
	default:
		return http.StatusServiceUnavailable, "platform-down"
	}
}

// BudgetDocument is a budget in the operators' API, in tokens.
type BudgetDocument struct {
	Organisation string           `json:"organisation"`
	Limit        int64            `json:"limit"`
	Spent        int64            `json:"spent"`
	Remaining    int64            `json:"remaining"`
	Held         int64            `json:"held"`
	Uncertain    int64            `json:"uncertain"`
	Holders      map[string]int64 `json:"holders"`
}

func newBudgetDocument(b *bookkeeper.Budget) BudgetDocument {
	doc := BudgetDocument{
		Organisation: b.Organisation, Limit: b.Limit, Spent: b.Spent, Remaining: b.Remaining, Held: b.Held(),
		Uncertain: b.Uncertain, Holders: make(map[string]int64, len(b.Holders)),
	}
	for name, h := range b.Holders {
		doc.Holders[name] = h.Held
	}
	return doc
}

func (r *Router) readBudget(ctx context.Context, organisation string) (*bookkeeper.Budget, error) {
	row, err := storer.ReadOne(ctx, r.Table, bookkeeper.BudgetKey(organisation))
	if err != nil {
		return nil, err
	}
	if row.Version == 0 {
		return bookkeeper.NewBudget(organisation, 0), nil
	}
	return bookkeeper.DecodeBudget(row.Value)
}

func (r *Router) serveBudgets(w http.ResponseWriter, req *http.Request) {
	serveRows(w, req, r.Table, bookkeeper.BudgetPrefix, func(row storer.Row) ([]BudgetDocument, error) {
		b, err := bookkeeper.DecodeBudget(row.Value)
		if err != nil {
			return nil, err
		}
		return []BudgetDocument{newBudgetDocument(b)}, nil
	})
}

// BillDocument is a bill in the operators' API, in tokens.
type BillDocument struct {
	Organisation string `json:"organisation"`
	RequestID    string `json:"requestId"`
	Payer        string `json:"payer"`
	Sequence     uint64 `json:"sequence"`
	Amount       int64  `json:"amount"`
	Uncertain    int64  `json:"uncertain,omitempty"`
	Target       string `json:"target"`
}

func (r *Router) serveBills(w http.ResponseWriter, req *http.Request) {
	organisation := req.URL.Query().Get("organisation")
	serveRows(w, req, r.Table, bookkeeper.LedgerPrefix, func(row storer.Row) ([]BillDocument, error) {
		bills, err := bookkeeper.DecodeBills(row.Value)
		var docs []BillDocument
		for _, b := range bills {
			if b.Amount+b.Uncertain == 0 || (organisation != "" && b.Organisation != organisation) {
				continue
			}
			docs = append(docs, BillDocument{
				Organisation: b.Organisation, RequestID: b.RequestID, Payer: b.Payer, Sequence: b.Sequence,
				Amount: b.Amount, Uncertain: b.Uncertain, Target: b.Target,
			})
		}
		return docs, err
	})
}

// serveRows serves the documents that convert makes of all rows with a key prefix.
func serveRows[T any](w http.ResponseWriter, req *http.Request, t storer.Table, prefix string, convert func(storer.Row) ([]T, error)) {
	rows, err := storer.ScanAll(req.Context(), t, prefix)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, "platform-down", err.Error())
		return
	}
	docs := []T{}
	for _, row := range rows {
		d, err := convert(row)
		if err != nil {
			writeError(w, http.StatusInternalServerError, "internal", err.Error())
			return
		}
		docs = append(docs, d...)
	}
	writeJSON(w, http.StatusOK, docs)
}

// TargetDocument is a target in the operators' API, in the state that this router
// knows.
type TargetDocument struct {
	Name     string  `json:"name"`
	Serves   string  `json:"serves"`
	Domain   string  `json:"domain"`
	Linked   bool    `json:"linked"`
	Draining bool    `json:"leaving"`
	Ejected  bool    `json:"aside"`
	InFlight int64   `json:"inFlight"`
	Load     float64 `json:"load"`
}

func (r *Router) serveTargets(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, r.directory.targetDocuments())
}

// StuckHolderDocument is a dead holder whose tokens stay held because the listed
// agents have not confirmed its fence.
type StuckHolderDocument struct {
	Incarnation string   `json:"incarnation"`
	Agents      []string `json:"missingAgents"`
	Held        int64    `json:"held"`
}

func (r *Router) serveHolders(w http.ResponseWriter, _ *http.Request) {
	docs := []StuckHolderDocument{}
	if all := r.stuckHolders.Load(); all != nil {
		for _, s := range *all {
			docs = append(docs, StuckHolderDocument(s))
		}
	}
	writeJSON(w, http.StatusOK, docs)
}

// serveIncarnation serves the incarnation that new reservations are made under.
func (r *Router) serveIncarnation(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, r.treasury.Incarnation()+"\n")
}

// BurnDocument is a row of the burn-rate report.
type BurnDocument struct {
	Organisation  string  `json:"organisation"`
	Priority      string  `json:"priority"`
	Objective     float64 `json:"objective"`
	Requests      int64   `json:"requests"`
	Refused       int64   `json:"refused"`
	BudgetRefused int64   `json:"budgetRefused"`
	Burn5m        float64 `json:"burn5m"`
	Burn30m       float64 `json:"burn30m"`
	Burn1h        float64 `json:"burn1h"`
	Burn6h        float64 `json:"burn6h"`
	Alert         string  `json:"alert,omitempty"`
}

func (r *Router) serveBurn(w http.ResponseWriter, _ *http.Request) {
	docs := []BurnDocument{}
	for _, row := range r.burnTracker.BurnRates() {
		docs = append(docs, BurnDocument{
			Organisation: row.Organisation, Priority: row.Priority.String(), Objective: row.Objective,
			Requests: row.Requests, Refused: row.Refused, BudgetRefused: row.BudgetRefused,
			Burn5m: row.Burn5m, Burn30m: row.Burn30m, Burn1h: row.Burn1h, Burn6h: row.Burn6h, Alert: row.Alert,
		})
	}
	writeJSON(w, http.StatusOK, docs)
}
