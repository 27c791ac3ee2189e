package node

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"trefoildock.example/idempotency"
	"trefoildock.example/verdict"
	"trefoildock.example/wire"
)

const (
	// claimTimeout bounds one claim call to the home of an idempotency key.
	claimTimeout = time.Second
	// claimPatience bounds the time for which a request retries its claim; it is
	// also limited to half of the time left until the deadline. A handover between
	// homes takes less than 2 s.
	claimPatience = 2500 * time.Millisecond
	// claimInterval is the delay between two claim calls.
	claimInterval = 100 * time.Millisecond
	// doneAttempts is the maximum number of calls that report the result of a
	// claimed request.
	doneAttempts = 3
	// maxStoredBytes is the maximum size of a response that a home stores.
	maxStoredBytes = 4 << 10
	// maxCrashAttempts bounds the attempts of a request after a backend server was
	// lost. The request may be the cause, and the crash guard's fingerprint lists
	// are not distributed fast enough to stop its retries.
	maxCrashAttempts = 2
	// replayedHeader marks a response that was stored by the home.
	replayedHeader = "Idempotency-Replayed"
)

// perform runs a request, at most once if its route requires that.
func (n *Node) perform(ctx context.Context, snap *snapshot, r *request) (*answer, error) {
	if r.idempotent || r.idempotencyKey == "" {
		return n.attempts(ctx, snap, r)
	}
	stored, err := n.claim(ctx, r)
	if err != nil || stored != nil {
		return stored, err
	}
	a, err := n.attempts(ctx, snap, r)
	n.settleClaim(r, a, err)
	return a, err
}

// attempts sends the request to at most maxAttempts owners. An error is NotRun
// only if none of the attempts may have run.
func (n *Node) attempts(ctx context.Context, snap *snapshot, r *request) (*answer, error) {
	n.retries.request(r.service)
	owners := snap.owners[r.service]
	tried := make(map[string]bool, maxAttempts)
	avoided := make(map[string]bool)
	next := func() *ownerRef {
		o := n.forwarder.choose(owners, r.service, tried, avoided, time.Now())
		if o != nil {
			tried[o.node] = true
		}
		return o
	}
	var failure error
	for {
		o := next()
		if o == nil {
			return nil, noOwner(failure)
		}
		a, o, err := n.hedged(ctx, r, o, next)
		if err == nil {
			return a, nil
		}
		failure = weaker(failure, err)
		if !n.mayRetry(ctx, r, verdict.From(err), o, len(tried)) {
			return nil, failure
		}
		if n.forwarder.loads.outOfService(o.node, r.service) {
			avoided[o.zone] = true
		}
	}
}

// attempt sends the request to one owner and includes it in the load of that
// owner.
func (n *Node) attempt(ctx context.Context, o *ownerRef, r *request) (*answer, error) {
	n.forwarder.loads.begin(o.node, r.service)
	defer n.forwarder.loads.end(o.node, r.service)
	start := time.Now()
	a, err := n.forwarder.attempt(ctx, o, r)
	if err == nil {
		n.retries.answered(r.service, time.Since(start))
	}
	return a, err
}

// mayRetry reports whether another attempt is allowed. A refusal by an owner
// that is out of service is a redirect: it causes no work at a backend server
// and therefore does not use the retry budget.
func (n *Node) mayRetry(ctx context.Context, r *request, e *verdict.Error, o *ownerRef, attempts int) bool {
	if !r.body.replayable() || attempts >= maxAttempts || ctx.Err() != nil {
		return false
	}
	if e.Verdict == verdict.NotRun && n.forwarder.loads.outOfService(o.node, r.service) {
		n.metrics.redirects.Inc(1)
		return true
	}
	if e.Code == codeBackendLost && attempts >= maxCrashAttempts {
		return false
	}
	if !n.retries.allow(ctx, r, e.Verdict, attempts) {
		return false
	}
	n.metrics.retries.Inc(1)
	return true
}

func noOwner(failure error) error {
	if failure != nil {
		return failure
	}
	return verdict.Refuse("no-owner", "no backend server of the service is known", time.Second)
}

// claim requests permission from the home of the idempotency key to run the
// request. It returns a stored response, an error, or neither if the request
// may run. It retries for up to claimPatience, because a home that shuts down
// hands its claims over to other homes.
func (n *Node) claim(ctx context.Context, r *request) (*answer, error) {
	until := time.Now().Add(claimPatience)
	if deadline, ok := ctx.Deadline(); ok {
		until = earlier(until, time.Now().Add(time.Until(deadline)/2))
	}
	for {
		c, err := n.askClaim(ctx, r)
		if err == nil && idempotency.Outcome(c.GetOutcome()) != idempotency.NotHome {
			return n.claimed(r, c)
		}
		if time.Now().After(until) || !wait(ctx, claimInterval) {
			break
		}
	}
	n.metrics.claimRefused.Inc(1)
	n.releaseClaim(r) // The claim may have been recorded even though its response was lost.
	// Without the home it is unknown whether an earlier request with this key has
	// run.
	return nil, &verdict.Error{
		Verdict: verdict.MayHaveRun, Status: 502, Code: "claim-unavailable", RetryAfter: time.Second,
		Detail: "the home node of the Idempotency-Key is unreachable; retry the request with the same key",
	}
}

