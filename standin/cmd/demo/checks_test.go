package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoildock.example/standin/load"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func attemptAt(at time.Duration, outcome load.Outcome, code string) load.Attempt {
	a := load.Attempt{Team: "t", Outcome: outcome, Code: code, StartedAt: start.Add(at), EndedAt: start.Add(at + time.Millisecond)}
	if outcome == load.Answered {
		a.ResponseTeam = "t"
	}
	return a
}

// Guards against an excess in a short window that the average over the run hides.
func TestRateExcessFindsShortWindow(t *testing.T) {
	var attempts []load.Attempt
	for i := range 8 {
		attempts = append(attempts, attemptAt(time.Hour+time.Duration(i)*time.Millisecond, load.Answered, ""))
	}
	_, worst := rateExcess(attempts, "t", 1, 8)
	require.LessOrEqual(t, worst, 0.0)
	n, worst := rateExcess(attempts, "t", 1, 5)
	require.Equal(t, 8, n)
	require.InDelta(t, 3, worst, 0.01)
	_, worst = rateExcess(attempts, "other", 1, 5)
	require.LessOrEqual(t, worst, 0.0)
}

// Guards against missing a late use of a revoked key or the absence of refusals.
func TestUsageAfterRevocation(t *testing.T) {
	attempts := []load.Attempt{
		attemptAt(time.Second, load.Answered, ""), attemptAt(2*time.Second, load.NotRun, codeUnauthorized),
		attemptAt(4*time.Second, load.NotRun, codeUnauthorized), attemptAt(5*time.Second, load.Answered, ""),
	}
	last, refused := usageAfterRevocation(attempts, "t", start)
	require.Equal(t, 5*time.Second, last)
	require.Equal(t, 1, refused)
}

// Guards against a refusal or loss that is classified as caused by the team.
func TestClassifiesFailedAndLostAttempts(t *testing.T) {
	profile := &trafficProfile{overRateTeam: "t", revokedTeam: "u"}
	attempts := []load.Attempt{
		attemptAt(0, load.Answered, ""), attemptAt(1, load.NotRun, codeRateLimit), attemptAt(2, load.NotRun, codeUnauthorized),
		attemptAt(3, load.MayHaveRun, "link-lost"), attemptAt(4, load.Truncated, ""), attemptAt(time.Hour, load.Truncated, ""),
	}
	window := timeRange{start, start.Add(time.Minute)}
	sent, failed := failedAttempts(attempts, window, profile)
	require.Equal(t, 5, sent)
	require.Len(t, failed, 3)
	require.Len(t, lostAttempts(attempts, window), 2)
	require.Equal(t, map[string]int{"t": 1}, wrongfulRefusals(attempts, "other"))
	require.Empty(t, wrongfulRefusals(attempts, "t"))
}

// Guards against accepting a gap, a missing requester or a wrong version in the audit
// trail.
func TestCheckAuditTrailDetectsDeviations(t *testing.T) {
	changes := []change{{reason: "a", version: 1}, {reason: "b", version: 2}}
	records := func() []auditRecord {
		return []auditRecord{
			{Version: 1, ReadVersion: 0, Operator: operatorName, Requester: requester, Reason: "a"},
			{Version: 2, ReadVersion: 1, Operator: operatorName, Requester: requester, Reason: "b"},
		}
	}
	ok, _ := checkAuditTrail(records(), changes)
	require.True(t, ok)
	ok, _ = checkAuditTrail(records()[:1], changes)
	require.False(t, ok)
	r := records()
	r[1].Requester = ""
	ok, _ = checkAuditTrail(r, changes)
	require.False(t, ok)
	r = records()
	r[1].ReadVersion = 0
	ok, _ = checkAuditTrail(r, changes)
	require.False(t, ok)
}
