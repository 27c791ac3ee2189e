package measures

import (
	"context"
	"fmt"
	"math"
	"time"

	"trefoildock.example/detection"
)

const (
	// requestsPerSecond is the request rate of each backend server.
	requestsPerSecond = 5
	// baselineErrorLimit is the number of consecutive errors after which the
	// baseline ejects a backend server.
	baselineErrorLimit = 5
	// hangTargetSeconds is the 2 s deadline of the experiment's requests plus 1 s.
	hangTargetSeconds = 3
	// chunkHours is the duration of one false_ejections simulation in
	// backend-server hours.
	chunkHours = 20.0
	// falseEjectionUnitHours is the number of backend-server hours to which
	// false_ejections is normalized.
	falseEjectionUnitHours = 10_000
	confidenceLevel        = 0.95
)

func detectionRows(w Workload, o Options) []row {
	var rows []row
	for _, c := range []struct {
		name   string
		fault  detection.Fault
		rate   float64
		target float64
	}{
		{"five times slower, 5 requests/s", detection.Slow, requestsPerSecond, 2},
		{"half of the requests fail, 5 requests/s", detection.HalfErrors, requestsPerSecond, 2},
		{"wrong answers, 5 requests/s", detection.HalfWrong, requestsPerSecond, 2},
		{"hangs, 5 requests/s, deadline 2 s", detection.Hang, requestsPerSecond, hangTargetSeconds},
		{"probes only, five times slower", detection.Slow, 0, 5},
		{"probes only, half fail", detection.HalfErrors, 0, 5},
		{"probes only, wrong answers", detection.HalfWrong, 0, 5},
		{"probes only, hangs", detection.Hang, 0, 5},
	} {
		e := Entry{
			Workload: w.Name, Measure: "detection_time", Case: c.name, Unit: "s, p99", Target: c.target, Better: Lower, Seed: o.Seed,
			Note: "worst service size; baseline 5 consecutive errors; 60 s means not found within a minute",
		}
		rows = append(rows, row{entry: e, measure: func(ctx context.Context, e *Entry) error {
			policy, baseline := time.Duration(0), time.Duration(0)
			for i, siblings := range w.serviceSizes() {
				x := detection.Experiment{Siblings: siblings, Rate: c.rate, ReportDelay: w.ZoneRTT / 2, Seed: w.seed(o.Seed, i)}
				policy = max(policy, detection.Quantile(x.DetectionTimes(c.fault, o.DetectionRuns), 0.99))
				x.Baseline = baselineErrorLimit
				baseline = max(baseline, detection.Quantile(x.DetectionTimes(c.fault, o.DetectionRuns/4), 0.99))
			}
			e.Policy, e.Baseline = roundedSeconds(policy), roundedSeconds(baseline)
			return ctx.Err()
		}})
	}
	return rows
}

func falseEjectionRows(w Workload, o Options, deadline time.Time) []row {
	var rows []row
	for _, c := range []struct {
		name   string
		noise  detection.Noise
		target float64
	}{
		{"latency with p99 at 5 times the median", detection.HeavyTail, 1},
		{"bursts", detection.Bursts, 1},
		{"whole service slow", detection.ServiceSlow, 0},
		{"viewpoint fault", detection.ObserverFault, 0},
	} {
		e := Entry{
			Workload: w.Name, Measure: "false_ejections", Case: c.name, Unit: "per 10,000 backend-server hours",
			Target: c.target, Better: Lower, Seed: o.Seed,
		}
		rows = append(rows, row{entry: e, usesRemainingTime: true, measure: func(ctx context.Context, e *Entry) error {
			return measureFalseEjections(ctx, w, o, deadline, c.noise, e)
		}})
	}
	return rows
}

// measureFalseEjections simulates chunks until the deadline, at least one for each
// service size. Every tenth chunk is also simulated with the baseline.
func measureFalseEjections(ctx context.Context, w Workload, o Options, deadline time.Time, noise detection.Noise, e *Entry) error {
	sizes := w.serviceSizes()
	var events, hours, baselineEvents, baselineHours float64
	for chunk := 0; (chunk < len(sizes) || time.Now().Before(deadline)) && ctx.Err() == nil; chunk++ {
		x := detection.Experiment{
			Siblings: sizes[chunk%len(sizes)], Rate: requestsPerSecond,
			ReportDelay: w.ZoneRTT / 2, Seed: w.seed(o.Seed, chunk),
		}
		events += float64(x.FalseEjections(noise, chunkHours))
		hours += chunkHours
		if chunk%10 == 0 {
			x.Baseline = baselineErrorLimit
			baselineEvents += float64(x.FalseEjections(noise, chunkHours))
			baselineHours += chunkHours
		}
	}
	e.Policy, e.UpperBound = roundedValue(events*falseEjectionUnitHours/hours), roundedValue(poissonUpperBound(events)*falseEjectionUnitHours/hours)
	e.Baseline, e.BaselineUpperBound = roundedValue(baselineEvents*falseEjectionUnitHours/baselineHours), roundedValue(poissonUpperBound(baselineEvents)*falseEjectionUnitHours/baselineHours)
	e.Hours = hours
	e.Note = fmt.Sprintf("%.0f events in %.0f hours; baseline 5 consecutive errors, %.0f events in %.0f hours", events, hours, baselineEvents, baselineHours)
	return ctx.Err()
}

// poissonUpperBound returns the upper end of the one-sided 95% confidence
// interval of the mean of a Poisson distribution: the mean for which the
// probability of at most the observed number of events is 5%. It is 3.0 for zero
// events.
func poissonUpperBound(events float64) float64 {
	low, high := events, 10+2*events
	for range 60 {
		mean := (low + high) / 2
		if poissonCDF(events, mean) > 1-confidenceLevel {
			low = mean
		} else {
			high = mean
		}
	}
	return high
}

// poissonCDF returns the probability of at most k events of a Poisson
// distribution with the given mean.
func poissonCDF(k, mean float64) float64 {
	sum := 0.0
	for i := 0.0; i <= k; i++ {
		logFactorial, _ := math.Lgamma(i + 1)
		sum += math.Exp(i*math.Log(mean) - mean - logFactorial)
	}
	return sum
}
