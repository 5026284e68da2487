package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run.
type record struct {
	began time.Time

	mu sync.Mutex // guards all below
	f  *os.File
	w  *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), f: f, w: bufio.NewWriter(f)}, nil
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%7.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// event records something that the script did or found, and prints it.
func (r *record) event(format string, args ...any) {
	r.line("# "+format, args...)
	fmt.Printf("%7.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

func (r *record) request(o observation) {
	r.line("request %s at %s, try %d: status %d, signed %t, %d events, complete %t, Retry-After %q, error %v", o.id, o.gateway, o.tries,
		o.response.Status, o.response.Signed, len(o.response.Events), o.response.Ended, o.response.RetryAfter, o.response.Err)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.f.Close()
}
