package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

var (
	idempotent = healthRequest{idempotent: true}
	once       = healthRequest{}
)

// Guards against orders that are sent to a backend server right after it failed.
func TestOneFailureHoldsBackRequestsThatMustNotRepeat(t *testing.T) {
	var h health
	require.False(t, h.record(at(0), false, false))
	ok, _ := h.accept(at(time.Millisecond), once)
	require.False(t, ok)
	ok, _ = h.accept(at(time.Millisecond), idempotent)
	require.True(t, ok, "an idempotent request may be sent again elsewhere")
	h.record(at(2*time.Millisecond), true, false)
	ok, _ = h.accept(at(3*time.Millisecond), once)
	require.True(t, ok, "a success ends the doubt")
}

// Guards against trials that use up the retry budget of the fleet.
func TestTrialsOfSuspectedServerBackOff(t *testing.T) {
	var h health
	h.record(at(0), false, false)
	require.True(t, h.record(at(0), false, false))
	trials := 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		if ok, trial := h.accept(at(now), idempotent); ok {
			require.True(t, trial)
			trials++
			h.record(at(now), false, true)
		}
	}
	require.LessOrEqual(t, trials, 9)
	require.GreaterOrEqual(t, trials, 4, "a server that recovers must be noticed")
}

// Guards against a suspicion that outlives the failure.
func TestSuccessfulTrialsEndSuspicion(t *testing.T) {
	var h health
	h.record(at(0), false, false)
	h.record(at(0), false, false)
	now := at(minTrialWait)
	for range trialSuccesses {
		ok, trial := h.accept(now, idempotent)
		require.True(t, ok && trial)
		h.record(now, true, trial)
		now = now.Add(time.Millisecond)
	}
	ok, trial := h.accept(now, once)
	require.True(t, ok)
	require.False(t, trial)
}

// Guards against a service whose servers are all suspected and get nothing.
func TestLastResortIsAccepted(t *testing.T) {
	var h health
	h.record(at(0), false, false)
	h.record(at(0), false, false)
	ok, trial := h.accept(at(0), healthRequest{lastResort: true})
	require.True(t, ok)
	require.False(t, trial)
}

// Guards against an abandoned trial that blocks all further ones.
func TestCanceledTrialFreesItsPlace(t *testing.T) {
	var h health
	h.record(at(0), false, false)
	h.record(at(0), false, false)
	ok, trial := h.accept(at(time.Minute), idempotent)
	require.True(t, ok && trial)
	ok, _ = h.accept(at(time.Minute), idempotent)
	require.False(t, ok, "one trial at a time")
	h.cancel(trial)
	ok, _ = h.accept(at(time.Minute), idempotent)
	require.True(t, ok)
}

// Guards against a partly failing server that never fails twice in a row.
func TestEverySecondFailureIsSuspected(t *testing.T) {
	var h health
	for i := range 6 {
		h.record(at(time.Duration(i)*time.Second), i%2 == 0, false)
	}
	require.True(t, h.suspected)
}

func TestSlowAnswers(t *testing.T) {
	var h health
	for range 20 {
		require.False(t, h.slow("GET shop", 200*time.Millisecond))
	}
	require.True(t, h.slow("GET shop", time.Second))
	require.False(t, h.slow("GET other", time.Second), "nothing is known of the route")
	require.Less(t, h.usual["GET shop"], 220*time.Millisecond, "a slow answer does not become usual")
}

// Guards against more requests to a cold server within any second than allowed.
func TestArrivalsInAnySecond(t *testing.T) {
	var a arrivals
	var sent []time.Duration
	for now := time.Duration(0); now < 3*time.Second; now += 7 * time.Millisecond {
		if a.next(at(now), 5) == 0 && a.allow(at(now), 5) {
			sent = append(sent, now)
		}
	}
	require.GreaterOrEqual(t, len(sent), 14)
	for i, first := range sent {
		n := 0
		for _, s := range sent[i:] {
			if s < first+time.Second {
				n++
			}
		}
		require.LessOrEqual(t, n, 5)
	}
}

// Guards against a server that is suspected because of the calls that it makes.
func TestCallsExplainFailures(t *testing.T) {
	c := calls{failedAt: at(time.Second)}
	require.True(t, c.explain(at(2*time.Second), at(0), false))
	require.False(t, c.explain(at(2*time.Second), at(1500*time.Millisecond), false), "the call failed before the request began")
	c = calls{running: 1}
	require.True(t, c.explain(at(0), at(0), true), "the request waits for a call at its deadline")
	require.False(t, c.explain(at(0), at(0), false), "an early failure is its own")
}
