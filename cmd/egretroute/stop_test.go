package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/platform/platformtest"
)

// TestSecondStopCutsNothing sends SIGTERM to a gateway twice during a stream. The stream
// must be complete and the process must exit with status 0.
func TestSecondStopCutsNothing(t *testing.T) {
	store, target := platformtest.NewStore(), platformtest.NewTarget("i-1", "llm")
	defer store.Close()
	defer target.Close()
	target.SetBehaviour(platformtest.Behaviour{Events: 20, EventInterval: 100 * time.Millisecond})
	platformtest.Configuration{Version: 1, AlphaBudget: 1_000_000}.Put(store)
	platformtest.PutTarget(store, target.ID, target.Entry("ready"))
	dir := t.TempDir()
	binary, settings := filepath.Join(dir, "egretroute"), filepath.Join(dir, "gateway.toml")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	assert.NilError(t, err, string(out))
	clientAddress, readyAddress := freeAddress(t), freeAddress(t)
	assert.NilError(t, os.WriteFile(settings, fmt.Appendf(nil, `name = "gateway-1"
domain = "a"
callerAddress = %q
readyAddress = %q
fleetAddress = %q
store = %q
secret = "sixteen bytes and more"
leaveTime = "100ms"
shutdownLimit = "8s"
`, clientAddress, readyAddress, freeAddress(t), store.Address()), 0o600))
	gateway := exec.Command(binary, "gateway", "-settings", settings)
	assert.NilError(t, gateway.Start())
	defer func() { _ = gateway.Process.Kill() }() // already ended if the test passes
	for range 100 {
		if platformtest.IsReady(readyAddress) {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	for _, after := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond} {
		time.AfterFunc(after, func() { _ = gateway.Process.Signal(syscall.SIGTERM) }) // an early exit shows in the response
	}
	response := platformtest.Send(t.Context(), http.DefaultClient, clientAddress, platformtest.Request{
		ID: "n1", Key: "alpha-key", Path: "/notes/a", PromptTokens: 100, OutputTokens: 100, Timeout: 5 * time.Second,
	})
	assert.Equal(t, response.Status, http.StatusOK)
	assert.NilError(t, response.Err)
	assert.Equal(t, len(response.Events), 20)
	assert.NilError(t, gateway.Wait())
}

func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}
