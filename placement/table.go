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
	// ActivationWait is the time between the attestation of a member change by
	// a quorum and the first act of a home that it made: the window of package
	// freshness (3 s) plus 1% clock rate error and margin.
	ActivationWait = 4 * time.Second
	// nobody marks a partition without a home.
	nobody = -1
)

// Kind separates the keys of different uses, so that equal names do not share
// a home by accident.
type Kind uint8

const (
	// Claim is an idempotency key of a team.
	Claim Kind = iota + 1
	// Team is the home of a team's rate.
	Team
	// Service is the home of a service's ejection permits.
	Service
	// Key is the digest of a team's key.
	Key
)

// Partition returns the partition of a key, in [0, Partitions). For a key with
// several parts the caller joins them unambiguously.
func Partition(kind Kind, key string) int {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(kind))
	_, _ = d.WriteString(key) // It never fails.
	return int(d.Sum64() % Partitions)
}

// Operation is what a member change does to the placement.
type Operation uint8

const (
	// Join adds a node.
	Join Operation = iota + 1
	// Leave takes away a node that announced that it stops.
	Leave
	// Remove takes away a node that its monitors no longer hear.
	Remove
	// Update changes a member record without moving partitions.
	Update
	// Rejoin replaces the process of a node, whose memory is lost.
	Rejoin
)

// Change is one entry of the member log.
type Change struct {
	Operation Operation
	Node      string
}

// ErrVersionGap is returned for a change that does not follow the version held.
var ErrVersionGap = errors.New("member change does not follow the version held")

// ErrUnknownOperation is returned for a change of no known kind.
var ErrUnknownOperation = errors.New("unknown operation in member change")

const (
	// never stands for a time that has not been fixed yet.
	never = time.Duration(math.MaxInt64)
	// firstStart stands for the first start of the deployment.
	firstStart = time.Duration(math.MinInt64)
)

// home is the assignment of one partition. Times are offsets from Table.base.
type home struct {
	score    uint64
	version  uint64 // member version that made the node the home
	activeAt time.Duration
	memory   time.Duration // start of the home's continuous memory
	node     int32
}

// Table is the assignment of all partitions. It is not safe for concurrent
// use; the caller holds a lock or publishes clones.
type Table struct {
	version uint64
	nodes   []string         // by index; "" = free
	hashes  []uint64         // by index
	index   map[string]int32 // of current nodes
	free    []int32
	homes   [Partitions]home
	// attested is the highest version held that a quorum attested.
	attested uint64
	// base is the time of the first activation.
	base time.Time
}

// New returns the table of the first start of a deployment: no node ever acted
// as a home, so the given nodes need not wait and their memory is complete.
// Only a node that takes part in the first start may use it, with no nodes
// before the first change or with the first member list; any other node uses
// FromSnapshot.
func New(version uint64, nodes []string) *Table {
	t := empty(version)
	t.fill(nodes)
	return t
}

// FromSnapshot returns the table of a node that learned the member list at
// version as a whole. Nothing is known about the past, so every home begins at
// version and has no memory before it.
func FromSnapshot(version uint64, nodes []string) *Table {
	t := empty(version)
	for p := range t.homes {
		t.homes[p].activeAt, t.homes[p].memory = never, never
	}
	t.fill(nodes)
	return t
}

func empty(version uint64) *Table {
	t := &Table{version: version, index: make(map[string]int32)}
	for p := range t.homes {
		t.homes[p] = home{node: nobody, activeAt: firstStart, memory: firstStart}
	}
	return t
}

func (t *Table) fill(nodes []string) {
	for _, name := range nodes {
		if _, known := t.index[name]; !known {
			t.add(name, t.version)
		}
	}
}

// Version returns the member version that the table reflects.
func (t *Table) Version() uint64 { return t.version }

// Apply applies the member change that leads to version. Changes of nodes that
// are already in the wanted state leave the homes alone.
func (t *Table) Apply(c Change, version uint64) error {
	if version != t.version+1 {
		return errors.Wrapf(ErrVersionGap, "version %d after %d", version, t.version)
	}
	i, known := t.index[c.Node]
	switch c.Operation {
	case Join:
		if !known {
			t.add(c.Node, version)
		}
	case Leave, Remove:
		if known {
			t.remove(c.Node, i, version)
		}
	case Rejoin:
		if known {
			t.restart(i, version)
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

// add compares only the new node with the home of each partition. A partition
// that never had a home stays at the first start of the deployment.
func (t *Table) add(name string, version uint64) {
	i := t.allocate(name)
	for p := range t.homes {
		h := &t.homes[p]
		s := score(t.hashes[i], p)
		switch {
		case h.node == nobody && h.activeAt == firstStart, version == t.version && t.beats(s, i, h):
			h.score, h.node, h.version = s, i, version
		case t.beats(s, i, h):
			*h = home{score: s, node: i, version: version, activeAt: never, memory: never}
		}
	}
}

// remove recomputes only the partitions of the node that left.
func (t *Table) remove(name string, i int32, version uint64) {
	delete(t.index, name)
	t.nodes[i] = ""
	t.free = append(t.free, i)
	live := make([]int32, 0, len(t.index))
	for _, j := range t.index {
		live = append(live, j)
	}
	for p := range t.homes {
		if t.homes[p].node != i {
			continue
		}
		best := home{node: nobody, version: version, activeAt: never, memory: never}
		for _, j := range live {
			if s := score(t.hashes[j], p); t.beats(s, j, &best) {
				best.score, best.node = s, j
			}
		}
		t.homes[p] = best
	}
}

// restart lets the homes of a node begin anew.
func (t *Table) restart(i int32, version uint64) {
	for p := range t.homes {
		if t.homes[p].node == i {
			h := &t.homes[p]
			h.version, h.activeAt, h.memory = version, never, never
		}
	}
}

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

// beats reports whether node i with score s goes before the home h. Equal
// scores are decided by name, as indices differ from node to node.
func (t *Table) beats(s uint64, i int32, h *home) bool {
	if h.node == nobody || s > h.score {
		return true
	}
	return s == h.score && t.nodes[i] < t.nodes[h.node]
}

func score(node uint64, partition int) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], node)
	binary.LittleEndian.PutUint64(b[8:], uint64(partition))
	return xxhash.Sum64(b[:])
}

// Home returns the home of a partition; ok is false if there is no node.
func (t *Table) Home(partition int) (node string, ok bool) {
	h := t.homes[partition]
	if h.node == nobody {
		return "", false
	}
	return t.nodes[h.node], true
}

// Nodes returns the names of the current nodes in order.
func (t *Table) Nodes() []string {
	out := make([]string, 0, len(t.index))
	for name := range t.index {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Second returns the node that follows the home in the rank of a partition; ok
// is false if there are fewer than two nodes. It visits every node.
func (t *Table) Second(partition int) (node string, ok bool) {
	second := home{node: nobody}
	for _, i := range t.index {
		if i == t.homes[partition].node {
			continue
		}
		if s := score(t.hashes[i], partition); t.beats(s, i, &second) {
			second.score, second.node = s, i
		}
	}
	if second.node == nobody {
		return "", false
	}
	return t.nodes[second.node], true
}
