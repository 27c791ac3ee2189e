package detection

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against evidence for a bare majority of slow servers, which arises if
// the reference lies between slow and normal.
func TestBareMajorityIsNoEvidence(t *testing.T) {
	const servers, slow = 9, 5
	d := NewDetector(Config{})
	for report := range 40 {
		now := at(time.Duration(report) * ReportInterval)
		for i := range servers {
			s := BackendStatus{BackendServer: strconv.Itoa(i), Requests: 3, LatencyP50: medianLatency, InService: true}
			if i < slow {
				s.LatencyP50 *= slowFactor
			}
			d.Observe(now, s)
		}
		for _, v := range d.Evaluate(now) {
			require.Equal(t, Healthy, v.Level, "report %d, server %s, score %v", report, v.BackendServer, v.Score)
		}
	}
}

// Guards against a failed request without confirmation probes while other
// requests arrive, and against confirmation probes that do not stop.
func TestFailedRequestIsConfirmed(t *testing.T) {
	w := NewWindow(at(0), "a", "zone")
	now := at(time.Second)
	w.End(now, w.Begin(now), OK)
	require.False(t, w.ProbeDue(now.Add(confirmInterval)))
	w.End(now, w.Begin(now), Error)
	for range confirmations {
		now = now.Add(confirmInterval)
		require.True(t, w.ProbeDue(now))
		w.End(now, w.BeginProbe(now), OK)
		w.End(now, w.Begin(now), OK)
	}
	require.False(t, w.ProbeDue(now.Add(confirmInterval)))
}

// Guards against a working health endpoint that outweighs failed requests.
func TestHealthyProbesDoNotHideErrors(t *testing.T) {
	d := NewDetector(Config{})
	level := Healthy
	for report := range 10 {
		now := at(time.Duration(report) * ReportInterval)
		for i := range 6 {
			s := BackendStatus{BackendServer: strconv.Itoa(i), Requests: 3, LatencyP50: medianLatency, InService: true}
			if i == 0 {
				s.Requests, s.Probes, s.Errors = 2+confirmations, confirmations, 1
			}
			d.Observe(now, s)
		}
		level = max(level, d.Evaluate(now)[0].Level)
	}
	require.Equal(t, Faulty, level)
}
