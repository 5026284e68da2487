package router_test

import (
	"bufio"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestBadRequestsAreRefusedAndCostNothing sends each request of
// testdata/requests.txt and checks that it is refused and bills no tokens.
func TestBadRequestsAreRefusedAndCostNothing(t *testing.T) {
	agent := &scriptedAgent{}
	agent.setScripts([][]string{{"head", "chunk a", "end"}})
	url := startRouter(t, agent)
	file, err := os.Open("testdata/requests.txt")
	assert.NilError(t, err)
	defer file.Close()
	lines, cases := bufio.NewScanner(file), 0
	for lines.Scan() {
		line := lines.Text()
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		cases++
		t.Run(line, func(t *testing.T) { sendBadRequest(t, url, line) })
	}
	assert.Assert(t, cases > 0)
	budget := send(t, http.MethodGet, url+"/v1/budget", "-", "")
	defer budget.Body.Close()
	text, err := io.ReadAll(budget.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(text), `"spent":0`), string(text))
}

func sendBadRequest(t *testing.T, url, line string) {
	head, body, _ := strings.Cut(line, " |")
	fields := strings.SplitN(head, " ", 5)
	body = strings.ReplaceAll(strings.TrimSpace(body), "{BIG}", strings.Repeat("x", 5<<20))
	resp := send(t, fields[2], url+fields[3], fields[4], body)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	got := strings.Join([]string{resp.Status[:3], resp.Header.Get("Egretroute-Reason"), resp.Header.Get("Egretroute-Outcome"), resp.Header.Get("Egretroute-Billed-Tokens")}, " ")
	assert.Equal(t, got, fields[0]+" "+fields[1]+" not-run 0")
	assert.Assert(t, strings.Contains(string(text), `"type":"`+fields[1]+`"`), string(text))
}

// send sends a request with the given headers; the key is valid unless they set
// Authorization.
func send(t *testing.T, method, url, headers, body string) *http.Response {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer key")
	for _, pair := range strings.Split(headers, ";") {
		if name, value, ok := strings.Cut(pair, "="); ok {
			req.Header.Set(name, value)
		}
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	return resp
}
