package router_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRestartedFleetForgetsCrashes sends a request that crashes targets to a router, and
// again to its successor. The agent forgets it at once. The successor must refuse it.
func TestRestartedFleetForgetsCrashes(t *testing.T) {
	agent := &scriptedAgent{}
	table := startAgent(t, agent)
	for _, tt := range []struct {
		name   string
		script []string
	}{
		{"crashed", []string{"end-crashed"}},
		{"known from before", []string{"head", "chunk a", "end"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			agent.setScripts([][]string{tt.script})
			url, stop := startRouterOn(t, table)
			defer stop()
			req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(`{"model":"m","messages":[{"role":"user","content":"x"}]}`))
			assert.NilError(t, err)
			req.Header.Set("Authorization", "Bearer key")
			resp, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			defer resp.Body.Close()
			assert.Equal(t, resp.StatusCode, http.StatusUnprocessableEntity)
			assert.Equal(t, resp.Header.Get("Egretroute-Reason"), "poison")
		})
	}
}
