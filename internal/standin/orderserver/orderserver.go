// Package orderserver is a stand-in for a service with non-idempotent orders. It
// counts how often the order of each idempotency key runs.
//
// # Usage
//
//	http.Serve(ln, orderserver.New(0).Handler())
//
// POST /orders runs an order, GET /runs/{key} returns the number of its runs,
// and GET /ping responds at once.
package orderserver

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Server runs orders and counts them by idempotency key.
type Server struct {
	delay time.Duration

	mu   sync.Mutex // guards runs
	runs map[string]int
}

// New returns a server whose orders take the given time.
func New(delay time.Duration) *Server {
	return &Server{delay: delay, runs: make(map[string]int)}
}

// Handler returns the HTTP API.
func (s *Server) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/orders", s.serveOrder).Methods(http.MethodPost)
	m.HandleFunc("/runs/{key}", s.serveRuns).Methods(http.MethodGet)
	m.HandleFunc("/ping", func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintln(w, "pong") })
	return m
}

// Runs returns how often the order of a key has run.
func (s *Server) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	s.runs[key]++
	n := s.runs[key]
	s.mu.Unlock()
	time.Sleep(s.delay)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_, _ = fmt.Fprintf(w, "{\"order\":%q,\"run\":%d}\n", key, n)
}

func (s *Server) serveRuns(w http.ResponseWriter, r *http.Request) {
	_, _ = fmt.Fprint(w, s.Runs(mux.Vars(r)["key"]))
}
