package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// newWarmController returns a controller that has ramped up to all slots at a
// latency of 10 ms.
func newWarmController(t *testing.T, slots int, cfg Config) *Controller {
	t.Helper()
	c := New(cfg)
	c.Announce(at(-10_000), Announcement{Slots: slots, Connections: 400, Incarnation: "a"})
	for i := range 8 * slots {
		respond(t, c, -5000+20*i, 10)
	}
	require.EqualValues(t, slots, c.Load().Limit)
	return c
}

func respond(t *testing.T, c *Controller, ms, latency int) {
	t.Helper()
	d, _ := c.Offer(at(ms), Request{Team: "t"})
	require.Equal(t, Admitted, d.Outcome)
	c.Done(at(ms+latency), d.Ticket, Success)
}

func fillSlots(t *testing.T, c *Controller, n int) []Ticket {
	t.Helper()
	var out []Ticket
	for range n {
		d, _ := c.Offer(at(0), Request{Team: "t", Idempotent: true})
		require.Equal(t, Admitted, d.Outcome)
		out = append(out, d.Ticket)
	}
	return out
}

// Guards against sending the full load to a cold backend server, and against a
// limit that does not decrease when the server becomes cold again.
func TestRamp(t *testing.T) {
	cases := []struct {
		name string
		do   func(c *Controller)
		want uint32
	}{
		{"new incarnation", func(c *Controller) {
			c.Announce(at(0), Announcement{Slots: 4, Incarnation: "b"})
		}, 1},
		{"shed request", func(c *Controller) {
			c.Done(at(1), fillSlots(t, c, 1)[0], Shed)
		}, 2},
		{"latency step", func(c *Controller) {
			for i := range 5 {
				respond(t, c, 100*i, 40)
			}
		}, 1},
		{"two slow responses of a heavy tail", func(c *Controller) {
			for i := range 5 {
				respond(t, c, 100*i, 10+30*(i%2))
			}
		}, 4},
		{"fewer slots", func(c *Controller) { c.Announce(at(0), Announcement{Slots: 2, Incarnation: "a"}) }, 2},
		{"fewer connections", func(c *Controller) {
			c.Announce(at(0), Announcement{Slots: 4, Connections: 3, Incarnation: "a"})
		}, 3},
		{"return to service", func(c *Controller) {
			c.SetState(at(0), OutOfService)
			c.SetState(at(1), Serving)
		}, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := newWarmController(t, 4, Config{})
			tc.do(c)
			require.Equal(t, tc.want, c.Load().Limit)
		})
	}
	c := New(Config{})
	c.Announce(at(0), Announcement{Slots: 3, Incarnation: "a"})
	for i := range 7 {
		respond(t, c, 20*i, 10)
	}
	require.EqualValues(t, 1, c.Load().Limit)
	respond(t, c, 200, 10)
	require.EqualValues(t, 2, c.Load().Limit)
}

// Guards against dispatching requests past their deadline, and against queueing
// a request that cannot finish before its deadline.
func TestDeadline(t *testing.T) {
	c := newWarmController(t, 2, Config{})
	running := fillSlots(t, c, 2)
	late, _ := c.Offer(at(0), Request{Team: "t", Deadline: at(30)})
	require.Equal(t, Queued, late.Outcome)
	for range 10 {
		c.Offer(at(0), Request{Team: "t"})
	}
	d, _ := c.Offer(at(0), Request{Team: "t", Deadline: at(30)})
	require.Equal(t, CodeDeadline, d.Code)
	require.Positive(t, d.RetryAfter)
	out := c.Done(at(25), running[0], Success)
	require.Equal(t, CodeDeadline, out[0].Code, "the remaining 5 ms are less than the baseline latency of 10 ms")
	require.Equal(t, late.Ticket, out[0].Ticket)
	require.Equal(t, Admitted, out[1].Outcome)
}

