package admission

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// RefusedError reports a request that was rejected before dispatch.
type RefusedError struct {
	// Code is the machine-readable reason.
	Code string
	// RetryAfter is the time after which the request may be offered again.
	RetryAfter time.Duration
}

// Error returns a message with the refusal code.
func (e *RefusedError) Error() string { return "admission refused: " + e.Code }

// Gate is a Controller that is safe for concurrent use and blocks callers while
// their requests are queued. Tick must be called at least every 500 ms to expire
// reservations.
type Gate struct {
	mu         sync.Mutex
	controller *Controller
	waiters    map[Ticket]chan Decision
}

// NewGate returns a gate with a new controller.
func NewGate(cfg Config) *Gate {
	return &Gate{controller: New(cfg), waiters: make(map[Ticket]chan Decision)}
}

// Acquire blocks until the request may start. The caller runs the request and
// then calls release; further calls of release have no effect. An error is
// either a *RefusedError or the error of ctx and means that the request must
// not run. The deadline of ctx applies if it is earlier than that of the
// request. Two-phase requests use Reserve instead.
func (g *Gate) Acquire(ctx context.Context, req Request) (release func(Result), err error) {
	req.TwoPhase = false
	t, err := g.wait(ctx, req)
	if err != nil {
		return nil, err
	}
	return g.releaseFunc(t), nil
}

// Reservation is a slot that is reserved for a two-phase request.
type Reservation struct {
	gate    *Gate
	ticket  Ticket
	release func(Result)
}

// Reserve blocks until a slot is reserved for the request. It returns the same
// errors as Acquire.
func (g *Gate) Reserve(ctx context.Context, req Request) (*Reservation, error) {
	req.TwoPhase = true
	t, err := g.wait(ctx, req)
	if err != nil {
		return nil, err
	}
	return &Reservation{gate: g, ticket: t, release: g.releaseFunc(t)}, nil
}

// Commit starts the request. After an error the request must not run.
func (r *Reservation) Commit() error {
	g := r.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	ok, decisions := g.controller.Commit(time.Now(), r.ticket)
	g.deliver(decisions)
	if !ok {
		return &RefusedError{Code: CodeReservationExpired, RetryAfter: g.controller.cfg.RetryAfter}
	}
	return nil
}

// Release releases the slot, whether or not the reservation was committed.
func (r *Reservation) Release(res Result) { r.release(res) }

// Announce passes an announcement to the controller.
func (g *Gate) Announce(a Announcement) {
	g.update(func(now time.Time) []Decision { return g.controller.Announce(now, a) })
}

// SetState changes the service state.
func (g *Gate) SetState(s State) {
	g.update(func(now time.Time) []Decision { return g.controller.SetState(now, s) })
}

// SetWeight sets the load-balancing weight that applies in the Serving state.
func (g *Gate) SetWeight(weight uint32) {
	g.update(func(time.Time) []Decision { g.controller.SetWeight(weight); return nil })
}

// Tick expires waiting requests that are past their deadline and reservations
// that were not committed in time.
func (g *Gate) Tick() { g.update(g.controller.Expire) }

// Load returns the load that is attached to responses.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.Load()
}

// Latency returns the moving average of the request latency, or 0 if no response
// has been recorded.
func (g *Gate) Latency() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.Latency()
}

// State returns the service state.
func (g *Gate) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.State()
}

func (g *Gate) wait(ctx context.Context, req Request) (Ticket, error) {
	if err := ctx.Err(); err != nil {
		return 0, errors.Wrap(err, "admission")
	}
	if d, ok := ctx.Deadline(); ok && (req.Deadline.IsZero() || d.Before(req.Deadline)) {
		req.Deadline = d
	}
	ticket, ch, err := g.offer(req)
	if err != nil || ch == nil {
		return ticket, err
	}
	select {
	case d := <-ch:
		return admittedTicket(d)
	case <-ctx.Done():
		g.cancel(ticket)
		return 0, errors.Wrap(ctx.Err(), "admission")
	}
}

// offer submits a request. The channel is nil unless the request is queued.
func (g *Gate) offer(req Request) (Ticket, chan Decision, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d, others := g.controller.Offer(time.Now(), req)
	g.deliver(others)
	if d.Outcome == Queued {
		ch := make(chan Decision, 1)
		g.waiters[d.Ticket] = ch
		return d.Ticket, ch, nil
	}
	t, err := admittedTicket(d)
	return t, nil, err
}

func admittedTicket(d Decision) (Ticket, error) {
	if d.Outcome == Refused {
		return 0, &RefusedError{Code: d.Code, RetryAfter: d.RetryAfter}
	}
	return d.Ticket, nil
}

// cancel withdraws a ticket whose caller stopped waiting. If the request was
// admitted concurrently, its slot is released.
func (g *Gate) cancel(t Ticket) {
	g.update(func(now time.Time) []Decision {
		delete(g.waiters, t)
		return g.controller.Cancel(now, t)
	})
}

func (g *Gate) releaseFunc(t Ticket) func(Result) {
	return func(r Result) {
		g.update(func(now time.Time) []Decision { return g.controller.Done(now, t, r) })
	}
}

func (g *Gate) update(f func(now time.Time) []Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(f(time.Now()))
}

// deliver sends decisions to the waiting goroutines. The caller holds g.mu.
func (g *Gate) deliver(decisions []Decision) {
	for _, d := range decisions {
		if ch, ok := g.waiters[d.Ticket]; ok {
			delete(g.waiters, d.Ticket)
			ch <- d
		}
	}
}
