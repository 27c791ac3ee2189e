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

// explainCmd shows what the logs of several nodes say of one request.
type explainCmd struct {
	Request string   `arg:"" help:"Id of the request."`
	Files   []string `arg:"" help:"Log files of the nodes; - reads standard input."`
}

const (
	// beliefWindow is how long before its start a change of belief is shown, because
	// it may have decided the request.
	beliefWindow = 3 * time.Second
	// timestampField and eventField are on each line of a log.
	timestampField, nodeField, eventField, requestField = "ts", "node", "event", "request"
	// answeredEvent is written by the node that answers the caller.
	answeredEvent = "request answered"
)

// logLine is one line of a log.
type logLine struct {
	At     time.Time  `json:"at"`
	Node   string     `json:"node"`
	Event  string     `json:"event"`
	Fields []logField `json:"fields"`
	// OfRequest is false for a change of belief.
	OfRequest bool `json:"of_request"`
}

type logField struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// value returns a field of the line, or "".
func (l *logLine) value(name string) string {
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
		more, err := readLogFile(name, a.stdin)
		if err != nil {
			return err
		}
		lines = append(lines, more...)
	}
	found := explain(lines, c.Request)
	if len(found) == 0 {
		return errors.Newf("no line of %d is about request %s", len(lines), c.Request)
	}
	if a.JSON {
		text, err := json.MarshalIndent(found, "", "  ")
		if err != nil {
			return errors.Wrap(err, "encode the lines")
		}
		a.printf("%s\n", text)
		return nil
	}
	for _, l := range found {
		a.printf("%s\n", l.format(found[0].At))
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

// maxLogLine bounds a line, in bytes. The sink of a node drops longer ones.
const maxLogLine = 256 << 10

// readLog decodes the lines of a log. A line that is not logfmt or lacks time or
// event belongs to another program and is left out.
func readLog(r io.Reader) ([]logLine, error) {
	var out []logLine
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		if l, ok := decodeLine(lines.Text()); ok {
			out = append(out, l)
		}
	}
	return out, lines.Err()
}

func decodeLine(text string) (l logLine, ok bool) {
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

// explain returns the lines about a request in the order of time, with the changes
// of belief of the node that answered it and those about the backend servers that
// it was sent to.
func explain(lines []logLine, request string) []logLine {
	var out []logLine
	nodes, backends := make(map[string]bool), make(map[string]bool)
	for _, l := range lines {
		if l.value(requestField) != request {
			continue
		}
		l.OfRequest = true
		out = append(out, l)
		nodes[l.Node] = nodes[l.Node] || l.Event == answeredEvent
		if b := l.value("backend"); b != "" {
			backends[b] = true
		}
	}
	if len(out) == 0 {
		return nil
	}
	sortLines(out)
	first, last := out[0].At.Add(-beliefWindow), out[len(out)-1].At
	for _, l := range lines {
		if l.value(requestField) != "" && l.value("suspected") == "" || l.At.Before(first) || l.At.After(last) || l.value(requestField) == request {
			continue
		}
		if b := l.value("backend"); nodes[l.Node] && b == "" || backends[b] {
			out = append(out, l)
		}
	}
	sortLines(out)
	return out
}

func sortLines(lines []logLine) {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.At.Compare(b.At) })
}

// format renders a line with its time relative to the first one. Changes of
// belief are indented.
func (l *logLine) format(start time.Time) string {
	var b strings.Builder
	indent := ""
	if !l.OfRequest {
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
