package node

import (
	"sync"
	"time"

	"trefoildock.example/verdict"
)

const (
	// retryRatio is the share of requests that may be retried.
	retryRatio = 0.1
	// retryPerSecond is the number of retries per second allowed in addition.
	retryPerSecond = 1.0
	// retryBurst bounds the retries saved up.
	retryBurst = 20.0
)

// retries holds one retry budget per service. It is safe for concurrent use.
type retries struct {
	mu      sync.Mutex
	budgets map[string]*budget
}

type budget struct {
	tokens float64
	at     time.Time
}

func newRetries() *retries { return &retries{budgets: make(map[string]*budget)} }

func (r *retries) get(service string, now time.Time) *budget {
	b := r.budgets[service]
	if b == nil {
		b = &budget{tokens: retryBurst, at: now}
		r.budgets[service] = b
	}
	b.tokens = min(retryBurst, b.tokens+now.Sub(b.at).Seconds()*retryPerSecond)
	b.at = now
	return b
}

// request earns a part of a retry.
func (r *retries) request(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.get(service, time.Now())
	b.tokens = min(retryBurst, b.tokens+retryRatio)
}

// allow decides whether a failed request may be sent again and spends budget.
func (r *retries) allow(service string, e *verdict.Error, idempotent bool, attempts int) bool {
	if e.Verdict == verdict.Completed || e.Verdict == verdict.MayHaveRun && !idempotent || attempts >= maxAttempts {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.get(service, time.Now())
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