// Guards against one team that occupies the whole queue.
func TestQueueBounds(t *testing.T) {
	c := newWarmController(t, 1, Config{MaxTeamQueue: 4, MaxQueue: 6})
	fillSlots(t, c, 1)
	var newest Ticket
	for range 4 {
		d, _ := c.Offer(at(0), Request{Team: "a"})
		require.Equal(t, Queued, d.Outcome)
		newest = d.Ticket
	}
	d, _ := c.Offer(at(0), Request{Team: "a"})
	require.Equal(t, CodeQueueFull, d.Code, "the queue of the team is full")
	for range 2 {
		d, _ := c.Offer(at(0), Request{Team: "b"})
		require.Equal(t, Queued, d.Outcome)
	}
	d, others := c.Offer(at(0), Request{Team: "c"})
	require.Equal(t, Queued, d.Outcome)
	require.Len(t, others, 1)
	require.Equal(t, newest, others[0].Ticket)
	require.Equal(t, CodeQueueFull, others[0].Code)
	require.EqualValues(t, 6, c.Load().Queued)
}

// Guards against scheduling that ignores the weights of the teams.
func TestWeights(t *testing.T) {
	c := newWarmController(t, 1, Config{MaxTeamQueue: 100, MaxQueue: 500})
	run := fillSlots(t, c, 1)[0]
	team := map[Ticket]string{}
	for range 90 {
		for name, w := range map[string]uint32{"a": 3, "b": 1} {
			d, _ := c.Offer(at(0), Request{Team: name, Weight: w})
			team[d.Ticket] = name
		}
	}
	served := map[string]int{}
	for i := range 100 {
		out := c.Done(at(i), run, Success)
		run = out[0].Ticket
		served[team[run]]++
	}
	require.Equal(t, 75, served["a"])
}

// Guards against a reservation that is not released, and against a commit that
// starts a request whose slot was assigned to another request.
func TestReservation(t *testing.T) {
	c := newWarmController(t, 1, Config{})
	d, _ := c.Offer(at(0), Request{Team: "t", TwoPhase: true})
	next, _ := c.Offer(at(0), Request{Team: "t", TwoPhase: true})
	require.Empty(t, c.Expire(at(1999)))
	out := c.Expire(at(2000))
	require.Equal(t, []Decision{
		{Ticket: d.Ticket, Outcome: Refused, Code: CodeReservationExpired, RetryAfter: time.Second},
		{Ticket: next.Ticket, Outcome: Admitted},
	}, out)
	ok, _ := c.Commit(at(2000), d.Ticket)
	require.False(t, ok)
	ok, _ = c.Commit(at(3999), next.Ticket)
	require.True(t, ok)
	require.Empty(t, c.Expire(at(9000)), "a committed request has no reservation timeout")
	c.Done(at(9000), next.Ticket, Success)
	last, _ := c.Offer(at(9000), Request{Team: "t", TwoPhase: true})
	ok, _ = c.Commit(at(11_000), last.Ticket)
	require.False(t, ok, "a commit before the next Expire must check the timeout")
	require.Zero(t, c.Load().InFlight)
}

// Guards against accepting a request in a state that rejects it.
func TestStates(t *testing.T) {
	for _, s := range []State{Leaving, OutOfService, Ejected} {
		c := newWarmController(t, 1, Config{})
		run := fillSlots(t, c, 1)[0]
		q, _ := c.Offer(at(0), Request{Team: "t"})
		out := c.SetState(at(1), s)
		require.Equal(t, []Decision{{Ticket: q.Ticket, Outcome: Refused, Code: s.String(), RetryAfter: time.Second}}, out)
		require.Zero(t, c.Load().Weight)
		d, _ := c.Offer(at(2), Request{Team: "t"})
		require.Equal(t, s.String(), d.Code)
		require.EqualValues(t, 1, c.Load().InFlight, "running requests finish")
		c.Done(at(3), run, Success)
	}
	c := newWarmController(t, 3, Config{})
	c.SetState(at(0), Trial)
	d, _ := c.Offer(at(0), Request{Team: "t"})
	require.Equal(t, CodeTrial, d.Code)
	for i := range 8 {
		d, _ = c.Offer(at(-100+10*i), Request{Team: "t", Idempotent: true})
		c.Done(at(-90+10*i), d.Ticket, Success)
	}
	fillSlots(t, c, 1)
	d, _ = c.Offer(at(0), Request{Team: "t", Idempotent: true})
	require.Equal(t, Queued, d.Outcome)
}

