package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

var (
	idempotent    = healthRequest{idempotent: true}
	nonIdempotent = healthRequest{}
)

// Guards against non-idempotent requests to a backend server that has just failed.
func TestOneFailureRefusesNonIdempotentRequests(t *testing.T) {
	var h health
	require.False(t, h.record(at(0), false, false))
	ok, _ := h.accept(at(time.Millisecond), nonIdempotent)
	require.False(t, ok)
	ok, _ = h.accept(at(time.Millisecond), idempotent)
	require.True(t, ok, "an idempotent request can be retried on another backend server")
	h.record(at(2*time.Millisecond), true, false)
	ok, _ = h.accept(at(3*time.Millisecond), nonIdempotent)
	require.True(t, ok, "a success ends the restriction to idempotent requests")
}

// Guards against trial requests that exhaust the retry budget of the fleet.
func TestTrialsOfSuspectedBackendBackOff(t *testing.T) {
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
	require.GreaterOrEqual(t, trials, 4, "a recovered backend server must be detected")
}

// Guards against a suspicion that persists after the backend server has recovered.
func TestSuccessfulTrialsEndSuspicion(t *testing.T) {
	var h health
	h.record(at(0), false, false)
	h.record(at(0), false, false)
	now := at(minTrialBackoff)
	for range trialSuccesses {
		ok, trial := h.accept(now, idempotent)
		require.True(t, ok && trial)
		h.record(now, true, trial)
		now = now.Add(time.Millisecond)
	}
	ok, trial := h.accept(now, nonIdempotent)
	require.True(t, ok)
	require.False(t, trial)
}

// Guards against a service that gets no requests because all its backend servers are suspected.
func TestLastResortRequestIsAccepted(t *testing.T) {
	var h health
	h.record(at(0), false, false)
	h.record(at(0), false, false)
	ok, trial := h.accept(at(0), healthRequest{lastResort: true})
	require.True(t, ok)
	require.False(t, trial)
}

// Guards against a canceled trial that blocks all further trials.
func TestCanceledTrialAllowsNextTrial(t *testing.T) {
	var h health
	h.record(at(0), false, false)
	h.record(at(0), false, false)
	ok, trial := h.accept(at(time.Minute), idempotent)
	require.True(t, ok && trial)
	ok, _ = h.accept(at(time.Minute), idempotent)
	require.False(t, ok, "only one trial runs at a time")
	h.cancel(trial)
	ok, _ = h.accept(at(time.Minute), idempotent)
	require.True(t, ok)
}

// Guards against an undetected backend server that fails some requests but never two in a row.
func TestAlternatingFailuresAreSuspected(t *testing.T) {
	var h health
	for i := range 6 {
		h.record(at(time.Duration(i)*time.Second), i%2 == 0, false)
	}
	require.True(t, h.suspected)
}

func TestSlowResponses(t *testing.T) {
	var h health
	for range 20 {
		require.False(t, h.observeLatency("GET shop", 200*time.Millisecond))
	}
	require.True(t, h.observeLatency("GET shop", time.Second))
	require.False(t, h.observeLatency("GET other", time.Second), "the route has no baseline yet")
	require.Less(t, h.baselines["GET shop"], 220*time.Millisecond, "a slow response hardly changes the baseline")
}

// Guards against a rate to a cold backend server that exceeds the limit in some period of one second.
func TestSlidingWindowLimit(t *testing.T) {
	var w slidingWindow
	var sent []time.Duration
	for now := time.Duration(0); now < 3*time.Second; now += 7 * time.Millisecond {
		if w.waitTime(at(now), 5, time.Time{}) == 0 && w.allow(at(now), 5, time.Time{}) {
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

// Guards against the suspicion of a backend server because of failed outbound calls.
func TestOutboundCallsMayCauseFailures(t *testing.T) {
	c := outboundCalls{lastFailure: at(time.Second)}
	require.True(t, c.mayHaveCausedFailure(at(2*time.Second), at(0), false))
	require.False(t, c.mayHaveCausedFailure(at(2*time.Second), at(1500*time.Millisecond), false), "the call failed before the request started")
	c = outboundCalls{running: 1}
	require.True(t, c.mayHaveCausedFailure(at(0), at(0), true), "an outbound call is running at the deadline of the request")
	require.False(t, c.mayHaveCausedFailure(at(0), at(0), false), "a failure before the deadline is not caused by a running call")
}
