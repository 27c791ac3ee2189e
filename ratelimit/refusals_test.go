package ratelimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against shares that do not follow the demand. At 80% of the rate
// limit, the fraction of rejected requests must stay within the target.
func TestRejectionsBelowRateLimit(t *testing.T) {
	for _, c := range []struct {
		name            string
		weight          func(team, node int, at time.Duration) float64
		coordinatorLost bool // The coordinator is lost after 20 s.
		tableUp         bool
		target          float64
	}{
		{name: "even", weight: even, target: 0},
		{name: "skewed", weight: skewed, target: 0.001},
		{name: "moving", weight: moving, target: 0.001},
		{name: "even, coordinator lost, table up", weight: even, coordinatorLost: true, tableUp: true, target: 0.01},
		{name: "skewed, coordinator lost, table up", weight: skewed, coordinatorLost: true, tableUp: true, target: 0.01},
		{name: "even, coordinator lost, table down", weight: even, coordinatorLost: true, target: 0.05},
		{name: "skewed, coordinator lost, table down", weight: skewed, coordinatorLost: true, target: 0.05},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(1, teamLimits())
			f.startTraffic(0.8, c.weight)
			f.runUntil(20 * time.Second)
			start := f.counts
			if c.coordinatorLost {
				f.failCoordinator(c.tableUp)
				f.runUntil(30 * time.Second)
				first := f.counts.minus(start)
				t.Log("first 10 s:", first)
				require.LessOrEqual(t, float64(first.refused)/float64(first.offered), c.target)
				start = f.counts
			}
			f.runUntil(60 * time.Second)
			f.requireNoOverspend(t, c.name)
			got := f.counts.minus(start)
			t.Logf("%s; %.2f reports per node per second", got, float64(f.reports)/fleetNodes/60)
			require.LessOrEqual(t, float64(got.refused)/float64(got.offered), c.target)
		})
	}
}
