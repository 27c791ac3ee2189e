package admission

import (
	"fmt"
	"slices"
	"time"
)

// entry is a request known to the controller.
type entry struct {
	ticket Ticket
	req    Request
	phase  phase
	// since is the time at which the entry reached its phase.
	since time.Time
}

type phase uint8

const (
	waiting phase = iota
	reserved
	running
)

// Controller admits requests to one backend server. The caller serialises calls
// and passes times that do not decrease.
type Controller struct {
	cfg         Config
	state       State
	weight      uint32
	incarnation string
	ramp        ramp
	queue       *fairQueue
	entries     map[Ticket]*entry
	lastTicket  Ticket
	inFlight    int
	exclusive   *entry
	// blocked is an exclusive request that waits for running ones to finish.
	blocked *entry
}

// New returns a controller that refuses everything until the first Announce.
func New(cfg Config) *Controller {
	cfg = cfg.withDefaults()
	return &Controller{
		cfg:     cfg,
		weight:  FullWeight,
		ramp:    ramp{cfg: cfg},
		queue:   newFairQueue(),
		entries: make(map[Ticket]*entry),
	}
}

// Load returns the load carried on replies.
func (c *Controller) Load() Load {
	l := Load{InFlight: uint32(c.inFlight), Queued: uint32(c.queued()), Limit: uint32(c.limit())}
	switch {
	case c.ramp.cap == 0:
	case c.state == Serving:
		l.Weight = c.weight
	case c.state == Trial:
		l.Weight = TrialWeight
	}
	return l
}

// Latency returns the moving average of the time that a request takes, or 0 if
// it is unknown.
func (c *Controller) Latency() time.Duration { return c.ramp.service }

// State returns the service state.
func (c *Controller) State() State { return c.state }

// SetWeight sets the load weight while serving, 1 to 100. A suspected backend
// server without an ejection permit gets a lower weight.
func (c *Controller) SetWeight(weight uint32) {
	c.weight = min(max(weight, 1), FullWeight)
}

// Announce takes over an announcement. A new incarnation starts at one slot. No
// slots means that the announcement lapsed: everything queued is refused.
func (c *Controller) Announce(now time.Time, a Announcement) []Decision {
	slots := max(a.Slots, 0)
	if a.Connections > 0 {
		slots = min(slots, a.Connections)
	}
	c.ramp.setCap(slots)
	if a.Incarnation != c.incarnation {
		c.incarnation = a.Incarnation
		c.ramp.warm = c.cfg.WarmStart && !a.Cold
		c.ramp.restart(true)
	}
	if slots == 0 {
		return c.refuseWaiting(CodeNotAnnounced, func(Request) bool { return true })
	}
	return c.dispatch(now)
}

// SetState changes the service state and returns the refusals and starts that
// follow. A backend server that returns to service ramps up from one slot.
func (c *Controller) SetState(now time.Time, s State) []Decision {
	if s == c.state {
		return nil
	}
	c.state = s
	switch s {
	case Serving:
		c.ramp.restart(false)
		return c.dispatch(now)
	case Trial:
		c.ramp.restart(false)
		out := c.refuseWaiting(CodeTrial, func(r Request) bool { return !r.Idempotent })
		return append(out, c.dispatch(now)...)
	default:
		return c.refuseWaiting(s.String(), func(Request) bool { return true })
	}
}

// Offer decides on a request. Besides the decision on the request it returns
// decisions on other tickets: starts, and evictions from a full queue.
func (c *Controller) Offer(now time.Time, req Request) (Decision, []Decision) {
	c.lastTicket++
	e := &entry{ticket: c.lastTicket, req: req, since: now}
	if code, after := c.refusal(now, req); code != "" {
		return Decision{Ticket: e.ticket, Outcome: Refused, Code: code, RetryAfter: after}, nil
	}
	var others []Decision
	if c.queued() >= c.cfg.TotalQueue {
		victim := c.queue.longest()
		if victim == nil || len(victim.waiting)*weightOf(req) <= (c.queue.teamLength(req.Team)+1)*victim.weight {
			return c.refuse(e, CodeQueueFull), nil
		}
		// The newest request of the team that uses most of the queue makes room,
		// so that one team cannot fill the queue for all.
		newest := victim.waiting[len(victim.waiting)-1]
		c.queue.remove(newest)
		others = append(others, c.refuse(newest, CodeQueueFull))
	}
	c.entries[e.ticket] = e
	c.queue.push(e)
	own := Decision{Ticket: e.ticket, Outcome: Queued}
	for _, d := range c.dispatch(now) {
		if d.Ticket == e.ticket {
			own = d
		} else {
			others = append(others, d)
		}
	}
	return own, others
}

