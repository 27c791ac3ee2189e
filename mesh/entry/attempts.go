package entry

import (
	"context"
	"net/http"
	"time"

	"trefoildock.example/mesh/clock"
	"trefoildock.example/mesh/fleet"
	"trefoildock.example/mesh/h1"
	"trefoildock.example/mesh/owner"
	"trefoildock.example/mesh/quota"
	"trefoildock.example/retry"
	"trefoildock.example/verdict"
)

const (
	// maxSends bounds the number of times that a request is sent, including sends to
	// backend servers that did not run it.
	maxSends = 4
	// hedgeFactor is the multiple of a route's average latency after which a hedged
	// request is sent for an idempotent request without a response; minHedgeDelay is
	// the lower bound of that delay.
	hedgeFactor   = 2.5
	minHedgeDelay = 150 * time.Millisecond
	// latencyGain is the gain of the exponential moving average of a route's latency.
	latencyGain = 1.0 / 16
	// retryBudgetShare is the share of the retry budget that a node spends. The rest
	// allows for requests that are not spread evenly over the window of the budget.
	retryBudgetShare = 0.95
)

// outcome is the result of one attempt.
type outcome struct {
	resp *h1.Response
	err  error
}

// failed reports whether another attempt may give a better result.
func (o outcome) failed() bool {
	return o.err != nil || o.resp.Status >= http.StatusInternalServerError
}

// run sends the request to owners until one responds without a failure, no retry
// is allowed or the deadline has passed.
func (e *Entry) run(ctx context.Context, q *request) (*h1.Response, error) {
	budget := e.retryBudget(q)
	e.chargeCall(ctx, q, budget)
	first := e.startAttempt(ctx, q)
	var last outcome
	select {
	case last = <-first:
	case <-e.hedgeTimer(ctx, q):
		last = e.hedge(ctx, q, budget, first)
	}
	for last.failed() && e.mayRetry(ctx, q, budget, last) {
		e.cfg.Metrics.Retries.Inc(1)
		e.cfg.Logger.Log("event", "request sent again", "request", q.id, "attempts", q.attempts.Load(), "code", codeOf(last))
		next := <-e.startAttempt(ctx, q)
		if last.isPreferredTo(next) {
			break
		}
		last = next
	}
	return last.resp, last.err
}

func notRun(err error) bool { return verdict.FromError(err).Verdict == verdict.NotRun }

func codeOf(o outcome) string {
	if o.err != nil {
		return verdict.FromError(o.err).Code
	}
	return http.StatusText(o.resp.Status)
}

// startAttempt starts an attempt in a goroutine.
func (e *Entry) startAttempt(ctx context.Context, q *request) <-chan outcome {
	out := make(chan outcome, 1)
	go func() {
		o := outcome{err: ErrPanic}
		e.cfg.Recovery.Do("attempt", q.id, func() { o.resp, o.err = e.attempt(ctx, q) })
		out <- o
	}()
	return out
}

// hedgeTimer returns a channel that fires when a hedged request is due. It returns
// nil if the request is not idempotent, its route allows only one attempt or has no
// average latency yet, or the deadline is earlier.
func (e *Entry) hedgeTimer(ctx context.Context, q *request) <-chan time.Time {
	if !q.route.Idempotent || q.route.MaxAttempts < 2 {
		return nil
	}
	e.mu.Lock()
	latency := e.latencies[q.route.Name]
	e.mu.Unlock()
	if latency == 0 {
		return nil
	}
	delay := max(minHedgeDelay, time.Duration(hedgeFactor*float64(latency)))
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < delay {
		return nil
	}
	return time.After(delay)
}

