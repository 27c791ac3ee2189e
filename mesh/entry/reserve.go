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
	// patience is the number of goals for which a request may wait for a busy
	// owner. A late answer still has most of its value for callers that wait, and
	// requests that make calls last about three times as long as their calls.
	patience = 3
	// patienceShare is the part of the time to its deadline for which a caller's
	// request may wait. One that is held for longer and then refused leaves its
	// caller no time to do anything else.
	patienceShare = 0.6
	// maxProbedOwners bounds the owners that are asked for a free slot before the
	// request waits at one of them, maxFarOwners those in other zones.
	maxProbedOwners = 6
	maxFarOwners    = 3
	// ownerPoll is the time between two looks for an owner while none is known.
	ownerPoll = 50 * time.Millisecond
	// maxOwnerPoll bounds the wait that an owner suggests.
	maxOwnerPoll = 150 * time.Millisecond
	// lastResortShare is the part of the time to start after which an idempotent
	// request runs on a suspected backend server if no other is free.
	lastResortShare = 0.5
	// maxLatePoll bounds the growing time between two looks for a free slot past
	// the goal of a request. Each look costs up to maxLateOwners offers.
	maxLatePoll   = 300 * time.Millisecond
	maxLateOwners = 3
)

// probeLimits bound the owners that are asked in one round.
type probeLimits struct{ near, far int }

func limitsOf(late bool) probeLimits {
	if late {
		return probeLimits{maxLateOwners, 1}
	}
	return probeLimits{maxProbedOwners, maxFarOwners}
}

// reserve asks the owners of the service one after the other for a free slot.
// If all are busy the request waits at the one that suits best. Past its goal it
// asks for free slots only, so that it does not delay requests that can still be
// answered in time.
func (e *Entry) reserve(ctx context.Context, q *request) (*reservation, *wire.Offer, error) {
	wait := ownerPoll
	for view := q.view; ; view = e.cfg.Fleet.View() {
		late := !time.Now().Before(e.startBy(q))
		r, o, f, err := e.probe(ctx, q, e.candidates(q, view), limitsOf(late))
		if r != nil {
			return r, o, nil
		}
		if ctx.Err() != nil {
			return nil, nil, notStarted(err)
		}
		if f != nil {
			r, o, err = e.takeFallback(ctx, q, f, err)
			if err == nil {
				return r, o, nil
			}
		}
		if err == nil {
			err = verdict.Refuse("no-owner", "no backend server of the service is known", retryAfter)
		}
		if !time.Now().Before(e.giveUpBy(q)) {
			return nil, nil, err
		}
		if late {
			wait = min(2*wait, maxLatePoll)
		}
		clock.Sleep(ctx, max(wait, min(verdict.From(err).RetryAfter, maxOwnerPoll)))
		if ctx.Err() != nil {
			return nil, nil, notStarted(err)
		}
	}
}

// startBy returns the time by which the request must start to be answered within
// its goal. A call of a backend server has more time, because its failure would
// waste the work that waits for it.
func (e *Entry) startBy(q *request) time.Time {
	by := e.giveUpBy(q)
	if goal := q.Received.Add(q.route.Goal); q.route.Goal > 0 && !q.isCall() && goal.Before(by) {
		by = goal
	}
	return by
}

// giveUpBy returns the time from which a request no longer waits for an owner,
// because its answer would come after the deadline or it was held for too long.
func (e *Entry) giveUpBy(q *request) time.Time {
	e.mu.Lock()
	by := q.deadline.Add(-e.usual[q.route.Name])
	e.mu.Unlock()
	held := patience * q.route.Goal
	if !q.isCall() {
		held = min(held, time.Duration(patienceShare*float64(q.deadline.Sub(q.Received))))
	}
	if q.route.Goal > 0 && q.Received.Add(held).Before(by) {
		by = q.Received.Add(held)
	}
	return by
}

// notStarted is the error of a request whose time is up before anything ran.
func notStarted(err error) error {
	e := verdict.Refuse("not-started", "no backend server was free in time", retryAfter)
	e.Cause = err
	return e
}

