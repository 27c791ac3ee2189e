package detection

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// Fault is the fault of one backend server in an experiment.
type Fault uint8

const (
	// Slow multiplies latencies by five.
	Slow Fault = iota
	// HalfErrors fails half of the requests.
	HalfErrors
	// HalfWrong returns a wrong response to half of the requests.
	HalfWrong
	// Hang sends no response; the request ends at its deadline.
	Hang
)

// Noise is a disturbance of healthy backend servers in an experiment.
type Noise uint8

const (
	// HeavyTail has latencies with a p99 of five times the median and no other
	// disturbance.
	HeavyTail Noise = iota
	// Bursts suspends each server for 300 ms about once a minute.
	Bursts
	// ServiceSlow multiplies the latencies of all servers by five for 10 s of each
	// minute.
	ServiceSlow
	// ObserverFault is a fault of the observer: the reports of a majority of the
	// servers are lost for 10 s of each minute, and the latencies of a majority
	// are multiplied by five for another 10 s.
	ObserverFault
)

// Experiment simulates the backend servers of one service and its coordinator.
type Experiment struct {
	// Siblings is the number of backend servers.
	Siblings int
	// Rate is the request rate of each server in requests per second; 0 means probes
	// only.
	Rate float64
	// Regular selects evenly spaced arrivals instead of a Poisson process.
	Regular bool
	// Detector configures the detector.
	Detector Config
	// Baseline, if above 0, replaces the detector with ConsecutiveErrors with that
	// limit.
	Baseline int
	// ReportDelay is the one-way latency between the owner node and the
	// coordinator. It applies to the report and to the decision.
	ReportDelay time.Duration
	// Seed initializes the random number generator.
	Seed uint64
}

const (
	medianLatency       = 20 * time.Millisecond
	medianProbeLatency  = 25 * time.Millisecond
	requestTimeout      = 2 * time.Second
	healthyErrorRate    = 0.001
	pauseDuration       = 300 * time.Millisecond
	pauseInterval       = time.Minute
	probeCheckInterval  = 50 * time.Millisecond
	slowFactor          = 5
	disturbanceDuration = 10 * time.Second
	disturbanceInterval = time.Minute
	warmUp              = 30 * time.Second
)

// tailSigma gives a log-normal distribution whose p99 is five times the median.
var tailSigma = math.Log(5) / 2.3263

// simulatedServer generates requests, probes and their results.
type simulatedServer struct {
	simulation  *simulation
	name        string
	index       int
	window      *Window
	inFlight    []simulatedCall
	nextArrival time.Duration
	// nextCheck is the time of the next check whether a probe is due.
	nextCheck time.Duration
	nextPause time.Duration
	pauseEnd  time.Duration
	faulty    bool
}

type simulatedCall struct {
	end     time.Duration
	id      RequestID
	outcome Outcome
}

type simulation struct {
	Experiment
	rng      *rand.Rand
	servers  []*simulatedServer
	detector *Detector
	baseline *ConsecutiveErrors
	noise    Noise
	fault    Fault
	faultAt  time.Duration
	// onFaulty is called when a server is classified as faulty.
	onFaulty func(now time.Duration, server string)
}

func at(d time.Duration) time.Time { return time.Unix(1_700_000_000, 0).Add(d) }

func newSimulation(x Experiment, stream uint64) *simulation {
	s := &simulation{Experiment: x, rng: rand.New(rand.NewPCG(x.Seed, stream)), detector: NewDetector(x.Detector), faultAt: math.MaxInt64}
	s.baseline = NewConsecutiveErrors(max(x.Baseline, 1))
	for i := range x.Siblings {
		f := &simulatedServer{simulation: s, name: strconv.Itoa(i), index: i, nextArrival: math.MaxInt64, nextCheck: math.MaxInt64}
		if x.Rate == 0 {
			f.nextCheck = time.Duration(s.rng.Int64N(int64(probeCheckInterval)))
		}
		f.window = NewWindow(at(0), f.name, "a")
		f.arrive(0)
		f.nextPause = f.pauseGap()
		s.servers = append(s.servers, f)
	}
	return s
}

// run simulates until the given time or until stop returns true. Each server
// reports once per interval, at an individual offset.
func (s *simulation) run(until time.Duration, stop func() bool) {
	offsets := make([]time.Duration, s.Siblings)
	for i := range offsets {
		offsets[i] = time.Duration(s.rng.Int64N(int64(ReportInterval)))
	}
	slices.Sort(offsets)
	for start := time.Duration(0); start < until; start += ReportInterval {
		for i, f := range s.servers {
			now := start + offsets[i]
			f.advance(now)
			s.report(now, f)
			if stop() {
				return
			}
		}
	}
}

