package placement

import (
	"flag"
	"fmt"
	"math"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of rapid, so that test results are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

func nodeNames(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("node-%04d", i))
	}
	return out
}

func coordinatorsOf(t *Table) []string {
	out := make([]string, Partitions)
	for p := range out {
		out[p], _ = t.Coordinator(p)
	}
	return out
}

// Guards against an uneven distribution of partitions over the nodes.
func TestPartitionsAreBalanced(t *testing.T) {
	for _, n := range []int{3, 24, 370} {
		counts := map[string]int{}
		for _, node := range coordinatorsOf(New(1, nodeNames(n))) {
			counts[node]++
		}
		mean := float64(Partitions) / float64(n)
		require.Len(t, counts, n)
		for node, c := range counts {
			require.InDelta(t, mean, c, 5*math.Sqrt(mean), node)
		}
	}
	kinds := map[int]bool{}
	for k := IdempotencyKey; k <= TeamKey; k++ {
		kinds[Partition(k, "x")] = true
	}
	require.Len(t, kinds, 4, "a key has the same partition for two kinds")
}

// Guards against nodes that disagree on a coordinator, and against a change
// that moves more partitions than necessary: any sequence of changes leads to
// the same coordinators as a new table with the same nodes.
func TestAssignmentIsIndependentOfHistory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pool := nodeNames(12)
		table, version := New(0, nil), uint64(0)
		for range rapid.IntRange(1, 25).Draw(rt, "changes") {
			before := coordinatorsOf(table)
			c := Change{
				Operation: rapid.SampledFrom([]Operation{Join, Join, Leave, Remove, Update, Rejoin}).Draw(rt, "op"),
				Node:      rapid.SampledFrom(pool).Draw(rt, "node"),
			}
			version++
			require.NoError(rt, table.Apply(c, version))
			for p, node := range coordinatorsOf(table) {
				if node != before[p] && node != c.Node && before[p] != c.Node {
					rt.Fatalf("%+v moved partition %d from %s to %s", c, p, before[p], node)
				}
			}
		}
		shuffled := rapid.Permutation(table.Nodes()).Draw(rt, "order")
		require.Equal(rt, coordinatorsOf(New(version, shuffled)), coordinatorsOf(table))
		require.Equal(rt, coordinatorsOf(FromSnapshot(version, shuffled)), coordinatorsOf(table))
	})
}

// Guards against a table that skips a change and then differs from that of
// other nodes.
func TestApplyRejectsVersionGaps(t *testing.T) {
	table := New(3, nodeNames(2))
	require.ErrorIs(t, table.Apply(Change{Join, "x"}, 5), ErrVersionGap)
	require.ErrorIs(t, table.Apply(Change{Join, "x"}, 3), ErrVersionGap)
	require.ErrorIs(t, table.Apply(Change{0, "x"}, 4), ErrUnknownOperation)
	require.Equal(t, uint64(3), table.Version())
	require.Equal(t, nodeNames(2), table.Nodes())
}

// Guards against nodes that order equal scores by the order in which nodes
// joined.
func TestEqualScoresAreOrderedByName(t *testing.T) {
	table := New(0, []string{"b", "a"})
	a := assignment{score: 7, node: table.index["b"]}
	require.True(t, table.outranks(7, table.index["a"], &a))
	a.node = table.index["a"]
	require.False(t, table.outranks(7, table.index["b"], &a))
}

var testTime = time.Unix(5000, 0)

func partitionOf(t *Table, node string) int { return slices.Index(coordinatorsOf(t), node) }

// Guards against a new coordinator that acts while the earlier one may still be
// fresh, and against a coverage that is assumed to begin too early.
func TestActivationDelay(t *testing.T) {
	table := New(1, nodeNames(3))
	p := partitionOf(table, "node-0001")
	coverage, ok := table.Coverage(p, "node-0001")
	require.True(t, ok && coverage.Complete && table.Active(p, "node-0001", testTime))

	require.NoError(t, table.Apply(Change{Remove, "node-0001"}, 2))
	successor, _ := table.Coordinator(p)
	require.False(t, table.Active(p, "node-0001", testTime), "the removed coordinator stops at once")
	table.Activate(1, testTime)
	require.False(t, table.Active(p, successor, testTime.Add(time.Hour)), "no quorum attested the change")
	_, ok = table.Coverage(p, successor)
	require.False(t, ok)

	table.Activate(2, testTime)
	table.Activate(2, testTime.Add(time.Second))
	require.False(t, table.Active(p, successor, testTime.Add(ActivationDelay-1)))
	require.True(t, table.Active(p, successor, testTime.Add(ActivationDelay)))
	coverage, ok = table.Coverage(p, successor)
	require.True(t, ok)
	require.Equal(t, Coverage{Since: testTime.Add(ActivationDelay)}, coverage)
	partition := partitionOf(table, "node-0000")
	coverage, _ = table.Coverage(partition, "node-0000")
	require.True(t, coverage.Complete || partition == p, "partitions that did not move keep their coverage")

	require.NoError(t, table.Apply(Change{Rejoin, successor}, 3))
	require.False(t, table.Active(p, successor, testTime.Add(time.Hour)), "a new process has no records")
	table.Activate(9, testTime.Add(time.Minute))
	require.NoError(t, table.Apply(Change{Join, "node-0001"}, 4))
	require.False(t, table.Active(p, "node-0001", testTime.Add(time.Hour)), "version 4 was not applied when 9 was attested")
	table.Activate(9, testTime.Add(time.Hour))
	require.True(t, table.Active(p, "node-0001", testTime.Add(time.Hour+ActivationDelay)), "the attestation counts once the version is applied")
}

