package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const floodingTeam = 1

// Guards against a team that reduces the throughput of other teams by sending
// ten times its rate, also while one backend server is cold.
func TestFloodingTeam(t *testing.T) {
	for _, tc := range []struct {
		name   string
		cold   []int
		target float64
	}{{"flood", nil, 0.99}, {"flood and cold start", []int{0}, 0.95}} {
		t.Run(tc.name, func(t *testing.T) {
			var share [2]float64
			for k, fifo := range []bool{false, true} {
				share[k] = 1
				for seed := range uint64(3) {
					x := NewExperiment(6, 0.75, seed)
					x.FIFO = fifo
					x.Rates[floodingTeam] *= 10
					x.ColdRestartAt, x.Cold = 10*time.Second, tc.cold
					x.Run()
					share[k] = min(share[k], x.MinServedFraction(floodingTeam))
				}
			}
			t.Logf("smallest served fraction of a team: %.4f, FIFO baseline %.4f", share[0], share[1])
			require.GreaterOrEqual(t, share[0], tc.target)
			require.Less(t, share[1], share[0])
		})
	}
}

// Guards against a service that does not recover from overload after a cold
// start of all its backend servers.
func TestFullColdStart(t *testing.T) {
	for _, servers := range []int{6, 9} {
		for seed := range uint64(3) {
			var recovery [2]int
			for k, fifo := range []bool{false, true} {
				x := NewExperiment(servers, 0.7, seed)
				x.FIFO = fifo
				x.ColdRestartAt = 5 * time.Second
				for i := range servers {
					x.Cold = append(x.Cold, i)
				}
				x.Run()
				recovery[k] = x.RecoverySeconds()
			}
			t.Logf("%d backend servers, seed %d: recovered after %d s, FIFO baseline %d s (-1 = not within 25 s)", servers, seed, recovery[0], recovery[1])
			require.NotEqual(t, -1, recovery[0])
			require.LessOrEqual(t, recovery[0], 10)
			require.True(t, recovery[1] == -1 || recovery[1] > recovery[0])
		}
	}
}
