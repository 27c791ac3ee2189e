package detection

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var startTime = time.Unix(1_800_000_000, 0)

// detectorBench feeds a detector with configurable reports of a few servers.
type detectorBench struct {
	detector *Detector
	now      time.Time
	servers  map[string]*BackendStatus
}

func newDetectorBench(n int) *detectorBench {
	b := &detectorBench{detector: NewDetector(Config{}), now: startTime, servers: make(map[string]*BackendStatus)}
	for i := range n {
		name := string(rune('a' + i))
		b.servers[name] = &BackendStatus{
			BackendServer: name, Incarnation: "1", Requests: 10, LatencyP50: 20 * time.Millisecond, InService: true,
		}
	}
	return b
}

// report sends n reports of every server at intervals of 500 ms and returns the
// last assessments by name.
func (b *detectorBench) report(n int) map[string]Assessment {
	out := make(map[string]Assessment)
	for range n {
		b.now = b.now.Add(ReportInterval)
		for i := range len(b.servers) + 26 {
			if s := b.servers[string(rune('a'+i))]; s != nil {
				b.detector.Observe(b.now, *s)
			}
		}
		for _, v := range b.detector.Evaluate(b.now) {
			out[v.BackendServer] = v
		}
	}
	return out
}

// Guards against classifying a server whose owner stopped reporting, and
// against comparing other servers with its last report.
func TestMissingReports(t *testing.T) {
	b := newDetectorBench(5)
	b.servers["a"].Errors = 8
	require.Equal(t, Faulty, b.report(4)["a"].Level)
	stopped := b.servers["a"]
	delete(b.servers, "a")
	require.Equal(t, Faulty, b.report(3)["a"].Level, "a report with an age of 1.5 s is valid")
	require.Equal(t, Unknown, b.report(1)["a"].Level, "a report with an age of 2 s is expired")
	require.Zero(t, b.report(1)["a"].Score)

	// The other servers must not be compared with expired reports.
	b = newDetectorBench(5)
	for _, name := range []string{"a", "b", "c"} {
		b.servers[name].LatencyP50 = time.Second
	}
	b.report(1)
	for _, name := range []string{"a", "b", "c"} {
		delete(b.servers, name)
	}
	b.report(10)
	_, n := b.detector.siblingMedian(b.detector.members["d"], func(m *member) (float64, bool) { return m.latencyCenters[0], m.hasLatencyCenter[0] })
	require.Equal(t, 1, n)
	b.servers["a"] = stopped
	b.detector.Remove("b")
	require.NotContains(t, b.report(1), "b")
}

// Guards against evidence that persists across a restart, an ejection or a time
// out of service.
func TestEvidenceEndsWithItsCause(t *testing.T) {
	for name, change := range map[string]func(*BackendStatus){
		"incarnation":    func(s *BackendStatus) { s.Incarnation = "2" },
		"ejected":        func(s *BackendStatus) { s.Ejected = true },
		"out of service": func(s *BackendStatus) { s.InService = false },
	} {
		t.Run(name, func(t *testing.T) {
			b := newDetectorBench(5)
			a := b.servers["a"]
			a.Errors = 8
			require.Equal(t, Faulty, b.report(4)["a"].Level)
			change(a)
			a.Errors = 0
			require.Equal(t, Healthy, b.report(1)["a"].Level)
			require.Zero(t, b.detector.members["a"].errorRate, "earlier reports must be discarded as well")
		})
	}
}

// Guards against adding evidence for a server without traffic.
func TestEjectedServerIsNotCompared(t *testing.T) {
	for _, inService := range []bool{true, false} {
		b := newDetectorBench(5)
		a := b.servers["a"]
		a.Errors, a.Ejected, a.InService = 8, inService, inService
		require.Equal(t, Healthy, b.report(10)["a"].Level)
	}
}

