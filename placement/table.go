package placement

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// Partitions is the number of partitions.
	Partitions = 16384
	// ActivationDelay is the time between the attestation of a member change by
	// a quorum and the activation of the coordinators that it assigned: the
	// maximum attestation age of package freshness (3 s) plus 1% clock drift
	// and a margin.
	ActivationDelay = 4 * time.Second
	// noNode marks a partition without a coordinator.
	noNode = -1
)

// Kind separates keys of different uses, so that equal names of different kinds
// are hashed independently.
type Kind uint8

const (
	// IdempotencyKey is the kind of idempotency keys of a team.
	IdempotencyKey Kind = iota + 1
	// Team is the kind of team names; the coordinator divides the rate limit of
	// the team.
	Team
	// Service is the kind of service names; the coordinator issues the ejection
	// permits of the service.
	Service
	// TeamKey is the kind of digests of API keys.
	TeamKey
)

// Partition returns the partition of a key, in [0, Partitions). For a key with
// several parts the caller joins them unambiguously.
func Partition(kind Kind, key string) int {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(kind))
	_, _ = d.WriteString(key) // WriteString never fails.
	return int(d.Sum64() % Partitions)
}

// Operation is the effect of a member change on the placement.
type Operation uint8

const (
	// Join adds a node.
	Join Operation = iota + 1
	// Leave removes a node that announced its shutdown.
	Leave
	// Remove removes a node that its monitors report as unreachable.
	Remove
	// Update changes a member record without moving partitions.
	Update
	// Rejoin replaces the process of a node, whose records are lost.
	Rejoin
)

// Change is one entry of the member log.
type Change struct {
	Operation Operation
	Node      string
}

// ErrVersionGap is returned for a change that does not follow the version of
// the table.
var ErrVersionGap = errors.New("member change does not follow the version of the table")

// ErrUnknownOperation is returned for a change with an unknown operation.
var ErrUnknownOperation = errors.New("unknown operation in member change")

const (
	// notSet marks a time that is not determined yet.
	notSet = time.Duration(math.MaxInt64)
	// deploymentStart is the time of the first start of the deployment.
	deploymentStart = time.Duration(math.MinInt64)
)

// assignment is the coordinator of one partition. Times are offsets from
// Table.timeBase.
type assignment struct {
	score        uint64
	version      uint64 // member version that assigned the coordinator
	activeAt     time.Duration
	coveredSince time.Duration // start of the period for which the coordinator holds all records
	node         int32         // index into Table.nodes, or noNode
}

// Table assigns a coordinator to each partition. It is not safe for concurrent
// use; the caller holds a lock or publishes clones.
type Table struct {
	version     uint64
	nodes       []string         // by index; "" marks a free index
	hashes      []uint64         // by index
	index       map[string]int32 // of current nodes
	free        []int32          // free indices
	assignments [Partitions]assignment
	// attestedVersion is the highest applied version that a quorum has
	// attested.
	attestedVersion uint64
	// timeBase is the time of the first activation.
	timeBase time.Time
}

// New returns the table of the first start of a deployment. No node has acted
// as a coordinator yet, so the given nodes may act at once and their records
// are complete. Only a node that takes part in the first start may use New,
// with no nodes before the first change or with the first member list; any
// other node uses FromSnapshot.
func New(version uint64, nodes []string) *Table {
	t := newTable(version)
	t.addAll(nodes)
	return t
}

// FromSnapshot returns the table of a node that loaded a snapshot of the member
// list at version. Earlier assignments are unknown, so every coordinator is
// treated as assigned by version and has no records from before it.
func FromSnapshot(version uint64, nodes []string) *Table {
	t := newTable(version)
	for p := range t.assignments {
		t.assignments[p].activeAt, t.assignments[p].coveredSince = notSet, notSet
	}
	t.addAll(nodes)
	return t
}

// newTable returns a table without nodes.
func newTable(version uint64) *Table {
	t := &Table{version: version, index: make(map[string]int32)}
	for p := range t.assignments {
		t.assignments[p] = assignment{node: noNode, activeAt: deploymentStart, coveredSince: deploymentStart}
	}
	return t
}

// addAll adds the nodes that are not in the table.
func (t *Table) addAll(nodes []string) {
	for _, name := range nodes {
		if _, ok := t.index[name]; !ok {
			t.add(name, t.version)
		}
	}
}

// Version returns the member version of the table.
func (t *Table) Version() uint64 { return t.version }

