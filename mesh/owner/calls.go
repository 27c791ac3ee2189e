package owner

import "time"

// callGrace is the time for which the end of a call explains a failure of the
// request that made it.
const callGrace = 100 * time.Millisecond

// calls keeps track of the calls that the backend server makes while it runs
// requests. A request that fails because of a call says nothing about the health
// of the backend server.
type calls struct {
	running          int
	failedAt, lastAt time.Time
	// waited is the total time during which at least one call was running, up to
	// the begin of the current such time, since.
	waited time.Duration
	since  time.Time
}

// waiting returns the total time during which at least one call was running.
func (c *calls) waiting(now time.Time) time.Duration {
	if c.running == 0 {
		return c.waited
	}
	return c.waited + now.Sub(c.since)
}

// BeginCall notes that the backend server makes a call.
func (o *Owner) BeginCall() {
	o.mu.Lock()
	if o.calls.running++; o.calls.running == 1 {
		o.calls.since = time.Now()
	}
	o.mu.Unlock()
}

// EndCall notes that a call was answered.
func (o *Owner) EndCall(failed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	o.calls.waited = o.calls.waiting(now)
	o.calls.since = now
	o.calls.running--
	o.calls.lastAt = now
	if failed {
		o.calls.failedAt = now
	}
}

// explain reports whether a call may be the cause of a failure of a request that
// began at a time. outOfTime means that the request failed by its deadline.
func (c *calls) explain(now, began time.Time, outOfTime bool) bool {
	if c.failedAt.After(began) {
		return true
	}
	return outOfTime && (c.running > 0 || now.Sub(c.lastAt) < callGrace && c.lastAt.After(began))
}
