package detection

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// runParallel runs n jobs on 8 goroutines. The seed of a job is its index.
func runParallel(n int, job func(seed int)) {
	var wg sync.WaitGroup
	for w := range 8 {
		wg.Go(func() {
			for i := w; i < n; i += 8 {
				job(i)
			}
		})
	}
	wg.Wait()
}

func detectionTimes(x Experiment, fault Fault, runs int) []time.Duration {
	const seeds = 8
	parts := make([][]time.Duration, seeds)
	runParallel(seeds, func(seed int) {
		experiment := x
		experiment.Seed = uint64(seed)
		parts[seed] = experiment.DetectionTimes(fault, runs/seeds)
	})
	all := slices.Concat(parts...)
	slices.Sort(all)
	return all
}

func falseEjections(x Experiment, noise Noise, hours float64) int {
	const seeds = 16
	parts := make([]int, seeds)
	runParallel(seeds, func(seed int) {
		experiment := x
		experiment.Seed = uint64(seed)
		parts[seed] = experiment.FalseEjections(noise, hours/seeds)
	})
	sum := 0
	for _, n := range parts {
		sum += n
	}
	return sum
}

var faults = []struct {
	name   string
	fault  Fault
	rate   float64
	target time.Duration
}{
	{"slow", Slow, 5, 2 * time.Second},
	{"half errors", HalfErrors, 5, 2 * time.Second},
	{"half wrong", HalfWrong, 5, 2 * time.Second},
	{"hang", Hang, 5, requestTimeout + time.Second},
	{"slow, probes only", Slow, 0, 5 * time.Second},
	{"half errors, probes only", HalfErrors, 0, 5 * time.Second},
	{"half wrong, probes only", HalfWrong, 0, 5 * time.Second},
	{"hang, probes only", Hang, 0, 5 * time.Second},
}

var noises = []struct {
	name  string
	noise Noise
}{{"heavy tail", HeavyTail}, {"bursts", Bursts}, {"service slow", ServiceSlow}, {"viewpoint", ObserverFault}}

// BenchmarkDetectionTime measures the detection_time rows of the design document.
func BenchmarkDetectionTime(b *testing.B) {
	for _, f := range faults {
		for _, siblings := range []int{6, 9} {
			for _, regular := range []bool{false, true} {
				name := f.name + map[bool]string{false: "/poisson", true: "/regular"}[regular] + map[int]string{6: "/6", 9: "/9"}[siblings]
				b.Run(name, func(b *testing.B) {
					for b.Loop() {
						times := detectionTimes(Experiment{Siblings: siblings, Rate: f.rate, Regular: regular}, f.fault, 2000)
						b.ReportMetric(Quantile(times, 0.5).Seconds(), "p50-s")
						b.ReportMetric(Quantile(times, 0.99).Seconds(), "p99-s")
						b.ReportMetric(f.target.Seconds(), "target-s")
					}
				})
			}
		}
	}
}

// BenchmarkFalseEjections measures the false_ejections row over 10,000
// backend-server hours.
func BenchmarkFalseEjections(b *testing.B) {
	for _, n := range noises {
		for _, siblings := range []int{6, 9} {
			b.Run(n.name+map[int]string{6: "/6", 9: "/9"}[siblings], func(b *testing.B) {
				for b.Loop() {
					b.ReportMetric(float64(falseEjections(Experiment{Siblings: siblings, Rate: 5}, n.noise, 10_000)), "per-10000h")
				}
			})
		}
	}
}

// BenchmarkCurve logs detection times and false ejections per threshold.
func BenchmarkCurve(b *testing.B) {
	for b.Loop() {
		thresholds := []float64{6, 8, 10, 12, 14, 16, 18}
		points := make([][]CurvePoint, len(thresholds))
		runParallel(len(thresholds), func(i int) {
			points[i] = Experiment{Siblings: 6, Rate: 5}.Curve(thresholds[i:i+1], Slow, HeavyTail, 1000, 1000)
		})
		for _, p := range points {
			b.Logf("%+v", p[0])
		}
	}
}

// Guards against a detector that does not detect a fault.
func TestFaultsAreDetected(t *testing.T) {
	for _, f := range faults {
		times := detectionTimes(Experiment{Siblings: 6, Rate: f.rate}, f.fault, 160)
		t.Logf("%s: p50 %v, p99 %v, target %v", f.name, Quantile(times, 0.5), Quantile(times, 0.99), f.target)
		require.Less(t, times[len(times)-1], 20*time.Second, f.name)
	}
}

// Guards against ejecting healthy servers.
func TestHealthyServersAreNotEjected(t *testing.T) {
	for _, n := range noises {
		require.Zero(t, falseEjections(Experiment{Siblings: 6, Rate: 5}, n.noise, 160), n.name)
	}
}
