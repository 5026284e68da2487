package configurer

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// TestPageNamesEveryKey checks that docs/SETTINGS.md describes exactly the keys of
// the file types.
func TestPageNamesEveryKey(t *testing.T) {
	text, err := os.ReadFile("../../../docs/SETTINGS.md")
	assert.NilError(t, err)
	described := 0
	for _, file := range []any{routerFile{}, peerFile{}, operatorFile{}, agentFile{}, gatewayFile{}, companionFile{}} {
		typ := reflect.TypeOf(file)
		for i := range typ.NumField() {
			key := typ.Field(i).Tag.Get("toml")
			assert.Assert(t, strings.Contains(string(text), "| `"+key+"` |"), "docs/SETTINGS.md does not describe %q", key)
			described++
		}
	}
	assert.Equal(t, strings.Count(string(text), "\n| `"), described, "docs/SETTINGS.md describes keys that do not exist")
}

// TestFaults guards against faults that are missed or reported one at a time. Each
// case of testdata/faults.txt is a settings file and all faults that must be
// reported for it.
func TestFaults(t *testing.T) {
	text, err := os.ReadFile("testdata/faults.txt")
	assert.NilError(t, err)
	for _, block := range strings.Split(string(text), "\n=== ")[1:] {
		title, rest, _ := strings.Cut(block, "\n")
		body, expected, _ := strings.Cut(rest, "--- faults\n")
		t.Run(title, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "settings.toml")
			assert.NilError(t, os.WriteFile(path, []byte(body), 0o600))
			switch {
			case strings.HasSuffix(title, "agent"):
				_, err = LoadAgent(path)
			case strings.HasSuffix(title, "gateway"):
				_, err = LoadGateway(path)
			case strings.HasSuffix(title, "companion"):
				_, err = LoadCompanion(path)
			default:
				_, err = LoadRouter(path)
			}
			var faults Faults
			if strings.TrimSpace(expected) == "" {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, errors.As(err, &faults), "%v", err)
			got := strings.ReplaceAll(faults.Error(), path+":", "")
			assert.Equal(t, got, strings.TrimSpace(expected))
		})
	}
}