// Guards against a node that loaded a snapshot, or that joined after all nodes
// had left, and is assumed to hold records from before.
func TestNoCoverageBeforeSnapshot(t *testing.T) {
	table := FromSnapshot(7, nodeNames(1))
	require.False(t, table.Active(0, "node-0000", testTime))
	table.Activate(7, testTime)
	coverage, ok := table.Coverage(0, "node-0000")
	require.True(t, ok && coverage.Since.Equal(testTime.Add(ActivationDelay)))

	table = New(1, nodeNames(1))
	require.NoError(t, table.Apply(Change{Leave, "node-0000"}, 2))
	_, ok = table.Coordinator(0)
	require.False(t, ok)
	require.NoError(t, table.Apply(Change{Join, "node-0000"}, 3))
	require.False(t, table.Active(0, "node-0000", testTime))
}

// Guards against a handover that is accepted although another coordinator was
// assigned in between.
func TestHandoverExtendsCoverage(t *testing.T) {
	table := New(1, nodeNames(3))
	p := partitionOf(table, "node-0001")
	require.NoError(t, table.Apply(Change{Leave, "node-0001"}, 2))
	successor, _ := table.Coordinator(p)
	since := Coverage{Since: testTime.Add(-time.Minute)}
	require.False(t, table.ApplyHandover(p, 3, since, testTime))
	require.False(t, table.Active(p, successor, testTime), "a rejected handover does not shorten the delay")
	require.True(t, table.ApplyHandover(p, 2, since, testTime))
	require.True(t, table.Active(p, successor, testTime), "the previous coordinator has stopped")
	table.Activate(2, testTime)
	coverage, ok := table.Coverage(p, successor)
	require.True(t, ok)
	require.Equal(t, since, coverage)
	other := anotherPartitionOf(table, successor, p, 2)
	require.False(t, table.Active(other, successor, testTime.Add(ActivationDelay-1)), "a partition that was not handed over waits for the delay")
	require.True(t, table.ApplyHandover(p, 2, Coverage{Complete: true}, testTime))
	coverage, _ = table.Coverage(p, successor)
	require.True(t, coverage.Complete)
	require.NoError(t, table.Apply(Change{Rejoin, successor}, 3))
	require.False(t, table.ApplyHandover(p, 2, since, testTime))
}

// anotherPartitionOf returns a partition other than p of which the node became
// the coordinator with the version.
func anotherPartitionOf(t *Table, node string, p int, version uint64) int {
	for q := range t.assignments {
		if name, ok := t.Coordinator(q); ok && name == node && q != p && t.assignments[q].version == version {
			return q
		}
	}
	panic("the version assigned no other partition to the node")
}

func BenchmarkJoinRemove(b *testing.B) {
	for _, n := range []int{24, 3700} {
		table, version := New(0, nodeNames(n)), uint64(0)
		apply := func(op Operation) {
			version++
			if err := table.Apply(Change{op, "another"}, version); err != nil {
				b.Fatal(err)
			}
		}
		b.Run(fmt.Sprintf("join/nodes=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				apply(Join)
				b.StopTimer()
				apply(Remove)
				b.StartTimer()
			}
		})
		b.Run(fmt.Sprintf("remove/nodes=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				b.StopTimer()
				apply(Join)
				b.StartTimer()
				apply(Remove)
			}
		})
		b.Run(fmt.Sprintf("build/nodes=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				New(0, nodeNames(n))
			}
		})
	}
}

// Guards against a successor that does not become the next coordinator.
func TestSuccessorBecomesCoordinator(t *testing.T) {
	for p := range 200 {
		table := New(1, nodeNames(9))
		successor, ok := table.Successor(p)
		require.True(t, ok)
		coordinator, _ := table.Coordinator(p)
		require.NoError(t, table.Apply(Change{Remove, coordinator}, 2))
		next, _ := table.Coordinator(p)
		require.Equal(t, next, successor)
	}
	_, ok := New(1, nodeNames(1)).Successor(0)
	require.False(t, ok)
}
