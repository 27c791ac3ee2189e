package node

import (
	"sync"
	"time"

	"trefoildock.example/admission"
	"trefoildock.example/invariant"
	"trefoildock.example/verdict"
	"trefoildock.example/wire"
)

const (
	// outOfServiceGrace is the time after which no request may be dispatched to a
	// backend server that accepts no new work. It covers requests that were
	// admitted before the change.
	outOfServiceGrace = 2 * time.Second
	// dispatchedIDRetention and maxDispatchedIDs bound the retention of the IDs
	// of dispatched requests.
	dispatchedIDRetention = time.Minute
	maxDispatchedIDs      = 8192
)

// dispatchChecks verifies each dispatch of an owner, independently of the code
// that it checks. It is safe for concurrent use.
type dispatchChecks struct {
	invariants *invariant.Recorder

	mu            sync.Mutex
	dispatchedIDs map[string]time.Time // IDs of requests that may run only once
}

func newDispatchChecks(r *invariant.Recorder) *dispatchChecks {
	return &dispatchChecks{invariants: r, dispatchedIDs: make(map[string]time.Time)}
}

// recordState records the time from which the backend server accepts no new
// work.
func (d *dispatcher) recordState(s admission.State, now time.Time) {
	if s == admission.Serving || s == admission.Trial {
		d.outOfServiceSince.Store(0)
		return
	}
	d.outByOperator.Store(s == admission.OutOfService)
	d.outOfServiceSince.CompareAndSwap(0, now.UnixNano())
}

// beforeDispatch checks a request immediately before it is sent to a backend
// server.
func (c *dispatchChecks) beforeDispatch(o *wire.Offer, d *dispatcher) {
	if c == nil {
		return
	}
	now := time.Now()
	for _, f := range o.GetFields() {
		secret := f.GetName() == "Authorization" || f.GetName() == apiKeyHeader
		c.invariants.Check(!secret, invariant.TeamKeyIsolation, "request %s carries %s to backend server %s", o.GetRequestId(), f.GetName(), d.address)
	}
	if since := d.outOfServiceSince.Load(); since != 0 {
		name := invariant.NoRequestToLeavingServer
		if d.outByOperator.Load() {
			name = invariant.ZoneInService
		}
		duration := now.Sub(time.Unix(0, since))
		c.invariants.Check(duration <= outOfServiceGrace, name, "request %s dispatched to %s, which has accepted no new work for %v", o.GetRequestId(), d.address, duration)
	}
	if !o.GetIdempotent() {
		c.invariants.Check(c.recordDispatch(o.GetRequestId(), now), invariant.AtMostOnce, "request %s dispatched again to %s", o.GetRequestId(), d.address)
	}
}

// recordDispatch records a request ID and reports whether it is new.
func (c *dispatchChecks) recordDispatch(id string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, recorded := c.dispatchedIDs[id]; recorded {
		return false
	}
	if len(c.dispatchedIDs) >= maxDispatchedIDs {
		for expired, at := range c.dispatchedIDs {
			if now.Sub(at) > dispatchedIDRetention || len(c.dispatchedIDs) >= maxDispatchedIDs {
				delete(c.dispatchedIDs, expired)
			}
		}
	}
	c.dispatchedIDs[id] = now
	return true
}

// afterDispatch checks that a request whose bytes were written is not reported
// as NotRun, unless the backend server refused it.
func (c *dispatchChecks) afterDispatch(o *wire.Offer, err error, written bool) {
	e := verdict.FromError(err)
	if c == nil || e == nil || e.Verdict != verdict.NotRun {
		return
	}
	refused := e.Code == "backend-shed" || e.Code == "backend-draining"
	c.invariants.Check(refused || !written, invariant.VerdictIntegrity, "request %s was sent but reported as not run: %s", o.GetRequestId(), e.Code)
}

// recordSlotsViolation records that a backend server received more requests
// than its slots allow.
func (c *dispatchChecks) recordSlotsViolation(detail string) {
	if c != nil {
		c.invariants.Check(false, invariant.ConcurrencyLimit, "%s", detail)
	}
}

// recordFloorViolation records that an ejection reduced a service below its
// floor.
func (c *coordinators) recordFloorViolation(detail string) {
	c.node.invariants.Check(false, invariant.EjectionFloor, "%s", detail)
}
