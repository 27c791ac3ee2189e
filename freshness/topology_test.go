package freshness

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func fleet(zones, perZone int) (*Topology, []string) {
	t := NewTopology()
	var names []string
	for i := range zones * perZone {
		names = append(names, fmt.Sprintf("node-%d", i))
		t.Add(names[i], fmt.Sprintf("zone-%d", i%zones))
	}
	return t, names
}

// Guards against a tree with a cycle, a node with one way in only, a node
// overloaded with pulls, and more levels than the 5 s of a change allow.
func TestTree(t *testing.T) {
	for _, size := range [][2]int{{1, 4}, {1, 40}, {2, 7}, {3, 8}, {10, 370}} {
		top, names := fleet(size[0], size[1])
		require.Len(t, top.Attesters(), size[0]*AttestersPerZone)
		own := map[string]int{}
		for _, name := range names {
			parents := top.Parents(name)
			if top.IsAttester(name) {
				require.Len(t, parents, size[0]*AttestersPerZone-1)
				continue
			}
			require.Len(t, parents, 2)
			require.NotEqual(t, parents[0], parents[1])
			require.Equal(t, top.zone[name], top.zone[parents[0]])
			require.Equal(t, size[0] > 1, top.zone[name] != top.zone[parents[1]])
			for _, p := range parents {
				require.Less(t, top.Depth(p), top.Depth(name))
			}
			require.LessOrEqual(t, top.Depth(name), 3)
			own[parents[0]]++
			require.LessOrEqual(t, own[parents[0]], FanOut)
		}
	}
}

// Guards against one member change that replaces two attesters, for which the
// quorum size would be too small.
func TestOneChangeReplacesOneAttester(t *testing.T) {
	top, names := fleet(3, 20)
	for i, name := range names[:50] {
		before := top.Attesters()
		if i%2 == 0 {
			top.Remove(name)
		} else {
			top.Add(fmt.Sprintf("new-%d", i), fmt.Sprintf("zone-%d", i%3))
		}
		after := top.Attesters()
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
	top.Remove("unknown")
	require.Nil(t, top.Parents("unknown"))
	require.False(t, top.IsAttester("unknown"))
}

func BenchmarkTopologyChange(b *testing.B) {
	top, _ := fleet(10, 370)
	b.ReportAllocs()
	for range b.N {
		top.Add("another", "zone-3")
		top.Remove("another")
	}
}
