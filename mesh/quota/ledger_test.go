package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoildock.example/routing"
)

var start = time.Unix(1_000_000, 0)

var team = &routing.Team{Name: "blue", Rate: 20, Burst: 10}

// granted counts what a ledger gives out within a time if it is asked every millisecond.
func granted(l *Ledger, t *routing.Team, from time.Time, d time.Duration) int {
	n := 0
	for now := from; now.Before(from.Add(d)); now = now.Add(time.Millisecond) {
		got, _ := l.Take(now, t, 1)
		n += got
	}
	return n
}

// Guards against a team that gets more than its rate and burst within a window.
func TestRateAndBurst(t *testing.T) {
	l := NewLedger(start, true)
	require.InDelta(t, 110, granted(l, team, start, 5*time.Second), 1)
	require.InDelta(t, 100, granted(l, team, start.Add(5*time.Second), 5*time.Second), 1)
	require.InDelta(t, 110, granted(l, team, start.Add(time.Minute), 5*time.Second), 1, "the burst is saved up once")
}

// Guards against a second burst when another node becomes home.
func TestLaterHomeStartsWithoutBurst(t *testing.T) {
	require.InDelta(t, 100, granted(NewLedger(start, false), team, start, 5*time.Second), 1)
}

func TestRefusalTellsTheWait(t *testing.T) {
	l := NewLedger(start, false)
	n, wait := l.Take(start, team, 1)
	require.Zero(t, n)
	require.Equal(t, 50*time.Millisecond, wait)
	n, _ = l.Take(start.Add(wait), team, 1)
	require.Equal(t, 1, n)
}

func TestNoLimit(t *testing.T) {
	n, _ := NewLedger(start, false).Take(start, &routing.Team{Name: "free"}, 3)
	require.Equal(t, 3, n)
}

// Guards against deputies that together give out more than the tolerated overrun
// while there is no home, also if nodes disagree about one of them.
func TestDeputiesStayWithinTheOverrun(t *testing.T) {
	a := Allowance{Window: 5 * time.Second, Over: 0.1, Slack: 20}
	sum := 0
	for range Deputies + 1 {
		limit, ok := a.deputyLimit(team)
		require.True(t, ok)
		sum += granted(NewLedger(start, true), limit, start, 5*time.Second)
	}
	require.LessOrEqual(t, sum, 31, "110 * 0.1 + 20")
	require.Greater(t, sum, 20)
}

// Guards against a process that gives out its part again right after a restart.
func TestRestartedDeputyStartsEmpty(t *testing.T) {
	r := &Rates{Allowance: Allowance{Window: 5 * time.Second, Over: 0.1, Slack: 20}, Started: start}
	require.Zero(t, r.TakeOverrun(start, team).Granted)
	require.Equal(t, 1, r.TakeOverrun(start.Add(5*time.Second), team).Granted)
}

// Guards against retries that use up what more urgent requests need.
func TestSpareBudgetIsKept(t *testing.T) {
	limit := &routing.Team{Name: "retries", Rate: 1, Burst: 10}
	l := NewLedger(start, true)
	for range 5 {
		require.True(t, l.HasSpare(start, limit))
		l.Take(start, limit, 1)
	}
	require.False(t, l.HasSpare(start, limit))
	n, _ := l.Take(start, limit, 1)
	require.Equal(t, 1, n)
}

// Guards against retries of the home that exceed the slack together with what the
// nodes have saved up.
func TestRetryLimit(t *testing.T) {
	for _, c := range []struct {
		slack float64
		nodes int
	}{{60, 24}, {160, 72}, {196, 95}} {
		limit := RetryLimit("orders", c.slack, 10*time.Second, c.nodes)
		given := granted(NewLedger(start, true), limit, start, 10*time.Second)
		require.LessOrEqual(t, float64(given)+SavedRetries*float64(c.nodes), c.slack)
		require.GreaterOrEqual(t, float64(given), 0.2*c.slack)
	}
}
