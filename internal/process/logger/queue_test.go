package logger_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/process/logger"
)

// TestFullPipeBlocksNobody guards against log writes that block, or drop lines about
// failures, while nobody reads the output. It writes far more lines than the queue
// holds; all writes must return, and only lines of level INFO may be dropped.
func TestFullPipeBlocksNobody(t *testing.T) {
	r, w := io.Pipe()
	q := logger.NewQueue(w)
	start := time.Now()
	for i := range 20_000 {
		line := fmt.Sprintf("{\"time\":\"x\",\"level\":\"INFO\",\"msg\":\"request answered\",\"n\":%d}\n", i)
		if i%100 == 0 {
			line = fmt.Sprintf("{\"time\":\"x\",\"level\":\"WARN\",\"msg\":\"request not answered\",\"n\":%d}\n", i)
		}
		n, err := q.Write([]byte(line))
		assert.NilError(t, err)
		assert.Equal(t, n, len(line))
	}
	assert.Assert(t, time.Since(start) < 2*time.Second)
	var got bytes.Buffer
	var reader sync.WaitGroup
	reader.Go(func() { _, _ = io.Copy(&got, r) })
	q.Close(5 * time.Second)
	assert.NilError(t, w.Close())
	reader.Wait()
	text := got.String()
	assert.Equal(t, strings.Count(text, `"level":"WARN","msg":"request not answered"`), 200)
	assert.Assert(t, strings.Contains(text, "log lines were dropped"))
	assert.Assert(t, strings.Count(text, "request answered") < 20_000-200)
}
