package measures

import (
	"context"
	"fmt"
	"math"
	"time"

	"trefoildock.example/detection"
)

const (
	// requestsPerSecond is the traffic of each backend server.
	requestsPerSecond = 5
	// consecutiveErrors is the limit of the baseline.
	consecutiveErrors = 5
	// hangTarget is the deadline of the experiment's requests plus 1 s.
	hangTarget = 3
	// chunkHours is the length of one simulation of false_ejections.
	chunkHours = 20.0
	// hoursPer is the unit of false_ejections in backend-server hours.
	hoursPer   = 10_000
	confidence = 0.95
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
		{"hangs, 5 requests/s, deadline 2 s", detection.Hang, requestsPerSecond, hangTarget},
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
			for i, siblings := range w.sizes() {
				x := detection.Experiment{Siblings: siblings, Rate: c.rate, ReportDelay: w.BetweenZones / 2, Seed: w.seed(o.Seed, i)}
				policy = max(policy, detection.Quantile(x.DetectionTimes(c.fault, o.DetectionRuns), 0.99))
				x.Baseline = consecutiveErrors
				baseline = max(baseline, detection.Quantile(x.DetectionTimes(c.fault, o.DetectionRuns/4), 0.99))
			}
			e.Policy, e.Baseline = seconds(policy), seconds(baseline)
			return ctx.Err()
		}})
	}
	return rows
}

func falseEjectionRows(w Workload, o Options, end time.Time) []row {
	var rows []row
	for _, c := range []struct {
		name   string
		noise  detection.Noise
		target float64
	}{
		{"latency with p99 at 5 times the median", detection.HeavyTail, 1},
		{"bursts", detection.Bursts, 1},
		{"whole service slow", detection.ServiceSlow, 0},
		{"viewpoint fault", detection.Viewpoint, 0},
	} {
		e := Entry{
			Workload: w.Name, Measure: "false_ejections", Case: c.name, Unit: "per 10,000 backend-server hours",
			Target: c.target, Better: Lower, Seed: o.Seed,
		}
		rows = append(rows, row{entry: e, untilEnd: true, measure: func(ctx context.Context, e *Entry) error {
			return falseEjections(ctx, w, o, end, c.noise, e)
		}})
	}
	return rows
}

// falseEjections simulates chunks until the end, at least one for each size, a
// tenth of them with the baseline.
func falseEjections(ctx context.Context, w Workload, o Options, end time.Time, noise detection.Noise, e *Entry) error {
	sizes := w.sizes()
	var events, hours, baselineEvents, baselineHours float64
	for chunk := 0; (chunk < len(sizes) || time.Now().Before(end)) && ctx.Err() == nil; chunk++ {
		x := detection.Experiment{
			Siblings: sizes[chunk%len(sizes)], Rate: requestsPerSecond,
			ReportDelay: w.BetweenZones / 2, Seed: w.seed(o.Seed, chunk),
		}
		events += float64(x.FalseEjections(noise, chunkHours))
		hours += chunkHours
		if chunk%10 == 0 {
			x.Baseline = consecutiveErrors
			baselineEvents += float64(x.FalseEjections(noise, chunkHours))
			baselineHours += chunkHours
		}
	}
	e.Policy, e.UpperBound = value(events*hoursPer/hours), value(poissonUpperBound(events)*hoursPer/hours)
	e.Baseline, e.BaselineUpperBound = value(baselineEvents*hoursPer/baselineHours), value(poissonUpperBound(baselineEvents)*hoursPer/baselineHours)
	e.Hours = hours
	e.Note = fmt.Sprintf("%.0f events in %.0f hours; baseline 5 consecutive errors, %.0f events in %.0f hours", events, hours, baselineEvents, baselineHours)
	return ctx.Err()
}

// poissonUpperBound returns the largest mean for which as few events as seen
// still have a probability of 5%: 3.0 for no event.
func poissonUpperBound(events float64) float64 {
	low, high := events, 10+2*events
	for range 60 {
		mean := (low + high) / 2
		if poissonAtMost(events, mean) > 1-confidence {
			low = mean
		} else {
			high = mean
		}
	}
	return high
}

// poissonAtMost returns the probability of at most k events for a mean.
func poissonAtMost(k, mean float64) float64 {
	sum := 0.0
	for i := 0.0; i <= k; i++ {
		logFactorial, _ := math.Lgamma(i + 1)
		sum += math.Exp(i*math.Log(mean) - mean - logFactorial)
	}
	return sum
}
