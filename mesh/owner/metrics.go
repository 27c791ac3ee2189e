package owner

import metrics "github.com/rcrowley/go-metrics"

// Metrics are the counters of an owner.
type Metrics struct {
	// Dispatched counts requests sent to the backend server, Dials its new
	// connections, Suspicions the changes of its health, and Crashes its restarts
	// with requests in flight.
	Dispatched, Dials, Suspicions, Crashes metrics.Counter
	// BackendLatency is in microseconds.
	BackendLatency metrics.Histogram
}

// sampleSize and sampleAlpha are the values of an exponentially decaying sample
// that favours the last five minutes.
const (
	sampleSize  = 256
	sampleAlpha = 0.015
)

// NewMetrics registers the counters.
func NewMetrics(r metrics.Registry) *Metrics {
	return &Metrics{
		Dispatched:     metrics.NewRegisteredCounter("owner.dispatched", r),
		Dials:          metrics.NewRegisteredCounter("owner.backend_connections", r),
		Suspicions:     metrics.NewRegisteredCounter("owner.suspicion_changes", r),
		Crashes:        metrics.NewRegisteredCounter("owner.crashes", r),
		BackendLatency: NewLatency("owner.backend_latency_us", r),
	}
}

// NewLatency registers a histogram of a latency in microseconds.
func NewLatency(name string, r metrics.Registry) metrics.Histogram {
	return metrics.NewRegisteredHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
}
