package detection

import (
	"slices"
	"time"
)

const (
	// probeIdleTime is the time without traffic after which a probe is due.
	probeIdleTime = 2 * time.Second
	// probeInterval is the time between the probes of a server without traffic.
	// With a failure rate of one half, 1% of the servers pass the first six
	// probes, so that an interval of 2 s is too long to detect the fault within
	// 5 s.
	probeInterval = 500 * time.Millisecond
	// confirmInterval is the time between confirmation probes.
	confirmInterval = 50 * time.Millisecond
	// confirmations is the number of confirmation probes after a failed request or a
	// failed or slow probe.
	confirmations = 10
	// slowProbeFactor is the ratio to the average probe latency above which a
	// probe is slow.
	slowProbeFactor = 2.5
	// probeGain is the smoothing factor of the moving average of the probe latency.
	probeGain = 0.05
	// maxSamples is the maximum number of latencies kept per interval.
	maxSamples = 4096
)

// RequestID identifies an unfinished request of one Window.
type RequestID uint64

// Window collects the results of one backend server on its owner node.
type Window struct {
	name, zone, incarnation string

	nextID         RequestID
	unfinished     []pending
	requests       []time.Duration
	probes         []time.Duration
	counts         BackendStatus
	inService      bool
	ejected        bool
	trial          bool
	trialSuccesses uint32
	trialFailures  uint32

	lastTraffic      time.Time
	lastProbe        time.Time
	probesInFlight   int
	probesOK         int
	probeLatency     time.Duration
	confirmationsDue int
}

type pending struct {
	id    RequestID
	start time.Time
	probe bool
}

// NewWindow returns an empty window of a backend server that is in service.
func NewWindow(now time.Time, name, zone string) *Window {
	return &Window{name: name, zone: zone, inService: true, lastTraffic: now, lastProbe: now}
}

// SetIncarnation sets the announced incarnation. A new incarnation starts with
// an empty interval. The caller ends the unfinished requests of the previous
// one.
func (w *Window) SetIncarnation(incarnation string) {
	if w.incarnation != incarnation {
		w.incarnation = incarnation
		w.reset()
	}
}

// SetState sets whether the server is in service, ejected and in a trial. The
// trial counts are reset at the start of each trial.
func (w *Window) SetState(inService, ejected, trial bool) {
	if trial && !w.trial {
		w.trialSuccesses, w.trialFailures = 0, 0
	}
	w.inService, w.ejected, w.trial = inService, ejected, trial
}

// Begin records the dispatch of a request.
func (w *Window) Begin(now time.Time) RequestID {
	w.lastTraffic = now
	return w.begin(now, false)
}

// BeginProbe records the dispatch of a probe.
func (w *Window) BeginProbe(now time.Time) RequestID {
	w.lastProbe = now
	w.probesInFlight++
	return w.begin(now, true)
}

func (w *Window) begin(now time.Time, probe bool) RequestID {
	w.nextID++
	w.unfinished = append(w.unfinished, pending{id: w.nextID, start: now, probe: probe})
	return w.nextID
}

// End records the result of a request or probe. An unknown ID is ignored.
func (w *Window) End(now time.Time, id RequestID, o Outcome) {
	i, ok := slices.BinarySearchFunc(w.unfinished, id, func(p pending, id RequestID) int {
		return int(p.id) - int(id)
	})
	if !ok {
		return
	}
	p := w.unfinished[i]
	w.unfinished = slices.Delete(w.unfinished, i, i+1)
	latency := now.Sub(p.start)
	if p.probe {
		w.probesInFlight--
		w.evaluateProbe(latency, o)
	} else {
		w.lastTraffic = now
		if o != OK && o != Canceled {
			w.confirmationsDue = confirmations
		}
	}
	w.count(p.probe, latency, o)
}

func (w *Window) count(probe bool, latency time.Duration, o Outcome) {
	if o == Canceled {
		return
	}
	w.counts.Requests++
	if probe {
		w.counts.Probes++
	}
	switch o {
	case OK:
		w.addLatency(probe, latency)
	case Error, Timeout:
		w.counts.Errors++
		if probe {
			w.counts.ProbeErrors++
		}
	default:
		w.counts.Wrong++
		if probe {
			w.counts.ProbeWrong++
		}
	}
	if !w.trial {
		return
	}
	if o == OK {
		w.trialSuccesses++
	} else {
		w.trialFailures++
	}
}

func (w *Window) addLatency(probe bool, latency time.Duration) {
	samples := &w.requests
	if probe {
		samples = &w.probes
	}
	if len(*samples) < maxSamples {
		*samples = append(*samples, latency)
	}
}

// evaluateProbe schedules confirmation probes after a failed or slow probe. A
// failed request schedules them as well, because at 5 requests/s the requests
// of two seconds are too few to distinguish a faulty server from one with a
// single error.
func (w *Window) evaluateProbe(latency time.Duration, o Outcome) {
	failedOrSlow := o != OK
	if o == OK {
		w.probesOK++
		if w.probesOK == 1 {
			w.probeLatency = latency
		}
		failedOrSlow = float64(latency) > slowProbeFactor*float64(w.probeLatency)
		truncated := min(latency, time.Duration(slowProbeFactor*float64(w.probeLatency)))
		w.probeLatency += time.Duration(max(probeGain, 1/float64(w.probesOK)) * float64(truncated-w.probeLatency))
	}
	if failedOrSlow {
		w.confirmationsDue = confirmations
	} else if w.confirmationsDue > 0 {
		w.confirmationsDue--
	}
}

// ProbeDue reports whether a probe should be sent now. At most one probe is in
// flight.
func (w *Window) ProbeDue(now time.Time) bool {
	if w.probesInFlight > 0 || !w.inService {
		return false
	}
	if w.confirmationsDue == 0 && now.Sub(w.lastTraffic) < probeIdleTime {
		return false
	}
	wait := probeInterval
	if w.confirmationsDue > 0 {
		wait = confirmInterval
	}
	return now.Sub(w.lastProbe) >= wait
}

// Report summarizes the interval that ends now and starts the next one.
func (w *Window) Report(now time.Time) BackendStatus {
	s := w.counts
	s.BackendServer, s.Zone, s.Incarnation = w.name, w.zone, w.incarnation
	s.InService, s.Ejected = w.inService, w.ejected
	s.TrialSuccesses, s.TrialFailures = w.trialSuccesses, w.trialFailures
	samples := w.requests
	if s.Probes == s.Requests {
		samples = w.probes
	}
	slices.Sort(samples)
	s.LatencyP50, s.LatencyP90 = quantile(samples, 0.5), quantile(samples, 0.9)
	if len(w.unfinished) > 0 {
		s.OldestAge = now.Sub(w.unfinished[0].start)
	}
	w.reset()
	return s
}

func (w *Window) reset() {
	w.counts = BackendStatus{}
	w.requests, w.probes = w.requests[:0], w.probes[:0]
}

// quantile interpolates between the two nearest samples, so that the median of
// two samples uses both.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	at := q * float64(len(sorted)-1)
	i := int(at)
	if i+1 >= len(sorted) {
		return sorted[i]
	}
	return sorted[i] + time.Duration((at-float64(i))*float64(sorted[i+1]-sorted[i]))
}
