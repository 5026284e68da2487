package logger

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxQueuedBytes bounds the lines that wait to be written.
	maxQueuedBytes = 1 << 20
	// maxInfoBytes is the queue length from which on lines about what went well
	// are dropped, so that lines about failures still find room.
	maxInfoBytes = maxQueuedBytes / 2
	// flushInterval is how long lines are gathered for one write.
	flushInterval = 50 * time.Millisecond
	// levelPrefix is how far into a line its level stands.
	levelPrefix = 96
)

var infoLevel = []byte(`"level":"INFO"`)

// Queue is a writer of log lines that never blocks: lines wait in memory while
// the reader of the output doesn't read. When more than half of the room is
// taken, lines of level INFO are dropped; others only when all of it is. A line
// tells how many were dropped.
type Queue struct {
	out io.Writer

	mu      sync.Mutex // guards all below
	waiting bytes.Buffer
	dropped int
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// NewQueue returns a Queue that writes to out until it is closed.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go q.run()
	return q
}

// Write takes one line; it always reports success.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	room := maxQueuedBytes
	if bytes.Contains(line[:min(len(line), levelPrefix)], infoLevel) {
		room = maxInfoBytes
	}
	if q.waiting.Len()+len(line) > room {
		q.dropped++
		return len(line), nil
	}
	q.waiting.Write(line)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close waits until all lines are written, at most for the time given.
func (q *Queue) Close(limit time.Duration) {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	select {
	case <-q.done:
	case <-time.After(limit):
	}
}

func (q *Queue) run() {
	defer close(q.done)
	for {
		<-q.wake
		lines, closed := q.take()
		if len(lines) > 0 {
			_, _ = q.out.Write(lines) // there is nowhere to tell that logging fails
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
	lines = bytes.Clone(q.waiting.Bytes())
	q.waiting.Reset()
	if q.dropped > 0 {
		lines = fmt.Appendf(lines, "{\"time\":%q,\"level\":\"WARN\",\"msg\":\"log lines were dropped\",\"event\":%d,\"lines\":%d}\n",
			time.Now().Format(time.RFC3339Nano), LinesDropped.Number, q.dropped)
		q.dropped = 0
	}
	return lines, q.closed
}
