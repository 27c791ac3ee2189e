package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoildock.example/verdict"
)

var start = time.Unix(1_800_000_000, 0)

// TestAttemptsWhileAllServersFail guards against a retry storm: the attempts
// stay within 1.1 per request plus 1 per second plus the saved credit.
func TestAttemptsWhileAllServersFail(t *testing.T) {
	const requests, perSecond = 20_000, 200
	b, attempts := NewBudget(start), 0
	for i := range requests {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		b.Request(now)
		r := Request{Idempotent: true, Attempts: 1, Deadline: now.Add(time.Second)}
		for b.May(now, r, verdict.MayHaveRun) {
			r.Attempts++
		}
		attempts += r.Attempts
	}
	t.Logf("%.4f attempts per request", float64(attempts)/requests)
	require.LessOrEqual(t, float64(attempts), 1.1*requests+requests/perSecond*secondCredit+maxCredit)
	require.Greater(t, attempts, requests+requests/20, "the budget must allow retries")
}

// TestRetryRule guards against repeating a request that may have run, and
// against attempts that are too many or too late.
func TestRetryRule(t *testing.T) {
	ok := Request{Attempts: 1, Deadline: start.Add(time.Second), Expected: time.Millisecond}
	once, late, many, idempotent := ok, ok, ok, ok
	late.Expected, many.Attempts, idempotent.Idempotent = time.Second, MaxAttempts, true
	for _, c := range []struct {
		name string
		r    Request
		v    verdict.Verdict
		want bool
	}{
		{"not run", once, verdict.NotRun, true},
		{"may have run", once, verdict.MayHaveRun, false},
		{"may have run, idempotent", idempotent, verdict.MayHaveRun, true},
		{"completed", idempotent, verdict.Completed, false},
		{"deadline", late, verdict.NotRun, false},
		{"attempts", many, verdict.NotRun, false},
	} {
		require.Equal(t, c.want, (&Budget{credit: 5, last: start}).May(start, c.r, c.v), c.name)
	}
	require.False(t, (&Budget{credit: 5, last: start}).Hedge(start, once), "only idempotent requests are hedged")
	require.True(t, (&Budget{credit: 5, last: start}).Hedge(start, idempotent))
	require.False(t, (&Budget{last: start}).Hedge(start, idempotent), "a hedge counts against the budget")
}

// TestClockJumpEarnsOneSecond guards against credit from a clock that jumped.
func TestClockJumpEarnsOneSecond(t *testing.T) {
	b := NewBudget(start)
	b.earn(start.Add(time.Hour))
	require.InDelta(t, secondCredit, b.credit, 1e-9)
}

// TestHedgeDelayFollowsQuantile guards against hedging most requests.
func TestHedgeDelayFollowsQuantile(t *testing.T) {
	r, l := rand.New(rand.NewPCG(1, 1)), &Latency{}
	_, known := l.HedgeDelay()
	require.False(t, known)
	slower := 0
	for i := range 20_000 {
		d := time.Duration(r.ExpFloat64() * float64(20*time.Millisecond))
		if i >= 10_000 && d > l.Quantile() {
			slower++
		}
		l.Observe(d)
	}
	require.InDelta(t, 1-hedgeQuantile, float64(slower)/10_000, 0.01)
}

func BenchmarkMay(b *testing.B) {
	budget, r := NewBudget(start), Request{Idempotent: true, Attempts: 1, Deadline: start.Add(time.Hour)}
	for b.Loop() {
		budget.Request(start)
		budget.May(start, r, verdict.MayHaveRun)
	}
}
