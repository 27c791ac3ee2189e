package detection

import (
	"slices"
	"time"
)

const (
	// probeAfter is the time without traffic after which a probe is due.
	probeAfter = 2 * time.Second
	// probeEvery is the time between the probes of a quiet server. If half of
	// the answers are bad, 1% of the servers pass the first six probes, so that
	// probes every 2 s cannot find the fault within 5 s.
	probeEvery = 500 * time.Millisecond
	// confirmAfter is the time between probes while the last ones look bad.
	confirmAfter = 50 * time.Millisecond
	// confirmations is how many probes follow a probe that looks bad.
	confirmations = 10
	// slowProbe is the ratio to the usual probe latency that looks bad.
	slowProbe = 2.5
	// probeGain is the gain of the moving average of probe latency.
	probeGain = 0.05
	// maxSamples bounds the latencies kept in one interval.
	maxSamples = 4096
)

// RequestID identifies an unfinished request of one Window.
type RequestID uint64

// Window collects the results of one backend server at its owner.
type Window struct {
	name, zone, incarnation string

	nextID     RequestID
	unfinished []pending
	requests   []time.Duration
	probes     []time.Duration
	counts     BackendStatus
	inService  bool
	ejected    bool
	trial      bool
	trialOK    uint32
	trialBad   uint32

	lastTraffic  time.Time
	lastProbe    time.Time
	probing      int
	probesOK     int
	probeLatency time.Duration
	confirm      int
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

// SetIncarnation notes the incarnation announced. A new one starts empty; the
// caller finishes the requests of the old one.
func (w *Window) SetIncarnation(incarnation string) {
	if w.incarnation != incarnation {
		w.incarnation = incarnation
		w.reset()
	}
}

// SetState notes whether the server is in service, ejected and on trial. The
// trial counts start at zero with each trial.
func (w *Window) SetState(inService, ejected, trial bool) {
	if trial && !w.trial {
		w.trialOK, w.trialBad = 0, 0
	}
	w.inService, w.ejected, w.trial = inService, ejected, trial
}

// Begin notes that a request was dispatched.
func (w *Window) Begin(now time.Time) RequestID {
	w.lastTraffic = now
	return w.begin(now, false)
}

// BeginProbe notes that a probe was dispatched.
func (w *Window) BeginProbe(now time.Time) RequestID {
	w.lastProbe = now
	w.probing++
	return w.begin(now, true)
}

func (w *Window) begin(now time.Time, probe bool) RequestID {
	w.nextID++
	w.unfinished = append(w.unfinished, pending{id: w.nextID, start: now, probe: probe})
	return w.nextID
}

// End notes the result of a request or probe. An unknown id is ignored.
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
		w.probing--
		w.judgeProbe(latency, o)
	} else {
		w.lastTraffic = now
		if o != OK && o != Canceled {
			w.confirm = confirmations
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
		w.keep(probe, latency)
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
		w.trialOK++
	} else {
		w.trialBad++
	}
}

func (w *Window) keep(probe bool, latency time.Duration) {
	samples := &w.requests
	if probe {
		samples = &w.probes
	}
	if len(*samples) < maxSamples {
		*samples = append(*samples, latency)
	}
}

// judgeProbe asks for more probes soon after one that looks bad. A failed
// request asks for them too: at 5 requests/s the requests of two seconds are too
// few to tell a faulty server from one with a single error.
func (w *Window) judgeProbe(latency time.Duration, o Outcome) {
	bad := o != OK
	if o == OK {
		w.probesOK++
		if w.probesOK == 1 {
			w.probeLatency = latency
		}
		bad = float64(latency) > slowProbe*float64(w.probeLatency)
		kept := min(latency, time.Duration(slowProbe*float64(w.probeLatency)))
		w.probeLatency += time.Duration(max(probeGain, 1/float64(w.probesOK)) * float64(kept-w.probeLatency))
	}
	if bad {
		w.confirm = confirmations
	} else if w.confirm > 0 {
		w.confirm--
	}
}

// ProbeDue reports whether the owner should send a probe now. At most one probe
// is under way.
func (w *Window) ProbeDue(now time.Time) bool {
	if w.probing > 0 || !w.inService {
		return false
	}
	if w.confirm == 0 && now.Sub(w.lastTraffic) < probeAfter {
		return false
	}
	wait := probeEvery
	if w.confirm > 0 {
		wait = confirmAfter
	}
	return now.Sub(w.lastProbe) >= wait
}

// Report summarises the interval that ends now and begins the next one.
func (w *Window) Report(now time.Time) BackendStatus {
	s := w.counts
	s.BackendServer, s.Zone, s.Incarnation = w.name, w.zone, w.incarnation
	s.InService, s.Ejected = w.inService, w.ejected
	s.TrialSuccesses, s.TrialFailures = w.trialOK, w.trialBad
	samples := w.requests
	if s.Probes == s.Requests {
		samples = w.probes
	}
	slices.Sort(samples)
	s.LatencyP50, s.LatencyP90 = quantile(samples, 0.5), quantile(samples, 0.9)
	if len(w.unfinished) > 0 {
		s.Oldest = now.Sub(w.unfinished[0].start)
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
