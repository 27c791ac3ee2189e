// Package curve relates detection time to false ejections over the threshold,
// for the detector and for the baseline of consecutive errors, and plots both.
package curve

import (
	"fmt"
	"runtime"
	"sync"

	"trefoildock.example/detection"
)

// Settings size the simulation.
type Settings struct {
	// Seed selects the random sequences.
	Seed uint64
	// Hours is the simulated time behind each rate, in backend-server hours.
	Hours float64
	// Runs is the number of faults behind each detection time.
	Runs int
}

// Series is one line of the plot.
type Series struct {
	Name   string
	Points []detection.CurvePoint
}

const (
	siblings          = 6
	requestsPerSecond = 5
	// hoursPer is the unit of false ejections in backend-server hours.
	hoursPer = 10_000
	// boundOfNone is the 95% upper bound of the mean when no event was seen.
	boundOfNone = 3
)

// thresholds are those of the detector in nats, errorsInRow those of the baseline.
var (
	thresholds  = []float64{3, 4, 5, 6, 8, 10, 12, 14, 18}
	errorsInRow = []float64{1, 2, 3, 4, 5, 7, 10}
)

// Measure simulates all points.
func Measure(s Settings) []Series {
	x := detection.Experiment{Siblings: siblings, Rate: requestsPerSecond, Seed: s.Seed}
	out := []Series{
		{Name: "detector, five times slower"},
		{Name: "detector, half of the requests fail"},
		{Name: "consecutive errors, half fail"},
	}
	limit := make(chan struct{}, runtime.GOMAXPROCS(0))
	var wg sync.WaitGroup
	measure := func(p *detection.CurvePoint, x detection.Experiment, threshold float64, fault detection.Fault) {
		wg.Go(func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			*p = x.Curve([]float64{threshold}, fault, detection.HeavyTail, s.Runs, s.Hours)[0]
		})
	}
	for i, fault := range []detection.Fault{detection.Slow, detection.HalfErrors} {
		out[i].Points = make([]detection.CurvePoint, len(thresholds))
		for k, h := range thresholds {
			measure(&out[i].Points[k], x, h, fault)
		}
	}
	out[2].Points = make([]detection.CurvePoint, len(errorsInRow))
	for k, n := range errorsInRow {
		y := x
		y.Baseline = int(n)
		measure(&out[2].Points[k], y, n, detection.HalfErrors)
	}
	wg.Wait()
	return out
}

// falseRate returns the rate to plot; a point without an event stands at the
// upper bound that the hours support.
func falseRate(p detection.CurvePoint, hours float64) float64 {
	if p.False > 0 {
		return p.False
	}
	return boundOfNone * hoursPer / hours
}

// Line describes a point for the terminal.
func Line(p detection.CurvePoint) string {
	return fmt.Sprintf("threshold %4.0f  p50 %7.3f s  p99 %7.3f s  false ejections %8.1f per 10,000 h",
		p.Threshold, p.P50.Seconds(), p.P99.Seconds(), p.False)
}
