package owner

import "time"

const (
	// consecutiveFailureThreshold is the number of consecutive failures after which a
	// backend server is suspected. Healthy backend servers fail one request in 80, so
	// two consecutive failures are unlikely.
	consecutiveFailureThreshold = 2
	// windowFailureThreshold is the number of failures among the last windowSize
	// outcomes after which a backend server is suspected even if its failures are not
	// consecutive.
	windowSize             = 6
	windowFailureThreshold = 3
	// outcomeMaxAge is the age above which an outcome is ignored.
	outcomeMaxAge = 10 * time.Second
	// idempotentOnlyTime is the time after a single failure during which only
	// idempotent requests are accepted. Their outcome confirms or clears the failure.
	idempotentOnlyTime = 1500 * time.Millisecond
	// minTrialBackoff and maxTrialBackoff bound the exponential backoff between failed
	// trial requests to a suspected backend server. Each failed trial consumes a
	// retry, and failures last 10 to 20 s. There is no backoff after a successful trial.
	minTrialBackoff = 400 * time.Millisecond
	maxTrialBackoff = 1500 * time.Millisecond
	// trialSuccesses is the number of consecutive successes that clear a suspicion.
	trialSuccesses = 2
	// minNonIdempotentBackoff and maxNonIdempotentBackoff bound the exponential backoff
	// after which a request that is not idempotent may be the trial request to a
	// suspected backend server, if no idempotent request has cleared the suspicion.
	minNonIdempotentBackoff = 8 * time.Second
	maxNonIdempotentBackoff = 16 * time.Second
	// slowFactor is the multiple of the baseline latency above which a response
	// counts as a failure. Latencies up to minSlowLatency never do.
	slowFactor     = 4.0
	minSlowLatency = 300 * time.Millisecond
	// baselineGain is the gain of the exponential moving average of the latency.
	baselineGain = 1.0 / 32
	// baselineCap is the multiple of the baseline at which a sample is capped, so that
	// one slow response has little effect on the average.
	baselineCap = 2.0
)

// health detects a failing backend server from the outcomes of its requests
// (passive health checks, outlier detection), regardless of its heartbeats. The
// owner observes every request to its backend server and needs no other source.
type health struct {
	outcomes               []outcome
	consecutiveFailures    int
	consecutiveSuccesses   int
	suspected              bool
	idempotentOnlyUntil    time.Time
	trialRunning           bool
	trialBackoff           time.Duration
	nextTrial              time.Time
	nonIdempotentBackoff   time.Duration
	nextNonIdempotentTrial time.Time
	baselines              map[string]time.Duration
}

type outcome struct {
	at time.Time
	ok bool
}

// healthRequest holds the properties of a request on which its acceptance depends.
type healthRequest struct {
	idempotent, lastResort bool
	// noTrial excludes the request from trials of a suspected backend server.
	noTrial bool
}

// accept reports whether a request may run now, and whether it is a trial request
// to a suspected backend server.
func (h *health) accept(now time.Time, r healthRequest) (ok, trial bool) {
	switch {
	case !h.suspected && (r.idempotent || !now.Before(h.idempotentOnlyUntil)):
		return true, false
	case r.lastResort:
		return true, false
	case !h.suspected || h.trialRunning || r.noTrial:
		return false, false
	case r.idempotent && !now.Before(h.nextTrial), !r.idempotent && !now.Before(h.nextNonIdempotentTrial):
		h.trialRunning = true
		return true, true
	default:
		return false, false
	}
}

// cancel ends a request without recording an outcome.
func (h *health) cancel(trial bool) {
	if trial {
		h.trialRunning = false
	}
}

// record records the outcome of a request and reports whether the suspicion changed.
func (h *health) record(now time.Time, ok, trial bool) (changed bool) {
	if trial {
		h.trialRunning = false
	}
	before := h.suspected
	h.appendOutcome(now, ok)
	if !ok {
		h.recordFailure(now)
		return h.suspected != before
	}
	h.consecutiveFailures = 0
	h.consecutiveSuccesses++
	h.idempotentOnlyUntil, h.nextTrial = time.Time{}, time.Time{}
	if h.suspected && h.consecutiveSuccesses >= trialSuccesses {
		h.suspected = false
		h.outcomes = h.outcomes[:0]
		h.trialBackoff, h.nonIdempotentBackoff = 0, 0
	}
	return h.suspected != before
}

func (h *health) recordFailure(now time.Time) {
	h.consecutiveFailures++
	h.consecutiveSuccesses = 0
	h.idempotentOnlyUntil = now.Add(idempotentOnlyTime)
	if h.consecutiveFailures < consecutiveFailureThreshold && h.recentFailures(now) < windowFailureThreshold {
		return
	}
	h.suspected = true
	h.trialBackoff = min(max(2*h.trialBackoff, minTrialBackoff), maxTrialBackoff)
	h.nextTrial = now.Add(h.trialBackoff)
	h.nonIdempotentBackoff = min(max(2*h.nonIdempotentBackoff, minNonIdempotentBackoff), maxNonIdempotentBackoff)
	h.nextNonIdempotentTrial = now.Add(h.nonIdempotentBackoff)
}

func (h *health) appendOutcome(now time.Time, ok bool) {
	h.outcomes = append(h.outcomes, outcome{now, ok})
	if len(h.outcomes) > windowSize {
		h.outcomes = h.outcomes[1:]
	}
}

func (h *health) recentFailures(now time.Time) int {
	n := 0
	for _, o := range h.outcomes {
		if !o.ok && now.Sub(o.at) < outcomeMaxAge {
			n++
		}
	}
	return n
}

// observeLatency reports whether a latency far exceeds the baseline of the route,
// and then updates the baseline.
func (h *health) observeLatency(route string, latency time.Duration) bool {
	if h.baselines == nil {
		h.baselines = make(map[string]time.Duration)
	}
	baseline, found := h.baselines[route]
	if !found {
		h.baselines[route] = latency
		return false
	}
	sample := min(latency, time.Duration(baselineCap*float64(baseline)))
	h.baselines[route] = baseline + time.Duration(baselineGain*float64(sample-baseline))
	return latency > minSlowLatency && float64(latency) > slowFactor*float64(baseline)
}

// overdueAfter returns the time after which an unfinished request of the route
// counts as a failure. Without a baseline it is maxNonIdempotentBackoff.
func (h *health) overdueAfter(route string) time.Duration {
	baseline, found := h.baselines[route]
	if !found {
		return maxNonIdempotentBackoff
	}
	return max(minSlowLatency, time.Duration(slowFactor*float64(baseline)))
}
