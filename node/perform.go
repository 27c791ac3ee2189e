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
	// claimTimeout bounds one question to the home of an idempotency key.
	claimTimeout = time.Second
	// claimPatience is the time for which a request waits for a home, at most
	// half of its deadline. A handover between homes takes less than 2 s.
	claimPatience = 2500 * time.Millisecond
	// claimInterval is the time between two questions.
	claimInterval = 100 * time.Millisecond
	// doneAttempts is how often the result of a claimed request is reported.
	doneAttempts = 3
	// maxStoredBytes is the largest answer that a home stores.
	maxStoredBytes = 4 << 10
	// maxCrashAttempts bounds the attempts of a request whose backend server was
	// lost: it may be the cause, and no list of suspects is that fast.
	maxCrashAttempts = 2
	// replayedHeader marks an answer that the home had stored.
	replayedHeader = "Idempotency-Replayed"
)

// perform runs a request: at most once if its route demands it.
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

// attempts sends the request to up to maxAttempts owners. A failure is NotRun
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

// attempt sends the request to one owner and counts it there.
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

// mayRetry decides about another attempt. A refusal by an owner that takes no
// new work is a redirect: it costs no backend server any work, so it does not
// use the retry budget.
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

// claim asks the home of the idempotency key whether the request may run. It
// returns a stored answer, or an error, or neither if the request may run. It
// asks again for a while, because a home that stops hands its claims over.
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
	n.releaseClaim(r) // The claim may have been recorded although its answer was lost.
	// Only the home knows whether an earlier request with this key has run.
	return nil, &verdict.Error{
		Verdict: verdict.MayHaveRun, Status: 502, Code: "claim-unavailable", RetryAfter: time.Second,
		Detail: "the home of the Idempotency-Key cannot be reached; send the request again with the same key",
	}
}

// refuseClaimed settles a refusal of a request with an idempotency key. An
// earlier request with the key may have run, so "not run" is claimed only after
// the home has confirmed it. A stored answer is returned in place of the refusal.
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

// claimed turns the home's decision into an answer or an error.
func (n *Node) claimed(r *request, c *wire.ClaimAnswer) (*answer, error) {
	switch idempotency.Outcome(c.GetOutcome()) {
	case idempotency.Run:
		return nil, nil
	case idempotency.Done:
		return storedAnswer(r, c)
	case idempotency.Running:
		return nil, &verdict.Error{Verdict: verdict.MayHaveRun, Status: 409, Code: "idempotency-running", Detail: "a request with this Idempotency-Key is still running", RetryAfter: time.Second}
	case idempotency.Mismatch:
		return nil, &verdict.Error{Verdict: verdict.NotRun, Status: 422, Code: "idempotency-mismatch", Detail: "the Idempotency-Key was used for another request"}
	case idempotency.Rejected:
		return nil, badRequest("idempotency-key", c.GetDetail())
	case idempotency.Full:
		n.metrics.claimRefused.Inc(1)
		return nil, verdict.Refuse("claims-full", c.GetDetail(), time.Second)
	default:
		return nil, verdict.Lost("idempotency-unknown", c.GetDetail(), nil)
	}
}

// storedAnswer rebuilds the answer of an earlier request with the same key.
func storedAnswer(r *request, c *wire.ClaimAnswer) (*answer, error) {
	var s wire.StoredAnswer
	if len(c.GetStored()) == 0 || proto.Unmarshal(c.GetStored(), &s) != nil || s.GetHead() == nil {
		return nil, &verdict.Error{
			Verdict: wire.VerdictFrom(c.GetVerdict()), Status: 409, Code: "idempotency-done",
			Detail: "the request has run before; its answer is not kept",
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

// releaseClaim withdraws the claim of a request that certainly did not run.
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

// storable returns the stored form of a short answer, or nil.
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

// claimName is the name by which a key is placed; teams do not share keys.
func claimName(team, key string) string { return team + "\x00" + key }
