package admission

import "time"

// dispatch starts waiting requests while slots are free.
func (c *Controller) dispatch(now time.Time) []Decision {
	var out []Decision
	if c.state != Serving && c.state != Trial {
		return nil
	}
	for c.inFlight < c.limit() && c.exclusive == nil {
		e := c.nextEntry()
		if e == nil {
			break
		}
		if c.missesDeadline(now, e) {
			out = append(out, c.refuse(e, CodeDeadline))
			continue
		}
		if e.req.Exclusive && c.inFlight > 0 {
			// No other request starts before this one, so that a steady stream of
			// requests does not starve it.
			c.blocked = e
			break
		}
		out = append(out, c.start(now, e))
	}
	return out
}

func (c *Controller) nextEntry() *entry {
	if e := c.blocked; e != nil {
		if c.inFlight > 0 {
			return nil
		}
		c.blocked = nil
		return e
	}
	return c.queue.next(c.limit())
}

// missesDeadline reports whether a request cannot finish before its deadline. A
// request that has waited needs at least the baseline latency as remaining
// time. A request that has not waited only needs an unexpired deadline, because
// the baseline latency is corrected by the responses to admitted requests only.
func (c *Controller) missesDeadline(now time.Time, e *entry) bool {
	if e.req.Deadline.IsZero() {
		return false
	}
	remaining := e.req.Deadline.Sub(now)
	if e.since.Equal(now) {
		return remaining <= 0
	}
	return remaining <= 0 || remaining < c.ramp.baseline
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

// refuseWaiting rejects the waiting requests for which match returns true.
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
		// The queue length gives no estimate, because the end of the state is unknown.
		out[i].RetryAfter = c.cfg.RetryAfter
	}
	return out
}
