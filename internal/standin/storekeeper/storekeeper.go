// Package storekeeper is a stand-in for the platform, with its transactional
// table, object store and lagging host list. It can inject faults.
//
// # Usage
//
//	k := storekeeper.New(storekeeper.Limits{WritesPerSecond: 400, ReadsPerSecond: 2000})
//	http.Serve(ln, k.Handler())
//	k.SetFaults(storekeeper.Faults{Outage: true})
//
// POST /faults with a JSON document of Faults sets them from outside the process.
package storekeeper

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/egretroute/egretroute/internal/process/storer"
)

// Limits are the rate limits of the platform.
type Limits struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// Faults are the faults that the platform injects.
type Faults struct {
	// Outage refuses every call.
	Outage bool `json:"outage"`
	// DelayMillis delays every call.
	DelayMillis int64 `json:"delayMillis"`
	// LoseReplies is the fraction of commits that take effect but whose reply is lost.
	LoseReplies float64 `json:"loseAnswers"`
}

// Storekeeper serves the platform's API from memory.
type Storekeeper struct {
	Table *storer.Memory
	// HostLag is the delay of changes to the host list; it is set before the handler
	// serves.
	HostLag time.Duration

	storage storage
	writes  *rate.Limiter
	reads   *rate.Limiter
	mu      sync.Mutex // guards faults and random
	faults  Faults
	random  *rand.Rand
}

// New returns a platform with an empty table and the given rate limits.
func New(l Limits) *Storekeeper {
	return &Storekeeper{
		Table:  storer.NewMemory(),
		writes: rate.NewLimiter(rate.Limit(l.WritesPerSecond), int(l.WritesPerSecond)),
		reads:  rate.NewLimiter(rate.Limit(l.ReadsPerSecond), int(l.ReadsPerSecond)),
		random: rand.New(rand.NewPCG(1, 2)),
	}
}

// SetFaults replaces the injected faults.
func (k *Storekeeper) SetFaults(f Faults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
}

// Handler returns the HTTP API.
func (k *Storekeeper) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/table/read", k.serveRead).Methods(http.MethodPost)
	m.HandleFunc("/table/scan", k.serveScan).Methods(http.MethodPost)
	m.HandleFunc("/table/commit", k.serveCommit).Methods(http.MethodPost)
	k.addStorageRoutes(m)
	m.HandleFunc("/faults", k.serveFaults).Methods(http.MethodPost)
	m.HandleFunc("/stats", k.serveStats).Methods(http.MethodGet)
	return m
}

// admit applies delay, outage and rate limit; it returns false after it has
// refused the call.
func (k *Storekeeper) admit(w http.ResponseWriter, l *rate.Limiter) bool {
	k.mu.Lock()
	f := k.faults
	k.mu.Unlock()
	time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
	if f.Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return false
	}
	if !l.Allow() {
		http.Error(w, "rate exceeded", http.StatusTooManyRequests)
		return false
	}
	return true
}

func (k *Storekeeper) serveRead(w http.ResponseWriter, r *http.Request) {
	var req storer.ReadRequest
	if !decodeRequest(w, r, &req) || !k.admit(w, k.reads) {
		return
	}
	rows, _ := k.Table.Read(r.Context(), req.Keys...)
	writeRows(w, rows)
}

func (k *Storekeeper) serveScan(w http.ResponseWriter, r *http.Request) {
	var req storer.ScanRequest
	if !decodeRequest(w, r, &req) || !k.admit(w, k.reads) {
		return
	}
	rows, _ := k.Table.Scan(r.Context(), req.Prefix, req.After, req.Limit)
	writeRows(w, rows)
}

func (k *Storekeeper) serveCommit(w http.ResponseWriter, r *http.Request) {
	var req storer.CommitRequest
	if !decodeRequest(w, r, &req) || !k.admit(w, k.writes) {
		return
	}
	err := k.Table.Commit(r.Context(), toCommit(req))
	if errors.Is(err, storer.ErrConflict) {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	if k.dropsReply() {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write([]byte("{}"))
}

func (k *Storekeeper) dropsReply() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.random.Float64() < k.faults.LoseReplies
}

func (k *Storekeeper) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if decodeRequest(w, r, &f) {
		k.SetFaults(f)
	}
}

func (k *Storekeeper) serveStats(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(struct {
		Commits uint64 `json:"commits"`
		Reads   uint64 `json:"reads"`
	}{k.Table.Commits(), k.Table.Reads()})
}

func toCommit(req storer.CommitRequest) storer.Commit {
	var c storer.Commit
	for _, cond := range req.Conditions {
		c.Conditions = append(c.Conditions, storer.Condition{Key: cond.Key, Version: cond.Version})
	}
	for _, w := range req.Writes {
		write := storer.Write{Key: w.Key, Value: w.Value}
		if w.Delete {
			write.Value = nil
		} else if write.Value == nil {
			write.Value = []byte{}
		}
		c.Writes = append(c.Writes, write)
	}
	return c
}

func writeRows(w http.ResponseWriter, rows []storer.Row) {
	resp := storer.RowsResponse{Rows: make([]storer.WireRow, len(rows))}
	for i, r := range rows {
		resp.Rows[i] = storer.WireRow{Key: r.Key, Version: r.Version, Value: r.Value}
	}
	_ = json.NewEncoder(w).Encode(resp)
}

func decodeRequest(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