// Guards against requests with two decisions or none, requests that run
// concurrently with an exclusive request, requests in a trial that are not
// idempotent and starts past the deadline. The controller itself checks that no
// more requests run than its limit allows.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := &history{rt: rt, c: New(Config{MaxTeamQueue: 5, MaxQueue: 12, SuccessesPerSlot: 1, SlowFactor: 1e6}), reqs: map[Ticket]Request{}, started: map[Ticket]bool{}}
		h.c.Announce(at(0), Announcement{Slots: 3, Incarnation: "a"})
		for now := range rapid.IntRange(20, 300).Draw(rt, "steps") {
			h.step(now * 7)
		}
		h.record(1e6, h.c.Expire(at(1e6)))
		h.record(1e6, h.c.SetState(at(1e6), Leaving))
		for ticket := range h.started {
			h.c.Done(at(1e6), ticket, Success)
		}
		if l := h.c.Load(); l.InFlight != 0 || l.Queued != 0 || len(h.c.entries) != 0 {
			rt.Fatalf("requests remain after the last step: %+v", l)
		}
		for ticket := range h.reqs {
			if !h.started[ticket] {
				rt.Fatalf("ticket %d has no decision", ticket)
			}
		}
	})
}

type history struct {
	rt      *rapid.T
	c       *Controller
	reqs    map[Ticket]Request
	started map[Ticket]bool
}

func (h *history) step(ms int) {
	draw := func(n int, name string) int { return rapid.IntRange(0, n-1).Draw(h.rt, name) }
	switch draw(30, "op") {
	case 0:
		h.record(ms, h.c.SetState(at(ms), []State{Serving, Serving, Trial, Leaving, Ejected}[draw(5, "state")]))
	case 1:
		h.record(ms, h.c.Announce(at(ms), Announcement{Slots: draw(5, "slots"), Incarnation: string(rune('a' + draw(9, "inc")/8))}))
	case 2:
		h.record(ms, h.c.Expire(at(ms)))
	case 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14:
		if t := h.pick(draw(4, "ticket")); h.started[t] {
			delete(h.started, t)
			delete(h.reqs, t)
			h.record(ms, h.c.Done(at(ms), t, []Result{Success, Success, Success, Failure, Shed, Canceled}[draw(6, "result")]))
		}
	default:
		req := Request{Team: string(rune('a' + draw(3, "team"))), Weight: uint32(draw(4, "weight")), Idempotent: draw(2, "idem") == 0, Exclusive: draw(5, "excl") == 0, TwoPhase: draw(4, "two") == 0}
		if draw(3, "dl") == 0 {
			req.Deadline = at(ms + draw(100, "deadline"))
		}
		d, others := h.c.Offer(at(ms), req)
		h.reqs[d.Ticket] = req
		h.record(ms, others)
		h.record(ms, []Decision{d})
	}
}

// pick returns the started ticket at index n in order of age, or 0.
func (h *history) pick(n int) Ticket {
	for t := Ticket(1); t <= h.c.lastTicket; t++ {
		if h.started[t] {
			if n--; n < 0 {
				return t
			}
		}
	}
	return 0
}

func (h *history) record(ms int, ds []Decision) {
	for _, d := range ds {
		req, known := h.reqs[d.Ticket]
		if !known || (h.started[d.Ticket] && d.Code != CodeReservationExpired) {
			h.rt.Fatalf("unexpected decision %+v", d)
		}
		switch d.Outcome {
		case Refused:
			delete(h.reqs, d.Ticket)
			delete(h.started, d.Ticket)
		case Admitted:
			h.started[d.Ticket] = true
			for other := range h.started {
				if other != d.Ticket && (req.Exclusive || h.reqs[other].Exclusive) && h.c.entries[d.Ticket] != nil {
					h.rt.Fatalf("ticket %d runs concurrently with an exclusive request", d.Ticket)
				}
			}
			if isPast(at(ms), req.Deadline) || (h.c.state == Trial && !req.Idempotent) || (h.c.state != Trial && h.c.state != Serving) {
				h.rt.Fatalf("request %+v must not start in state %v", req, h.c.state)
			}
		case Queued:
		}
	}
}
