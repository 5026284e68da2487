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

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

// explainCommand prints all log lines of one request.
type explainCommand struct{}

// Name implements subcommands.Command.
func (*explainCommand) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*explainCommand) Synopsis() string {
	return "print a request's log lines from the logs of all processes"
}

// Usage implements subcommands.Command.
func (*explainCommand) Usage() string { return "explain REQUEST-ID [LOG-FILE...]\n" }

// SetFlags implements subcommands.Command.
func (*explainCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*explainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "explain: missing request ID")
		return subcommands.ExitUsageError
	}
	var found []logLine
	for _, path := range f.Args()[1:] {
		lines, err := readLog(path, f.Arg(0))
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
		found = append(found, lines...)
	}
	if f.NArg() == 1 {
		found = findLines(os.Stdin, f.Arg(0))
	}
	printLines(os.Stdout, found)
	if len(found) == 0 {
		fmt.Fprintf(os.Stderr, "explain: no log line for request %q; under load, lines of successful requests are dropped first (event 100)\n", f.Arg(0))
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// logLine is a log line that belongs to the request.
type logLine struct {
	fields map[string]any
	prefix string // text before the line's JSON object, such as a host name
}

func readLog(path, id string) ([]logLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return findLines(file, id), nil
}

// findLines returns the log lines whose request attribute is id or whose voucher ends
// in it.
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
			continue // not a log line of this program
		}
		voucher, _ := fields["voucher"].(string)
		if fields["request"] == id || strings.HasSuffix(voucher, "/"+id) {
			found = append(found, logLine{fields: fields, prefix: strings.TrimSpace(before)})
		}
	}
	return found
}

// printLines prints lines in chronological order.
func printLines(w io.Writer, lines []logLine) {
	sort.SliceStable(lines, func(i, j int) bool {
		return fmt.Sprint(lines[i].fields["time"]) < fmt.Sprint(lines[j].fields["time"])
	})
	for _, line := range lines {
		var rest []string
		for _, key := range sortedKeys(line.fields) {
			rest = append(rest, fmt.Sprintf("%s=%v", key, line.fields[key]))
		}
		fmt.Fprintf(w, "%v %s [%v] %v: %s\n", line.fields["time"], line.prefix, line.fields["event"], line.fields["msg"], strings.Join(rest, " "))
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
