package ratelimit

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// requireNoOverspend requires for every interval between two admissions of a
// team that the number of admissions is at most rate times interval plus burst.
func (f *fleet) requireNoOverspend(t *testing.T, scenario string) {
	t.Helper()
	require.Zero(t, f.violations, scenario)
	for team, times := range f.admitted {
		slices.Sort(times)
		limit, lowest := f.limits[team], math.Inf(1)
		for i, at := range times {
			allowance := limit.perSecond() * at.Seconds()
			lowest = min(lowest, float64(i)-allowance)
			require.LessOrEqual(t, float64(i+1)-allowance-lowest, float64(limit.Burst)+1e-6,
				"%s: team %s at %v admitted %d", scenario, team, at, i+1)
		}
	}
}

// requireService requires that every team is served again after the faults end.
func (f *fleet) requireService(t *testing.T, scenario string) {
	t.Helper()
	f.lossProbability, f.duplicateProbability, f.delayProbability, f.lateVersionProbability = 0, 0, 0, 0
	f.runUntil(f.now + 30*time.Second)
	before := map[string]int{}
	for team := range f.limits {
		before[team] = len(f.admitted[team])
	}
	f.runUntil(f.now + 10*time.Second)
	for team, limit := range f.limits {
		got := len(f.admitted[team]) - before[team]
		require.Greater(t, float64(got), 0.8*10*limit.perSecond(), "%s: team %s", scenario, team)
	}
}
