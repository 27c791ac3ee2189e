package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoildock.example/crashguard"
	"trefoildock.example/platform"
	"trefoildock.example/standin/rowstore"
)

// restoredFleet is a deployment whose store was restored from a copy that is older than
// configuration version 3 and than the row of node c.
func restoredFleet(t *testing.T) (*testFleet, []*State) {
	t.Helper()
	fleet := newTestFleet(t)
	states := []*State{fleet.add("a"), fleet.add("b")}
	fleet.store.Put(platform.OperatorTable, "config", configDocument(1, "k"))
	eventually(t, func() bool { return configVersion(states[0]) == 1 && len(states[1].View().Nodes) == 2 }, "start")
	copied := fleet.store.Copy()
	states = append(states, fleet.add("c"))
	for version := 2; version <= 3; version++ {
		fleet.store.Put(platform.OperatorTable, "config", configDocument(version, "k"))
		for _, s := range states {
			eventually(t, func() bool { return configVersion(s) == uint64(version) && len(s.View().Nodes) == 3 }, "version and members")
		}
	}
	fleet.store.SetFaults(rowstore.Faults{Reset: true})
	time.Sleep(100 * time.Millisecond)
	fleet.store.Restore(copied, platform.OperatorTable)
	fleet.store.SetFaults(rowstore.Faults{})
	return fleet, states
}

// Guards against configurations, evacuations and members that are ignored after the store
// was restored from an older copy, because their revisions are lower than before.
func TestChangesApplyAfterTheStoreIsRestored(t *testing.T) {
	fleet, states := restoredFleet(t)
	fleet.store.Put(platform.OperatorTable, "config", configDocument(4, "k"))
	fleet.store.Put(platform.OperatorTable, "evacuate/z9", []byte("{}"))
	for _, s := range states {
		eventually(t, func() bool { return configVersion(s) == 4 }, "configuration after the restoration")
		eventually(t, func() bool { return s.View().EvacuatedZones["z9"] }, "evacuation after the restoration")
	}
	fleet.store.Delete(platform.OperatorTable, "evacuate/z9")
	d := fleet.add("d")
	for _, s := range append(states, d) {
		eventually(t, func() bool { return !s.View().EvacuatedZones["z9"] }, "evacuation taken back")
		eventually(t, func() bool { return len(s.View().Nodes) == 4 }, "members after the restoration")
		age, known := s.ConfirmationAge()
		require.True(t, known)
		require.Less(t, age, 4*time.Second)
	}
}

// Guards against a live node that other nodes do not use while its row is missing from the
// restored store, and against one that does not write its row again.
func TestMembersStayUntilTheyAreWrittenAgain(t *testing.T) {
	fleet, states := restoredFleet(t)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		require.Contains(t, states[0].View().Nodes, "c")
		require.Contains(t, states[1].View().Nodes, "c")
		require.GreaterOrEqual(t, configVersion(states[0]), uint64(3), "an older configuration came back")
	}
	_, written := fleet.store.Value("members", "member/c")
	require.True(t, written)
}

// Guards against a node that is gone but stays in use because its row, which it has deleted,
// is back, or because its row is missing from the restored store.
func TestNodesThatAreGoneLeaveAfterTheStoreIsRestored(t *testing.T) {
	fleet, states := restoredFleet(t)
	fleet.stop("c")
	fleet.store.Delete("members", "member/c")
	for _, s := range states[:2] {
		eventually(t, func() bool { return s.View().Nodes["c"] == nil }, "node that is gone")
	}
}

// Guards against a crash whose row is lost with the restoration, so that a node that starts
// later runs the request.
func TestCrashesAreRecordedAgain(t *testing.T) {
	fleet := newTestFleet(t)
	a := fleet.add("a")
	eventually(t, func() bool { _, ok := a.StoreNow(); return ok && len(a.View().Nodes) == 1 }, "start")
	copied := fleet.store.Copy()
	fingerprint := crashguard.Fingerprint{1}
	a.RecordCrash(t.Context(), crashguard.Notice{Kind: crashguard.Crashed, Event: "i-0", Requests: []crashguard.Involved{{Fingerprint: fingerprint, Blocked: true}}})
	fleet.store.Restore(copied)
	_, found := fleet.store.Value("members", "crash/i-0")
	require.False(t, found)
	eventually(t, func() bool { _, found := fleet.store.Value("members", "crash/i-0"); return found }, "row of the crash")
}
