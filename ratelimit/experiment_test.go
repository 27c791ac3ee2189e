package ratelimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a calculation that reports no overspend for admissions above
// the limit.
func TestOverspendIsDetected(t *testing.T) {
	f := newFleet(1, map[string]Limit{"team": {Rate: 10 * PerSecond, Burst: 2}})
	at := func(offsets ...time.Duration) map[string][]time.Duration {
		return map[string][]time.Duration{"team": offsets}
	}
	require.Zero(t, f.overspend(at(0, 0, 100*ms, 200*ms)))
	require.InDelta(t, 1, f.overspend(at(0, 0, 0)), 1e-9)
	require.InDelta(t, 1, f.overspend(at(0, 5*time.Second, 5*time.Second, 5*time.Second)), 1e-9)
}

// Guards against granting a share twice while messages are lost in one
// direction between availability zones.
func TestPartitionsNeverOverspend(t *testing.T) {
	for seed := range uint64(2) {
		got := Experiment{Demand: Moving, Disturbance: Partitions, Load: 2, WarmUp: 5 * time.Second, Duration: 15 * time.Second, Seed: seed}.Run()
		t.Logf("seed %d: %+v", seed, got)
		require.Zero(t, got.Overspend, "seed %d", seed)
		require.Zero(t, got.Violations, "seed %d", seed)
	}
}
