package detection

import (
	"math"
	"slices"
	"time"
)

// scale tracks the spread of standardised log latencies as 1.4826 times the
// median absolute deviation. The median moves by a constant ratio per sample, so
// that outliers have no more influence than any other sample.
type scale struct {
	mad float64
}

const (
	madToSigma   = 1.4826
	initialSigma = 0.7
	// Below minSigma the normal model promises more than real latencies keep.
	minSigma = 0.3
	madStep  = 0.005
)

func newScale() scale { return scale{mad: initialSigma / madToSigma} }

func (s *scale) sigma() float64 { return max(minSigma, madToSigma*s.mad) }

func (s *scale) add(deviation float64) {
	if math.Abs(deviation) > s.mad {
		s.mad *= 1 + madStep
	} else {
		s.mad *= 1 - madStep
	}
}

// medianWeight is the number of samples whose mean is as exact as the median of
// n samples of a normal distribution. The median of an even number of samples
// averages two of them and is more exact.
func medianWeight(n float64) float64 {
	correction := 0.32
	if math.Mod(n, 2) == 0 {
		correction = 0.8
	}
	return min(n, n*2/math.Pi+correction)
}

// latencyEvidence is the log-likelihood ratio of a shift by log(slow) against
// none, for a median of n samples that lies shift above the siblings.
func latencyEvidence(shift, n, sigma, slow float64) float64 {
	s := math.Log(slow)
	shift = min(shift, 1.5*s)
	e := medianWeight(n) * s / (sigma * sigma) * (shift - s/2)
	return min(max(e, -maxLatencyEvidence), maxLatencyEvidence)
}

// countEvidence is the log-likelihood ratio of the failure probability faulty
// against healthy for k failures of n.
func countEvidence(k, n, healthy, faulty float64) float64 {
	return k*math.Log(faulty/healthy) + (n-k)*math.Log((1-faulty)/(1-healthy))
}

// faultyRate is the failure probability to test against.
func faultyRate(healthy float64) float64 { return min(0.95, max(0.4, 2*healthy)) }

// upperMedianOf returns the larger of the two middle values of an even number.
func upperMedianOf(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[len(v)/2]
}

// sample is what the detector remembers of one report.
type sample struct {
	at            time.Time
	requests      float64
	errors, wrong float64
	// The same of the probes, which are among them.
	probed, probeErrors, probeWrong float64
	// log is the logarithm of the median latency, probes tells whose it is.
	log    float64
	hasLog bool
	probes bool
}

func newSample(at time.Time, s BackendStatus) sample {
	x := sample{at: at, requests: float64(s.Requests), errors: float64(s.Errors), wrong: float64(s.Wrong)}
	x.probed, x.probeErrors, x.probeWrong = float64(s.Probes), float64(s.ProbeErrors), float64(s.ProbeWrong)
	if s.LatencyP50 > 0 {
		x.log, x.hasLog = math.Log(float64(s.LatencyP50)), true
		x.probes = s.Probes == s.Requests
	}
	return x
}

// answers is the number of latencies behind the median.
func (x sample) answers() float64 {
	ok := x.requests - x.errors - x.wrong
	if x.probes {
		return ok
	}
	return ok - (x.probed - x.probeErrors - x.probeWrong)
}
