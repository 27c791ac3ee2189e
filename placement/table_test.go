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

// TestMain fixes the seed of rapid, so that the verdict is the same each time.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

func names(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("node-%04d", i))
	}
	return out
}

func homesOf(t *Table) []string {
	out := make([]string, Partitions)
	for p := range out {
		out[p], _ = t.Home(p)
	}
	return out
}

// Guards against some nodes getting far more partitions than others.
func TestBalance(t *testing.T) {
	for _, n := range []int{3, 24, 370} {
		counts := map[string]int{}
		for _, node := range homesOf(New(1, names(n))) {
			counts[node]++
		}
		mean := float64(Partitions) / float64(n)
		require.Len(t, counts, n)
		for node, c := range counts {
			require.InDelta(t, mean, c, 5*math.Sqrt(mean), node)
		}
	}
	kinds := map[int]bool{}
	for k := Claim; k <= Key; k++ {
		kinds[Partition(k, "x")] = true
	}
	require.Len(t, kinds, 4, "kinds share partitions")
}

// Guards against nodes that disagree on a home, or a change that moves more
// than it has to: any history gives the homes of a table built at once.
func TestHistoryDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pool := names(12)
		table, version := New(0, nil), uint64(0)
		for range rapid.IntRange(1, 25).Draw(rt, "changes") {
			before := homesOf(table)
			c := Change{
				Operation: rapid.SampledFrom([]Operation{Join, Join, Leave, Remove, Update, Rejoin}).Draw(rt, "op"),
				Node:      rapid.SampledFrom(pool).Draw(rt, "node"),
			}
			version++
			require.NoError(rt, table.Apply(c, version))
			for p, node := range homesOf(table) {
				if node != before[p] && node != c.Node && before[p] != c.Node {
					rt.Fatalf("%+v moved partition %d from %s to %s", c, p, before[p], node)
				}
			}
		}
		shuffled := rapid.Permutation(table.Nodes()).Draw(rt, "order")
		require.Equal(rt, homesOf(New(version, shuffled)), homesOf(table))
		require.Equal(rt, homesOf(FromSnapshot(version, shuffled)), homesOf(table))
	})
}

// Guards against a table that skips a change and then differs from the others.
func TestApplyRefusesGaps(t *testing.T) {
	table := New(3, names(2))
	require.ErrorIs(t, table.Apply(Change{Join, "x"}, 5), ErrVersionGap)
	require.ErrorIs(t, table.Apply(Change{Join, "x"}, 3), ErrVersionGap)
	require.ErrorIs(t, table.Apply(Change{0, "x"}, 4), ErrUnknownOperation)
	require.Equal(t, uint64(3), table.Version())
	require.Equal(t, names(2), table.Nodes())
}

// Guards against nodes that decide a tie of scores by the order of arrival.
func TestTieIsDecidedByName(t *testing.T) {
	table := New(0, []string{"b", "a"})
	h := home{score: 7, node: table.index["b"]}
	require.True(t, table.beats(7, table.index["a"], &h))
	h.node = table.index["a"]
	require.False(t, table.beats(7, table.index["b"], &h))
}

var t0 = time.Unix(5000, 0)

func partitionOf(t *Table, node string) int { return slices.Index(homesOf(t), node) }

