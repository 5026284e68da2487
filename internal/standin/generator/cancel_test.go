package generator_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/standin/generator"
)

// TestCanceledRunDoesNotLookComplete guards against a run that is canceled by its ID
// while another connection reads it, and whose response then ends as if complete.
func TestCanceledRunDoesNotLookComplete(t *testing.T) {
	const maxTokens = 1_000_000 // far more than are generated until the run is canceled
	for _, streamed := range []bool{true, false} {
		t.Run(fmt.Sprint("streamed ", streamed), func(t *testing.T) {
			g := &generator.Generator{Model: "m", TokenTime: time.Millisecond}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go g.Run(ctx)
			srv := httptest.NewServer(g.Handler())
			defer srv.Close()
			canceled := make(chan generator.Usage, 1)
			go func() { canceled <- cancelOnceGenerating(g, "run-1") }()
			body := fmt.Sprintf(`{"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"x"}]}`, streamed, maxTokens)
			text, err := readRun(srv.URL, "run-1", body)
			usage := <-canceled
			assert.Assert(t, usage.Output < maxTokens)
			assert.Assert(t, err != nil, "the response of a run of %d tokens ended regularly after %d: ...%s",
				maxTokens, usage.Output, text[max(0, len(text)-120):])
			assert.Assert(t, !strings.Contains(text, "[DONE]"))
		})
	}
}

// cancelOnceGenerating cancels a run as soon as it has generated a token.
func cancelOnceGenerating(g *generator.Generator, id string) generator.Usage {
	for g.Stats().Generated == 0 {
		time.Sleep(time.Millisecond)
	}
	usage, _ := g.Cancel(id)
	return usage
}

// readRun sends a request under an ID and returns what was read of its response.
func readRun(url, id, body string) (string, error) {
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return "", err
	}
	req.Header.Set("X-Request-Id", id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}
