package detection

import (
	"math"
	"slices"
	"time"
)

// latencySpread estimates the standard deviation of standardized log latencies as
// 1.4826 times the median absolute deviation. Each sample changes the estimated
// median by a constant ratio, so that outliers have no more influence than
// other samples.
type latencySpread struct {
	mad float64
}

const (
	madToSigma   = 1.4826
	initialSigma = 0.7
	// minSigma is the lower bound of the standard deviation. Below it the assumed
	// normal distribution underestimates the tails of real latencies.
	minSigma = 0.3
	madStep  = 0.005
)

func newLatencySpread() latencySpread { return latencySpread{mad: initialSigma / madToSigma} }

func (s *latencySpread) sigma() float64 { return max(minSigma, madToSigma*s.mad) }

func (s *latencySpread) add(deviation float64) {
	if math.Abs(deviation) > s.mad {
		s.mad *= 1 + madStep
	} else {
		s.mad *= 1 - madStep
	}
}

// medianWeight returns the number of samples whose mean has the same variance
// as the median of n samples of a normal distribution. The median of an even
// number of samples is the mean of two of them and has a lower variance.
func medianWeight(n float64) float64 {
	correction := 0.32
	if math.Mod(n, 2) == 0 {
		correction = 0.8
	}
	return min(n, n*2/math.Pi+correction)
}

// latencyEvidence returns the log-likelihood ratio of a shift by log(slow) to
// no shift, for a median of n samples that lies shift above that of the
// siblings.
func latencyEvidence(shift, n, sigma, slow float64) float64 {
	s := math.Log(slow)
	shift = min(shift, 1.5*s)
	e := medianWeight(n) * s / (sigma * sigma) * (shift - s/2)
	return min(max(e, -maxLatencyEvidence), maxLatencyEvidence)
}

// countEvidence returns the log-likelihood ratio of the failure probability
// faulty to healthy for k failures in n requests.
func countEvidence(k, n, healthy, faulty float64) float64 {
	return k*math.Log(faulty/healthy) + (n-k)*math.Log((1-faulty)/(1-healthy))
}

// faultyRate returns the failure probability of the tested hypothesis.
func faultyRate(healthy float64) float64 { return min(0.95, max(0.4, 2*healthy)) }

// upperMedianOf returns the median, or the larger of the two middle values if
// the number of values is even. It sorts v.
func upperMedianOf(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[len(v)/2]
}

// sample holds the data of one report that the detector evaluates.
type sample struct {
	at            time.Time
	requests      float64
	errors, wrong float64
	// probeCount, probeErrors and probeWrong count the probes among requests,
	// errors and wrong.
	probeCount, probeErrors, probeWrong float64
	// logLatency is the logarithm of the median latency. fromProbes is true if it
	// is the latency of probes.
	logLatency float64
	hasLatency bool
	fromProbes bool
}

func newSample(at time.Time, s BackendStatus) sample {
	x := sample{at: at, requests: float64(s.Requests), errors: float64(s.Errors), wrong: float64(s.Wrong)}
	x.probeCount, x.probeErrors, x.probeWrong = float64(s.Probes), float64(s.ProbeErrors), float64(s.ProbeWrong)
	if s.LatencyP50 > 0 {
		x.logLatency, x.hasLatency = math.Log(float64(s.LatencyP50)), true
		x.fromProbes = s.Probes == s.Requests
	}
	return x
}

// responses returns the number of latencies that the median includes.
func (x sample) responses() float64 {
	ok := x.requests - x.errors - x.wrong
	if x.fromProbes {
		return ok
	}
	return ok - (x.probeCount - x.probeErrors - x.probeWrong)
}
