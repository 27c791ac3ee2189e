package admission

import "time"

const (
	// baselineGain is the gain of the moving average of normal latency.
	baselineGain = 1.0 / 64
	// serviceGain is the gain of the moving average used for wait estimates.
	serviceGain = 0.1
)

// ramp derives the concurrency limit from the results of requests.
type ramp struct {
	cfg       Config
	cap       int
	limit     int
	successes int
	baseline  time.Duration
	service   time.Duration
	// learned counts the answers in the baseline.
	learned int
	// warm makes a restart keep all slots.
	warm bool
	// recent tells which of the last answers were above normal latency.
	recent []bool
}

// setCap changes the announced slots.
func (r *ramp) setCap(n int) {
	r.cap = n
	r.limit = min(max(r.limit, 1), n)
}

// restart returns to one slot. The latency history is kept unless forget is set.
func (r *ramp) restart(forget bool) {
	r.limit = min(1, r.cap)
	if r.warm {
		r.limit = r.cap
	}
	r.successes = 0
	r.recent = r.recent[:0]
	if forget {
		r.baseline, r.service, r.learned = 0, 0, 0
	}
}

// shed halves the limit.
func (r *ramp) shed() {
	r.limit = min(max(r.limit/2, 1), r.cap)
	r.successes = 0
}

// answer records the latency of an answered request.
func (r *ramp) answer(latency time.Duration, ok bool) {
	if r.service == 0 {
		r.service = latency
	}
	if r.baseline == 0 && ok {
		r.baseline = latency
	}
	normal := r.isNormal(latency)
	r.service += time.Duration(serviceGain * float64(latency-r.service))
	if r.isStep(normal) {
		r.restart(false)
	}
	if ok {
		r.learn(latency)
	}
	switch {
	case !ok:
		r.successes = 0
	case normal:
		r.successes++
	}
	if r.successes >= r.cfg.SuccessesPerSlot && r.limit < r.cap {
		r.limit++
		r.successes = 0
	}
}

// learn moves the baseline. An answer above normal counts as just above normal,
// so that a step stays visible and a heavy tail does not raise the baseline.
func (r *ramp) learn(latency time.Duration) {
	r.learned++
	gain := max(baselineGain, 1/float64(r.learned))
	latency = min(latency, time.Duration(r.cfg.StepFactor*float64(r.baseline)))
	r.baseline += time.Duration(gain * float64(latency-r.baseline))
}

func (r *ramp) isNormal(latency time.Duration) bool {
	return r.baseline == 0 || float64(latency) <= r.cfg.StepFactor*float64(r.baseline)
}

// isStep reports whether stepSlow of the last stepAnswers answers are above
// normal. For exponential latencies this happens by chance about once in 16,000
// answers; with the median instead of stepSlow it is about once in 500.
func (r *ramp) isStep(normal bool) bool {
	if len(r.recent) == stepAnswers {
		r.recent = append(r.recent[:0], r.recent[1:]...)
	}
	r.recent = append(r.recent, !normal)
	slow := 0
	for _, s := range r.recent {
		if s {
			slow++
		}
	}
	return slow >= stepSlow
}
