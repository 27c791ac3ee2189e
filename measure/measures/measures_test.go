package measures

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// Guards against an upper bound that is too small for the number of observed
// events.
func TestPoissonUpperBound(t *testing.T) {
	for events, bound := range map[float64]float64{0: 2.996, 1: 4.744, 10: 16.962} {
		require.InDelta(t, bound, poissonUpperBound(events), 0.001)
	}
}

// Guards against an experiment that fails or panics and thereby ends the run or
// leaves a value in its entry.
func TestFailedRowHasNoteAndNoValues(t *testing.T) {
	entry := Entry{Workload: "ffon", Measure: "worst_team", Target: 0.99, Better: Higher}
	for name, measure := range map[string]func(context.Context, *Entry) error{
		"panic": func(_ context.Context, e *Entry) error { e.Policy = roundedValue(1); panic("out of range") },
		"error": func(_ context.Context, e *Entry) error { e.Policy = roundedValue(1); return errors.New("out of range") },
	} {
		t.Run(name, func(t *testing.T) {
			e := row{entry: entry, measure: measure}.run(t.Context())
			require.Nil(t, e.Policy)
			require.Contains(t, e.Note, "out of range")
			require.Equal(t, "not measured", e.Result())
			text, err := json.Marshal(e)
			require.NoError(t, err)
			require.Contains(t, string(text), `"policy":null`)
		})
	}
}

// Guards against a result that reports a missed target as met, for either
// direction.
func TestResultComparesWithTarget(t *testing.T) {
	for _, c := range []struct {
		policy, target float64
		better         Direction
		want           string
	}{
		{0.98, 0.99, Higher, "missed"},
		{0.99, 0.99, Higher, "met"},
		{2.01, 2, Lower, "missed"},
		{0, 0, Lower, "met"},
	} {
		require.Equal(t, c.want, Entry{Policy: roundedValue(c.policy), Target: c.target, Better: c.better}.Result())
	}
	unproven := Entry{Policy: roundedValue(0), UpperBound: roundedValue(3), Target: 1, Better: Lower}
	require.Equal(t, "met, not proven", unproven.Result())
}

// Guards against a workload that lacks rows of the design page.
func TestWorkloadHasAllRows(t *testing.T) {
	w := Workloads()[0]
	o := Options{Seed: 1}
	rows := [][]row{detectionRows(w, o), falseEjectionRows(w, o, time.Now()), worstTeamRows(w, o), refusalRows(w, o), overspendRows(w, o), zoneMoveRows(w, o, zoneMoves{})}
	var counts []int
	var text strings.Builder
	for _, list := range rows {
		counts = append(counts, len(list))
		for _, r := range list {
			require.Equal(t, w.Name, r.entry.Workload)
			require.NoError(t, WriteTable(&text, []Entry{r.entry}))
			require.Contains(t, text.String(), r.entry.Case)
		}
	}
	require.Equal(t, []int{8, 4, 2, 5, 6, 3}, counts)
}
