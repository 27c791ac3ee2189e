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
}

// BeginCall notes that the backend server makes a call.
func (o *Owner) BeginCall() {
	o.mu.Lock()
	o.calls.running++
	o.mu.Unlock()
}

// EndCall notes that a call was answered.
func (o *Owner) EndCall(failed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
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
