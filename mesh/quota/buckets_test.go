package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoildock.example/routing"
)

var start = time.Unix(1_000_000, 0)

var team = &routing.Team{Name: "blue", Rate: 20, Burst: 10}

// granted counts the tokens that l grants within d if one is requested every millisecond.
func granted(l *BucketSet, t *routing.Team, from time.Time, d time.Duration) int {
	n := 0
	for now := from; now.Before(from.Add(d)); now = now.Add(time.Millisecond) {
		got, _ := l.Take(now, t, 1)
		n += got
	}
	return n
}

// Guards against granting a team more than its rate and burst within a window.
func TestRateAndBurst(t *testing.T) {
	l := NewBucketSet(start, true)
	require.InDelta(t, 110, granted(l, team, start, 5*time.Second), 1)
	require.InDelta(t, 100, granted(l, team, start.Add(5*time.Second), 5*time.Second), 1)
	require.InDelta(t, 110, granted(l, team, start.Add(time.Minute), 5*time.Second), 1, "idle time refills at most one burst")
}

// Guards against granting a second burst when another node becomes coordinator.
func TestNextCoordinatorStartsWithEmptyBuckets(t *testing.T) {
	require.InDelta(t, 100, granted(NewBucketSet(start, false), team, start, 5*time.Second), 1)
}

func TestRefusalReturnsWait(t *testing.T) {
	l := NewBucketSet(start, false)
	n, wait := l.Take(start, team, 1)
	require.Zero(t, n)
	require.Equal(t, 50*time.Millisecond, wait)
	n, _ = l.Take(start.Add(wait), team, 1)
	require.Equal(t, 1, n)
}

func TestNoLimit(t *testing.T) {
	n, _ := NewBucketSet(start, false).Take(start, &routing.Team{Name: "free"}, 3)
	require.Equal(t, 3, n)
}

// Guards against fallback nodes that together grant more than the tolerated
// overrun while there is no coordinator, also if the views of the nodes differ in
// one of them.
func TestFallbacksStayWithinOverrun(t *testing.T) {
	bounds := OverrunBounds{Window: 5 * time.Second, Ratio: 0.1, Slack: 20}
	sum := 0
	for range FallbackCount + 1 {
		limit, ok := bounds.fallbackLimit(team)
		require.True(t, ok)
		sum += granted(NewBucketSet(start, true), limit, start, 5*time.Second)
	}
	require.LessOrEqual(t, sum, 31, "110 * 0.1 + 20")
	require.Greater(t, sum, 20)
}

// Guards against a process that grants its share of the overrun again right after a restart.
func TestRestartedFallbackStartsEmpty(t *testing.T) {
	r := &RateLimiter{OverrunBounds: OverrunBounds{Window: 5 * time.Second, Ratio: 0.1, Slack: 20}, StartedAt: start}
	require.Zero(t, r.TakeOverrun(start, team).Granted)
	require.Equal(t, 1, r.TakeOverrun(start.Add(5*time.Second), team).Granted)
}

// Guards against retries that exhaust the budget of requests with a higher priority.
func TestHalfOfBudgetIsReserved(t *testing.T) {
	limit := &routing.Team{Name: "retries", Rate: 1, Burst: 10}
	l := NewBucketSet(start, true)
	for range 5 {
		require.True(t, l.HasSpare(start, limit))
		l.Take(start, limit, 1)
	}
	require.False(t, l.HasSpare(start, limit))
	n, _ := l.Take(start, limit, 1)
	require.Equal(t, 1, n)
}

// Guards against retries granted by the coordinator that, together with the local
// retry budgets of all nodes, exceed the slack.
func TestRetryLimit(t *testing.T) {
	for _, c := range []struct {
		slack float64
		nodes int
	}{{60, 24}, {160, 72}, {196, 95}} {
		limit := RetryLimit("orders", c.slack, 10*time.Second, c.nodes)
		given := granted(NewBucketSet(start, true), limit, start, 10*time.Second)
		require.LessOrEqual(t, float64(given)+LocalRetryBurst*float64(c.nodes), c.slack)
		require.GreaterOrEqual(t, float64(given), 0.2*c.slack)
	}
}
