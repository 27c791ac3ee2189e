package admission

import "time"

const (
	// baselineGain is the smoothing factor of the moving average of the baseline
	// latency.
	baselineGain = 1.0 / 64
	// serviceTimeGain is the smoothing factor of the moving average of the service
	// time, which wait estimates use.
	serviceTimeGain = 0.1
)

// ramp derives the concurrency limit of a backend server from the results of its
// requests.
type ramp struct {
	cfg         Config
	slots       int
	limit       int
	successes   int
	baseline    time.Duration
	serviceTime time.Duration
	// baselineSamples counts the responses that the baseline includes.
	baselineSamples int
	// warm makes restart set the limit to all slots.
	warm bool
	// recent records for each of the last responses whether it was slow.
	recent []bool
}

// setSlots sets the number of announced slots.
func (r *ramp) setSlots(slots int) {
	r.slots = slots
	r.limit = min(max(r.limit, 1), slots)
}

// restart resets the limit to one slot, or to all slots if warm is set. It also
// resets the latency estimates if resetLatency is set.
func (r *ramp) restart(resetLatency bool) {
	r.limit = min(1, r.slots)
	if r.warm {
		r.limit = r.slots
	}
	r.successes = 0
	r.recent = r.recent[:0]
	if resetLatency {
		r.baseline, r.serviceTime, r.baselineSamples = 0, 0, 0
	}
}

// shed halves the limit after the backend server rejected a request.
func (r *ramp) shed() {
	r.limit = min(max(r.limit/2, 1), r.slots)
	r.successes = 0
}

// recordResponse records a response and its latency, and adjusts the limit.
func (r *ramp) recordResponse(latency time.Duration, ok bool) {
	if r.serviceTime == 0 {
		r.serviceTime = latency
	}
	if r.baseline == 0 && ok {
		r.baseline = latency
	}
	normal := r.isNormal(latency)
	r.serviceTime += time.Duration(serviceTimeGain * float64(latency-r.serviceTime))
	if r.isStep(normal) {
		r.restart(false)
	}
	if ok {
		r.updateBaseline(latency)
	}
	switch {
	case !ok:
		r.successes = 0
	case normal:
		r.successes++
	}
	if r.successes >= r.cfg.SuccessesPerSlot && r.limit < r.slots {
		r.limit++
		r.successes = 0
	}
}

// updateBaseline includes a latency in the baseline. Larger latencies are
// truncated to SlowFactor times the baseline, so that a latency step remains
// detectable and a heavy tail does not raise the baseline.
func (r *ramp) updateBaseline(latency time.Duration) {
	r.baselineSamples++
	gain := max(baselineGain, 1/float64(r.baselineSamples))
	latency = min(latency, time.Duration(r.cfg.SlowFactor*float64(r.baseline)))
	r.baseline += time.Duration(gain * float64(latency-r.baseline))
}

func (r *ramp) isNormal(latency time.Duration) bool {
	return r.baseline == 0 || float64(latency) <= r.cfg.SlowFactor*float64(r.baseline)
}

// isStep records a response and reports whether stepThreshold of the last
// stepWindow responses were slow. With exponentially distributed latencies the
// false positive rate is about 1 in 16,000 responses; a threshold at the median
// would have about 1 in 500.
func (r *ramp) isStep(normal bool) bool {
	if len(r.recent) == stepWindow {
		r.recent = append(r.recent[:0], r.recent[1:]...)
	}
	r.recent = append(r.recent, !normal)
	slow := 0
	for _, s := range r.recent {
		if s {
			slow++
		}
	}
	return slow >= stepThreshold
}
