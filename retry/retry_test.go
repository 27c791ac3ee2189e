package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoildock.example/verdict"
)

var testTime = time.Unix(1_800_000_000, 0)

// Guards against a retry storm: the number of attempts stays within 1.1 per
// request plus 1 per second plus the capacity of the token bucket.
func TestBudgetBoundsAttemptsWhenAllServersFail(t *testing.T) {
	const requests, perSecond = 20_000, 200
	b, attempts := NewBudget(testTime), 0
	for i := range requests {
		now := testTime.Add(time.Duration(i) * time.Second / perSecond)
		b.RecordRequest(now)
		r := Request{Idempotent: true, Attempts: 1, Deadline: now.Add(time.Second)}
		for b.AllowRetry(now, r, verdict.MayHaveRun) {
			r.Attempts++
		}
		attempts += r.Attempts
	}
	t.Logf("%.4f attempts per request", float64(attempts)/requests)
	require.LessOrEqual(t, float64(attempts), 1.1*requests+requests/perSecond*tokensPerSecond+maxTokens)
	require.Greater(t, attempts, requests+requests/20, "the budget must allow retries")
}

// Guards against retries of a request that may have run, against too many
// attempts and against attempts after the deadline.
func TestRetryRequiresSafeRequestAndRemainingTime(t *testing.T) {
	base := Request{Attempts: 1, Deadline: testTime.Add(time.Second), ExpectedDuration: time.Millisecond}
	nonIdempotent, tooLong, exhausted, idempotent := base, base, base, base
	tooLong.ExpectedDuration, exhausted.Attempts, idempotent.Idempotent = time.Second, MaxAttempts, true
	for _, c := range []struct {
		name string
		r    Request
		v    verdict.Verdict
		want bool
	}{
		{"not run", nonIdempotent, verdict.NotRun, true},
		{"may have run", nonIdempotent, verdict.MayHaveRun, false},
		{"may have run, idempotent", idempotent, verdict.MayHaveRun, true},
		{"completed", idempotent, verdict.Completed, false},
		{"deadline", tooLong, verdict.NotRun, false},
		{"attempts", exhausted, verdict.NotRun, false},
	} {
		require.Equal(t, c.want, (&Budget{tokens: 5, lastRefill: testTime}).AllowRetry(testTime, c.r, c.v), c.name)
	}
	require.False(t, (&Budget{tokens: 5, lastRefill: testTime}).AllowHedge(testTime, nonIdempotent), "only idempotent requests are hedged")
	require.True(t, (&Budget{tokens: 5, lastRefill: testTime}).AllowHedge(testTime, idempotent))
	require.False(t, (&Budget{lastRefill: testTime}).AllowHedge(testTime, idempotent), "a hedge takes a token of the budget")
}

// Guards against tokens added by a clock jump.
func TestClockJumpRefillsAtMostOneSecond(t *testing.T) {
	b := NewBudget(testTime)
	b.tokens = 0 // A full bucket would hide the tokens added by the jump.
	b.refill(testTime.Add(time.Hour))
	require.InDelta(t, tokensPerSecond, b.tokens, 1e-9)
}

// Guards against an estimate that is too low, which would hedge most requests.
func TestHedgeDelayTracksQuantile(t *testing.T) {
	r, l := rand.New(rand.NewPCG(1, 1)), &Latency{}
	_, ready := l.HedgeDelay()
	require.False(t, ready)
	aboveQuantile := 0
	for i := range 20_000 {
		d := time.Duration(r.ExpFloat64() * float64(20*time.Millisecond))
		if i >= 10_000 && d > l.Quantile() {
			aboveQuantile++
		}
		l.Observe(d)
	}
	require.InDelta(t, 1-hedgeQuantile, float64(aboveQuantile)/10_000, 0.01)
}

func BenchmarkMay(b *testing.B) {
	budget, r := NewBudget(testTime), Request{Idempotent: true, Attempts: 1, Deadline: testTime.Add(time.Hour)}
	for b.Loop() {
		budget.RecordRequest(testTime)
		budget.AllowRetry(testTime, r, verdict.MayHaveRun)
	}
}
