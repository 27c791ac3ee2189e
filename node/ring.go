package node

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// monitorsPerNode is the number of nodes that ping each node.
const monitorsPerNode = 3

// ring is a hash ring of the members. The monitors of a node are its
// successors, so that a membership change costs one insertion or deletion.
type ring struct{ nodes []ringEntry }

type ringEntry struct {
	hash uint64
	name string
}

func compareRing(a, b ringEntry) int {
	if a.hash != b.hash {
		if a.hash < b.hash {
			return -1
		}
		return 1
	}
	return strings.Compare(a.name, b.name)
}

func newRingEntry(name string) ringEntry {
	return ringEntry{hash: xxhash.Sum64String("monitor/" + name), name: name}
}

func (r *ring) add(name string) {
	n := newRingEntry(name)
	i, found := slices.BinarySearchFunc(r.nodes, n, compareRing)
	if !found {
		r.nodes = slices.Insert(r.nodes, i, n)
	}
}

func (r *ring) remove(name string) {
	i, found := slices.BinarySearchFunc(r.nodes, newRingEntry(name), compareRing)
	if found {
		r.nodes = slices.Delete(r.nodes, i, i+1)
	}
}

// monitors returns the nodes that ping the named node.
func (r *ring) monitors(name string) []string { return r.neighbors(name, 1) }

// monitored returns the nodes that the named node pings.
func (r *ring) monitored(name string) []string { return r.neighbors(name, -1) }

func (r *ring) neighbors(name string, step int) []string {
	i, found := slices.BinarySearchFunc(r.nodes, newRingEntry(name), compareRing)
	if !found {
		return nil
	}
	n := len(r.nodes)
	out := make([]string, 0, monitorsPerNode)
	for k := 1; k <= min(monitorsPerNode, n-1); k++ {
		out = append(out, r.nodes[((i+k*step)%n+n)%n].name)
	}
	return out
}