// hedge starts a second attempt in parallel to the first and returns the better
// outcome. If the retry budgets do not allow it, it returns the outcome of the first.
func (e *Entry) hedge(ctx context.Context, q *request, budget *retry.Budget, first <-chan outcome) outcome {
	e.mu.Lock()
	allowed := budget.AllowHedge(time.Now(), q.retryRequest(int(q.attempts.Load())))
	e.mu.Unlock()
	if e.tooLateToSend(q) || !allowed && (q.attempts.Load() != 1 || !e.cfg.RateLimiter.TakeRetry(ctx, q.service, e.hasTopPriority(q))) {
		return <-first
	}
	e.cfg.Metrics.Hedges.Inc(1)
	e.cfg.Logger.Log("event", "request hedged", "request", q.id)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // Cancels the slower attempt.
	second := e.startAttempt(ctx, q)
	select {
	case o := <-first:
		if o.failed() {
			return betterOutcome(<-second, o)
		}
		return o
	case o := <-second:
		if o.failed() {
			return betterOutcome(<-first, o)
		}
		return o
	}
}

// betterOutcome returns a, unless b is preferred to it.
func betterOutcome(a, b outcome) outcome {
	if b.isPreferredTo(a) {
		return b
	}
	return a
}

// isPreferredTo reports whether the other attempt failed without a response, while this one has
// one or may have run: the caller must not be told that its request has not run.
func (o outcome) isPreferredTo(other outcome) bool {
	return other.err != nil && (o.resp != nil || notRun(other.err) && !notRun(o.err))
}

func (q *request) retryRequest(attempts int) retry.Request {
	return retry.Request{Idempotent: q.route.Idempotent, Attempts: min(attempts, retry.MaxAttempts-1), Deadline: q.deadline}
}

// mayRetry reports whether the request may be sent to another backend server.
func (e *Entry) mayRetry(ctx context.Context, q *request, budget *retry.Budget, last outcome) bool {
	attempts := int(q.attempts.Load())
	if !q.wasShed(last) && attempts >= q.route.MaxAttempts {
		return false
	}
	if ctx.Err() != nil || e.tooLateToSend(q) || attempts == 0 || attempts >= maxSends || last.err != nil && verdict.FromError(last.err).Code == owner.CodeCrashing {
		return false
	}
	v := verdict.MayHaveRun
	if last.err != nil {
		v = verdict.FromError(last.err).Verdict
	}
	request := q.retryRequest(attempts)
	e.mu.Lock()
	request.ExpectedDuration = e.latencies[q.route.Name]
	now := time.Now()
	repeatable := request.Retryable(now, v)
	allowed := budget.AllowRetry(now, request, v)
	e.mu.Unlock()
	return allowed || repeatable && e.cfg.RateLimiter.TakeRetry(ctx, q.service, e.hasTopPriority(q))
}

// hasTopPriority reports whether the request has the highest priority of all routes. An
// outbound call inherits the priority of the requests that the backend server on
// this VM runs.
func (e *Entry) hasTopPriority(q *request) bool {
	if q.isOutboundCall() {
		return q.view.Config.ServesTopPriority(e.cfg.Service)
	}
	return q.view.Config.IsTopPriority(q.route)
}

// wasShed reports whether the backend server stated that it did not run the request.
// Such an attempt does not count towards the route's maximum number of attempts.
func (q *request) wasShed(last outcome) bool {
	return last.err != nil && verdict.FromError(last.err).Code == owner.CodeShed
}

// retryBudget returns the retry budget of the service and credits it for the request.
func (e *Entry) retryBudget(q *request) *retry.Budget {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.budgets[q.service]
	if b == nil {
		b = retry.NewBudgetWithConfig(time.Now(), retry.BudgetConfig{TokensPerRequest: retryBudgetShare * e.cfg.Bounds.RetryBudgetRatio, MaxTokens: quota.LocalRetryBurst})
		e.budgets[q.service] = b
	}
	b.RecordRequest(time.Now())
	return b
}

