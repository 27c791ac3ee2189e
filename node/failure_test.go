package node

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoildock.example/platform/memory"
	"trefoildock.example/rules"
	"trefoildock.example/verdict"
)

// blockZones blocks or restores traffic in one direction between two
// availability zones of n nodes.
func (f *virtualFleet) blockZones(n, from, to int, blocked bool) {
	for i := range n {
		for j := range n {
			if i%len(zones) == from && j%len(zones) == to {
				f.net.setBlocked(nodeIP(i), nodeIP(j), blocked)
			}
		}
	}
}

// isolate blocks or restores all traffic of a node in both directions.
func (f *virtualFleet) isolate(n, i int, blocked bool) {
	for j := range n {
		if j != i {
			f.net.setBlocked(nodeIP(i), nodeIP(j), blocked)
			f.net.setBlocked(nodeIP(j), nodeIP(i), blocked)
		}
	}
}

// withdrawKeys removes all keys of a team.
func withdrawKeys(team string) func(*rules.Config) *rules.Config {
	return func(c *rules.Config) *rules.Config {
		next := *c
		next.Keys = make(map[rules.KeyDigest]rules.Key)
		for d, k := range c.Keys {
			if k.Team != team {
				next.Keys[d] = k
			}
		}
		return &next
	}
}

// TestTableOutage checks that the fleet keeps serving during an outage of the
// platform's table.
func TestTableOutage(t *testing.T) {
	runFleet(t, 6, func(f *virtualFleet) {
		f.platform.SetFaults(memory.Faults{Down: true})
		for minute := range 11 { // Longer than any time window of the fleet.
			time.Sleep(time.Minute)
			r, err := f.order(minute%6, newKey())
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, r.status, r.body)
		}
		f.platform.SetFaults(memory.Faults{})
		version := f.changeRules(withdrawKeys("walkers"))
		f.eventually("the change has been applied", func() bool {
			return f.allNodes(func(n *Node) bool { return n.snapshot.Load().configVersion >= version })
		})
	})
}

// TestWithdrawnKeyAtIsolatedNode checks that a withdrawn key is not accepted by
// a node that missed the change because it is isolated from the other nodes and
// from the table.
func TestWithdrawnKeyAtIsolatedNode(t *testing.T) {
	runFleet(t, 9, func(f *virtualFleet) {
		f.isolate(9, 4, true)
		f.platform.SetFaults(memory.Faults{Down: true}) // The isolated node cannot read the table either.
		time.Sleep(500 * time.Millisecond)
		n := f.node(nodeName(4))
		f.eventually("the isolated node stops being fresh", func() bool { return !n.fresh(time.Now()) })
		r, err := f.send(4, http.MethodGet, "/orders/1", "", "Authorization", "Bearer "+f.keys["walkers"])
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, r.status)
		require.Equal(t, verdict.NotRun.String(), r.header.Get(verdict.Header))
		r, err = f.send(0, http.MethodGet, "/orders/1", "", "Authorization", "Bearer "+f.keys["walkers"])
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, r.status, "the other nodes serve on a quorum of attesters")
	})
}

// TestWithdrawnKeyDuringOneWayPartition checks that no node accepts a withdrawn
// key for longer than 3 s while traffic between availability zones is blocked
// in one direction.
func TestWithdrawnKeyDuringOneWayPartition(t *testing.T) {
	for from := range zones {
		runFleet(t, 9, func(f *virtualFleet) {
			f.blockZones(9, from, (from+1)%3, true)
			time.Sleep(5 * time.Second)
			f.changeRules(withdrawKeys("walkers"))
			time.Sleep(3 * time.Second)
			for i := range 9 {
				r, err := f.send(i, http.MethodGet, "/orders/1", "", "Authorization", "Bearer "+f.keys["walkers"])
				require.NoError(t, err)
				require.Contains(t, []int{http.StatusUnauthorized, http.StatusServiceUnavailable}, r.status, "node %d", i)
			}
		})
	}
}

