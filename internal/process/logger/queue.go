package logger

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxQueuedBytes bounds the size of the queue.
	maxQueuedBytes = 1 << 20
	// maxInfoBytes is the queue size above which lines of level INFO are dropped, so
	// that space remains for lines about failures.
	maxInfoBytes = maxQueuedBytes / 2
	// flushInterval is the time for which lines are collected for one write.
	flushInterval = 50 * time.Millisecond
	// levelPrefix is the length of a line's prefix that contains its level.
	levelPrefix = 96
)

var infoLevel = []byte(`"level":"INFO"`)

// Queue is a writer of log lines that never blocks. Lines are queued in memory
// while the reader of the output doesn't read. Lines of level INFO are dropped when
// the queue is half full, all others only when it is full. A log line reports how
// many were dropped.
type Queue struct {
	out io.Writer

	mu      sync.Mutex // guards all below
	pending bytes.Buffer
	dropped int
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// NewQueue returns a Queue that writes to out until Close is called.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go q.run()
	return q
}

// Write queues one line; it reports success even if the line is dropped.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	limit := maxQueuedBytes
	if bytes.Contains(line[:min(len(line), levelPrefix)], infoLevel) {
		limit = maxInfoBytes
	}
	if q.pending.Len()+len(line) > limit {
		q.dropped++
		return len(line), nil
	}
	q.pending.Write(line)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close stops the queue and waits until all lines are written, at most for timeout.
func (q *Queue) Close(timeout time.Duration) {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	select {
	case <-q.done:
	case <-time.After(timeout):
	}
}

func (q *Queue) run() {
	defer close(q.done)
	for {
		<-q.wake
		lines, closed := q.take()
		if len(lines) > 0 {
			_, _ = q.out.Write(lines) // a failure of logging can't be reported anywhere
		}
		if closed {
			return
		}
		time.Sleep(flushInterval)
	}
}

func (q *Queue) take() (lines []byte, closed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	lines = bytes.Clone(q.pending.Bytes())
	q.pending.Reset()
	if q.dropped > 0 {
		lines = fmt.Appendf(lines, "{\"time\":%q,\"level\":\"WARN\",\"msg\":\"log lines were dropped\",\"event\":%d,\"lines\":%d}\n",
			time.Now().Format(time.RFC3339Nano), LinesDropped.Number, q.dropped)
		q.dropped = 0
	}
	return lines, q.closed
}
