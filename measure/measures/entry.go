// Package measures runs the experiments behind the table of measures of the
// design page: detection_time, false_ejections, worst_team, wrongful_refusals,
// overspend and zone_move, for each workload.
//
// The experiments run the decision libraries of the node in virtual time. A
// failed experiment does not stop the others; its entry has no policy value and
// a note with the reason.
package measures

import (
	"fmt"
	"io"
	"math"
	"strconv"
	"text/tabwriter"
	"time"
)

// Direction is the direction in which a measure improves.
type Direction string

// Directions of improvement.
const (
	Lower  Direction = "lower"
	Higher Direction = "higher"
)

// Entry is one row of measures.json.
type Entry struct {
	Workload string `json:"workload"`
	Measure  string `json:"measure"`
	Case     string `json:"case"`
	Unit     string `json:"unit"`
	// Policy and Baseline are null if they were not measured.
	Policy   *float64  `json:"policy"`
	Baseline *float64  `json:"baseline"`
	Target   float64   `json:"target"`
	Better   Direction `json:"better"`
	Seed     uint64    `json:"seed"`
	// UpperBound is the upper confidence bound of the policy value at 95%;
	// BaselineUpperBound is that of the baseline.
	UpperBound         *float64 `json:"upper_bound,omitempty"`
	BaselineUpperBound *float64 `json:"baseline_upper_bound,omitempty"`
	// Hours is the simulated time in backend-server hours; it is 0 for measures
	// that are not rates over time.
	Hours float64 `json:"hours,omitempty"`
	// Note describes how the value was obtained or why it is missing.
	Note string `json:"note,omitempty"`
}

// MeetsTarget reports whether the policy was measured and reached the target.
func (e Entry) MeetsTarget() bool {
	if e.Policy == nil {
		return false
	}
	if e.Better == Higher {
		return *e.Policy >= e.Target
	}
	return *e.Policy <= e.Target
}

// Result returns the comparison of the policy with the target as printed in the
// table.
func (e Entry) Result() string {
	switch {
	case e.Policy == nil:
		return "not measured"
	case !e.MeetsTarget():
		return "missed"
	case e.UpperBound != nil && *e.UpperBound > e.Target:
		return "met, not proven"
	default:
		return "met"
	}
}

// withError returns the entry without values and with the error as its note.
func (e Entry) withError(err error) Entry {
	e.Policy, e.Baseline, e.UpperBound, e.BaselineUpperBound = nil, nil, nil, nil
	e.Note = "not measured: " + err.Error()
	return e
}

// roundedValue returns a pointer to v rounded to a multiple of 1e-6.
func roundedValue(v float64) *float64 {
	const digits = 1e6
	v = math.Round(v*digits) / digits
	return &v
}

// roundedSeconds returns a pointer to a duration in seconds, rounded like a
// roundedValue.
func roundedSeconds(d time.Duration) *float64 { return roundedValue(d.Seconds()) }

// WriteTable writes entries as a table with aligned columns.
func WriteTable(out io.Writer, entries []Entry) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "workload\tmeasure\tcase\tunit\tpolicy\t(95% bound)\tbaseline\ttarget\tbetter\tseed\tresult")
	for _, e := range entries {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\n", e.Workload, e.Measure, e.Case, e.Unit,
			formatValue(e.Policy), formatValue(e.UpperBound), formatValue(e.Baseline), formatValue(&e.Target), e.Better, e.Seed, e.Result())
	}
	return w.Flush()
}

func formatValue(v *float64) string {
	if v == nil {
		return "-"
	}
	return strconv.FormatFloat(*v, 'g', 5, 64)
}
