package ratelimit

import (
	"testing"

	"github.com/stretchr/testify/require"
)

var testLimit = Limit{Rate: 100, Burst: 100}

func testLimits(string) (Limit, bool) { return testLimit, true }

func state(sequence uint64, share, wanted uint32) []ShareState {
	return []ShareState{{Team: "team", Sequence: sequence, Share: share, Wanted: wanted}}
}

// TestLedgerCountsAnsweredGrant guards against granting a fraction twice while
// the holder's confirmation is on the way.
func TestLedgerCountsAnsweredGrant(t *testing.T) {
	l := newHome(epoch)
	answer, err := l.Report(epoch, Report{Holder: "node", Incarnation: "1", Term: 1, Shares: state(1, 0, 500_000)}, testLimits)
	require.NoError(t, err)
	require.EqualValues(t, 500_000, answer.Shares[0].Share)
	require.EqualValues(t, 500_000, l.Free("team"))
}

// TestLedgerWaitsForServe guards against a new home that hands out tokens while
// the earlier one may still be fresh.
func TestLedgerWaitsForServe(t *testing.T) {
	l := NewLedger(func(string) uint32 { return 0 })
	l.MemberJoined(epoch, "node", "1")
	l.SetTerm(2)
	l.Acquire(2, []uint32{0})
	_, err := l.Report(epoch, Report{Holder: "node", Incarnation: "1", Term: 2, Shares: state(1, 1000, 0)}, testLimits)
	require.NoError(t, err)
	require.Zero(t, l.Free("team"))
	l.Serve(epoch, 2)
	require.EqualValues(t, Whole-1000, l.Free("team"))
}

// TestLedgerIgnoresReportOfEarlierTerm guards against a late report that states
// a share which another home has enlarged since.
func TestLedgerIgnoresReportOfEarlierTerm(t *testing.T) {
	l := newHome(epoch)
	l.Release([]uint32{0})
	l.SetTerm(3)
	l.Acquire(3, []uint32{0})
	answer, err := l.Report(epoch, Report{Holder: "node", Incarnation: "1", Term: 1, Shares: state(1, 1000, 0)}, testLimits)
	require.NoError(t, err)
	require.Empty(t, answer.Shares)
}

// TestLedgerCountsRecallUntilConfirmed guards against granting a recalled share
// whose holder never got the answer.
func TestLedgerCountsRecallUntilConfirmed(t *testing.T) {
	l := newHome(epoch)
	_, err := l.Report(epoch, Report{Holder: "node", Incarnation: "1", Term: 1, Shares: state(1, 500_000, 500_000)}, testLimits)
	require.NoError(t, err)
	answer, err := l.Report(epoch, Report{Holder: "node", Incarnation: "1", Term: 1, Shares: state(2, 500_000, 0)}, testLimits)
	require.NoError(t, err)
	require.Zero(t, answer.Shares[0].Share)
	require.EqualValues(t, 500_000, l.Free("team"))
}
