package admission

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// RefusedError reports a request that was refused before dispatch.
type RefusedError struct {
	// Code is the short reason.
	Code string
	// RetryAfter is the time after which the request may be offered again.
	RetryAfter time.Duration
}

// Error returns the refusal code.
func (e *RefusedError) Error() string { return "admission refused: " + e.Code }

// Gate makes a Controller usable from traffic goroutines. It is safe for
// concurrent use. Call Tick at least every 500 ms to expire reservations.
type Gate struct {
	mu      sync.Mutex
	core    *Controller
	waiters map[Ticket]chan Decision
}

// NewGate returns a gate around a new controller.
func NewGate(cfg Config) *Gate {
	return &Gate{core: New(cfg), waiters: make(map[Ticket]chan Decision)}
}

// Acquire waits until the request may start. The caller runs it and then calls
// release exactly once; further calls have no effect. Every error means that
// the request did not run: a *RefusedError, or the error of ctx. The deadline
// of ctx applies if it is earlier than that of the request. A two-phase request
// must use Reserve.
func (g *Gate) Acquire(ctx context.Context, req Request) (release func(Result), err error) {
	req.TwoPhase = false
	t, err := g.wait(ctx, req)
	if err != nil {
		return nil, err
	}
	return g.releaser(t), nil
}

// Reservation is a slot that is held for a two-phase request.
type Reservation struct {
	gate    *Gate
	ticket  Ticket
	release func(Result)
}

// Reserve waits until a slot is reserved for the request. The errors are those
// of Acquire.
func (g *Gate) Reserve(ctx context.Context, req Request) (*Reservation, error) {
	req.TwoPhase = true
	t, err := g.wait(ctx, req)
	if err != nil {
		return nil, err
	}
	return &Reservation{gate: g, ticket: t, release: g.releaser(t)}, nil
}

// Commit allows the request to run. After an error it must not run.
func (r *Reservation) Commit() error {
	g := r.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	ok, decisions := g.core.Commit(time.Now(), r.ticket)
	g.deliver(decisions)
	if !ok {
		return &RefusedError{Code: CodeReservationExpired, RetryAfter: g.core.cfg.RetryAfter}
	}
	return nil
}

// Release frees the slot, whether or not the reservation was committed.
func (r *Reservation) Release(res Result) { r.release(res) }

// Announce passes an announcement to the controller.
func (g *Gate) Announce(a Announcement) {
	g.update(func(now time.Time) []Decision { return g.core.Announce(now, a) })
}

// SetState changes the service state.
func (g *Gate) SetState(s State) {
	g.update(func(now time.Time) []Decision { return g.core.SetState(now, s) })
}

// SetWeight sets the load weight while serving.
func (g *Gate) SetWeight(weight uint32) {
	g.update(func(time.Time) []Decision { g.core.SetWeight(weight); return nil })
}

// Tick expires waiting requests and reservations.
func (g *Gate) Tick() { g.update(g.core.Expire) }

// Load returns the load carried on replies.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Load()
}

// Latency returns the moving average of the time that a request takes, or 0 if
// it is unknown.
func (g *Gate) Latency() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Latency()
}

// State returns the service state.
func (g *Gate) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.State()
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
		return accepted(d)
	case <-ctx.Done():
		g.abandon(ticket)
		return 0, errors.Wrap(ctx.Err(), "admission")
	}
}

// offer returns a channel if the request is queued.
func (g *Gate) offer(req Request) (Ticket, chan Decision, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d, others := g.core.Offer(time.Now(), req)
	g.deliver(others)
	if d.Outcome == Queued {
		ch := make(chan Decision, 1)
		g.waiters[d.Ticket] = ch
		return d.Ticket, ch, nil
	}
	t, err := accepted(d)
	return t, nil, err
}

func accepted(d Decision) (Ticket, error) {
	if d.Outcome == Refused {
		return 0, &RefusedError{Code: d.Code, RetryAfter: d.RetryAfter}
	}
	return d.Ticket, nil
}

// abandon withdraws a ticket whose caller stopped waiting. If it was admitted
// at the same moment, its slot is freed.
func (g *Gate) abandon(t Ticket) {
	g.update(func(now time.Time) []Decision {
		delete(g.waiters, t)
		return g.core.Cancel(now, t)
	})
}

func (g *Gate) releaser(t Ticket) func(Result) {
	return func(r Result) {
		g.update(func(now time.Time) []Decision { return g.core.Done(now, t, r) })
	}
}

func (g *Gate) update(f func(now time.Time) []Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(f(time.Now()))
}

// deliver wakes waiting goroutines; g.mu is held.
func (g *Gate) deliver(decisions []Decision) {
	for _, d := range decisions {
		if ch, ok := g.waiters[d.Ticket]; ok {
			delete(g.waiters, d.Ticket)
			ch <- d
		}
	}
}