// refuseClaimed handles the refusal of a request with an idempotency key. An
// earlier request with the key may have run, so NotRun is reported only after
// the home has confirmed it. A stored response is returned in place of the
// refusal.
func (n *Node) refuseClaimed(ctx context.Context, r *request, refusal error) (*answer, error) {
	stored, err := n.claim(ctx, r)
	if err != nil || stored != nil {
		return stored, err
	}
	n.releaseClaim(r)
	return nil, refusal
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (n *Node) askClaim(ctx context.Context, r *request) (*wire.ClaimAnswer, error) {
	callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	a, err := n.homes.callHome(callCtx, kindClaim, claimName(r.team, r.idempotencyKey), &wire.Call{Body: &wire.Call_Claim{Claim: &wire.Claim{
		Team: r.team, Key: r.idempotencyKey, Fingerprint: r.fingerprint, RequestId: r.id,
		TimeoutUs: time.Until(deadline).Microseconds(),
	}}})
	if err != nil {
		return nil, err
	}
	if a.GetClaim() == nil {
		return nil, errBadCall
	}
	return a.GetClaim(), nil
}

// claimed converts the home's decision into a response or an error.
func (n *Node) claimed(r *request, c *wire.ClaimAnswer) (*answer, error) {
	switch idempotency.Outcome(c.GetOutcome()) {
	case idempotency.Run:
		return nil, nil
	case idempotency.Done:
		return storedAnswer(r, c)
	case idempotency.Running:
		return nil, &verdict.Error{Verdict: verdict.MayHaveRun, Status: 409, Code: "idempotency-running", Detail: "a request with this Idempotency-Key is still running", RetryAfter: time.Second}
	case idempotency.Mismatch:
		return nil, &verdict.Error{Verdict: verdict.NotRun, Status: 422, Code: "idempotency-mismatch", Detail: "the Idempotency-Key was already used for a different request"}
	case idempotency.Rejected:
		return nil, badRequest("idempotency-key", c.GetDetail())
	case idempotency.Full:
		n.metrics.claimRefused.Inc(1)
		return nil, verdict.Refuse("claims-full", c.GetDetail(), time.Second)
	default:
		return nil, verdict.Lost("idempotency-unknown", c.GetDetail(), nil)
	}
}

// storedAnswer restores the response of an earlier request with the same key.
func storedAnswer(r *request, c *wire.ClaimAnswer) (*answer, error) {
	var s wire.StoredAnswer
	if len(c.GetStored()) == 0 || proto.Unmarshal(c.GetStored(), &s) != nil || s.GetHead() == nil {
		return nil, &verdict.Error{
			Verdict: wire.VerdictFrom(c.GetVerdict()), Status: 409, Code: "idempotency-done",
			Detail: "the request has already run; its response was not stored",
		}
	}
	head := s.GetHead()
	head.RequestId = r.id
	head.Fields = append(head.Fields, &wire.Field{Name: replayedHeader, Value: "true"})
	return &answer{head: head, prefix: s.GetBody(), whole: true}, nil
}

// settleClaim reports the result to the home in the background, so that the
// caller does not wait for it.
func (n *Node) settleClaim(r *request, a *answer, err error) {
	if err == nil {
		n.finishClaim(r, verdict.Completed, storable(a))
		return
	}
	if verdict.From(err).Verdict == verdict.NotRun {
		n.releaseClaim(r)
		return
	}
	n.finishClaim(r, verdict.MayHaveRun, nil)
}

// releaseClaim removes the claim of a request that has not run.
func (n *Node) releaseClaim(r *request) { n.finishClaim(r, verdict.NotRun, nil) }

func (n *Node) finishClaim(r *request, v verdict.Verdict, stored []byte) {
	call := &wire.Call{Body: &wire.Call_ClaimDone{ClaimDone: &wire.ClaimDone{
		Team: r.team, Key: r.idempotencyKey, RequestId: r.id, Verdict: wire.VerdictTo(v), Stored: stored,
	}}}
	n.wg.Go(func() {
		for range doneAttempts {
			ctx, cancel := context.WithTimeout(n.ctx, claimTimeout)
			_, err := n.homes.callHome(ctx, kindClaim, claimName(r.team, r.idempotencyKey), call)
			cancel()
			if err == nil || !wait(n.ctx, controlInterval) {
				return
			}
		}
	})
}

// storable returns the encoded response if it is complete and short enough to
// be stored, or nil.
func storable(a *answer) []byte {
	if !a.whole || len(a.prefix) > maxStoredBytes {
		return nil
	}
	b, err := proto.Marshal(&wire.StoredAnswer{Head: a.head, Body: a.prefix})
	if err != nil || len(b) > maxStoredBytes {
		return nil
	}
	return b
}

// claimName returns the placement key of an idempotency key; keys are scoped to
// a team.
func claimName(team, key string) string { return team + "\x00" + key }
