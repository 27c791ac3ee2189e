package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoildock.example/platform"
)

// storeCalls returns the number of calls that the store has received.
func (f *testFleet) storeCalls() int {
	return f.store.RequestCount("/v1/rows-feed") + f.store.RequestCount("/v1/rows-get") + f.store.RequestCount("/v1/rows-tx")
}

// addAll starts the states of n nodes.
func (f *testFleet) addAll(n int) []*State {
	var states []*State
	for i := range n {
		states = append(states, f.add(fmt.Sprint("n", i)))
	}
	return states
}

func (f *testFleet) awaitFullViews(states []*State) {
	for _, s := range states {
		eventually(f.t, func() bool { return configVersion(s) > 0 && len(s.View().Nodes) == len(states) }, "view of "+s.cfg.Self.Node)
	}
}

// storeReaders returns the number of nodes that read the store themselves.
func storeReaders(states []*State) int {
	count := 0
	for _, s := range states {
		if s.ReadsStore() {
			count++
		}
	}
	return count
}

// Guards against a restart of all nodes that costs the store several calls for each
// node: a node reads the members, writes its own row and gets the rest from a reader of
// its zone.
func TestRestartOfAllNodesCostsFewStoreCalls(t *testing.T) {
	const nodes = 24
	fleet := newTestFleet(t)
	fleet.store.Put(platform.OperatorTable, "config", configDocument(1, "k"))
	states := fleet.addAll(nodes)
	fleet.awaitFullViews(states)
	for _, s := range states {
		fleet.stop(s.cfg.Self.Node)
	}
	before, began := fleet.storeCalls(), time.Now()
	states = fleet.addAll(nodes)
	fleet.awaitFullViews(states)
	eventually(t, func() bool { return storeReaders(states) == readersPerZone }, "followers")
	for _, s := range states {
		eventually(t, func() bool { _, known := s.ConfirmationAge(); return known }, "confirmation")
	}
	// A reader also reads the operator's table, confirms it once per operatorWatchWait and
	// receives the rows that change, at most once per memberCoalesceDelay.
	elapsed := time.Since(began)
	reader := 2 + int(elapsed/operatorWatchWait) + 2 + int(elapsed/memberCoalesceDelay)
	require.LessOrEqual(t, fleet.storeCalls()-before, 2*nodes+readersPerZone*reader, "after %s", elapsed)
}

// Guards against a zone whose nodes all watch the store, because the readers and the
// nodes that rank next are turned away by it.
func TestZoneWhoseReadersLoseTheStore(t *testing.T) {
	const nodes = 24
	fleet := newTestFleet(t)
	fleet.store.Put(platform.OperatorTable, "config", configDocument(1, "k"))
	states := fleet.addAll(nodes)
	fleet.awaitFullViews(states)
	eventually(t, func() bool { return storeReaders(states) == readersPerZone }, "followers")
	const turnedAway = 6
	ranked := states[0].rankInZone()
	for _, m := range ranked[:turnedAway] {
		fleet.setCutOff(m.Node, true)
	}
	time.Sleep(3 * time.Second)
	before := fleet.storeCalls()
	for range 20 {
		for _, s := range states {
			age, _ := s.ConfirmationAge()
			require.Less(t, age, peerPollAge+peerPollInterval+time.Second, "confirmation of %s", s.cfg.Self.Node)
		}
		time.Sleep(100 * time.Millisecond)
	}
	// As many nodes as there are readers take over: a watch of the operator's table per
	// operatorWatchWait and one of the members. Those that are turned away make no call that
	// reaches the store here.
	require.LessOrEqual(t, fleet.storeCalls()-before, 3*readersPerZone*2)
	fleet.store.Put(platform.OperatorTable, "config", configDocument(2, "k"))
	for _, s := range states {
		eventually(t, func() bool { return configVersion(s) == 2 }, "new version")
	}
}
