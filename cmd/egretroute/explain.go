package main

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"strings"

	"github.com/google/subcommands"
)

// maxLogLine bounds a line of a log, in bytes.
const maxLogLine = 1 << 20

// explainCommand prints what the logs say of one request.
type explainCommand struct{}

// Name implements subcommands.Command.
func (*explainCommand) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*explainCommand) Synopsis() string {
	return "print a request's story from the logs of all processes"
}

// Usage implements subcommands.Command.
func (*explainCommand) Usage() string { return "explain REQUEST-ID [LOG-FILE...]\n" }

// SetFlags implements subcommands.Command.
func (*explainCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*explainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "explain: name a request")
		return subcommands.ExitUsageError
	}
	var story []logLine
	for _, path := range f.Args()[1:] {
		lines, err := readLog(path, f.Arg(0))
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
		story = append(story, lines...)
	}
	if f.NArg() == 1 {
		story = findLines(os.Stdin, f.Arg(0))
	}
	printStory(os.Stdout, story)
	if len(story) == 0 {
		fmt.Fprintf(os.Stderr, "explain: no line names %q; lines about successes are dropped first under load (event 100)\n", f.Arg(0))
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// logLine is one line of a log that names the request.
type logLine struct {
	fields map[string]any
	text   string // what stands before the line's JSON, such as a host's name
}

func readLog(path, id string) ([]logLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return findLines(file, id), nil
}

// findLines returns the lines whose request or voucher is the id.
func findLines(r io.Reader, id string) (found []logLine) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		before, object, ok := strings.Cut(lines.Text(), "{")
		if !ok || !strings.Contains(object, id) {
			continue
		}
		var fields map[string]any
		d := json.NewDecoder(strings.NewReader("{" + object))
		d.UseNumber()
		if d.Decode(&fields) != nil {
			continue // not a line of ours
		}
		voucher, _ := fields["voucher"].(string)
		if fields["request"] == id || strings.HasSuffix(voucher, "/"+id) {
			found = append(found, logLine{fields: fields, text: strings.TrimSpace(before)})
		}
	}
	return found
}

// printStory prints lines in the order of their time.
func printStory(w io.Writer, story []logLine) {
	sort.SliceStable(story, func(i, j int) bool {
		return fmt.Sprint(story[i].fields["time"]) < fmt.Sprint(story[j].fields["time"])
	})
	for _, line := range story {
		var rest []string
		for _, key := range sortedKeys(line.fields) {
			rest = append(rest, fmt.Sprintf("%s=%v", key, line.fields[key]))
		}
		fmt.Fprintf(w, "%v %s [%v] %v: %s\n", line.fields["time"], line.text, line.fields["event"], line.fields["msg"], strings.Join(rest, " "))
	}
}

func sortedKeys(fields map[string]any) (keys []string) {
	for key := range fields {
		if !slices.Contains([]string{"time", "msg", "level", "event", "request"}, key) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
