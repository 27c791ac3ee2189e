// Package curve simulates and plots the trade-off between detection time and false
// ejections for a range of thresholds, for the detector and for the baseline that
// counts consecutive errors.
package curve

import (
	"fmt"
	"runtime"
	"sync"

	"trefoildock.example/detection"
)

// Settings holds the seed and the size of the simulation.
type Settings struct {
	// Seed initializes the random number generators.
	Seed uint64
	// Hours is the simulated time for each false-ejection rate, in backend-server
	// hours.
	Hours float64
	// Runs is the number of simulated faults for each detection time.
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
	// falseEjectionUnitHours is the number of backend-server hours to which the
	// rate of false ejections is normalized.
	falseEjectionUnitHours = 10_000
	// zeroEventUpperBound is the 95% upper confidence bound of the mean number of
	// events if none was observed.
	zeroEventUpperBound = 3
)

// thresholds are the evidence thresholds of the detector in nats;
// consecutiveErrorLimits are the numbers of errors at which the baseline ejects.
var (
	thresholds             = []float64{3, 4, 5, 6, 8, 10, 12, 14, 18}
	consecutiveErrorLimits = []float64{1, 2, 3, 4, 5, 7, 10}
)

// Simulate computes the points of all series, on all available processors.
func Simulate(s Settings) []Series {
	x := detection.Experiment{Siblings: siblings, Rate: requestsPerSecond, Seed: s.Seed}
	series := []Series{
		{Name: "detector, five times slower"},
		{Name: "detector, half of the requests fail"},
		{Name: "consecutive errors, half fail"},
	}
	semaphore := make(chan struct{}, runtime.GOMAXPROCS(0))
	var wg sync.WaitGroup
	simulatePoint := func(p *detection.CurvePoint, x detection.Experiment, threshold float64, fault detection.Fault) {
		wg.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			*p = x.Curve([]float64{threshold}, fault, detection.HeavyTail, s.Runs, s.Hours)[0]
		})
	}
	for i, fault := range []detection.Fault{detection.Slow, detection.HalfErrors} {
		series[i].Points = make([]detection.CurvePoint, len(thresholds))
		for k, h := range thresholds {
			simulatePoint(&series[i].Points[k], x, h, fault)
		}
	}
	series[2].Points = make([]detection.CurvePoint, len(consecutiveErrorLimits))
	for k, n := range consecutiveErrorLimits {
		y := x
		y.Baseline = int(n)
		simulatePoint(&series[2].Points[k], y, n, detection.HalfErrors)
	}
	wg.Wait()
	return series
}

// plottedFalseEjections returns the rate of false ejections to plot. A point
// without an event is plotted at its 95% upper bound, because a logarithmic axis
// has no zero.
func plottedFalseEjections(p detection.CurvePoint, hours float64) float64 {
	if p.FalseEjections > 0 {
		return p.FalseEjections
	}
	return zeroEventUpperBound * falseEjectionUnitHours / hours
}

// FormatPoint returns a line of text that describes a point.
func FormatPoint(p detection.CurvePoint) string {
	return fmt.Sprintf("threshold %4.0f  p50 %7.3f s  p99 %7.3f s  false ejections %8.1f per 10,000 h",
		p.Threshold, p.P50.Seconds(), p.P99.Seconds(), p.FalseEjections)
}
