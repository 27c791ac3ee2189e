package node

import (
	"context"
	"sync"
	"time"

	"trefoildock.example/retry"
	"trefoildock.example/verdict"
)

// maxAttempts is the maximum number of owners tried for a request.
const maxAttempts = retry.MaxAttempts

// retryPolicy applies the retry and hedging policy of each service. It is safe
// for concurrent use.
type retryPolicy struct {
	mu       sync.Mutex
	services map[string]*serviceRetries
}

// serviceRetries holds the retry budget and the observed latency of a service.
type serviceRetries struct {
	budget  *retry.Budget
	latency retry.Latency
}

func newRetryPolicy() *retryPolicy { return &retryPolicy{services: make(map[string]*serviceRetries)} }

// get returns the state of a service. r.mu is held.
func (r *retryPolicy) get(service string, now time.Time) *serviceRetries {
	s := r.services[service]
	if s == nil {
		s = &serviceRetries{budget: retry.NewBudget(now)}
		r.services[service] = s
	}
	return s
}

// recordRequest records a new request, which adds to the retry budget.
func (r *retryPolicy) recordRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.get(service, now).budget.RecordRequest(now)
}

// recordLatency records the latency of a successful attempt.
func (r *retryPolicy) recordLatency(service string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.get(service, time.Now()).latency.Observe(d)
}

// allowRetry reports whether a request that failed with v may be retried, and
// charges the budget for the retry.
func (r *retryPolicy) allowRetry(ctx context.Context, req *request, v verdict.Verdict, attempts int) bool {
	return r.decide(ctx, req, attempts, func(b *retry.Budget, now time.Time, q retry.Request) bool { return b.AllowRetry(now, q, v) })
}

// allowHedge reports whether a second attempt may run concurrently, and charges
// the budget for it.
func (r *retryPolicy) allowHedge(ctx context.Context, req *request) bool {
	return r.decide(ctx, req, 1, (*retry.Budget).AllowHedge)
}

func (r *retryPolicy) decide(ctx context.Context, req *request, attempts int, f func(*retry.Budget, time.Time, retry.Request) bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	deadline, _ := ctx.Deadline()
	s := r.get(req.service, now)
	return f(s.budget, now, retry.Request{
		Idempotent: req.idempotent, Attempts: attempts, Deadline: deadline, ExpectedDuration: s.latency.Quantile(),
	})
}

// hedgeDelay returns the delay before a request to the service is hedged, or 0
// if there are not enough latency samples.
func (r *retryPolicy) hedgeDelay(service string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	d, ok := r.get(service, time.Now()).latency.HedgeDelay()
	if !ok {
		return 0
	}
	return d
}
