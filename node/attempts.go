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
	// claimTimeout bounds one claim call to the coordinator of an idempotency key.
	claimTimeout = time.Second
	// claimRetryTimeout bounds the time for which a request retries its claim; it
	// is also limited to half of the time left until the deadline. A handover
	// between coordinators takes less than 2 s.
	claimRetryTimeout = 2500 * time.Millisecond
	// claimRetryInterval is the delay between two claim calls.
	claimRetryInterval = 100 * time.Millisecond
	// claimDoneAttempts is the maximum number of calls that report the result of a
	// claimed request.
	claimDoneAttempts = 3
	// maxStoredResponseBytes is the maximum size of a response that a coordinator
	// stores.
	maxStoredResponseBytes = 4 << 10
	// maxCrashAttempts bounds the attempts of a request after a backend server was
	// lost. The request may be the cause, and the crash guard's fingerprint lists
	// are not distributed fast enough to stop its retries.
	maxCrashAttempts = 2
	// replayedHeader marks a response that was stored by the coordinator.
	replayedHeader = "Idempotency-Replayed"
)

// forwardRequest runs a request, at most once if its route requires that.
func (n *Node) forwardRequest(ctx context.Context, snap *snapshot, r *request) (*response, error) {
	if r.idempotent || r.idempotencyKey == "" {
		return n.forwardWithRetries(ctx, snap, r)
	}
	stored, err := n.claim(ctx, r)
	if err != nil || stored != nil {
		return stored, err
	}
	resp, err := n.forwardWithRetries(ctx, snap, r)
	n.reportClaimResult(r, resp, err)
	return resp, err
}

// forwardWithRetries sends the request to at most maxAttempts owners. An error
// is NotRun only if none of the attempts may have run.
func (n *Node) forwardWithRetries(ctx context.Context, snap *snapshot, r *request) (*response, error) {
	n.retryPolicy.recordRequest(r.service)
	owners := snap.owners[r.service]
	tried := make(map[string]bool, maxAttempts)
	avoidedZones := make(map[string]bool)
	next := func() *ownerRef {
		o := n.forwarder.selectOwner(owners, r.service, tried, avoidedZones, time.Now())
		if o != nil {
			tried[o.node] = true
		}
		return o
	}
	var failure error
	for {
		o := next()
		if o == nil {
			return nil, noOwnerError(failure)
		}
		resp, o, err := n.attemptHedged(ctx, r, o, next)
		if err == nil {
			return resp, nil
		}
		failure = weakerGuarantee(failure, err)
		if !n.mayRetry(ctx, r, verdict.FromError(err), o, len(tried)) {
			return nil, failure
		}
		if n.forwarder.loads.outOfService(o.node, r.service) {
			avoidedZones[o.zone] = true
		}
	}
}

// attempt sends the request to one owner and includes it in the load of that
// owner.
func (n *Node) attempt(ctx context.Context, o *ownerRef, r *request) (*response, error) {
	n.forwarder.loads.begin(o.node, r.service)
	defer n.forwarder.loads.end(o.node, r.service)
	start := time.Now()
	resp, err := n.forwarder.attempt(ctx, o, r)
	if err == nil {
		n.retryPolicy.recordLatency(r.service, time.Since(start))
	}
	return resp, err
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
	if !n.retryPolicy.allowRetry(ctx, r, e.Verdict, attempts) {
		return false
	}
	n.metrics.retries.Inc(1)
	return true
}

func noOwnerError(failure error) error {
	if failure != nil {
		return failure
	}
	return verdict.NewNotRun("no-owner", "no backend server of the service is known", time.Second)
}

// claim requests permission from the coordinator of the idempotency key to run
// the request. It returns a stored response, an error, or neither if the
// request may run. It retries for up to claimRetryTimeout, because a
// coordinator that shuts down hands its claims over to other coordinators.
func (n *Node) claim(ctx context.Context, r *request) (*response, error) {
	until := time.Now().Add(claimRetryTimeout)
	if deadline, ok := ctx.Deadline(); ok {
		until = earliest(until, time.Now().Add(time.Until(deadline)/2))
	}
	for {
		c, err := n.callClaim(ctx, r)
		if err == nil && idempotency.Outcome(c.GetOutcome()) != idempotency.NotCoordinator {
			return n.claimResult(r, c)
		}
		if time.Now().After(until) || !sleep(ctx, claimRetryInterval) {
			break
		}
	}
	n.metrics.claimRefused.Inc(1)
	n.releaseClaim(r) // The claim may have been recorded even though its response was lost.
	// Without the coordinator it is unknown whether an earlier request with this
	// key has run.
	return nil, &verdict.Error{
		Verdict: verdict.MayHaveRun, Status: 502, Code: "claim-unavailable", RetryAfter: time.Second,
		Detail: "the home of the Idempotency-Key cannot be reached; send the request again with the same key",
	}
}

