package freshness

import (
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// AttestersPerZone is the number of attesters in an availability zone.
	AttestersPerZone = 3
	// FanOut is the number of nodes of its own zone that pull from one node.
	FanOut = 8
)

// ranked is a node with its rendezvous score.
type ranked struct {
	score uint64
	node  string
}

func rank(node string) ranked {
	return ranked{score: xxhash.Sum64String("attester/" + node), node: node}
}

func compareRanked(a, b ranked) int {
	if a.score != b.score {
		if a.score > b.score {
			return -1
		}
		return 1
	}
	return strings.Compare(a.node, b.node)
}

// Topology holds who attests and who pulls from whom. Within a zone nodes are
// ordered by rendezvous rank: the first three attest, and the others form a
// tree below them. One join or removal replaces at most one attester. It is
// not safe for concurrent use.
type Topology struct {
	zones map[string][]ranked
	zone  map[string]string
	names []string // names of zones in order
}

// NewTopology returns a topology without nodes.
func NewTopology() *Topology {
	return &Topology{zones: make(map[string][]ranked), zone: make(map[string]string)}
}

// Add adds a node to its availability zone. A known node keeps its zone,
// because a move would replace two attesters at once; a node that moves has to
// leave and join again.
func (t *Topology) Add(node, zone string) {
	if _, known := t.zone[node]; known {
		return
	}
	t.zone[node] = zone
	r := rank(node)
	i, _ := slices.BinarySearchFunc(t.zones[zone], r, compareRanked)
	t.zones[zone] = slices.Insert(t.zones[zone], i, r)
	t.names = slices.Sorted(maps.Keys(t.zones))
}

// Remove removes a node; an unknown one is ignored.
func (t *Topology) Remove(node string) {
	zone, known := t.zone[node]
	if !known {
		return
	}
	delete(t.zone, node)
	i, _ := slices.BinarySearchFunc(t.zones[zone], rank(node), compareRanked)
	t.zones[zone] = slices.Delete(t.zones[zone], i, i+1)
	if len(t.zones[zone]) == 0 {
		delete(t.zones, zone)
	}
	t.names = slices.Sorted(maps.Keys(t.zones))
}

// Attesters returns the attesters of all zones in the order of the zones'
// names and of rank.
func (t *Topology) Attesters() []string {
	var out []string
	for _, zone := range t.names {
		for _, r := range t.zones[zone][:min(AttestersPerZone, len(t.zones[zone]))] {
			out = append(out, r.node)
		}
	}
	return out
}

// IsAttester reports whether the node attests.
func (t *Topology) IsAttester(node string) bool {
	pos, ok := t.position(node)
	return ok && pos < AttestersPerZone
}

func (t *Topology) position(node string) (int, bool) {
	zone, known := t.zone[node]
	if !known {
		return 0, false
	}
	return slices.BinarySearchFunc(t.zones[zone], rank(node), compareRanked)
}

// Parents returns the nodes from which the given node pulls. For an attester
// these are all other attesters, which it needs only while it cannot read the
// table. Any other node has one parent in its own zone and a second one in
// another zone if there is one, each nearer to the attesters than itself, so
// the pulls contain no cycle. An unknown node has none.
func (t *Topology) Parents(node string) []string {
	pos, ok := t.position(node)
	if !ok {
		return nil
	}
	if pos < AttestersPerZone {
		return slices.DeleteFunc(t.Attesters(), func(a string) bool { return a == node })
	}
	own := t.zone[node]
	parent := (pos - AttestersPerZone) / FanOut
	second := t.zones[own][secondParent(parent)].node
	if n := len(t.names); n > 1 {
		index, _ := slices.BinarySearch(t.names, own)
		other := t.zones[t.names[(index+1+pos%(n-1))%n]]
		second = other[parent%len(other)].node
	}
	return []string{t.zones[own][parent].node, second}
}

// secondParent returns the position of a neighbour of the parent that is no
// deeper in the tree than the parent, for a deployment with a single zone.
func secondParent(parent int) int {
	if parent == 0 {
		return 1
	}
	return parent - 1
}

// Depth returns the number of pulls between the node and an attester of its
// zone: 0 for an attester, at most 3 in a zone of 370 nodes.
func (t *Topology) Depth(node string) int {
	pos, _ := t.position(node)
	depth := 0
	for pos >= AttestersPerZone {
		pos = (pos - AttestersPerZone) / FanOut
		depth++
	}
	return depth
}
