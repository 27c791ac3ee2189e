package retry

import (
	"time"

	"trefoildock.example/verdict"
)

const (
	// MaxAttempts limits the attempts of one request, including the first one.
	MaxAttempts = 3
	// tokensPerRequest is the number of tokens added for each new request.
	tokensPerRequest = 0.1
	// tokensPerSecond is the refill rate in tokens per second. It allows
	// retries for a service with little traffic.
	tokensPerSecond = 1.0
	// maxTokens is the capacity of the bucket. It keeps a long period without
	// failures from allowing a burst of retries when a failure starts.
	maxTokens = 10.0
	// maxDebt bounds the tokens that a budget owes, so that it recovers within a few requests
	// after a phase with many charges.
	maxDebt = 4.0
	// maxRefillInterval limits the time between two calls that adds tokens, so
	// that a clock jump adds at most the tokens of one second.
	maxRefillInterval = time.Second
)

// BudgetConfig configures the token bucket of a Budget. One retry costs one
// token.
type BudgetConfig struct {
	// TokensPerRequest tokens are added for each new request and TokensPerSecond
	// tokens for each second.
	TokensPerRequest, TokensPerSecond float64
	// MaxTokens is the capacity of the bucket in tokens.
	MaxTokens float64
}

// DefaultBudgetConfig applies to deployments that configure no retry budget.
var DefaultBudgetConfig = BudgetConfig{TokensPerRequest: tokensPerRequest, TokensPerSecond: tokensPerSecond, MaxTokens: maxTokens}

// Budget limits the retries and hedges of one service at one entry node.
type Budget struct {
	config     BudgetConfig
	tokens     float64
	lastRefill time.Time
}

// NewBudget returns a budget with the default configuration and a full bucket,
// so that the first requests after a start may be retried.
func NewBudget(now time.Time) *Budget { return NewBudgetWithConfig(now, DefaultBudgetConfig) }

// NewBudgetWithConfig returns a budget with the given configuration and a full
// bucket.
func NewBudgetWithConfig(now time.Time, config BudgetConfig) *Budget {
	return &Budget{config: config, tokens: config.MaxTokens, lastRefill: now}
}

// RecordRequest adds the tokens of a new request.
func (b *Budget) RecordRequest(now time.Time) {
	b.refill(now)
	config := b.effectiveConfig()
	b.tokens = min(b.tokens+config.TokensPerRequest, config.MaxTokens)
}

// Charge takes tokens for attempts that are made in any case. The budget may become negative,
// by maxDebt at most.
func (b *Budget) Charge(now time.Time, tokens float64) {
	b.refill(now)
	b.tokens = max(b.tokens-tokens, -maxDebt)
}

// Overdrawn reports whether at least one token is owed.
func (b *Budget) Overdrawn() bool { return b.tokens <= -1 }

// Refund returns a token that was taken from another budget in place of this one.
func (b *Budget) Refund() { b.tokens++ }

// effectiveConfig returns the configuration of the budget; a zero Budget uses
// the default.
func (b *Budget) effectiveConfig() BudgetConfig {
	if b.config == (BudgetConfig{}) {
		return DefaultBudgetConfig
	}
	return b.config
}

// takeToken takes one token and reports whether one was available.
func (b *Budget) takeToken(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds the tokens for the time elapsed since the last call.
func (b *Budget) refill(now time.Time) {
	elapsed := now.Sub(b.lastRefill)
	b.lastRefill = now
	config := b.effectiveConfig()
	b.tokens = min(b.tokens+config.TokensPerSecond*min(max(elapsed, 0), maxRefillInterval).Seconds(), config.MaxTokens)
}

// Request describes a request that may be retried or hedged.
type Request struct {
	// Idempotent is true if the request may run more than once.
	Idempotent bool
	// Attempts is the number of attempts made so far, including hedges.
	Attempts int
	// Deadline is the time after which a response is of no use to the caller.
	Deadline time.Time
	// ExpectedDuration is the estimated duration of one attempt; 0 means unknown.
	ExpectedDuration time.Duration
}

// AllowRetry reports whether a request that failed with verdict v may be
// retried. It takes a token from the budget if so.
func (b *Budget) AllowRetry(now time.Time, r Request, v verdict.Verdict) bool {
	return r.Retryable(now, v) && b.takeToken(now)
}

// Retryable reports whether a request that failed with verdict v may be
// retried, regardless of the budget.
func (r Request) Retryable(now time.Time, v verdict.Verdict) bool {
	safe := v == verdict.NotRun || v == verdict.MayHaveRun && r.Idempotent
	return safe && r.canAttempt(now)
}

// AllowHedge reports whether a second attempt may be sent while the first one is
// still running. It takes a token from the budget if so. The caller first waits
// for the delay that Latency.HedgeDelay returns.
func (b *Budget) AllowHedge(now time.Time, r Request) bool {
	return r.Idempotent && r.Attempts == 1 && r.canAttempt(now) && b.takeToken(now)
}

// canAttempt reports whether another attempt is within MaxAttempts and is
// expected to end before the deadline.
func (r Request) canAttempt(now time.Time) bool {
	return r.Attempts < MaxAttempts && now.Add(r.ExpectedDuration).Before(r.Deadline)
}