// refuseAfterClaim handles the refusal of a request with an idempotency key. An
// earlier request with the key may have run, so NotRun is reported only after
// the coordinator has confirmed it. A stored response is returned in place of
// the refusal.
func (n *Node) refuseAfterClaim(ctx context.Context, r *request, refusal error) (*response, error) {
	stored, err := n.claim(ctx, r)
	if err != nil || stored != nil {
		return stored, err
	}
	n.releaseClaim(r)
	return nil, refusal
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (n *Node) callClaim(ctx context.Context, r *request) (*wire.ClaimAnswer, error) {
	callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	a, err := n.coordinators.callCoordinator(callCtx, kindClaim, claimKey(r.team, r.idempotencyKey), &wire.Call{Body: &wire.Call_Claim{Claim: &wire.Claim{
		Team: r.team, Key: r.idempotencyKey, Fingerprint: r.fingerprint, RequestId: r.id,
		TimeoutUs: time.Until(deadline).Microseconds(),
	}}})
	if err != nil {
		return nil, err
	}
	if a.GetClaim() == nil {
		return nil, errUnexpectedMessage
	}
	return a.GetClaim(), nil
}

// claimResult converts the coordinator's decision into a response or an error.
func (n *Node) claimResult(r *request, c *wire.ClaimAnswer) (*response, error) {
	switch idempotency.Outcome(c.GetOutcome()) {
	case idempotency.Granted:
		return nil, nil
	case idempotency.Completed:
		return storedResponse(r, c)
	case idempotency.InProgress:
		return nil, &verdict.Error{Verdict: verdict.MayHaveRun, Status: 409, Code: "idempotency-running", Detail: "a request with this Idempotency-Key is still running", RetryAfter: time.Second}
	case idempotency.FingerprintMismatch:
		return nil, &verdict.Error{Verdict: verdict.NotRun, Status: 422, Code: "idempotency-mismatch", Detail: "the Idempotency-Key was used for another request"}
	case idempotency.InvalidKey:
		return nil, badRequest("idempotency-key", c.GetDetail())
	case idempotency.StoreFull:
		n.metrics.claimRefused.Inc(1)
		return nil, verdict.NewNotRun("claims-full", c.GetDetail(), time.Second)
	default:
		return nil, verdict.NewMayHaveRun("idempotency-unknown", c.GetDetail(), nil)
	}
}

// storedResponse restores the response of an earlier request with the same key.
func storedResponse(r *request, c *wire.ClaimAnswer) (*response, error) {
	var s wire.StoredAnswer
	if len(c.GetStored()) == 0 || proto.Unmarshal(c.GetStored(), &s) != nil || s.GetHead() == nil {
		return nil, &verdict.Error{
			Verdict: wire.VerdictFromProto(c.GetVerdict()), Status: 409, Code: "idempotency-done",
			Detail: "the request has run before; its answer is not kept",
		}
	}
	head := s.GetHead()
	head.RequestId = r.id
	head.Fields = append(head.Fields, &wire.Field{Name: replayedHeader, Value: "true"})
	return &response{head: head, prefix: s.GetBody(), complete: true}, nil
}

// reportClaimResult reports the result to the coordinator in the background, so
// that the caller does not wait for it.
func (n *Node) reportClaimResult(r *request, resp *response, err error) {
	if err == nil {
		n.sendClaimDone(r, verdict.Completed, encodeStoredResponse(resp))
		return
	}
	if verdict.FromError(err).Verdict == verdict.NotRun {
		n.releaseClaim(r)
		return
	}
	n.sendClaimDone(r, verdict.MayHaveRun, nil)
}

// releaseClaim removes the claim of a request that has not run.
func (n *Node) releaseClaim(r *request) { n.sendClaimDone(r, verdict.NotRun, nil) }

func (n *Node) sendClaimDone(r *request, v verdict.Verdict, stored []byte) {
	call := &wire.Call{Body: &wire.Call_ClaimDone{ClaimDone: &wire.ClaimDone{
		Team: r.team, Key: r.idempotencyKey, RequestId: r.id, Verdict: wire.VerdictToProto(v), Stored: stored,
	}}}
	n.wg.Go(func() {
		for range claimDoneAttempts {
			ctx, cancel := context.WithTimeout(n.ctx, claimTimeout)
			_, err := n.coordinators.callCoordinator(ctx, kindClaim, claimKey(r.team, r.idempotencyKey), call)
			cancel()
			if err == nil || !sleep(n.ctx, controlInterval) {
				return
			}
		}
	})
}

// encodeStoredResponse returns the encoded response if it is complete and short
// enough to be stored, or nil.
func encodeStoredResponse(resp *response) []byte {
	if !resp.complete || len(resp.prefix) > maxStoredResponseBytes {
		return nil
	}
	b, err := proto.Marshal(&wire.StoredAnswer{Head: resp.head, Body: resp.prefix})
	if err != nil || len(b) > maxStoredResponseBytes {
		return nil
	}
	return b
}

// claimKey returns the placement key of an idempotency key; keys are scoped to
// a team.
func claimKey(team, key string) string { return team + "\x00" + key }
