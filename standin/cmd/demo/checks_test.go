package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoildock.example/standin/load"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func attemptAt(at time.Duration, outcome load.Outcome, code string) load.Attempt {
	a := load.Attempt{Team: "t", Outcome: outcome, Code: code, Begun: start.Add(at), Ended: start.Add(at + time.Millisecond)}
	if outcome == load.Answered {
		a.RanAs = "t"
	}
	return a
}

// Guards against an overspend in a short window that the average of the run hides.
func TestOverspendFindsShortWindow(t *testing.T) {
	var attempts []load.Attempt
	for i := range 8 {
		attempts = append(attempts, attemptAt(time.Hour+time.Duration(i)*time.Millisecond, load.Answered, ""))
	}
	_, worst := overspend(attempts, "t", 1, 8)
	require.LessOrEqual(t, worst, 0.0)
	n, worst := overspend(attempts, "t", 1, 5)
	require.Equal(t, 8, n)
	require.InDelta(t, 3, worst, 0.01)
	_, worst = overspend(attempts, "other", 1, 5)
	require.LessOrEqual(t, worst, 0.0)
}

// Guards against a late use of a withdrawn key, or missing refusals, that pass.
func TestAfterWithdrawal(t *testing.T) {
	attempts := []load.Attempt{
		attemptAt(time.Second, load.Answered, ""), attemptAt(2*time.Second, load.NotRun, codeUnauthorized),
		attemptAt(4*time.Second, load.NotRun, codeUnauthorized), attemptAt(5*time.Second, load.Answered, ""),
	}
	last, refused := afterWithdrawal(attempts, "t", start)
	require.Equal(t, 5*time.Second, last)
	require.Equal(t, 1, refused)
}

// Guards against a refusal or a loss that is taken for the team's own doing.
func TestFailedAndLost(t *testing.T) {
	l := &callers{greedy: "t", withdrawn: "u"}
	attempts := []load.Attempt{
		attemptAt(0, load.Answered, ""), attemptAt(1, load.NotRun, codeRate), attemptAt(2, load.NotRun, codeUnauthorized),
		attemptAt(3, load.MayHaveRun, "link-lost"), attemptAt(4, load.Cut, ""), attemptAt(time.Hour, load.Cut, ""),
	}
	p := period{start, start.Add(time.Minute)}
	sent, failed := failedIn(attempts, p, l)
	require.Equal(t, 5, sent)
	require.Len(t, failed, 3)
	require.Len(t, lostIn(attempts, p), 2)
	require.Equal(t, map[string]int{"t": 1}, wrongfulRefusals(attempts, "other"))
	require.Empty(t, wrongfulRefusals(attempts, "t"))
}

// Guards against a gap, a missing requester or an extra record in the audit trail.
func TestAuditComplete(t *testing.T) {
	changes := []change{{reason: "a", version: 1}, {reason: "b", version: 2}}
	records := func() []auditRecord {
		return []auditRecord{
			{Version: 1, ReadVersion: 0, Operator: operatorName, Requester: requester, Reason: "a"},
			{Version: 2, ReadVersion: 1, Operator: operatorName, Requester: requester, Reason: "b"},
		}
	}
	ok, _ := auditComplete(records(), changes)
	require.True(t, ok)
	ok, _ = auditComplete(records()[:1], changes)
	require.False(t, ok)
	r := records()
	r[1].Requester = ""
	ok, _ = auditComplete(r, changes)
	require.False(t, ok)
	r = records()
	r[1].ReadVersion = 0
	ok, _ = auditComplete(r, changes)
	require.False(t, ok)
}
