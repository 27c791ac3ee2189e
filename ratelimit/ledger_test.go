package ratelimit

import (
	"testing"

	"github.com/stretchr/testify/require"
)

var testLimit = Limit{Rate: 100 * PerSecond, Burst: 100}

func testLimits(string) (Limit, bool) { return testLimit, true }

func shareStates(sequence uint64, share, wanted uint32) []ShareState {
	return []ShareState{{Team: "team", Sequence: sequence, Share: share, Wanted: wanted}}
}

// Guards against granting a fraction twice while the report that confirms the
// grant is in transit.
func TestLedgerCountsGrantBeforeConfirmation(t *testing.T) {
	l := newCoordinator(epoch)
	response, err := l.Report(epoch, Report{Holder: "node", Incarnation: "1", Term: 1, Shares: shareStates(1, 0, 500_000)}, testLimits)
	require.NoError(t, err)
	require.EqualValues(t, 500_000, response.Shares[0].Share)
	require.EqualValues(t, 500_000, l.Unallocated("team"))
}

// Guards against a new coordinator that grants tokens while the previous one
// may still be active.
func TestLedgerWaitsForServe(t *testing.T) {
	l := NewLedger(func(string) uint32 { return 0 })
	l.MemberJoined(epoch, "node", "1")
	l.SetTerm(2)
	l.Acquire(2, []uint32{0})
	_, err := l.Report(epoch, Report{Holder: "node", Incarnation: "1", Term: 2, Shares: shareStates(1, 1000, 0)}, testLimits)
	require.NoError(t, err)
	require.Zero(t, l.Unallocated("team"))
	l.Serve(epoch, 2)
	require.EqualValues(t, FullShare-1000, l.Unallocated("team"))
}

// Guards against accepting a delayed report of a share that another coordinator
// has increased since.
func TestLedgerIgnoresReportOfEarlierTerm(t *testing.T) {
	l := newCoordinator(epoch)
	l.Release([]uint32{0})
	l.SetTerm(3)
	l.Acquire(3, []uint32{0})
	response, err := l.Report(epoch, Report{Holder: "node", Incarnation: "1", Term: 1, Shares: shareStates(1, 1000, 0)}, testLimits)
	require.NoError(t, err)
	require.Empty(t, response.Shares)
}

// Guards against granting a share to another holder before its previous holder
// has confirmed the reduction.
func TestLedgerCountsReductionUntilConfirmed(t *testing.T) {
	l := newCoordinator(epoch)
	_, err := l.Report(epoch, Report{Holder: "node", Incarnation: "1", Term: 1, Shares: shareStates(1, 500_000, 500_000)}, testLimits)
	require.NoError(t, err)
	response, err := l.Report(epoch, Report{Holder: "node", Incarnation: "1", Term: 1, Shares: shareStates(2, 500_000, 0)}, testLimits)
	require.NoError(t, err)
	require.Zero(t, response.Shares[0].Share)
	require.EqualValues(t, 500_000, l.Unallocated("team"))
}