// TestResentOrderAfterCoordinatorLoss checks that an order is not run again
// after the loss of the coordinator of its key.
func TestResentOrderAfterCoordinatorLoss(t *testing.T) {
	runFleet(t, 9, func(f *virtualFleet) {
		key := newKey()
		r, err := f.order(0, key)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, r.status, r.body)
		coordinator := f.node(nodeName(0)).coordinators.coordinatorOf(kindClaim, claimKey("walkers", key))
		lost := indexOf(coordinator)
		f.kill(lost)
		entry := (lost + 1) % 9
		for range 20 {
			r, err = f.order(entry, key)
			require.NoError(t, err)
			require.NotEqual(t, http.StatusOK, r.status, "no coordinator has a record of the order")
			time.Sleep(time.Second)
		}
		require.Equal(t, verdict.MayHaveRun.String(), r.header.Get(verdict.Header), "the new coordinator cannot exclude that the order ran")
		require.LessOrEqual(t, f.executionCount(key), 1)
		r, err = f.order(entry, newKey())
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, r.status, "an order with a key created after the loss runs")
	})
}

func indexOf(name string) int {
	for i := range 100 {
		if nodeName(i) == name {
			return i
		}
	}
	panic("unknown node " + name)
}

// TestGracefulShutdownKeepsOrders checks that a planned shutdown neither aborts
// nor refuses requests, and that idempotency records are kept.
func TestGracefulShutdownKeepsOrders(t *testing.T) {
	runFleet(t, 9, func(f *virtualFleet) {
		var keys []string
		for i := range 40 {
			key := newKey()
			r, err := f.order(i%9, key)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, r.status, r.body)
			keys = append(keys, key)
		}
		stopped := make(chan error, 1)
		go func() { stopped <- f.stop(4) }()
		for i := range 100 {
			entry := []int{0, 1, 2, 3, 5, 6, 7, 8}[i%8]
			r, err := f.order(entry, newKey())
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, r.status, r.body)
			time.Sleep(50 * time.Millisecond)
		}
		require.NoError(t, <-stopped)
		for i, key := range keys {
			r, err := f.order([]int{0, 1, 2, 3, 5, 6, 7, 8}[i%8], key)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, r.status, r.body)
			require.Equal(t, "true", r.header.Get(replayedHeader))
			require.Equal(t, 1, f.executionCount(key))
		}
	})
}

// TestZoneOutAndIn checks that an availability zone that is out of service gets
// no new work, and that no request fails because the zone is taken out or
// returned.
func TestZoneOutAndIn(t *testing.T) {
	runFleet(t, 9, func(f *virtualFleet) {
		f.addLine("zone zone-b out # test: maintenance")
		start := time.Now()
		last := time.Duration(0)
		for range 100 {
			before := f.dispatchedInZoneB()
			for i := range 9 {
				r, err := f.order(i, newKey())
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, r.status, r.body)
			}
			if f.dispatchedInZoneB() != before {
				last = time.Since(start)
			}
			time.Sleep(50 * time.Millisecond)
		}
		require.LessOrEqual(t, last, 2*time.Second)
		f.changeRules(func(c *rules.Config) *rules.Config {
			next := *c
			next.Zones = map[string]rules.Zone{}
			return &next
		})
		before := f.dispatchedInZoneB()
		for i := range 300 {
			r, err := f.order(i%9, newKey())
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, r.status, r.body)
			time.Sleep(20 * time.Millisecond)
		}
		require.Greater(t, f.dispatchedInZoneB(), before)
	})
}

func (f *virtualFleet) dispatchedInZoneB() int64 {
	total := int64(0)
	for _, n := range f.running() {
		if n.settings.Node.Zone == "zone-b" {
			total += n.metrics.dispatched.Count()
		}
	}
	return total
}

// TestRestartDuringTableOutage checks that a node that starts during an outage
// of the platform's table becomes fresh and applies all accepted versions.
func TestRestartDuringTableOutage(t *testing.T) {
	runFleet(t, 9, func(f *virtualFleet) {
		f.changeRules(withdrawKeys("homes"))
		time.Sleep(3 * time.Second)
		f.platform.SetFaults(memory.Faults{Down: true})
		f.kill(4)
		time.Sleep(2 * time.Second)
		f.start(4)
		n := f.node(nodeName(4))
		f.eventually("the restarted node becomes fresh through its peers", func() bool { return n.fresh(time.Now()) })
		r, err := f.send(4, http.MethodGet, "/orders/1", "", "Authorization", "Bearer "+f.keys["homes"])
		require.NoError(t, err)
		require.Equal(t, http.StatusUnauthorized, r.status, "the withdrawal has been applied")
		f.eventually("the restarted node serves orders of every coordinator", func() bool {
			served := true
			for range 20 {
				r, err := f.order(4, newKey())
				served = served && err == nil && r.status == http.StatusOK
			}
			return served
		})
	})
}
