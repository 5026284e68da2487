package main

import (
	"bytes"
	"os"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestExplain explains requests from the log lines of testdata/explain.txt.
func TestExplain(t *testing.T) {
	text, err := os.ReadFile("testdata/explain.txt")
	assert.NilError(t, err)
	for _, block := range strings.Split(string(text), "\n=== ")[1:] {
		title, rest, _ := strings.Cut(block, "\n")
		t.Run(title, func(t *testing.T) {
			lines, expected, _ := strings.Cut(rest, "--- ")
			words := strings.Fields(expected)
			var found logLines
			found.add(strings.NewReader(lines), words[0])
			var out bytes.Buffer
			printLines(&out, words[0], found.related())
			var events []string
			for _, match := range regexp.MustCompile(`\[(\d+)\]`).FindAllStringSubmatch(out.String(), -1) {
				events = append(events, match[1])
			}
			assert.Equal(t, strings.Join(events, " "), strings.Join(words[1:], " "), out.String())
		})
	}
}