func (s *simulation) report(now time.Duration, f *simulatedServer) {
	status := f.window.Report(at(now))
	if s.Baseline > 0 || s.isReportLost(now, f.index) {
		return
	}
	arrival := now + s.ReportDelay
	s.detector.Observe(at(arrival), status)
	for _, v := range s.detector.Evaluate(at(arrival)) {
		if v.Level == Faulty {
			s.detector.Remove(v.BackendServer)
			s.onFaulty(arrival+s.ReportDelay, v.BackendServer)
		}
	}
}

func (s *simulation) inMajority(index int) bool { return index <= s.Siblings/2 }

func (s *simulation) isReportLost(now time.Duration, index int) bool {
	return s.noise == ObserverFault && s.inMajority(index) && now%disturbanceInterval < disturbanceDuration
}

func (s *simulation) isSlow(now time.Duration, f *simulatedServer) bool {
	disturbed := now%disturbanceInterval >= disturbanceInterval/2 && now%disturbanceInterval < disturbanceInterval/2+disturbanceDuration
	switch {
	case f.faulty && s.fault == Slow && now >= s.faultAt:
		return true
	case s.noise == ServiceSlow:
		return disturbed
	default:
		return s.noise == ObserverFault && disturbed && s.inMajority(f.index)
	}
}

// advance runs the events of one server up to now.
func (f *simulatedServer) advance(now time.Duration) {
	for {
		call := -1
		next := f.nextArrival
		for i, c := range f.inFlight {
			if c.end < next {
				call, next = i, c.end
			}
		}
		probeCheck := f.nextCheck < next
		if probeCheck {
			next = f.nextCheck
		}
		switch {
		case next > now:
			return
		case probeCheck:
			f.nextCheck += probeCheckInterval
			if f.simulation.Rate > 0 && f.window.confirmationsDue == 0 {
				f.nextCheck = math.MaxInt64 // With this traffic only confirmation probes are due.
			}
			if f.window.ProbeDue(at(next)) {
				f.call(next, f.window.BeginProbe(at(next)), medianProbeLatency)
			}
		case call >= 0:
			f.finish(call)
		default:
			f.call(next, f.window.Begin(at(next)), medianLatency)
			f.arrive(next)
		}
	}
}

func (f *simulatedServer) arrive(now time.Duration) {
	if f.simulation.Rate == 0 {
		return
	}
	gap := 1.0
	if !f.simulation.Regular {
		gap = f.simulation.rng.ExpFloat64()
	} else if now == 0 {
		gap = f.simulation.rng.Float64()
	}
	f.nextArrival = now + time.Duration(gap/f.simulation.Rate*float64(time.Second))
}

func (f *simulatedServer) pauseGap() time.Duration {
	return time.Duration(f.simulation.rng.ExpFloat64() * float64(pauseInterval))
}

// call generates the result of a request or probe that starts now.
func (f *simulatedServer) call(now time.Duration, id RequestID, median time.Duration) {
	s := f.simulation
	latency := time.Duration(float64(median) * math.Exp(tailSigma*s.rng.NormFloat64()))
	if s.isSlow(now, f) {
		latency *= slowFactor
	}
	if s.noise == Bursts {
		if now >= f.nextPause {
			f.pauseEnd = f.nextPause + pauseDuration
			f.nextPause = f.pauseEnd + f.pauseGap()
		}
		latency += max(0, f.pauseEnd-now)
	}
	outcome := OK
	if s.rng.Float64() < healthyErrorRate {
		outcome = Error
	}
	if f.faulty && now >= s.faultAt {
		half := s.rng.Float64() < 0.5
		switch {
		case s.fault == HalfErrors && half:
			outcome = Error
		case s.fault == HalfWrong && half:
			outcome = Wrong
		case s.fault == Hang:
			latency = requestTimeout
		}
	}
	if latency >= requestTimeout {
		latency, outcome = requestTimeout, Timeout
	}
	f.inFlight = append(f.inFlight, simulatedCall{end: now + latency, id: id, outcome: outcome})
}

func (f *simulatedServer) finish(i int) {
	c := f.inFlight[i]
	f.inFlight = slices.Delete(f.inFlight, i, i+1)
	f.window.End(at(c.end), c.id, c.outcome)
	if f.window.confirmationsDue > 0 {
		f.nextCheck = min(f.nextCheck, c.end+probeCheckInterval)
	}
	if f.simulation.Baseline > 0 && f.simulation.baseline.Result(f.name, c.outcome) {
		f.simulation.baseline.Result(f.name, OK)
		f.simulation.onFaulty(c.end, f.name)
	}
}
