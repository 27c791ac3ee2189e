package admission

import "time"

// dispatch starts waiting requests while slots are free.
func (c *Controller) dispatch(now time.Time) []Decision {
	var out []Decision
	if c.state != Serving && c.state != Trial {
		return nil
	}
	for c.inFlight < c.limit() && c.exclusive == nil {
		e := c.takeNext()
		if e == nil {
			break
		}
		if c.tooLate(now, e) {
			out = append(out, c.refuse(e, CodeDeadline))
			continue
		}
		if e.req.Exclusive && c.inFlight > 0 {
			// No other request starts until this one has run, so that it is not
			// starved by a steady stream of requests.
			c.blocked = e
			break
		}
		out = append(out, c.start(now, e))
	}
	return out
}

func (c *Controller) takeNext() *entry {
	if e := c.blocked; e != nil {
		if c.inFlight > 0 {
			return nil
		}
		c.blocked = nil
		return e
	}
	return c.queue.next(c.limit())
}

// tooLate reports whether a request cannot be answered in time. A request that
// waited must have the normal latency left; one that did not wait always gets
// its chance, since a wrong estimate could otherwise never be corrected.
func (c *Controller) tooLate(now time.Time, e *entry) bool {
	if e.req.Deadline.IsZero() {
		return false
	}
	left := e.req.Deadline.Sub(now)
	if e.since.Equal(now) {
		return left <= 0
	}
	return left <= 0 || left < c.ramp.baseline
}

func (c *Controller) start(now time.Time, e *entry) Decision {
	e.phase, e.since = running, now
	if e.req.TwoPhase {
		e.phase = reserved
	}
	if e.req.Exclusive {
		c.exclusive = e
	}
	c.inFlight++
	c.assertLimits()
	return Decision{Ticket: e.ticket, Outcome: Admitted}
}

func (c *Controller) release(e *entry) {
	delete(c.entries, e.ticket)
	c.inFlight--
	if c.exclusive == e {
		c.exclusive = nil
	}
}

func (c *Controller) refuse(e *entry, code string) Decision {
	delete(c.entries, e.ticket)
	after := c.expectedWait(e.req)
	if after <= 0 {
		after = c.cfg.RetryAfter
	}
	return Decision{Ticket: e.ticket, Outcome: Refused, Code: code, RetryAfter: after}
}

// refuseWaiting refuses the waiting requests that match.
func (c *Controller) refuseWaiting(code string, match func(Request) bool) []Decision {
	var out []Decision
	if c.blocked != nil && match(c.blocked.req) {
		out = append(out, c.refuse(c.blocked, code))
		c.blocked = nil
	}
	for _, e := range c.queue.all() {
		if match(e.req) {
			c.queue.remove(e)
			out = append(out, c.refuse(e, code))
		}
	}
	for i := range out {
		// The queue is no hint here: it is unknown when the state ends.
		out[i].RetryAfter = c.cfg.RetryAfter
	}
	return out
}
