package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"trefoildock.example/admin"
	"trefoildock.example/rules"
)

// printf writes text to standard output. Write errors are ignored, because they
// cannot be reported.
func (a *app) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(a.stdout, format, args...)
}

func writeJSON(w io.Writer, value any) {
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value) // Write errors are ignored, as in printf.
}

// printTable writes rows with aligned columns.
func (a *app) printTable(rows [][]string) {
	w := tabwriter.NewWriter(a.stdout, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
}

// dashIfEmpty replaces an empty cell by a dash, so that each row has the same number
// of fields.
func dashIfEmpty(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// joinList returns the items of a cell separated by commas.
func joinList(items []string) string {
	return dashIfEmpty(strings.Join(items, ","))
}

// printDelta writes the lines of a delta.
func (a *app) printDelta(d rules.Delta, indent string) {
	for _, line := range d.Removed {
		a.printf("%s- %s\n", indent, line)
	}
	for _, line := range d.Added {
		a.printf("%s+ %s\n", indent, line)
	}
}

// printChange writes the result of a change.
func (a *app) printChange(r *admin.ChangeResponse) {
	switch {
	case !r.Changed:
		a.printf("no change: version %d is already as asked for\n", r.Version)
	case r.Repeated:
		a.printf("version %d was committed by an earlier request with commit id %s\n", r.Version, r.CommitID)
	default:
		a.printf("version %d committed with commit id %s\n", r.Version, r.CommitID)
	}
	p := r.Acceptance
	if p == nil {
		return
	}
	state := "accepted"
	if !r.Accepted() {
		state = "committed, not yet accepted"
	}
	a.printf("%s: %d attesters acknowledged, %d needed; in force on %d of %d nodes\n",
		state, p.Acknowledged, p.Needed, p.InForce, p.Nodes)
}