// Apply applies the member change that leads to version. A change that has no
// effect on the set of nodes leaves the assignments unchanged.
func (t *Table) Apply(c Change, version uint64) error {
	if version != t.version+1 {
		return errors.Wrapf(ErrVersionGap, "version %d after %d", version, t.version)
	}
	i, ok := t.index[c.Node]
	switch c.Operation {
	case Join:
		if !ok {
			t.add(c.Node, version)
		}
	case Leave, Remove:
		if ok {
			t.remove(c.Node, i, version)
		}
	case Rejoin:
		if ok {
			t.resetAssignments(i, version)
		} else {
			t.add(c.Node, version)
		}
	case Update:
	default:
		return errors.Wrapf(ErrUnknownOperation, "%d", c.Operation)
	}
	t.version = version
	return nil
}

// add compares the new node with the coordinator of each partition. A partition
// that never had a coordinator keeps the first start of the deployment as its
// times. While addAll fills a new table, which is the case if version is that of
// the table, every partition keeps its initial times.
func (t *Table) add(name string, version uint64) {
	i := t.allocate(name)
	for p := range t.assignments {
		a := &t.assignments[p]
		s := score(t.hashes[i], p)
		switch {
		case a.node == noNode && a.activeAt == deploymentStart, version == t.version && t.outranks(s, i, a):
			a.score, a.node, a.version = s, i, version
		case t.outranks(s, i, a):
			*a = assignment{score: s, node: i, version: version, activeAt: notSet, coveredSince: notSet}
		}
	}
}

// remove reassigns only the partitions of the removed node.
func (t *Table) remove(name string, i int32, version uint64) {
	delete(t.index, name)
	t.nodes[i] = ""
	t.free = append(t.free, i)
	remaining := make([]int32, 0, len(t.index))
	for _, j := range t.index {
		remaining = append(remaining, j)
	}
	for p := range t.assignments {
		if t.assignments[p].node != i {
			continue
		}
		best := assignment{node: noNode, version: version, activeAt: notSet, coveredSince: notSet}
		for _, j := range remaining {
			if s := score(t.hashes[j], p); t.outranks(s, j, &best) {
				best.score, best.node = s, j
			}
		}
		t.assignments[p] = best
	}
}

// resetAssignments marks the partitions of a node as assigned by version,
// without records from before it.
func (t *Table) resetAssignments(i int32, version uint64) {
	for p := range t.assignments {
		if t.assignments[p].node == i {
			a := &t.assignments[p]
			a.version, a.activeAt, a.coveredSince = version, notSet, notSet
		}
	}
}

// allocate returns an index for a new node.
func (t *Table) allocate(name string) int32 {
	var i int32
	if n := len(t.free); n > 0 {
		i, t.free = t.free[n-1], t.free[:n-1]
		t.nodes[i], t.hashes[i] = name, xxhash.Sum64String(name)
	} else {
		i = int32(len(t.nodes))
		t.nodes = append(t.nodes, name)
		t.hashes = append(t.hashes, xxhash.Sum64String(name))
	}
	t.index[name] = i
	return i
}

// outranks reports whether node i with score s takes precedence over the node
// of assignment a. Equal scores are ordered by name, because indices differ
// between nodes.
func (t *Table) outranks(s uint64, i int32, a *assignment) bool {
	if a.node == noNode || s > a.score {
		return true
	}
	return s == a.score && t.nodes[i] < t.nodes[a.node]
}

// score returns the rendezvous score of a node for a partition.
func score(node uint64, partition int) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], node)
	binary.LittleEndian.PutUint64(b[8:], uint64(partition))
	return xxhash.Sum64(b[:])
}

// Coordinator returns the coordinator of a partition; ok is false if there is
// no node.
func (t *Table) Coordinator(partition int) (node string, ok bool) {
	a := t.assignments[partition]
	if a.node == noNode {
		return "", false
	}
	return t.nodes[a.node], true
}

// Nodes returns the sorted names of the current nodes.
func (t *Table) Nodes() []string {
	out := make([]string, 0, len(t.index))
	for name := range t.index {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Successor returns the node that becomes the coordinator of a partition if the
// current one is removed; ok is false if there are fewer than two nodes. It
// visits every node.
func (t *Table) Successor(partition int) (node string, ok bool) {
	successor := assignment{node: noNode}
	for _, i := range t.index {
		if i == t.assignments[partition].node {
			continue
		}
		if s := score(t.hashes[i], partition); t.outranks(s, i, &successor) {
			successor.score, successor.node = s, i
		}
	}
	if successor.node == noNode {
		return "", false
	}
	return t.nodes[successor.node], true
}
