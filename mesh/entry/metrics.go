package entry

import (
	"net/http"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"trefoildock.example/mesh/owner"
)

// Metrics holds the metrics of an Entry.
type Metrics struct {
	// Requests counts the received requests; Succeeded, Refused and Failed their results.
	Requests, Succeeded, Refused, Failed metrics.Counter
	// Retries and Hedges count the additional attempts.
	Retries, Hedges metrics.Counter
	// Unreachable counts the owners that did not reply to an offer.
	Unreachable metrics.Counter
	// StaleConfig counts refusals because of a stale configuration.
	StaleConfig metrics.Counter
	// CrashingRequests counts refusals of requests that crash backend servers.
	CrashingRequests metrics.Counter
	// Latency is the time from the complete request head to the response, in microseconds.
	Latency metrics.Histogram
}

// NewMetrics returns metrics that are registered in r.
func NewMetrics(r metrics.Registry) *Metrics {
	counter := func(name string) metrics.Counter { return metrics.NewRegisteredCounter("entry."+name, r) }
	return &Metrics{
		Requests: counter("requests"), Succeeded: counter("succeeded"), Refused: counter("refused"), Failed: counter("failed"),
		Retries: counter("retries"), Hedges: counter("hedges"), Unreachable: counter("owners_unreachable"),
		StaleConfig: counter("unconfirmed"), CrashingRequests: counter("convicted"),
		Latency: owner.NewLatency("entry.latency_us", r),
	}
}

func (m *Metrics) record(status int, latency time.Duration) {
	m.Latency.Update(latency.Microseconds())
	switch {
	case status < http.StatusBadRequest:
		m.Succeeded.Inc(1)
	case owner.ImpliesNotRun(status):
		m.Refused.Inc(1)
	default:
		m.Failed.Inc(1)
	}
}