// chargeCall takes from the retry budget for a call that the backend server on this VM makes
// for a request that was itself sent again: the service gets it because of a retry. What
// the budget of this node lacks is taken from the fleet's.
func (e *Entry) chargeCall(ctx context.Context, q *request, budget *retry.Budget) {
	share := e.cfg.Owner.RepeatShare()
	if share == 0 || !q.isOutboundCall() {
		return
	}
	e.mu.Lock()
	budget.Charge(time.Now(), share)
	overdrawn := budget.Overdrawn()
	e.mu.Unlock()
	if !overdrawn {
		return
	}
	go e.cfg.Recovery.Do("retry budget", q.id, func() {
		if e.cfg.RateLimiter.TakeRetry(context.WithoutCancel(ctx), q.service, true) {
			e.mu.Lock()
			budget.Refund()
			e.mu.Unlock()
		}
	})
}

// maxReservations bounds the reservations of one attempt whose owner then refuses to
// start the request, for example because its backend server begins to drain.
const maxReservations = 4

// attempt reserves a slot at an owner and runs the request there.
func (e *Entry) attempt(ctx context.Context, q *request) (*h1.Response, error) {
	var lastErr error
	waitCtx, cancel := e.waitContext(ctx, q)
	defer cancel()
	for reservations := 0; reservations < maxReservations; reservations++ {
		e.waiting.Add(1)
		r, o, err := e.reserve(waitCtx, q)
		e.waiting.Add(-1)
		if err != nil {
			return nil, orStoppingError(waitCtx, err)
		}
		started := time.Now()
		e.cfg.Logger.Log("event", "request sent", "request", q.id, "owner", r.member.Node, "zone", r.member.Zone,
			"backend", r.member.BackendID(), "left_ms", time.Until(q.deadline).Milliseconds(), "members", q.view.Revision)
		q.attempts.Add(1)
		resp, err := e.commit(ctx, r, e.commitDetails(q, o), q.Payload, q.Memory)
		if err == nil && resp.Status < http.StatusInternalServerError {
			e.updateLatency(q.route.Name, time.Since(started))
		}
		if err != nil && verdict.FromError(err).Code == owner.CodeBackendCrashed {
			e.suspect(q)
		}
		if err == nil || !refusedBeforeDispatch(err) {
			return resp, err
		}
		q.attempts.Add(-1)
		lastErr = err
		switch refusal := verdict.FromError(err); refusal.Code {
		case owner.CodeCrashing:
			e.cfg.Crashes.Block(time.Now(), q.fingerprint, refusal.RetryAfter)
			return nil, err
		case owner.CodeSuspectWaits:
			if err := e.awaitSuspect(waitCtx, q, r.member, refusal); err != nil {
				return nil, orStoppingError(waitCtx, err)
			}
			reservations-- // The wait is bounded by the time that the request may wait.
		}
	}
	return nil, lastErr
}

// awaitSuspect waits until a request that may crash backend servers may be offered again.
func (e *Entry) awaitSuspect(ctx context.Context, q *request, m *fleet.Member, refusal *verdict.Error) error {
	if !time.Now().Before(e.waitDeadline(q)) {
		return refusal
	}
	clock.Sleep(ctx, refusal.RetryAfter)
	if ctx.Err() != nil {
		return notStartedError(refusal)
	}
	e.mu.Lock()
	delete(q.tried, m.Node)
	e.mu.Unlock()
	return nil
}

// suspect marks the further attempts of a request under which a backend server has crashed.
// They may arrive before the notice of its owner.
func (e *Entry) suspect(q *request) {
	e.mu.Lock()
	q.offer.CrashSuspect = true
	e.mu.Unlock()
}

// refusedBeforeDispatch reports whether the owner refused the request before any of
// it was sent to the backend server.
func refusedBeforeDispatch(err error) bool {
	e := verdict.FromError(err)
	return e.Verdict == verdict.NotRun && e.Code != owner.CodeShed
}

// updateLatency updates the average latency of a route.
func (e *Entry) updateLatency(route string, latency time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	average, found := e.latencies[route]
	if !found {
		e.latencies[route] = latency
		return
	}
	e.latencies[route] = average + time.Duration(latencyGain*float64(min(latency, 4*average)-average))
}
