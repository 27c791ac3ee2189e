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
		srv := &simulatedServer{simulation: s, name: strconv.Itoa(i), index: i, nextArrival: math.MaxInt64, nextCheck: math.MaxInt64}
		if x.Rate == 0 {
			srv.nextCheck = time.Duration(s.rng.Int64N(int64(probeCheckInterval)))
		}
		srv.window = NewWindow(at(0), srv.name, "a")
		srv.arrive(0)
		srv.nextPause = srv.pauseGap()
		s.servers = append(s.servers, srv)
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
		for i, srv := range s.servers {
			now := start + offsets[i]
			srv.advance(now)
			s.report(now, srv)
			if stop() {
				return
			}
		}
	}
}

func (s *simulation) report(now time.Duration, srv *simulatedServer) {
	status := srv.window.Report(at(now))
	if s.Baseline > 0 || s.isReportLost(now, srv.index) {
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

func (s *simulation) isSlow(now time.Duration, srv *simulatedServer) bool {
	disturbed := now%disturbanceInterval >= disturbanceInterval/2 && now%disturbanceInterval < disturbanceInterval/2+disturbanceDuration
	switch {
	case srv.faulty && s.fault == Slow && now >= s.faultAt:
		return true
	case s.noise == ServiceSlow:
		return disturbed
	default:
		return s.noise == ObserverFault && disturbed && s.inMajority(srv.index)
	}
}

// advance runs the events of one server up to now.
func (srv *simulatedServer) advance(now time.Duration) {
	for {
		call := -1
		next := srv.nextArrival
		for i, c := range srv.inFlight {
			if c.end < next {
				call, next = i, c.end
			}
		}
		probeCheck := srv.nextCheck < next
		if probeCheck {
			next = srv.nextCheck
		}
		switch {
		case next > now:
			return
		case probeCheck:
			srv.nextCheck += probeCheckInterval
			if srv.simulation.Rate > 0 && srv.window.confirmationsDue == 0 {
				srv.nextCheck = math.MaxInt64 // With this traffic only confirmation probes are due.
			}
			if srv.window.ProbeDue(at(next)) {
				srv.call(next, srv.window.BeginProbe(at(next)), medianProbeLatency)
			}
		case call >= 0:
			srv.finish(call)
		default:
			srv.call(next, srv.window.Begin(at(next)), medianLatency)
			srv.arrive(next)
		}
	}
}

func (srv *simulatedServer) arrive(now time.Duration) {
	if srv.simulation.Rate == 0 {
		return
	}
	gap := 1.0
	if !srv.simulation.Regular {
		gap = srv.simulation.rng.ExpFloat64()
	} else if now == 0 {
		gap = srv.simulation.rng.Float64()
	}
	srv.nextArrival = now + time.Duration(gap/srv.simulation.Rate*float64(time.Second))
}

func (srv *simulatedServer) pauseGap() time.Duration {
	return time.Duration(srv.simulation.rng.ExpFloat64() * float64(pauseInterval))
}

// call generates the result of a request or probe that starts now.
func (srv *simulatedServer) call(now time.Duration, id RequestID, median time.Duration) {
	s := srv.simulation
	latency := time.Duration(float64(median) * math.Exp(tailSigma*s.rng.NormFloat64()))
	if s.isSlow(now, srv) {
		latency *= slowFactor
	}
	if s.noise == Bursts {
		if now >= srv.nextPause {
			srv.pauseEnd = srv.nextPause + pauseDuration
			srv.nextPause = srv.pauseEnd + srv.pauseGap()
		}
		latency += max(0, srv.pauseEnd-now)
	}
	outcome := OK
	if s.rng.Float64() < healthyErrorRate {
		outcome = Error
	}
	if srv.faulty && now >= s.faultAt {
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
	srv.inFlight = append(srv.inFlight, simulatedCall{end: now + latency, id: id, outcome: outcome})
}

func (srv *simulatedServer) finish(i int) {
	c := srv.inFlight[i]
	srv.inFlight = slices.Delete(srv.inFlight, i, i+1)
	srv.window.End(at(c.end), c.id, c.outcome)
	if srv.window.confirmationsDue > 0 {
		srv.nextCheck = min(srv.nextCheck, c.end+probeCheckInterval)
	}
	if srv.simulation.Baseline > 0 && srv.simulation.baseline.Result(srv.name, c.outcome) {
		srv.simulation.baseline.Result(srv.name, OK)
		srv.simulation.onFaulty(c.end, srv.name)
	}
}
