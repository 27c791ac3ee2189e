package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"trefoildock.example/mesh/clock"

	"google.golang.org/protobuf/proto"

	"trefoildock.example/admission"
	"trefoildock.example/mesh/fleet"
	"trefoildock.example/mesh/owner"
	"trefoildock.example/verdict"
	"trefoildock.example/wire"
)

const (
	// maxWaitFactor is the multiple of the route's target latency for which a request
	// may wait for a busy owner. A late response retains most of its value for callers
	// that wait, and a request with outbound calls takes about three times as long as
	// its calls.
	maxWaitFactor = 3
	// maxWaitShare is the share of the time to the deadline for which a request of a
	// caller may wait. After a longer wait a refusal would leave the caller no time
	// for an alternative.
	maxWaitShare = 0.6
	// maxProbedOwners bounds the owners of the entry's zone that are probed for a free
	// slot before the request queues at one of them, maxRemoteOwners those of other
	// zones.
	maxProbedOwners = 6
	maxRemoteOwners = 3
	// ownerPollInterval is the time between two probes while no owner is available.
	ownerPollInterval = 50 * time.Millisecond
	// maxRetryAfter caps the wait after a refusal with a Retry-After time.
	maxRetryAfter = 150 * time.Millisecond
	// lastResortShare is the share of the time to the latest start after which an
	// idempotent request may run on a suspected backend server if no other is free.
	lastResortShare = 0.5
	// maxLatePollInterval bounds the exponential backoff between two probes after the
	// target latency of a request has passed. Each probe costs up to maxLateOwners
	// offers.
	maxLatePollInterval = 300 * time.Millisecond
	maxLateOwners       = 3
)

// probeLimits bounds the number of owners of the entry's zone and of all other zones
// that are probed in one round.
type probeLimits struct{ sameZone, otherZones int }

// roundLimits returns the limits of one round. late means that the time that startBy
// returns has passed.
func roundLimits(late bool) probeLimits {
	if late {
		return probeLimits{maxLateOwners, 1}
	}
	return probeLimits{maxProbedOwners, maxRemoteOwners}
}

// reserve probes the owners of the service in turn for a free slot. If all are busy,
// the request queues at the one with the lowest occupancy. Once its target latency
// cannot be met, it only probes for free slots, so that it does not delay requests
// that can still meet theirs.
func (e *Entry) reserve(ctx context.Context, q *request) (*reservation, *wire.Offer, error) {
	wait := ownerPollInterval
	for view := q.view; ; view = e.cfg.Fleet.View() {
		// The request may have been blocked while it waited.
		if err := e.checkBlocked(q); err != nil {
			return nil, nil, err
		}
		late := !time.Now().Before(e.startBy(q))
		r, o, f, err := e.probe(ctx, q, e.candidates(q, view), roundLimits(late))
		if r != nil {
			return r, o, nil
		}
		if ctx.Err() != nil {
			return nil, nil, notStartedError(err)
		}
		if f != nil {
			r, o, err = e.reserveFallback(ctx, q, f, err)
			if err == nil {
				return r, o, nil
			}
		}
		if err == nil {
			err = verdict.NewNotRun("no-owner", "no backend server of the service is known", defaultRetryAfter)
		}
		if !time.Now().Before(e.waitDeadline(q)) {
			return nil, nil, err
		}
		if late {
			wait = min(2*wait, maxLatePollInterval)
		}
		clock.Sleep(ctx, max(wait, min(verdict.FromError(err).RetryAfter, maxRetryAfter)))
		if ctx.Err() != nil {
			return nil, nil, notStartedError(err)
		}
	}
}

// startBy returns the time by which the request must start to meet its target
// latency. An outbound call may start later, because its failure would waste the
// work of the request that waits for it.
func (e *Entry) startBy(q *request) time.Time {
	by := e.waitDeadline(q)
	if target := q.Received.Add(q.route.LatencyObjective); q.route.LatencyObjective > 0 && !q.isOutboundCall() && target.Before(by) {
		by = target
	}
	return by
}

// waitDeadline returns the time after which a request no longer waits for an owner,
// because its response would miss the deadline or it has waited for too long.
func (e *Entry) waitDeadline(q *request) time.Time {
	e.mu.Lock()
	by := q.deadline.Add(-e.latencies[q.route.Name])
	e.mu.Unlock()
	maxWait := maxWaitFactor * q.route.LatencyObjective
	if !q.isOutboundCall() {
		maxWait = min(maxWait, time.Duration(maxWaitShare*float64(q.deadline.Sub(q.Received))))
	}
	if q.route.LatencyObjective > 0 && q.Received.Add(maxWait).Before(by) {
		by = q.Received.Add(maxWait)
	}
	return by
}

// notStartedError returns the error for a request that no owner started in time.
func notStartedError(err error) error {
	e := verdict.NewNotRun("not-started", "no backend server was free in time", defaultRetryAfter)
	e.Cause = err
	return e
}

