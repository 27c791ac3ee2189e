package freshness

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func newTopology(zones, perZone int) (*Topology, []string) {
	topology := NewTopology()
	var names []string
	for i := range zones * perZone {
		names = append(names, fmt.Sprintf("node-%d", i))
		topology.Add(names[i], fmt.Sprintf("zone-%d", i%zones))
	}
	return topology, names
}

// Guards against a pull tree with a cycle, a node with a single parent, a node
// with too many children, and more levels than a change can pass within 5 s.
func TestPullTree(t *testing.T) {
	for _, size := range [][2]int{{1, 4}, {1, 40}, {2, 7}, {3, 8}, {10, 370}} {
		topology, names := newTopology(size[0], size[1])
		require.Len(t, topology.Attesters(), size[0]*AttestersPerZone)
		children := map[string]int{}
		for _, name := range names {
			parents := topology.Parents(name)
			if topology.IsAttester(name) {
				require.Len(t, parents, size[0]*AttestersPerZone-1)
				continue
			}
			require.Len(t, parents, 2)
			require.NotEqual(t, parents[0], parents[1])
			require.Equal(t, topology.zoneOf[name], topology.zoneOf[parents[0]])
			require.Equal(t, size[0] > 1, topology.zoneOf[name] != topology.zoneOf[parents[1]])
			for _, p := range parents {
				require.Less(t, topology.Depth(p), topology.Depth(name))
			}
			require.LessOrEqual(t, topology.Depth(name), 3)
			children[parents[0]]++
			require.LessOrEqual(t, children[parents[0]], MaxChildren)
		}
	}
}

// Guards against a member change that replaces two attesters, for which the
// quorum size would be too small.
func TestOneChangeReplacesOneAttester(t *testing.T) {
	topology, names := newTopology(3, 20)
	for i, name := range names[:50] {
		before := topology.Attesters()
		if i%2 == 0 {
			topology.Remove(name)
		} else {
			topology.Add(fmt.Sprintf("new-%d", i), fmt.Sprintf("zone-%d", i%3))
		}
		after := topology.Attesters()
		kept := 0
		for _, a := range before {
			for _, b := range after {
				if a == b {
					kept++
				}
			}
		}
		require.GreaterOrEqual(t, kept, len(before)-1)
	}
	topology.Remove("unknown")
	require.Nil(t, topology.Parents("unknown"))
	require.False(t, topology.IsAttester("unknown"))
}

func BenchmarkTopologyChange(b *testing.B) {
	topology, _ := newTopology(10, 370)
	b.ReportAllocs()
	for range b.N {
		topology.Add("another", "zone-3")
		topology.Remove("another")
	}
}
