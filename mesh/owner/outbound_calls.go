package owner

import "time"

// outboundCallGrace is the time after the end of an outbound call for which the
// call may be the cause of a timeout of the request that made it.
const outboundCallGrace = 100 * time.Millisecond

// outboundCalls tracks the calls to other services that the backend server makes
// while it runs requests. A request that fails because of an outbound call is no
// evidence of a failure of the backend server.
type outboundCalls struct {
	running              int
	lastFailure, lastEnd time.Time
	// completedWait is the total time during which at least one call was running,
	// without the current period, which began at periodStart.
	completedWait time.Duration
	periodStart   time.Time
}

// waitTime returns the total time during which at least one call was running.
func (c *outboundCalls) waitTime(now time.Time) time.Duration {
	if c.running == 0 {
		return c.completedWait
	}
	return c.completedWait + now.Sub(c.periodStart)
}

// BeginOutboundCall records that the backend server has started an outbound call.
func (o *Owner) BeginOutboundCall() {
	o.mu.Lock()
	if o.outbound.running++; o.outbound.running == 1 {
		o.outbound.periodStart = time.Now()
	}
	o.mu.Unlock()
}

// EndOutboundCall records the end of an outbound call of the backend server.
func (o *Owner) EndOutboundCall(failed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	o.outbound.completedWait = o.outbound.waitTime(now)
	o.outbound.periodStart = now
	o.outbound.running--
	o.outbound.lastEnd = now
	if failed {
		o.outbound.lastFailure = now
	}
}

// mayHaveCausedFailure reports whether an outbound call may have caused the failure
// of a request that started at the given time. timedOut means that the request
// failed at its deadline.
func (c *outboundCalls) mayHaveCausedFailure(now, startedAt time.Time, timedOut bool) bool {
	if c.lastFailure.After(startedAt) {
		return true
	}
	return timedOut && (c.running > 0 || now.Sub(c.lastEnd) < outboundCallGrace && c.lastEnd.After(startedAt))
}

// RepeatShare returns the share of the running requests that were sent to a backend server
// before. It estimates the probability that a call of this backend server is
// made for such a request.
func (o *Owner) RepeatShare() float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.backend == nil || len(o.backend.inFlight) == 0 {
		return 0
	}
	repeats := 0
	for r := range o.backend.inFlight {
		if r.offer.GetRepeat() {
			repeats++
		}
	}
	return float64(repeats) / float64(len(o.backend.inFlight))
}
