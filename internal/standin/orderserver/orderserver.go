// Package orderserver stands in for a plain service whose orders may not be
// repeated; it counts the runs of each idempotency key.
//
// # Usage
//
//	http.Serve(ln, orderserver.New(0).Handler())
//
// POST /orders runs an order, GET /runs/{key} answers the number of its runs,
// and GET /ping answers at once.
package orderserver

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Server serves orders.
type Server struct {
	delay time.Duration

	mu   sync.Mutex // guards runs
	runs map[string]int
}

// New returns a service whose orders take the given time.
func New(delay time.Duration) *Server {
	return &Server{delay: delay, runs: make(map[string]int)}
}

// Handler returns the HTTP API.
func (c *Server) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/orders", c.serveOrder).Methods(http.MethodPost)
	m.HandleFunc("/runs/{key}", c.serveRuns).Methods(http.MethodGet)
	m.HandleFunc("/ping", func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintln(w, "pong") })
	return m
}

// Runs returns how often the order of a key has run.
func (c *Server) Runs(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[key]
}

func (c *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get("Idempotency-Key")
	c.mu.Lock()
	c.runs[key]++
	n := c.runs[key]
	c.mu.Unlock()
	time.Sleep(c.delay)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_, _ = fmt.Fprintf(w, "{\"order\":%q,\"run\":%d}\n", key, n)
}

func (c *Server) serveRuns(w http.ResponseWriter, r *http.Request) {
	_, _ = fmt.Fprint(w, c.Runs(mux.Vars(r)["key"]))
}
