package node

import (
	"context"
	"sync"
	"time"

	"trefoildock.example/retry"
	"trefoildock.example/verdict"
)

// maxAttempts is the number of owners that one request may try.
const maxAttempts = retry.MaxAttempts

// retries decides for each service about retries and hedges. It is safe for
// concurrent use.
type retries struct {
	mu       sync.Mutex
	services map[string]*serviceRetries
}

// serviceRetries is the retry budget and the usual latency of one service.
type serviceRetries struct {
	budget  *retry.Budget
	latency retry.Latency
}

func newRetries() *retries { return &retries{services: make(map[string]*serviceRetries)} }

// get returns the state of a service; r.mu is held.
func (r *retries) get(service string, now time.Time) *serviceRetries {
	s := r.services[service]
	if s == nil {
		s = &serviceRetries{budget: retry.NewBudget(now)}
		r.services[service] = s
	}
	return s
}

// request counts a new request, which earns a part of a retry.
func (r *retries) request(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.get(service, now).budget.Request(now)
}

// answered records the duration of an attempt that was answered.
func (r *retries) answered(service string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.get(service, time.Now()).latency.Observe(d)
}

// allow decides whether a request that failed with v may be sent again and
// spends the budget for it.
func (r *retries) allow(ctx context.Context, req *request, v verdict.Verdict, attempts int) bool {
	return r.decide(ctx, req, attempts, func(b *retry.Budget, now time.Time, q retry.Request) bool { return b.May(now, q, v) })
}

// hedge decides whether a second attempt may run beside the first.
func (r *retries) hedge(ctx context.Context, req *request) bool {
	return r.decide(ctx, req, 1, (*retry.Budget).Hedge)
}

func (r *retries) decide(ctx context.Context, req *request, attempts int, f func(*retry.Budget, time.Time, retry.Request) bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	deadline, _ := ctx.Deadline()
	s := r.get(req.service, now)
	return f(s.budget, now, retry.Request{
		Idempotent: req.idempotent, Attempts: attempts, Deadline: deadline, Expected: s.latency.Quantile(),
	})
}

// hedgeDelay returns the time after which a request to the service is hedged,
// or 0 while too little is known.
func (r *retries) hedgeDelay(service string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	d, ok := r.get(service, time.Now()).latency.HedgeDelay()
	if !ok {
		return 0
	}
	return d
}
