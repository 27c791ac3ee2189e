package main

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"
)

// explainCmd shows the log lines of several nodes that relate to one request.
type explainCmd struct {
	Request string   `arg:"" help:"Id of the request."`
	Files   []string `arg:"" help:"Log files of the nodes; - reads standard input."`
}

const (
	// contextWindow is the period before the first line of the request from which
	// context lines are shown, because they may explain the outcome of the request.
	contextWindow = 3 * time.Second
	// timestampField and eventField are present on every log line.
	timestampField, nodeField, eventField, requestField = "ts", "node", "event", "request"
	// requestAnsweredEvent is logged by the node that sends the response to the caller.
	requestAnsweredEvent = "request answered"
)

// logLine is one decoded log line.
type logLine struct {
	At     time.Time  `json:"at"`
	Node   string     `json:"node"`
	Event  string     `json:"event"`
	Fields []logField `json:"fields"`
	// BelongsToRequest is false for a context line, which reports a state change of a
	// node or a backend server.
	BelongsToRequest bool `json:"of_request"`
}

type logField struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// fieldValue returns the value of a field, or "" if the line does not contain it.
func (l *logLine) fieldValue(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Run executes the command.
func (c *explainCmd) Run(a *app) error {
	var lines []logLine
	for _, name := range c.Files {
		fileLines, err := readLogFile(name, a.stdin)
		if err != nil {
			return err
		}
		lines = append(lines, fileLines...)
	}
	selected := selectLines(lines, c.Request)
	if len(selected) == 0 {
		return errors.Newf("no line of %d is about request %s", len(lines), c.Request)
	}
	if a.JSON {
		text, err := json.MarshalIndent(selected, "", "  ")
		if err != nil {
			return errors.Wrap(err, "encode the lines")
		}
		a.printf("%s\n", text)
		return nil
	}
	for _, l := range selected {
		a.printf("%s\n", l.format(selected[0].At))
	}
	return nil
}

func readLogFile(name string, stdin io.Reader) ([]logLine, error) {
	if name == "-" {
		return readLog(stdin)
	}
	text, err := readFile(name)
	if err != nil {
		return nil, err
	}
	lines, err := readLog(bytes.NewReader(text))
	return lines, errors.Wrapf(err, "read log %s", name)
}

// maxLogLineBytes limits a log line. The log sink of a node drops longer lines.
const maxLogLineBytes = 256 << 10

// readLog decodes the lines of a log. A line that is not valid logfmt or has no
// timestamp or event is skipped, because it comes from another program.
func readLog(r io.Reader) ([]logLine, error) {
	var out []logLine
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLogLineBytes)
	for lines.Scan() {
		if l, ok := decodeLogLine(lines.Text()); ok {
			out = append(out, l)
		}
	}
	return out, lines.Err()
}

func decodeLogLine(text string) (l logLine, ok bool) {
	d := logfmt.NewDecoder(strings.NewReader(text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			name, value := string(d.Key()), string(d.Value())
			switch name {
			case timestampField:
				at, err := time.Parse(time.RFC3339Nano, value)
				if err != nil {
					return l, false
				}
				l.At = at
			case nodeField:
				l.Node = cmp.Or(l.Node, value)
			case eventField:
				l.Event = value
			default:
				l.Fields = append(l.Fields, logField{name, value})
			}
		}
	}
	return l, d.Err() == nil && !l.At.IsZero() && l.Event != ""
}

// selectLines returns the lines of a request and its context lines, ordered by time.
// Context lines report state changes of the node that sent the response to the caller
// or of the backend servers to which the request was sent.
func selectLines(lines []logLine, request string) []logLine {
	var out []logLine
	nodes, backends := make(map[string]bool), make(map[string]bool)
	for _, l := range lines {
		if l.fieldValue(requestField) != request {
			continue
		}
		l.BelongsToRequest = true
		out = append(out, l)
		nodes[l.Node] = nodes[l.Node] || l.Event == requestAnsweredEvent
		if b := l.fieldValue("backend"); b != "" {
			backends[b] = true
		}
	}
	if len(out) == 0 {
		return nil
	}
	sortLines(out)
	first, last := out[0].At.Add(-contextWindow), out[len(out)-1].At
	for _, l := range lines {
		if l.fieldValue(requestField) != "" && l.fieldValue("suspected") == "" || l.At.Before(first) || l.At.After(last) || l.fieldValue(requestField) == request {
			continue
		}
		if b := l.fieldValue("backend"); nodes[l.Node] && b == "" || backends[b] {
			out = append(out, l)
		}
	}
	sortLines(out)
	return out
}

func sortLines(lines []logLine) {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.At.Compare(b.At) })
}

// format returns the line as text, with its time relative to start. Context lines are
// indented.
func (l *logLine) format(start time.Time) string {
	var b strings.Builder
	indent := ""
	if !l.BelongsToRequest {
		indent = "  "
	}
	fmt.Fprintf(&b, "%9.1f ms  %-26s %s%s", float64(l.At.Sub(start).Microseconds())/1000, l.Node, indent, l.Event)
	for _, f := range l.Fields {
		if f.Name != requestField && f.Value != "" && f.Value != "null" {
			fmt.Fprintf(&b, " %s=%s", f.Name, f.Value)
		}
	}
	return b.String()
}