// Guards against a successor that acts while the earlier home may still be
// fresh, and against a memory that is taken to reach further back than it does.
func TestActivation(t *testing.T) {
	table := New(1, names(3))
	p := partitionOf(table, "node-0001")
	m, ok := table.MemorySince(p, "node-0001")
	require.True(t, ok && m.Complete && table.Active(p, "node-0001", t0))

	require.NoError(t, table.Apply(Change{Remove, "node-0001"}, 2))
	next, _ := table.Home(p)
	require.False(t, table.Active(p, "node-0001", t0), "the removed home stops at once")
	table.Activate(1, t0)
	require.False(t, table.Active(p, next, t0.Add(time.Hour)), "no quorum attested the change")
	_, ok = table.MemorySince(p, next)
	require.False(t, ok)

	table.Activate(2, t0)
	table.Activate(2, t0.Add(time.Second))
	require.False(t, table.Active(p, next, t0.Add(ActivationWait-1)))
	require.True(t, table.Active(p, next, t0.Add(ActivationWait)))
	m, ok = table.MemorySince(p, next)
	require.True(t, ok)
	require.Equal(t, Memory{Since: t0.Add(ActivationWait)}, m)
	own := partitionOf(table, "node-0000")
	m, _ = table.MemorySince(own, "node-0000")
	require.True(t, m.Complete || own == p, "partitions that stayed keep their memory")

	require.NoError(t, table.Apply(Change{Rejoin, next}, 3))
	require.False(t, table.Active(p, next, t0.Add(time.Hour)), "a new process remembers nothing")
	table.Activate(9, t0.Add(time.Minute))
	require.NoError(t, table.Apply(Change{Join, "node-0001"}, 4))
	require.False(t, table.Active(p, "node-0001", t0.Add(time.Hour)), "version 4 was not held when 9 was attested")
	table.Activate(9, t0.Add(time.Hour))
	require.True(t, table.Active(p, "node-0001", t0.Add(time.Hour+ActivationWait)), "it counts once held")
}

// Guards against a late node, or one whose cluster was emptied, that believes
// it remembers the time before it.
func TestNoMemoryBeforeSnapshot(t *testing.T) {
	table := FromSnapshot(7, names(1))
	require.False(t, table.Active(0, "node-0000", t0))
	table.Activate(7, t0)
	m, ok := table.MemorySince(0, "node-0000")
	require.True(t, ok && m.Since.Equal(t0.Add(ActivationWait)))

	table = New(1, names(1))
	require.NoError(t, table.Apply(Change{Leave, "node-0000"}, 2))
	_, ok = table.Home(0)
	require.False(t, ok)
	require.NoError(t, table.Apply(Change{Join, "node-0000"}, 3))
	require.False(t, table.Active(0, "node-0000", t0))
}

// Guards against a handover that bridges a home in between.
func TestInherit(t *testing.T) {
	table := New(1, names(3))
	p := partitionOf(table, "node-0001")
	require.NoError(t, table.Apply(Change{Leave, "node-0001"}, 2))
	next, _ := table.Home(p)
	since := Memory{Since: t0.Add(-time.Minute)}
	require.False(t, table.Inherit(p, 3, since, t0))
	require.False(t, table.Active(p, next, t0), "a refused handover does not shorten the wait")
	require.True(t, table.Inherit(p, 2, since, t0))
	require.True(t, table.Active(p, next, t0), "the previous home has stopped for certain")
	table.Activate(2, t0)
	m, ok := table.MemorySince(p, next)
	require.True(t, ok)
	require.Equal(t, since, m)
	other := otherPartitionOf(table, next, p, 2)
	require.False(t, table.Active(other, next, t0.Add(ActivationWait-1)), "a partition that was not handed over waits")
	require.True(t, table.Inherit(p, 2, Memory{Complete: true}, t0))
	m, _ = table.MemorySince(p, next)
	require.True(t, m.Complete)
	require.NoError(t, table.Apply(Change{Rejoin, next}, 3))
	require.False(t, table.Inherit(p, 2, since, t0))
}

// otherPartitionOf returns a partition, other than p, that the version made the
// node the home of.
func otherPartitionOf(t *Table, node string, p int, version uint64) int {
	for q := range t.homes {
		if name, ok := t.Home(q); ok && name == node && q != p && t.homes[q].version == version {
			return q
		}
	}
	panic("the node has no other partition of this version")
}

func BenchmarkJoinRemove(b *testing.B) {
	for _, n := range []int{24, 3700} {
		table, version := New(0, names(n)), uint64(0)
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
				New(0, names(n))
			}
		})
	}
}

// Guards against a deputy that is not the next home.
func TestSecondBecomesHome(t *testing.T) {
	for p := range 200 {
		table := New(1, names(9))
		second, ok := table.Second(p)
		require.True(t, ok)
		home, _ := table.Home(p)
		require.NoError(t, table.Apply(Change{Remove, home}, 2))
		next, _ := table.Home(p)
		require.Equal(t, next, second)
	}
	_, ok := New(1, names(1)).Second(0)
	require.False(t, ok)
}