// Guards against ejections while more than half of the servers are suspected,
// and against a majority rule that already applies to half of them.
func TestMajorityRule(t *testing.T) {
	for suspected, want := range map[int]Level{2: Faulty, 3: Faulty, 4: Suspected} {
		t.Run(fmt.Sprint(suspected), func(t *testing.T) {
			b := newDetectorBench(6)
			for i := range suspected {
				// The scores are set below, so that only the majority rule decides.
				b.servers[string(rune('a'+i))].Errors = 0
			}
			b.report(1)
			for i := range suspected {
				m := b.detector.members[string(rune('a'+i))]
				m.scores[i%kindCount] = b.detector.cfg.Threshold * scoreCeiling
			}
			got := 0
			b.detector.assessments(b.now) // Starts the delay for common causes.
			for _, v := range b.detector.assessments(b.now.Add(commonCauseDelay)) {
				if v.Level == want {
					got++
				}
				if want == Suspected {
					require.NotEqual(t, Faulty, v.Level)
				}
			}
			require.Equal(t, suspected, got)
		})
	}
}

// Guards against a majority rule that counts servers without reports or ejected
// servers.
func TestMajorityIsOfComparedServers(t *testing.T) {
	b := newDetectorBench(6)
	for _, name := range []string{"d", "e", "f"} {
		b.servers[name].Ejected = true
	}
	b.report(1)
	for _, name := range []string{"a", "b"} {
		b.detector.members[name].scores[kindErrors] = 27
	}
	b.detector.members["b"].scores[kindErrors], b.detector.members["b"].scores[kindWrong] = 0, 27
	b.detector.assessments(b.now)
	for _, v := range b.detector.assessments(b.now.Add(commonCauseDelay)) {
		require.NotEqual(t, Faulty, v.Level, "two of three compared servers are suspected")
	}
}

// Guards against hanging requests that are not detected while other requests
// finish or none does, against a classification after one report, and against
// treating long requests of the whole service as hanging.
func TestHangEvidence(t *testing.T) {
	for name, test := range map[string]struct {
		requests     uint32
		own, others  time.Duration
		othersMedian time.Duration
		rounds       int
		want         Level
	}{
		"nothing finishes":             {0, 600 * time.Millisecond, 0, 20 * time.Millisecond, 3, Faulty},
		"nothing finishes, two rounds": {0, 600 * time.Millisecond, 0, 20 * time.Millisecond, 2, Suspected},
		"others finish":                {10, 600 * time.Millisecond, 0, 20 * time.Millisecond, 6, Faulty},
		"others finish, five rounds":   {10, 600 * time.Millisecond, 0, 20 * time.Millisecond, 5, Suspected},
		"young":                        {0, 499 * time.Millisecond, 0, 20 * time.Millisecond, 20, Healthy},
		"siblings' requests are old":   {0, 2 * time.Second, 450 * time.Millisecond, 20 * time.Millisecond, 20, Healthy},
		"older than five times":        {0, 2 * time.Second, 390 * time.Millisecond, 20 * time.Millisecond, 3, Faulty},
		"requests take long":           {0, 900 * time.Millisecond, 0, 50 * time.Millisecond, 20, Healthy},
		"older than twenty medians":    {0, 1100 * time.Millisecond, 0, 50 * time.Millisecond, 3, Faulty},
	} {
		t.Run(name, func(t *testing.T) {
			b := newDetectorBench(5)
			for _, s := range b.servers {
				s.OldestAge, s.LatencyP50 = test.others, test.othersMedian
			}
			a := b.servers["a"]
			a.OldestAge, a.Requests = test.own, test.requests
			if test.requests == 0 {
				a.LatencyP50 = 0
			}
			v := b.report(test.rounds)["a"]
			require.Equal(t, test.want, v.Level, "score %v", v.Score)
			if test.want == Faulty {
				require.Equal(t, "hang", v.Cause)
				a.OldestAge = 0
				require.Equal(t, Suspected, b.report(1)["a"].Level, "the evidence decreases when the request ends")
			}
		})
	}
}

// Guards against a trial that a slow server passes, and against a trial that a
// healthy server with a heavy latency tail fails.
func TestIsSlow(t *testing.T) {
	b := newDetectorBench(5)
	a := b.servers["a"]
	a.Ejected = true
	a.LatencyP50 = 50 * time.Millisecond
	b.report(2)
	require.False(t, b.detector.IsSlow("a"))
	a.LatencyP50 = 70 * time.Millisecond
	b.report(4)
	require.True(t, b.detector.IsSlow("a"))
	require.False(t, b.detector.IsSlow("unknown"))
}
