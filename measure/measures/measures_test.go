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

// Guards against a bound that promises more than the simulated hours support.
func TestPoissonUpperBound(t *testing.T) {
	for events, bound := range map[float64]float64{0: 2.996, 1: 4.744, 10: 16.962} {
		require.InDelta(t, bound, poissonUpperBound(events), 0.001)
	}
}

// Guards against one faulty experiment that ends the run or leaves a value in
// an entry that was not measured.
func TestFaultyRowIsNoted(t *testing.T) {
	entry := Entry{Workload: "ffon", Measure: "worst_team", Target: 0.99, Better: Higher}
	for name, measure := range map[string]func(context.Context, *Entry) error{
		"panic": func(_ context.Context, e *Entry) error { e.Policy = value(1); panic("out of range") },
		"error": func(_ context.Context, e *Entry) error { e.Policy = value(1); return errors.New("out of range") },
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

// Guards against a table that calls a missed target met, in either direction.
func TestResult(t *testing.T) {
	for _, c := range []struct {
		policy, target float64
		better         Better
		want           string
	}{
		{0.98, 0.99, Higher, "missed"},
		{0.99, 0.99, Higher, "met"},
		{2.01, 2, Lower, "missed"},
		{0, 0, Lower, "met"},
	} {
		require.Equal(t, c.want, Entry{Policy: value(c.policy), Target: c.target, Better: c.better}.Result())
	}
	unproven := Entry{Policy: value(0), UpperBound: value(3), Target: 1, Better: Lower}
	require.Equal(t, "met, not proven", unproven.Result())
}

// Guards against rows of the design page that a workload lacks.
func TestRowsOfEachWorkload(t *testing.T) {
	w := Workloads()[0]
	o := Options{Seed: 1}
	rows := [][]row{detectionRows(w, o), falseEjectionRows(w, o, time.Now()), worstTeamRows(w, o), refusalRows(w, o), overspendRows(w, o), zoneMoveRows(w, o, zoneMoves{})}
	var counts []int
	var text strings.Builder
	for _, list := range rows {
		counts = append(counts, len(list))
		for _, r := range list {
			require.Equal(t, w.Name, r.entry.Workload)
			require.NoError(t, Table(&text, []Entry{r.entry}))
			require.Contains(t, text.String(), r.entry.Case)
		}
	}
	require.Equal(t, []int{8, 4, 2, 5, 6, 3}, counts)
}
