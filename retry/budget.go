package retry

import (
	"time"

	"trefoildock.example/verdict"
)

const (
	// MaxAttempts bounds the attempts of one request, the first one included.
	MaxAttempts = 3
	// requestCredit is the number of retries earned by one request.
	requestCredit = 0.1
	// secondCredit is the number of retries earned per second, which lets a
	// service with little traffic retry at all.
	secondCredit = 1.0
	// maxCredit bounds the retries saved up, so that a long healthy time does
	// not pay for a burst of retries at the start of a failure.
	maxCredit = 10.0
	// maxStep is the longest time between two calls that earns credit. It keeps
	// a jump of the clock within the bound of one second's credit.
	maxStep = time.Second
)

// Credits say how a budget earns its credit; one retry costs 1.
type Credits struct {
	// PerRequest and PerSecond are earned by each new request and each second.
	PerRequest, PerSecond float64
	// Max bounds the credit saved up.
	Max float64
}

// DefaultCredits are those of a deployment that states no bound of its own.
var DefaultCredits = Credits{PerRequest: requestCredit, PerSecond: secondCredit, Max: maxCredit}

// Budget bounds the retries and hedges of one service at one entry.
type Budget struct {
	credits Credits
	credit  float64
	last    time.Time
}

// NewBudget returns a budget with all the credit that can be saved up, so that
// the first requests after a start may be retried.
func NewBudget(now time.Time) *Budget { return NewBudgetOf(now, DefaultCredits) }

// NewBudgetOf returns a budget with other credits than the default.
func NewBudgetOf(now time.Time, c Credits) *Budget {
	return &Budget{credits: c, credit: c.Max, last: now}
}

// Request counts a new request, which earns credit.
func (b *Budget) Request(now time.Time) {
	b.earn(now)
	c := b.rates()
	b.credit = min(b.credit+c.PerRequest, c.Max)
}

// rates returns the credits; those of the zero budget are the default.
func (b *Budget) rates() Credits {
	if b.credits == (Credits{}) {
		return DefaultCredits
	}
	return b.credits
}

// spend takes the credit of one more attempt.
func (b *Budget) spend(now time.Time) bool {
	b.earn(now)
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

func (b *Budget) earn(now time.Time) {
	step := now.Sub(b.last)
	b.last = now
	c := b.rates()
	b.credit = min(b.credit+c.PerSecond*min(max(step, 0), maxStep).Seconds(), c.Max)
}

// Request describes a request whose repetition is decided.
type Request struct {
	// Idempotent is true if the request may run more than once.
	Idempotent bool
	// Attempts made so far, hedges included.
	Attempts int
	// Deadline after which an answer is useless.
	Deadline time.Time
	// Expected is the usual duration of one attempt; 0 if unknown.
	Expected time.Duration
}

// May says whether a request that failed with v may be sent again, and counts
// the retry against the budget if so.
func (b *Budget) May(now time.Time, r Request, v verdict.Verdict) bool {
	return r.Repeatable(now, v) && b.spend(now)
}

// Repeatable says whether a request that failed with v may be sent again as far
// as the request itself is concerned.
func (r Request) Repeatable(now time.Time, v verdict.Verdict) bool {
	safe := v == verdict.NotRun || v == verdict.MayHaveRun && r.Idempotent
	return safe && r.fits(now)
}

// Hedge says whether a second attempt may run beside the first, and counts it
// against the budget if so. The caller asks after Latency.HedgeDelay.
func (b *Budget) Hedge(now time.Time, r Request) bool {
	return r.Idempotent && r.Attempts == 1 && r.fits(now) && b.spend(now)
}

// fits says whether one more attempt is allowed and useful.
func (r Request) fits(now time.Time) bool {
	return r.Attempts < MaxAttempts && now.Add(r.Expected).Before(r.Deadline)
}
