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
	// MaxChildren is the largest number of nodes of the same zone that pull
	// from one node.
	MaxChildren = 8
)

// rankedNode is a node with its rendezvous score.
type rankedNode struct {
	score uint64
	node  string
}

func rankNode(node string) rankedNode {
	return rankedNode{score: xxhash.Sum64String("attester/" + node), node: node}
}

// compareRanked orders nodes by descending score, then by name.
func compareRanked(a, b rankedNode) int {
	if a.score != b.score {
		if a.score > b.score {
			return -1
		}
		return 1
	}
	return strings.Compare(a.node, b.node)
}

// Topology selects the attesters and the nodes from which each node pulls.
// Nodes of a zone are ordered by rendezvous score: the first three are
// attesters, and the others form a tree below them. A join or removal replaces
// at most one attester. Topology is not safe for concurrent use.
type Topology struct {
	nodesByZone map[string][]rankedNode
	zoneOf      map[string]string
	zoneNames   []string // sorted
}

// NewTopology returns a topology without nodes.
func NewTopology() *Topology {
	return &Topology{nodesByZone: make(map[string][]rankedNode), zoneOf: make(map[string]string)}
}

// Add adds a node to its availability zone. A node that is already present
// keeps its zone, because a move would replace two attesters at once; to move,
// a node has to leave and join again.
func (t *Topology) Add(node, zone string) {
	if _, ok := t.zoneOf[node]; ok {
		return
	}
	t.zoneOf[node] = zone
	r := rankNode(node)
	i, _ := slices.BinarySearchFunc(t.nodesByZone[zone], r, compareRanked)
	t.nodesByZone[zone] = slices.Insert(t.nodesByZone[zone], i, r)
	t.zoneNames = slices.Sorted(maps.Keys(t.nodesByZone))
}

// Remove removes a node. It ignores a node that is not present.
func (t *Topology) Remove(node string) {
	zone, ok := t.zoneOf[node]
	if !ok {
		return
	}
	delete(t.zoneOf, node)
	i, _ := slices.BinarySearchFunc(t.nodesByZone[zone], rankNode(node), compareRanked)
	t.nodesByZone[zone] = slices.Delete(t.nodesByZone[zone], i, i+1)
	if len(t.nodesByZone[zone]) == 0 {
		delete(t.nodesByZone, zone)
	}
	t.zoneNames = slices.Sorted(maps.Keys(t.nodesByZone))
}

// Attesters returns the attesters of all zones, ordered by zone name and rank.
func (t *Topology) Attesters() []string {
	var out []string
	for _, zone := range t.zoneNames {
		for _, r := range t.nodesByZone[zone][:min(AttestersPerZone, len(t.nodesByZone[zone]))] {
			out = append(out, r.node)
		}
	}
	return out
}

// IsAttester reports whether the node is an attester.
func (t *Topology) IsAttester(node string) bool {
	rank, ok := t.rankInZone(node)
	return ok && rank < AttestersPerZone
}

// rankInZone returns the position of a node in the order of its zone.
func (t *Topology) rankInZone(node string) (int, bool) {
	zone, ok := t.zoneOf[node]
	if !ok {
		return 0, false
	}
	return slices.BinarySearchFunc(t.nodesByZone[zone], rankNode(node), compareRanked)
}

// Parents returns the nodes from which the given node pulls. The parents of an
// attester are all other attesters; it pulls from some of them in turn, and from
// more of them while it cannot read the table. Any other node has one parent in
// its own zone and a second one in another zone if there is one. These parents
// are closer to the attesters than the node itself, so the pulls of nodes that
// are not attesters have no cycle. A node that is not present has no parents.
func (t *Topology) Parents(node string) []string {
	rank, ok := t.rankInZone(node)
	if !ok {
		return nil
	}
	if rank < AttestersPerZone {
		return slices.DeleteFunc(t.Attesters(), func(a string) bool { return a == node })
	}
	own := t.zoneOf[node]
	parent := (rank - AttestersPerZone) / MaxChildren
	second := t.nodesByZone[own][siblingParent(parent)].node
	if n := len(t.zoneNames); n > 1 {
		index, _ := slices.BinarySearch(t.zoneNames, own)
		other := t.nodesByZone[t.zoneNames[(index+1+rank%(n-1))%n]]
		second = other[parent%len(other)].node
	}
	return []string{t.nodesByZone[own][parent].node, second}
}

// siblingParent returns the position of a neighbor of the parent that is no
// deeper in the tree than the parent. It is the second parent in a deployment
// with a single zone.
func siblingParent(parent int) int {
	if parent == 0 {
		return 1
	}
	return parent - 1
}

// Depth returns the number of pulls between the node and an attester of its
// zone: 0 for an attester, at most 3 in a zone of 370 nodes.
func (t *Topology) Depth(node string) int {
	rank, _ := t.rankInZone(node)
	depth := 0
	for rank >= AttestersPerZone {
		rank = (rank - AttestersPerZone) / MaxChildren
		depth++
	}
	return depth
}