// candidates returns the owners that were not tried, the best first. Once the
// route allows no further backend server, or there is none, it returns those that
// were tried: they may be asked again if they did not run the request.
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

// offerMode says how an owner treats an offer.
type offerMode uint8

const (
	noWait offerMode = iota
	queue
	lastResort
)

// fallback holds owners that may take the request although they refused at first.
type fallback struct {
	// busy has no free slot; suspected has a backend server that failed lately.
	busy, suspected *fleet.Member
}

// probe offers the request to one owner after the other. Without a free slot it
// returns the owner to wait at.
func (e *Entry) probe(ctx context.Context, q *request, owners []*fleet.Member, limits probeLimits) (*reservation, *wire.Offer, *fallback, error) {
	var busy *fleet.Member
	var suspected []*fleet.Member
	var failure error
	near, far := 0, 0
	for _, m := range owners {
		if ctx.Err() != nil {
			break
		}
		count, limit := &near, limits.near
		if m.Zone != e.cfg.Zone {
			count, limit = &far, limits.far
		}
		if *count++; *count > limit {
			if e.peers.isSuspected(m.Node, time.Now()) {
				suspected = append(suspected, m)
			}
			continue
		}
		o := e.offerFor(q, noWait)
		r, err := e.offer(ctx, m, o, time.Now().Add(offerTimeout))
		if err == nil {
			e.markTried(q, m)
			return r, o, nil, nil
		}
		failure = err
		switch verdict.From(err).Code {
		case admission.CodeBusy:
			if busy == nil || e.peers.occupancy(m) < e.peers.occupancy(busy) {
				busy = m
			}
		case owner.CodeSuspected:
			e.peers.suspected(m.Node, time.Now())
			suspected = append(suspected, m)
		}
	}
	if busy == nil && len(suspected) == 0 {
		return nil, nil, nil, failure
	}
	f := &fallback{busy: busy}
	if len(suspected) > 0 {
		// Any of them, so that each sound server among them gets requests.
		f.suspected = suspected[rand.IntN(len(suspected))]
	}
	return nil, nil, f, failure
}

// takeFallback lets the request wait at a busy owner, or run on a backend server
// that is suspected of failing if no other will be free in time.
func (e *Entry) takeFallback(ctx context.Context, q *request, f *fallback, failure error) (*reservation, *wire.Offer, error) {
	if f.busy != nil && time.Now().Before(e.startBy(q)) {
		o := e.offerFor(q, queue)
		r, err := e.offer(ctx, f.busy, o, e.startBy(q))
		if err == nil {
			e.markTried(q, f.busy)
			return r, o, nil
		}
		failure = err
	}
	if f.suspected != nil && ctx.Err() == nil && !time.Now().Before(e.lastResortAt(q, f)) {
		o := e.offerFor(q, lastResort)
		r, err := e.offer(ctx, f.suspected, o, time.Now().Add(offerTimeout))
		if err == nil {
			e.markTried(q, f.suspected)
			return r, o, nil
		}
		failure = err
	}
	return nil, nil, failure
}

// lastResortAt returns the time from which a request may run on a backend server
// that is suspected of failing. An idempotent request can be repeated while there
// is time; any other waits for a busy but sound server as long as it can.
func (e *Entry) lastResortAt(q *request, f *fallback) time.Time {
	if !q.route.Idempotent && f.busy != nil {
		return e.giveUpBy(q)
	}
	return q.Received.Add(time.Duration(lastResortShare * float64(e.startBy(q).Sub(q.Received))))
}

// offerFor returns the offer of one attempt. It names only what admission needs;
// the details follow with the commit.
func (e *Entry) offerFor(q *request, mode offerMode) *wire.Offer {
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

// detailsOf completes an accepted offer.
func (q *request) detailsOf(o *wire.Offer) *wire.Offer {
	out := proto.CloneOf(q.offer)
	out.LastResort, out.TimeoutUs = o.GetLastResort(), o.GetTimeoutUs()
	return out
}
