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
	"strconv"
	"strings"

	"github.com/google/subcommands"

	"github.com/egretroute/egretroute/internal/process/logger"
)

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

// explainCommand prints all log lines of one request, and those that tell which targets
// requests with the same contents, or with the features it was refused for, have crashed.
type explainCommand struct{}

// Name implements subcommands.Command.
func (*explainCommand) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*explainCommand) Synopsis() string {
	return "print a request's log lines from the logs of all processes, and the crashes under requests with its contents"
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
	var found logLines
	for _, path := range f.Args()[1:] {
		if err := found.read(path, f.Arg(0)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return subcommands.ExitFailure
		}
	}
	if f.NArg() == 1 {
		found.add(os.Stdin, f.Arg(0))
	}
	printLines(os.Stdout, f.Arg(0), found.related())
	if len(found.own) == 0 {
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

// logLines are the lines of one request, and the lines about crashes under any request.
type logLines struct {
	own     []logLine
	crashes []logLine
}

// crashEvents are the events that tell what requests with the same digest or features have done
// to targets.
var crashEvents = []logger.Event{
	logger.TargetCrashed, logger.TargetCrashedUnderRequest, logger.CrashesLearned, logger.SuspicionCleared, logger.CauseFound, logger.CauseEnded, logger.CauseRetried,
}

// isCrashEvent reports whether a log line's JSON object is of one of the crashEvents.
func isCrashEvent(object string) bool {
	return slices.ContainsFunc(crashEvents, func(e logger.Event) bool {
		return strings.Contains(object, `"event":`+strconv.Itoa(e.Number)+`,`)
	})
}

// related returns the request's own lines and those about crashes under requests with
// the same digest, or with a feature that the request was refused for.
func (l *logLines) related() []logLine {
	lines := slices.Clone(l.own)
	for _, crash := range l.crashes {
		if slices.ContainsFunc(l.own, func(own logLine) bool { return own.sharesCrash(crash) }) {
			lines = append(lines, crash)
		}
	}
	return lines
}

// sharesCrash reports whether a line about a crash is about the digest or the cause of this line.
func (l logLine) sharesCrash(crash logLine) bool {
	if digest, ok := l.fields["digest"]; ok && digest == crash.fields["digest"] {
		return true
	}
	features := append(texts(crash.fields["features"]), texts(crash.fields["cause"])...)
	return slices.ContainsFunc(texts(l.fields["cause"]), func(cause string) bool { return slices.Contains(features, cause) })
}

// texts returns the texts of a field that is a text or a list of them.
func texts(field any) (out []string) {
	switch v := field.(type) {
	case string:
		out = append(out, v)
	case []any:
		for _, e := range v {
			if s, ok := e.(string); ok {
				out = append(out, s)
			}
		}
	}
	return out
}

// read adds the lines of a file.
func (l *logLines) read(path, id string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	l.add(file, id)
	return nil
}

// add adds the log lines whose request attribute is id or whose voucher ends in it, and
// those about crashes.
func (l *logLines) add(r io.Reader, id string) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		before, object, ok := strings.Cut(lines.Text(), "{")
		aboutCrash := ok && isCrashEvent(object)
		if !ok || (!aboutCrash && !strings.Contains(object, id)) {
			continue
		}
		var fields map[string]any
		d := json.NewDecoder(strings.NewReader("{" + object))
		d.UseNumber()
		if d.Decode(&fields) != nil {
			continue // not a log line of this program
		}
		line := logLine{fields: fields, prefix: strings.TrimSpace(before)}
		voucher, _ := fields["voucher"].(string)
		switch {
		case fields["request"] == id || strings.HasSuffix(voucher, "/"+id):
			l.own = append(l.own, line)
		case aboutCrash:
			l.crashes = append(l.crashes, line)
		}
	}
}

// printLines prints lines in chronological order, with the request unless it is id.
func printLines(w io.Writer, id string, lines []logLine) {
	sort.SliceStable(lines, func(i, j int) bool {
		return fmt.Sprint(lines[i].fields["time"]) < fmt.Sprint(lines[j].fields["time"])
	})
	for _, line := range lines {
		var rest []string
		if request, ok := line.fields["request"]; ok && request != id {
			rest = append(rest, fmt.Sprintf("request=%v", request))
		}
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
