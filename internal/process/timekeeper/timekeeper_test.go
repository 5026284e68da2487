package timekeeper_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/process/timekeeper"
)

var bounds = timekeeper.Bounds{First: 2 * time.Second, Stall: time.Second, Whole: 10 * time.Second}

// TestBounds reports parts at the given times and compares when the call ends.
func TestBounds(t *testing.T) {
	for _, tt := range []struct {
		name  string
		parts []time.Duration
		want  time.Duration
	}{
		{"no part", nil, 2 * time.Second},
		{"a part early", []time.Duration{100 * time.Millisecond}, 2 * time.Second},
		{"a part late", []time.Duration{1900 * time.Millisecond}, 2900 * time.Millisecond},
		{"parts that stop", []time.Duration{1500 * time.Millisecond, 2400 * time.Millisecond, 3300 * time.Millisecond}, 4300 * time.Millisecond},
		{"a part after the end", []time.Duration{2500 * time.Millisecond}, 2 * time.Second},
		{"parts without end", times(500*time.Millisecond, 40), 10 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				startedAt := time.Now()
				ctx, cancel := bounds.Start(t.Context())
				defer cancel()
				go func() {
					for _, at := range tt.parts {
						time.Sleep(at - time.Since(startedAt))
						timekeeper.Report(ctx, 1)
					}
				}()
				<-ctx.Done()
				assert.Equal(t, time.Since(startedAt), tt.want)
				time.Sleep(time.Minute) // until all parts are reported
			})
		})
	}
}

func times(interval time.Duration, n int) (at []time.Duration) {
	for i := range n {
		at = append(at, time.Duration(i)*interval)
	}
	return at
}

// fillingReader returns only once it has filled the buffer, and takes a second for 8 KB.
type fillingReader struct{ left int }

// Read implements io.Reader.
func (r *fillingReader) Read(p []byte) (int, error) {
	n := min(len(p), r.left)
	time.Sleep(time.Duration(n) * time.Second / (8 << 10))
	r.left -= n
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

// TestPartsOfAReaderThatFillsItsBuffer reads 64 KB in 8 s. The buffer of io.ReadAll grows, so that
// parts came at ever longer intervals.
func TestPartsOfAReaderThatFillsItsBuffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := bounds.Start(t.Context())
		defer cancel()
		_, err := io.ReadAll(timekeeper.Reader(ctx, &fillingReader{left: 64 << 10}))
		assert.NilError(t, err)
		assert.NilError(t, ctx.Err())
	})
}

// TestWatchers checks that a part is told to all that watch a call, and that a call that nobody
// watches may report parts.
func TestWatchers(t *testing.T) {
	var told []string
	ctx := timekeeper.Watch(context.Background(), func(n int) { told = append(told, fmt.Sprint("outer ", n)) })
	ctx = timekeeper.Watch(ctx, func(n int) { told = append(told, fmt.Sprint("inner ", n)) })
	text, err := io.ReadAll(timekeeper.Reader(ctx, strings.NewReader("text")))
	assert.NilError(t, err)
	assert.Equal(t, string(text), "text")
	assert.Equal(t, strings.Join(told, " "), "outer 4 inner 4")
	timekeeper.Report(context.Background(), 1)
}
