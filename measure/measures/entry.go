// Package measures runs the experiments behind the table of measures of the
// design page: detection_time, false_ejections, worst_team, wrongful_refusals,
// overspend and zone_move, for each workload.
//
// The experiments drive the decision libraries of the node in virtual time. A
// row that cannot be measured does not stop the others; its entry has no policy
// value and a note that says why.
package measures

import (
	"fmt"
	"io"
	"math"
	"strconv"
	"text/tabwriter"
	"time"
)

// Better says which direction of a measure is an improvement.
type Better string

// Directions of improvement.
const (
	Lower  Better = "lower"
	Higher Better = "higher"
)

// Entry is one row of measures.json.
type Entry struct {
	Workload string `json:"workload"`
	Measure  string `json:"measure"`
	Case     string `json:"case"`
	Unit     string `json:"unit"`
	// Policy and Baseline are null if they were not measured.
	Policy   *float64 `json:"policy"`
	Baseline *float64 `json:"baseline"`
	Target   float64  `json:"target"`
	Better   Better   `json:"better"`
	Seed     uint64   `json:"seed"`
	// UpperBound is the largest value that the run does not exclude at 95%
	// confidence; BaselineUpperBound is the same for the baseline.
	UpperBound         *float64 `json:"upper_bound,omitempty"`
	BaselineUpperBound *float64 `json:"baseline_upper_bound,omitempty"`
	// Hours is the simulated time in backend-server hours of measures that have it.
	Hours float64 `json:"hours,omitempty"`
	// Note says how the figure came about or why it is missing.
	Note string `json:"note,omitempty"`
}

// IsMet reports whether the policy was measured and reached the target.
func (e Entry) IsMet() bool {
	if e.Policy == nil {
		return false
	}
	if e.Better == Higher {
		return *e.Policy >= e.Target
	}
	return *e.Policy <= e.Target
}

// Result is the verdict on an entry as printed in the table.
func (e Entry) Result() string {
	switch {
	case e.Policy == nil:
		return "not measured"
	case !e.IsMet():
		return "missed"
	case e.UpperBound != nil && *e.UpperBound > e.Target:
		return "met, not proven"
	default:
		return "met"
	}
}

// failed returns the entry without values, with the reason as its note.
func (e Entry) failed(err error) Entry {
	e.Policy, e.Baseline, e.UpperBound, e.BaselineUpperBound = nil, nil, nil, nil
	e.Note = "not measured: " + err.Error()
	return e
}

// value rounds to 1e-6 and returns a pointer for an Entry.
func value(v float64) *float64 {
	const digits = 1e6
	v = math.Round(v*digits) / digits
	return &v
}

// seconds returns a duration in seconds for an Entry.
func seconds(d time.Duration) *float64 { return value(d.Seconds()) }

// Table prints entries with aligned columns.
func Table(out io.Writer, entries []Entry) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "workload\tmeasure\tcase\tunit\tpolicy\t(95% bound)\tbaseline\ttarget\tbetter\tseed\tresult")
	for _, e := range entries {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\n", e.Workload, e.Measure, e.Case, e.Unit,
			text(e.Policy), text(e.UpperBound), text(e.Baseline), text(&e.Target), e.Better, e.Seed, e.Result())
	}
	return w.Flush()
}

func text(v *float64) string {
	if v == nil {
		return "-"
	}
	return strconv.FormatFloat(*v, 'g', 5, 64)
}
