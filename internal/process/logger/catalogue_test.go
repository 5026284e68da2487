package logger_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/egretroute/egretroute/internal/process/logger"
)

var writePage = flag.Bool("writePage", false, "write docs/EVENTS.md from the catalogue")

const page = "../../../docs/EVENTS.md"

func catalogue() string {
	var b strings.Builder
	b.WriteString("# Events\n\nEvery log line carries its event's number in the field `event`. " +
		"No event contains a prompt, a key or a response.\n\n| event | level | message | what to do |\n|---|---|---|---|\n")
	for _, e := range logger.Catalogue {
		_, _ = fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Number, e.Level, e.Message, e.Action)
	}
	return b.String()
}

func TestPageIsTheCatalogue(t *testing.T) {
	if *writePage {
		assert.NilError(t, os.WriteFile(page, []byte(catalogue()), 0o600))
	}
	text, err := os.ReadFile(page)
	assert.NilError(t, err)
	assert.Equal(t, string(text), catalogue())
}

func TestNumbersAreUniqueAndRising(t *testing.T) {
	last := 0
	for _, e := range logger.Catalogue {
		assert.Assert(t, e.Number > last, "event %d follows %d", e.Number, last)
		last = e.Number
	}
}

// TestEveryDeclaredEventIsInTheCatalogue guards against a declared event that is
// missing from the catalogue and therefore from docs/EVENTS.md. It counts the
// declarations in the source.
func TestEveryDeclaredEventIsInTheCatalogue(t *testing.T) {
	text, err := os.ReadFile("events.go")
	assert.NilError(t, err)
	declared := strings.Count(string(text), "= Event{")
	assert.Equal(t, declared, len(logger.Catalogue))
}
