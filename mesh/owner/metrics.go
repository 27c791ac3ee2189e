package owner

import metrics "github.com/rcrowley/go-metrics"

// Metrics holds the metrics of an Owner.
type Metrics struct {
	// Dispatched counts the requests sent to the backend server, Dials the new
	// connections to it, SuspicionChanges the starts and ends of suspicions, and Crashes
	// its restarts with requests in flight. HealthChecks counts the health checks of it.
	Dispatched, Dials, SuspicionChanges, Crashes, HealthChecks metrics.Counter
	// BackendLatency is the latency of the backend server in microseconds.
	BackendLatency metrics.Histogram
}

// sampleSize and sampleAlpha configure an exponentially decaying sample that is
// biased towards the last five minutes.
const (
	sampleSize  = 256
	sampleAlpha = 0.015
)

// NewMetrics returns metrics that are registered in r.
func NewMetrics(r metrics.Registry) *Metrics {
	return &Metrics{
		Dispatched:       metrics.NewRegisteredCounter("owner.dispatched", r),
		Dials:            metrics.NewRegisteredCounter("owner.backend_connections", r),
		SuspicionChanges: metrics.NewRegisteredCounter("owner.suspicion_changes", r),
		Crashes:          metrics.NewRegisteredCounter("owner.crashes", r),
		HealthChecks:     metrics.NewRegisteredCounter("owner.health_checks", r),
		BackendLatency:   NewLatency("owner.backend_latency_us", r),
	}
}

// NewLatency returns a histogram of a latency in microseconds that is registered in r.
func NewLatency(name string, r metrics.Registry) metrics.Histogram {
	return metrics.NewRegisteredHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
}
