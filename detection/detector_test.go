package detection

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against evidence that a bare majority of slow servers gathers against
// itself, because the reference lies between slow and normal.
func TestBareMajorityIsNoEvidence(t *testing.T) {
	const servers, slow = 9, 5
	d := NewDetector(Config{})
	for report := range 40 {
		now := at(time.Duration(report) * ReportInterval)
		for i := range servers {
			s := BackendStatus{BackendServer: strconv.Itoa(i), Requests: 3, LatencyP50: fakeMedian, InService: true}
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
