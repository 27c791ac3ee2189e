package entry

import (
	"context"
	"net/http"
	"time"

	"trefoildock.example/mesh/h1"
	"trefoildock.example/mesh/owner"
	"trefoildock.example/mesh/quota"
	"trefoildock.example/retry"
	"trefoildock.example/verdict"
)

const (
	// maxSends bounds how often a request is sent, also to backend servers that
	// did not run it.
	maxSends = 4
	// hedgeFactor is the ratio to the usual time of a route after which an
	// idempotent request without an answer is sent to a second owner, and
	// hedgeFloor the least such time.
	hedgeFactor = 2.5
	hedgeFloor  = 150 * time.Millisecond
	// usualGain is the gain of the moving average of the time of a route.
	usualGain = 1.0 / 16
	// budgetShare is the part of the retries allowed per request that a node uses,
	// as the requests of a window are not spread evenly.
	budgetShare = 0.95
)

// outcome is the end of one attempt.
type outcome struct {
	answer *h1.Answer
	err    error
}

// failed reports whether another attempt may do better.
func (o outcome) failed() bool {
	return o.err != nil || o.answer.Status >= http.StatusInternalServerError
}

// run sends the request to owners until one answers, no repetition is allowed,
// or the time is up.
func (e *Entry) run(ctx context.Context, q *request) (*h1.Answer, error) {
	budget := e.budget(q)
	first := e.start(ctx, q)
	var last outcome
	select {
	case last = <-first:
	case <-e.hedgeTimer(ctx, q):
		last = e.hedge(ctx, q, budget, first)
	}
	for last.failed() && e.mayRepeat(ctx, q, budget, last) {
		e.cfg.Metrics.Retries.Inc(1)
		e.cfg.Logger.Log("event", "request sent again", "request", q.id, "attempts", q.attempts.Load(), "code", codeOf(last))
		next := <-e.start(ctx, q)
		if next.err != nil && last.answer != nil {
			break // The answer of the first backend server says more.
		}
		last = next
	}
	return last.answer, last.err
}

func codeOf(o outcome) string {
	if o.err != nil {
		return verdict.From(o.err).Code
	}
	return http.StatusText(o.answer.Status)
}

// start begins an attempt.
func (e *Entry) start(ctx context.Context, q *request) <-chan outcome {
	out := make(chan outcome, 1)
	go func() {
		a, err := e.attempt(ctx, q)
		out <- outcome{a, err}
	}()
	return out
}

// hedgeTimer fires when an idempotent request takes unusually long; it is nil
// if the request must not run twice.
func (e *Entry) hedgeTimer(ctx context.Context, q *request) <-chan time.Time {
	if !q.route.Idempotent || q.route.MaxAttempts < 2 {
		return nil
	}
	e.mu.Lock()
	usual := e.usual[q.route.Name]
	e.mu.Unlock()
	if usual == 0 {
		return nil
	}
	wait := max(hedgeFloor, time.Duration(hedgeFactor*float64(usual)))
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < wait {
		return nil
	}
	return time.After(wait)
}

// hedge sends a second attempt beside the first and takes the better outcome.
func (e *Entry) hedge(ctx context.Context, q *request, budget *retry.Budget, first <-chan outcome) outcome {
	e.mu.Lock()
	allowed := budget.Hedge(time.Now(), q.retryRequest(int(q.attempts.Load())))
	e.mu.Unlock()
	if !allowed && (q.attempts.Load() != 1 || !e.cfg.Rates.TakeRetry(ctx, q.service, e.isMostUrgent(q))) {
		return <-first
	}
	e.cfg.Metrics.Hedges.Inc(1)
	e.cfg.Logger.Log("event", "request hedged", "request", q.id)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // Ends the slower attempt.
	second := e.start(ctx, q)
	select {
	case o := <-first:
		if o.failed() {
			return better(<-second, o)
		}
		return o
	case o := <-second:
		if o.failed() {
			return better(<-first, o)
		}
		return o
	}
}

