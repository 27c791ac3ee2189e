package fleet

import metrics "github.com/rcrowley/go-metrics"

// Metrics holds the metrics of a State.
type Metrics struct {
	// ConfigsSent counts the configurations sent to other nodes and ConfigBytesSent
	// their size in bytes.
	ConfigsSent, ConfigBytesSent metrics.Counter
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion metrics.Gauge
}

// NewMetrics returns metrics that are registered in r.
func NewMetrics(r metrics.Registry) *Metrics {
	return &Metrics{
		ConfigsSent: metrics.NewRegisteredCounter("fleet.configs_sent", r), ConfigBytesSent: metrics.NewRegisteredCounter("fleet.config_bytes_sent", r),
		ConfigVersion: metrics.NewRegisteredGauge("fleet.config_version", r),
	}
}
