package admission

import (
	"fmt"
	"slices"
	"time"
)

// entry is a request that is waiting, reserved or running.
type entry struct {
	ticket Ticket
	req    Request
	phase  phase
	// since is the time at which the entry entered its current phase.
	since time.Time
}

type phase uint8

const (
	waiting phase = iota
	reserved
	running
)

// Controller decides on the admission of requests to one backend server. Calls
// must be serialized, and the times passed must not decrease.
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
	// blocked is an exclusive request that waits until no request is running.
	blocked *entry
}

// New returns a controller that rejects all requests until the first Announce.
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

// Load returns the load that is attached to responses.
func (c *Controller) Load() Load {
	l := Load{InFlight: uint32(c.inFlight), Queued: uint32(c.queued()), Limit: uint32(c.limit())}
	switch {
	case c.ramp.slots == 0:
	case c.state == Serving:
		l.Weight = c.weight
	case c.state == Trial:
		l.Weight = TrialWeight
	}
	return l
}

// Latency returns the moving average of the request latency, or 0 if no response
// has been recorded.
func (c *Controller) Latency() time.Duration { return c.ramp.serviceTime }

// State returns the service state.
func (c *Controller) State() State { return c.state }

// SetWeight sets the load-balancing weight, 1 to 100, that applies in the Serving
// state. A suspected backend server without an ejection permit gets a lower
// weight.
func (c *Controller) SetWeight(weight uint32) {
	c.weight = min(max(weight, 1), FullWeight)
}

// Announce applies an announcement. A new incarnation starts with a limit of
// one slot, or of all slots if Config.WarmStart applies. An announcement
// without slots means that the previous one expired; all queued requests are
// rejected.
func (c *Controller) Announce(now time.Time, announcement Announcement) []Decision {
	slots := max(announcement.Slots, 0)
	if announcement.Connections > 0 {
		slots = min(slots, announcement.Connections)
	}
	c.ramp.setSlots(slots)
	if announcement.Incarnation != c.incarnation {
		c.incarnation = announcement.Incarnation
		c.ramp.warm = c.cfg.WarmStart && !announcement.Cold
		c.ramp.restart(true)
	}
	if slots == 0 {
		return c.refuseWaiting(CodeNotAnnounced, func(Request) bool { return true })
	}
	return c.dispatch(now)
}

// SetState changes the service state and returns the resulting decisions on
// queued requests. A change to Serving or Trial resets the concurrency limit to
// its initial value.
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

// Offer decides on a request. It also returns decisions on other tickets, which
// are starts and evictions from a full queue.
func (c *Controller) Offer(now time.Time, req Request) (Decision, []Decision) {
	c.lastTicket++
	e := &entry{ticket: c.lastTicket, req: req, since: now}
	if code, after := c.refusal(now, req); code != "" {
		return Decision{Ticket: e.ticket, Outcome: Refused, Code: code, RetryAfter: after}, nil
	}
	var others []Decision
	if c.queued() >= c.cfg.MaxQueue {
		longest := c.queue.longest()
		if longest == nil || len(longest.waiting)*weightOf(req) <= (c.queue.teamLength(req.Team)+1)*longest.weight {
			return c.refuse(e, CodeQueueFull), nil
		}
		// The newest request of the team with the longest queue relative to its
		// weight is evicted, so that one team cannot occupy the whole queue.
		newest := longest.waiting[len(longest.waiting)-1]
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

// refusal returns the code and the retry hint of an immediate rejection. The code
// is empty if the request is not rejected.
func (c *Controller) refusal(now time.Time, req Request) (string, time.Duration) {
	switch {
	case c.ramp.slots == 0:
		return CodeNotAnnounced, c.cfg.RetryAfter
	case c.state == Trial && !req.Idempotent:
		return CodeTrial, c.cfg.RetryAfter
	case c.state != Serving && c.state != Trial:
		return c.state.String(), c.cfg.RetryAfter
	case req.NoWait && (c.inFlight >= c.limit() || c.queued() > 0):
		return CodeBusy, c.expectedWait(req)
	case c.queue.teamLength(req.Team) >= c.cfg.MaxTeamQueue:
		return CodeQueueFull, c.expectedWait(req)
	}
	startBy := req.startBy()
	if startBy.IsZero() {
		return "", 0
	}
	if wait := c.expectedWait(req); !now.Add(wait).Before(startBy) {
		return CodeDeadline, wait
	}
	return "", 0
}

// expectedWait estimates the queueing time of a new request.
func (c *Controller) expectedWait(req Request) time.Duration {
	limit := max(c.limit(), 1)
	ahead := c.queue.ahead(req) + c.inFlight + 1 - limit
	if c.blocked != nil || c.exclusive != nil {
		ahead += limit
	}
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead) * c.ramp.serviceTime / time.Duration(limit)
}

// Commit starts a reserved request. It returns false if the reservation does not
// exist, has expired or is past the deadline of the request; the request must
// not run in these cases.
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

// Done releases the slot of a request and returns decisions on the requests that
// start next.
func (c *Controller) Done(now time.Time, t Ticket, r Result) []Decision {
	e := c.entries[t]
	if e == nil || e.phase == waiting {
		return nil
	}
	c.release(e)
	if e.phase == running {
		switch r {
		case Success, Failure:
			c.ramp.recordResponse(now.Sub(e.since), r == Success)
		case Shed:
			c.ramp.shed()
		case Canceled:
		}
	}
	return c.dispatch(now)
}

// Cancel removes a waiting or reserved request. For a running request it is
// equivalent to Done with Canceled, because the caller has closed the upstream
// connection.
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

// Expire rejects waiting requests that are past their deadline and reservations
// that were not committed in time. It returns these rejections and the requests
// that start instead.
func (c *Controller) Expire(now time.Time) []Decision {
	var out []Decision
	var expired []*entry
	for _, e := range c.entries {
		if e.phase == reserved && c.reservationExpired(now, e) {
			expired = append(expired, e)
		}
	}
	slices.SortFunc(expired, func(a, b *entry) int { return int(a.ticket) - int(b.ticket) })
	for _, e := range expired {
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
	if c.inFlight > c.limit() || c.limit() > c.ramp.slots {
		c.cfg.OnViolation(fmt.Sprintf("running %d, limit %d, slots %d", c.inFlight, c.limit(), c.ramp.slots))
	}
}

func isPast(now, deadline time.Time) bool {
	return !deadline.IsZero() && !now.Before(deadline)
}