// candidates returns the owners that were not tried, in order of preference. Once the
// route allows no further backend server, or none is left, it returns the owners
// that were tried, which may be retried if they did not run the request.
func (e *Entry) candidates(q *request, view *fleet.View) []*fleet.Member {
	e.mu.Lock()
	var out, tried []*fleet.Member
	for _, m := range view.Owners[q.service] {
		if q.tried[m.Node] {
			tried = append(tried, m)
		} else {
			out = append(out, m)
		}
	}
	if len(q.tried) >= q.route.MaxAttempts || len(out) == 0 {
		out = tried
	}
	e.mu.Unlock()
	return e.peers.rank(out, e.cfg.Zone, q.route.Idempotent, time.Now())
}

func (e *Entry) markTried(q *request, m *fleet.Member) {
	e.mu.Lock()
	q.tried[m.Node] = true
	e.mu.Unlock()
}

// offerMode states how an owner handles an offer.
type offerMode uint8

const (
	noWait offerMode = iota
	queue
	lastResort
)

// fallback holds owners that refused the first offer but may accept one in another
// offerMode.
type fallback struct {
	// busy had no free slot; suspected has a backend server that failed recently.
	busy, suspected *fleet.Member
}

// probe offers the request to the owners in turn, without queueing. If none has a
// free slot, it returns the owners to fall back to.
func (e *Entry) probe(ctx context.Context, q *request, owners []*fleet.Member, limits probeLimits) (*reservation, *wire.Offer, *fallback, error) {
	var busy *fleet.Member
	var suspected []*fleet.Member
	var lastErr error
	sameZone, otherZones := 0, 0
	for _, m := range owners {
		if ctx.Err() != nil {
			break
		}
		count, limit := &sameZone, limits.sameZone
		if m.Zone != e.cfg.Zone {
			count, limit = &otherZones, limits.otherZones
		}
		if *count++; *count > limit {
			if e.peers.isSuspected(m.Node, time.Now()) {
				suspected = append(suspected, m)
			}
			continue
		}
		o := e.newOffer(q, noWait)
		r, err := e.offer(ctx, m, o, time.Now().Add(offerTimeout))
		if err == nil {
			e.markTried(q, m)
			return r, o, nil, nil
		}
		lastErr = err
		switch verdict.FromError(err).Code {
		case admission.CodeBusy:
			if busy == nil || e.peers.occupancy(m) < e.peers.occupancy(busy) {
				busy = m
			}
		case owner.CodeSuspected:
			e.peers.recordSuspected(m.Node, time.Now())
			suspected = append(suspected, m)
		}
	}
	if busy == nil && len(suspected) == 0 {
		return nil, nil, nil, lastErr
	}
	f := &fallback{busy: busy}
	if len(suspected) > 0 {
		// A random choice spreads the requests over all of them, so that each one that has
		// recovered is detected.
		f.suspected = suspected[rand.IntN(len(suspected))]
	}
	return nil, nil, f, lastErr
}

// reserveFallback queues the request at a busy owner, or reserves a slot of a
// suspected backend server if no other becomes free in time.
func (e *Entry) reserveFallback(ctx context.Context, q *request, f *fallback, lastErr error) (*reservation, *wire.Offer, error) {
	if f.busy != nil && time.Now().Before(e.startBy(q)) {
		o := e.newOffer(q, queue)
		r, err := e.offer(ctx, f.busy, o, e.startBy(q))
		if err == nil {
			e.markTried(q, f.busy)
			return r, o, nil
		}
		lastErr = err
	}
	if f.suspected != nil && ctx.Err() == nil && !time.Now().Before(e.lastResortAt(q, f)) {
		o := e.newOffer(q, lastResort)
		r, err := e.offer(ctx, f.suspected, o, time.Now().Add(offerTimeout))
		if err == nil {
			e.markTried(q, f.suspected)
			return r, o, nil
		}
		lastErr = err
	}
	return nil, nil, lastErr
}

// lastResortAt returns the time from which a request may run on a suspected backend
// server. An idempotent request can be retried if it fails early; any other
// request waits for a busy but healthy backend server as long as possible.
func (e *Entry) lastResortAt(q *request, f *fallback) time.Time {
	if !q.route.Idempotent && f.busy != nil {
		return e.waitDeadline(q)
	}
	return q.Received.Add(time.Duration(lastResortShare * float64(e.startBy(q).Sub(q.Received))))
}

// newOffer returns the offer of one attempt. It contains only what admission needs;
// the details follow with the commit.
func (e *Entry) newOffer(q *request, mode offerMode) *wire.Offer {
	o := &wire.Offer{
		RequestId: q.id, Service: q.service, Team: q.offer.Team, TeamWeight: q.offer.TeamWeight,
		Idempotent: q.offer.Idempotent, Urgent: q.offer.Urgent, NoWait: mode != queue, LastResort: mode == lastResort,
		NoTrial:   q.attempts.Load() > 0 || q.route.MaxAttempts < 2,
		TimeoutUs: max(time.Until(q.deadline).Microseconds(), 1),
	}
	if mode == queue {
		o.StartWithinUs = max(time.Until(e.startBy(q)).Microseconds(), 1)
	}
	return o
}

// commitDetails returns the details of the request that follow an accepted offer.
func (e *Entry) commitDetails(q *request, o *wire.Offer) *wire.Offer {
	e.mu.Lock()
	out := proto.CloneOf(q.offer)
	e.mu.Unlock()
	out.LastResort, out.TimeoutUs = o.GetLastResort(), o.GetTimeoutUs()
	out.Repeat = q.attempts.Load() > 1
	return out
}
