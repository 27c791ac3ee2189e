package owner

import "time"

const (
	// suspectAfter is the number of consecutive failures from which a backend
	// server is suspected. One failure in 80 answers is normal, two in a row are not.
	suspectAfter = 2
	// windowAnswers and windowFailures suspect a backend server that fails only a
	// part of its requests.
	windowAnswers  = 6
	windowFailures = 3
	// windowAge is the age from which an outcome no longer counts.
	windowAge = 10 * time.Second
	// doubtTime is the time after one failure in which only idempotent requests
	// are accepted; their outcome decides.
	doubtTime = 1500 * time.Millisecond
	// minTrialWait and maxTrialWait bound the growing time between failed trials of
	// a suspected backend server. A trial costs a retry, and failures last 10 to
	// 20 s. After a successful trial the next one may follow at once.
	minTrialWait = 400 * time.Millisecond
	maxTrialWait = 1500 * time.Millisecond
	// trialSuccesses is the number of successes in a row that end a suspicion.
	trialSuccesses = 2
	// minUnsafeTrial and maxUnsafeTrial bound the growing time after which a
	// suspected backend server gets a request that is not idempotent, because no
	// idempotent one has cleared it.
	minUnsafeTrial = 8 * time.Second
	maxUnsafeTrial = 16 * time.Second
	// slowFactor is the ratio to the usual latency from which an answer counts as
	// a failure, and slowFloor the least such latency.
	slowFactor = 4.0
	slowFloor  = 300 * time.Millisecond
	// usualGain is the gain of the moving average of the usual latency.
	usualGain = 1.0 / 32
	// usualCap bounds the effect of one slow answer on the usual latency.
	usualCap = 2.0
)

// health decides from the outcomes of requests whether a backend server fails
// although it says that all is well. The owner sees every request of its backend
// server, so no other evidence is needed.
type health struct {
	outcomes    []outcome
	consecutive int
	successes   int
	suspected   bool
	doubtUntil  time.Time
	trialRuns   bool
	trialWait   time.Duration
	trialAt     time.Time
	unsafeWait  time.Duration
	unsafeAt    time.Time
	usual       map[string]time.Duration
}

type outcome struct {
	at time.Time
	ok bool
}

// request is what health needs to know of a request.
type healthRequest struct {
	idempotent, lastResort bool
	// noTrial requests must not test a suspected backend server.
	noTrial bool
}

// accept decides whether a request may run now. trial is true if the request
// tests a suspected backend server.
func (h *health) accept(now time.Time, r healthRequest) (ok, trial bool) {
	switch {
	case !h.suspected && (r.idempotent || !now.Before(h.doubtUntil)):
		return true, false
	case r.lastResort:
		return true, false
	case !h.suspected || h.trialRuns || r.noTrial:
		return false, false
	case r.idempotent && !now.Before(h.trialAt), !r.idempotent && !now.Before(h.unsafeAt):
		h.trialRuns = true
		return true, true
	default:
		return false, false
	}
}

// cancel ends a request without an outcome.
func (h *health) cancel(trial bool) {
	if trial {
		h.trialRuns = false
	}
}

// record takes the outcome of a request and reports whether the suspicion changed.
func (h *health) record(now time.Time, ok, trial bool) (changed bool) {
	if trial {
		h.trialRuns = false
	}
	before := h.suspected
	h.remember(now, ok)
	if !ok {
		h.failed(now)
		return h.suspected != before
	}
	h.consecutive = 0
	h.successes++
	h.doubtUntil, h.trialAt = time.Time{}, time.Time{}
	if h.suspected && h.successes >= trialSuccesses {
		h.suspected = false
		h.outcomes = h.outcomes[:0]
		h.trialWait, h.unsafeWait = 0, 0
	}
	return h.suspected != before
}

func (h *health) failed(now time.Time) {
	h.consecutive++
	h.successes = 0
	h.doubtUntil = now.Add(doubtTime)
	if h.consecutive < suspectAfter && h.failures(now) < windowFailures {
		return
	}
	h.suspected = true
	h.trialWait = min(max(2*h.trialWait, minTrialWait), maxTrialWait)
	h.trialAt = now.Add(h.trialWait)
	h.unsafeWait = min(max(2*h.unsafeWait, minUnsafeTrial), maxUnsafeTrial)
	h.unsafeAt = now.Add(h.unsafeWait)
}

func (h *health) remember(now time.Time, ok bool) {
	h.outcomes = append(h.outcomes, outcome{now, ok})
	if len(h.outcomes) > windowAnswers {
		h.outcomes = h.outcomes[1:]
	}
}

func (h *health) failures(now time.Time) int {
	n := 0
	for _, o := range h.outcomes {
		if !o.ok && now.Sub(o.at) < windowAge {
			n++
		}
	}
	return n
}

// slow reports whether a latency is far beyond the usual one of the route, and
// learns from it.
func (h *health) slow(route string, latency time.Duration) bool {
	if h.usual == nil {
		h.usual = make(map[string]time.Duration)
	}
	usual, known := h.usual[route]
	if !known {
		h.usual[route] = latency
		return false
	}
	learned := min(latency, time.Duration(usualCap*float64(usual)))
	h.usual[route] = usual + time.Duration(usualGain*float64(learned-usual))
	return latency > slowFloor && float64(latency) > slowFactor*float64(usual)
}

// overdue returns the time after which an unfinished request of the route
// counts as a failure.
func (h *health) overdue(route string) time.Duration {
	usual, known := h.usual[route]
	if !known {
		return maxUnsafeTrial
	}
	return max(slowFloor, time.Duration(slowFactor*float64(usual)))
}