// better returns the outcome that serves the caller more.
func better(a, b outcome) outcome {
	if a.failed() && b.answer != nil && a.answer == nil {
		return b
	}
	return a
}

func (q *request) retryRequest(attempts int) retry.Request {
	return retry.Request{Idempotent: q.route.Idempotent, Attempts: min(attempts, retry.MaxAttempts-1), Deadline: q.deadline}
}

// mayRepeat decides whether the request is sent to another backend server.
func (e *Entry) mayRepeat(ctx context.Context, q *request, budget *retry.Budget, last outcome) bool {
	attempts := int(q.attempts.Load())
	if !q.onlyShed(last) && attempts >= q.route.MaxAttempts {
		return false
	}
	if ctx.Err() != nil || attempts == 0 || attempts >= maxSends {
		return false
	}
	v := verdict.MayHaveRun
	if last.err != nil {
		v = verdict.From(last.err).Verdict
	}
	request := q.retryRequest(attempts)
	e.mu.Lock()
	request.Expected = e.usual[q.route.Name]
	now := time.Now()
	repeatable := request.Repeatable(now, v)
	allowed := budget.May(now, request, v)
	e.mu.Unlock()
	return allowed || repeatable && e.cfg.Rates.TakeRetry(ctx, q.service, e.isMostUrgent(q))
}

// isMostUrgent reports whether no other requests are more urgent. A call is as
// urgent as the requests that the backend server on this machine runs.
func (e *Entry) isMostUrgent(q *request) bool {
	if q.isCall() {
		return q.view.Config.ServesMostUrgent(e.cfg.Service)
	}
	return q.view.Config.IsMostUrgent(q.route)
}

// onlyShed reports whether the backend server stated that it did not run the
// request. The bound on backend servers then allows it to be asked again.
func (q *request) onlyShed(last outcome) bool {
	return last.err != nil && verdict.From(last.err).Code == owner.CodeShed
}

// budget returns the retry budget of the service and counts the request.
func (e *Entry) budget(q *request) *retry.Budget {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.budgets[q.service]
	if b == nil {
		b = retry.NewBudgetOf(time.Now(), retry.Credits{PerRequest: budgetShare * e.cfg.Bounds.RetryRatio, Max: quota.SavedRetries})
		e.budgets[q.service] = b
	}
	b.Request(time.Now())
	return b
}

// maxReservations bounds the owners that accept a request and then refuse to
// start it, for example because their backend server leaves at that moment.
const maxReservations = 4

// attempt finds an owner with a free slot and lets it run the request.
func (e *Entry) attempt(ctx context.Context, q *request) (*h1.Answer, error) {
	var failure error
	for range maxReservations {
		r, o, err := e.reserve(ctx, q)
		if err != nil {
			return nil, err
		}
		started := time.Now()
		e.cfg.Logger.Log("event", "request sent", "request", q.id, "owner", r.member.Node, "zone", r.member.Zone,
			"backend", r.member.BackendID(), "left_ms", time.Until(q.deadline).Milliseconds(), "members", q.view.Revision)
		q.attempts.Add(1)
		a, err := e.commit(ctx, r, q.detailsOf(o), q.Payload)
		if err == nil && a.Status < http.StatusInternalServerError {
			e.learn(q.route.Name, time.Since(started))
		}
		if err == nil || !neverSent(err) {
			return a, err
		}
		q.attempts.Add(-1)
		failure = err
	}
	return nil, failure
}

// neverSent reports whether the owner refused the request before its backend
// server saw any of it.
func neverSent(err error) bool {
	e := verdict.From(err)
	return e.Verdict == verdict.NotRun && e.Code != owner.CodeShed
}

// learn updates the usual time of a route.
func (e *Entry) learn(route string, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	usual, known := e.usual[route]
	if !known {
		e.usual[route] = took
		return
	}
	e.usual[route] = usual + time.Duration(usualGain*float64(min(took, 4*usual)-usual))
}
