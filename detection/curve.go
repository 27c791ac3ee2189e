package detection

import (
	"slices"
	"time"
)

// falseEjectionHours is the number of backend-server hours to which false
// ejections refer.
const falseEjectionHours = 10_000

// detectionTimeout is the time after which a fault counts as not detected.
const detectionTimeout = time.Minute

// DetectionTimes returns the sorted detection times of a fault over a number of
// runs. A run in which the fault is not detected within detectionTimeout counts
// with that time.
func (x Experiment) DetectionTimes(fault Fault, runs int) []time.Duration {
	out := make([]time.Duration, 0, runs)
	for run := range runs {
		s := newSimulation(x, uint64(run))
		s.fault = fault
		// The fault starts at a random phase of the report interval.
		s.faultAt = warmUp + time.Duration(s.rng.Int64N(int64(ReportInterval)))
		s.servers[0].faulty = true
		found := time.Duration(0)
		s.onFaulty = func(now time.Duration, server string) {
			if server == s.servers[0].name && now >= s.faultAt && found == 0 {
				found = now - s.faultAt
			}
		}
		s.run(s.faultAt+detectionTimeout, func() bool { return found > 0 })
		if found == 0 {
			found = detectionTimeout
		}
		out = append(out, found)
	}
	slices.Sort(out)
	return out
}

// FalseEjections returns how often healthy backend servers are classified as
// faulty during the given number of backend-server hours after a warm-up.
func (x Experiment) FalseEjections(noise Noise, hours float64) int {
	s := newSimulation(x, 1<<32)
	s.noise = noise
	count := 0
	s.onFaulty = func(now time.Duration, _ string) {
		if now >= warmUp {
			count++
		}
	}
	s.run(warmUp+time.Duration(hours/float64(x.Siblings)*float64(time.Hour)), func() bool { return false })
	return count
}

// Quantile returns the q-quantile of sorted durations without interpolation.
func Quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// CurvePoint holds the detection times and the false ejections at one threshold.
type CurvePoint struct {
	Threshold float64
	// P50 and P99 are quantiles of the detection time.
	P50, P99 time.Duration
	// FalseEjections is the number of false ejections per 10,000 backend-server
	// hours.
	FalseEjections float64
}

// Curve measures the detection time of a fault and the false ejections under
// noise for each threshold.
func (x Experiment) Curve(thresholds []float64, fault Fault, noise Noise, runs int, hours float64) []CurvePoint {
	out := make([]CurvePoint, len(thresholds))
	for i, threshold := range thresholds {
		experiment := x
		experiment.Detector.Threshold, experiment.Detector.SuspectScore = threshold, 0
		times := experiment.DetectionTimes(fault, runs)
		out[i] = CurvePoint{
			Threshold:      threshold,
			P50:            Quantile(times, 0.5),
			P99:            Quantile(times, 0.99),
			FalseEjections: float64(experiment.FalseEjections(noise, hours)) * falseEjectionHours / hours,
		}
	}
	return out
}
