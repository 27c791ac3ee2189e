package entry

import (
	"net/http"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"trefoildock.example/mesh/owner"
)

// Metrics are the counters of an entry.
type Metrics struct {
	// Requests counts the requests read; Succeeded, Refused and Failed their ends.
	Requests, Succeeded, Refused, Failed metrics.Counter
	// Retries and Hedges count repeated attempts.
	Retries, Hedges metrics.Counter
	// Unreachable counts owners that did not answer an offer.
	Unreachable metrics.Counter
	// Unconfirmed counts refusals because the configuration was not confirmed.
	Unconfirmed metrics.Counter
	// Convicted counts refusals of requests that crash backend servers.
	Convicted metrics.Counter
	// Latency is in microseconds, from the complete head to the answer.
	Latency metrics.Histogram
}

// NewMetrics registers the counters.
func NewMetrics(r metrics.Registry) *Metrics {
	counter := func(name string) metrics.Counter { return metrics.NewRegisteredCounter("entry."+name, r) }
	return &Metrics{
		Requests: counter("requests"), Succeeded: counter("succeeded"), Refused: counter("refused"), Failed: counter("failed"),
		Retries: counter("retries"), Hedges: counter("hedges"), Unreachable: counter("owners_unreachable"),
		Unconfirmed: counter("unconfirmed"), Convicted: counter("convicted"),
		Latency: owner.NewLatency("entry.latency_us", r),
	}
}

func (m *Metrics) count(status int, took time.Duration) {
	m.Latency.Update(took.Microseconds())
	switch {
	case status < http.StatusBadRequest:
		m.Succeeded.Inc(1)
	case owner.ImpliesNotRun(status):
		m.Refused.Inc(1)
	default:
		m.Failed.Inc(1)
	}
}
