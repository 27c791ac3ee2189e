package retry

import "time"

const (
	// hedgeQuantile is the part of the requests that ends before a hedge.
	hedgeQuantile = 0.95
	// quantileGain is the step of the estimate relative to its value.
	quantileGain = 0.02
	// minSamples is the number of durations below which nothing is hedged.
	minSamples = 50
	// minHedgeDelay avoids hedges whose cost exceeds the wait that they save.
	minHedgeDelay = 2 * time.Millisecond
)

// Latency estimates a running quantile of a service's durations in constant
// memory by stochastic approximation.
type Latency struct {
	estimate float64
	samples  int
}

// Observe adds the duration of one completed request.
func (l *Latency) Observe(d time.Duration) {
	l.samples = min(l.samples+1, minSamples)
	switch {
	case l.estimate == 0:
		l.estimate = float64(max(d, 1))
	case float64(d) > l.estimate:
		l.estimate *= 1 + quantileGain*hedgeQuantile
	default:
		l.estimate *= 1 - quantileGain*(1-hedgeQuantile)
	}
}

// Quantile returns the estimate; 0 without any duration.
func (l *Latency) Quantile() time.Duration { return time.Duration(l.estimate) }

// HedgeDelay returns the time after which a request is hedged; false while
// there are too few durations to tell.
func (l *Latency) HedgeDelay() (time.Duration, bool) {
	if l.samples < minSamples {
		return 0, false
	}
	return max(l.Quantile(), minHedgeDelay), true
}