// refusal returns the code of an immediate refusal, or "".
func (c *Controller) refusal(now time.Time, req Request) (string, time.Duration) {
	switch {
	case c.ramp.cap == 0:
		return CodeNotAnnounced, c.cfg.RetryAfter
	case c.state == Trial && !req.Idempotent:
		return CodeTrial, c.cfg.RetryAfter
	case c.state != Serving && c.state != Trial:
		return c.state.String(), c.cfg.RetryAfter
	case req.NoWait && (c.inFlight >= c.limit() || c.queued() > 0):
		return CodeBusy, c.expectedWait(req)
	case c.queue.teamLength(req.Team) >= c.cfg.TeamQueue:
		return CodeQueueFull, c.expectedWait(req)
	}
	by := req.startBy()
	if by.IsZero() {
		return "", 0
	}
	if wait := c.expectedWait(req); !now.Add(wait).Before(by) {
		return CodeDeadline, wait
	}
	return "", 0
}

// expectedWait estimates the time that a new request spends in the queue.
func (c *Controller) expectedWait(req Request) time.Duration {
	limit := max(c.limit(), 1)
	ahead := c.queue.ahead(req) + c.inFlight + 1 - limit
	if c.blocked != nil || c.exclusive != nil {
		ahead += limit
	}
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead) * c.ramp.service / time.Duration(limit)
}

// Commit starts a reserved request. It returns false if the reservation is gone,
// expired or past its deadline; the request then must not run.
func (c *Controller) Commit(now time.Time, t Ticket) (bool, []Decision) {
	e := c.entries[t]
	if e == nil || e.phase != reserved {
		return false, nil
	}
	if c.reservationExpired(now, e) || isPast(now, e.req.Deadline) {
		c.release(e)
		return false, c.dispatch(now)
	}
	e.phase, e.since = running, now
	return true, nil
}

// Done frees the slot of a request that ran and returns what starts next.
func (c *Controller) Done(now time.Time, t Ticket, r Result) []Decision {
	e := c.entries[t]
	if e == nil || e.phase == waiting {
		return nil
	}
	c.release(e)
	if e.phase == running {
		switch r {
		case Success, Failure:
			c.ramp.answer(now.Sub(e.since), r == Success)
		case Shed:
			c.ramp.shed()
		case Canceled:
		}
	}
	return c.dispatch(now)
}

// Cancel withdraws a request that waits or is reserved. For a running request
// it is Done with Canceled: the caller has closed the backend connection.
func (c *Controller) Cancel(now time.Time, t Ticket) []Decision {
	e := c.entries[t]
	switch {
	case e == nil:
		return nil
	case e.phase != waiting:
		return c.Done(now, t, Canceled)
	case c.blocked == e:
		c.blocked = nil
	default:
		c.queue.remove(e)
	}
	delete(c.entries, t)
	return c.dispatch(now)
}

// Expire refuses waiting requests past their deadline and reservations without
// a commit, and returns these refusals and what starts instead.
func (c *Controller) Expire(now time.Time) []Decision {
	var out []Decision
	var lapsed []*entry
	for _, e := range c.entries {
		if e.phase == reserved && c.reservationExpired(now, e) {
			lapsed = append(lapsed, e)
		}
	}
	slices.SortFunc(lapsed, func(a, b *entry) int { return int(a.ticket) - int(b.ticket) })
	for _, e := range lapsed {
		c.release(e)
		out = append(out, Decision{Ticket: e.ticket, Outcome: Refused, Code: CodeReservationExpired, RetryAfter: c.cfg.RetryAfter})
	}
	for _, e := range c.queue.all() {
		if isPast(now, e.req.startBy()) {
			c.queue.remove(e)
			out = append(out, c.refuse(e, CodeDeadline))
		}
	}
	if c.blocked != nil && isPast(now, c.blocked.req.Deadline) {
		out = append(out, c.refuse(c.blocked, CodeDeadline))
		c.blocked = nil
	}
	return append(out, c.dispatch(now)...)
}

func (c *Controller) queued() int {
	if c.blocked != nil {
		return c.queue.length + 1
	}
	return c.queue.length
}

func (c *Controller) limit() int {
	if c.state == Trial {
		return min(c.ramp.limit, 1)
	}
	return c.ramp.limit
}

func (c *Controller) reservationExpired(now time.Time, e *entry) bool {
	return now.Sub(e.since) >= c.cfg.ReservationTimeout
}

func (c *Controller) assertLimits() {
	if c.inFlight > c.limit() || c.limit() > c.ramp.cap {
		c.cfg.Violated(fmt.Sprintf("running %d, limit %d, slots %d", c.inFlight, c.limit(), c.ramp.cap))
	}
}

func isPast(now, deadline time.Time) bool {
	return !deadline.IsZero() && !now.Before(deadline)
}
