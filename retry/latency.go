package retry

import "time"

const (
	// hedgeQuantile is the fraction of requests that complete before the hedge
	// delay.
	hedgeQuantile = 0.95
	// quantileStep is the adjustment of the estimate per sample, relative to
	// the estimate.
	quantileStep = 0.02
	// minSamples is the number of samples below which no request is hedged.
	minSamples = 50
	// minHedgeDelay is a lower bound of the hedge delay: a hedge of a faster
	// request costs more than the wait that it saves.
	minHedgeDelay = 2 * time.Millisecond
)

// Latency estimates a quantile of the request durations of a service by
// stochastic approximation, in constant memory.
type Latency struct {
	estimate float64 // in nanoseconds
	samples  int
}

// Observe adds the duration of one completed request.
func (l *Latency) Observe(d time.Duration) {
	l.samples = min(l.samples+1, minSamples)
	switch {
	case l.estimate == 0:
		l.estimate = float64(max(d, 1))
	case float64(d) > l.estimate:
		l.estimate *= 1 + quantileStep*hedgeQuantile
	default:
		l.estimate *= 1 - quantileStep*(1-hedgeQuantile)
	}
}

// Quantile returns the estimated quantile, or 0 before the first sample.
func (l *Latency) Quantile() time.Duration { return time.Duration(l.estimate) }

// HedgeDelay returns the delay after which a request is hedged. It returns
// false while there are fewer than minSamples samples.
func (l *Latency) HedgeDelay() (time.Duration, bool) {
	if l.samples < minSamples {
		return 0, false
	}
	return max(l.Quantile(), minHedgeDelay), true
}
