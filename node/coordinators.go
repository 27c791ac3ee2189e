package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/configstore"
	"trefoildock.example/link"
	"trefoildock.example/placement"
	"trefoildock.example/ratelimit"
	"trefoildock.example/wire"
)

// The kinds of keys that are placed on coordinators.
const (
	kindClaim   = placement.IdempotencyKey
	kindRate    = placement.Team
	kindService = placement.Service
)

// coordinators maps keys to their coordinators and serves the partitions of
// this node. A coordinator responds only while the node is fresh and after the
// activation delay of the partition has passed. It is safe for concurrent use.
type coordinators struct {
	node *Node

	// mu is acquired before ledgerMu and before the locks of claimStore and
	// serviceCoordinators.
	mu    sync.RWMutex
	table *placement.Table // nil until the members have been loaded
	// tableInstalledAt is the time at which the first table was installed.
	tableInstalledAt time.Time
	ownPartitions    []uint32 // partitions of this node in the table, sorted
	// activations are the member versions that a quorum has attested and whose
	// activation delay has not passed.
	activations     []activation
	lastActivated   uint64
	departedMembers []departedMember
	// awaitingReport lists the coordinators that require a share report from this
	// node, with the member version from which reports count.
	awaitingReport map[string]uint64

	// standbys caches the standby coordinators of partitions for the member
	// version standbyVersion.
	standbyMu      sync.Mutex
	standbys       map[int]string
	standbyVersion uint64

	ledgerMu       sync.Mutex
	ledger         *ratelimit.Ledger
	lastViolations uint64 // of the ledger, at the last check

	claims              *claimStore
	serviceCoordinators *serviceCoordinators
}

// activation is a member version and the time from which its coordinators may
// act.
type activation struct {
	version uint64
	at      time.Time
}

// departedMember is a member that left or was removed in a member version.
type departedMember struct {
	node, incarnation string
	version           uint64
}

func newCoordinators(n *Node) *coordinators {
	c := &coordinators{node: n, awaitingReport: make(map[string]uint64)}
	c.ledger = ratelimit.NewLedger(func(team string) uint32 { return uint32(placement.Partition(kindRate, team)) })
	c.claims = newClaimStore(c)
	c.serviceCoordinators = newServiceCoordinators(c)
	return c
}

// bootstrap installs the table of a new deployment. Its coordinators may act
// immediately and have complete records.
func (c *coordinators) bootstrap(version uint64, members map[string]configstore.Member, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table != nil && c.table.Version() == version {
		return
	}
	c.installTable(placement.New(version, memberNames(members)), members, now)
	c.activations, c.lastActivated = nil, version
	c.ledgerMu.Lock()
	defer c.ledgerMu.Unlock()
	c.ledger.Serve(now, version)
}

// installFromSnapshot installs a table that is built from a complete member
// list. Its coordinators start without records.
func (c *coordinators) installFromSnapshot(version uint64, members map[string]configstore.Member, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.installTable(placement.FromSnapshot(version, memberNames(members)), members, now)
}

// version returns the member version of the table, or 0 if there is none.
func (c *coordinators) version() uint64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.table == nil {
		return 0
	}
	return c.table.Version()
}

// maxRecoveryWait bounds the time for which a recovering ledger keeps the node
// from being ready. The report of a member may never arrive, for example if the
// member fails during an outage of the table.
const maxRecoveryWait = 8 * time.Second

// ready reports whether the coordinators on this node can serve, so that
// callers are not sent to nodes that would refuse them because of their rate.
func (c *coordinators) ready(now time.Time) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.table == nil {
		return false
	}
	c.ledgerMu.Lock()
	defer c.ledgerMu.Unlock()
	return !c.ledger.Recovering() || now.Sub(c.tableInstalledAt) > maxRecoveryWait
}

// reset removes the table after the members were replaced by a snapshot,
// because the individual member changes are not available. All partitions of
// this node restart without records.
func (c *coordinators) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table == nil {
		return
	}
	c.ledgerMu.Lock()
	c.ledger.Release(c.ownPartitions)
	c.ledgerMu.Unlock()
	c.table, c.ownPartitions, c.activations, c.lastActivated = nil, nil, nil, 0
}

func memberNames(members map[string]configstore.Member) []string {
	names := make([]string, 0, len(members))
	for name := range members {
		names = append(names, name)
	}
	return names
}

// installTable installs a table. c.mu is held.
func (c *coordinators) installTable(t *placement.Table, members map[string]configstore.Member, now time.Time) {
	c.table = t
	if c.tableInstalledAt.IsZero() {
		c.tableInstalledAt = now
	}
	c.ledgerMu.Lock()
	c.ledger.SetTerm(t.Version())
	for _, m := range members {
		c.ledger.MemberJoined(now, m.Node, m.Incarnation)
	}
	c.ledgerMu.Unlock()
	c.updateOwnPartitions(t.Version())
	for name := range members {
		c.awaitingReport[name] = t.Version()
	}
}

// apply applies one member change. m is the record before a leave or removal,
// and the record after a join or update.
func (c *coordinators) apply(op placement.Operation, m configstore.Member, version uint64, now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table == nil {
		return nil // The table is built once the members have been loaded.
	}
	before := c.table
	if err := before.Apply(placement.Change{Operation: op, Node: m.Node}, version); err != nil {
		return errors.Wrap(err, "apply member change")
	}
	c.ledgerMu.Lock()
	c.ledger.SetTerm(version)
	if op == placement.Join || op == placement.Rejoin {
		c.ledger.MemberJoined(now, m.Node, m.Incarnation)
	}
	c.ledgerMu.Unlock()
	switch op {
	case placement.Leave, placement.Remove:
		c.departedMembers = append(c.departedMembers, departedMember{node: m.Node, incarnation: m.Incarnation, version: version})
		delete(c.awaitingReport, m.Node)
		for _, name := range c.table.Nodes() { // Any of them may have become the coordinator of a partition.
			c.awaitingReport[name] = version
		}
	case placement.Join, placement.Rejoin:
		c.awaitingReport[m.Node] = version
	case placement.Update:
		return nil
	}
	c.updateOwnPartitions(version)
	return nil
}

// updateOwnPartitions updates the ledger with the partitions that this node has
// gained and lost. c.mu is held.
func (c *coordinators) updateOwnPartitions(version uint64) {
	self := c.node.settings.Node.Name
	var current []uint32
	for p := range placement.Partitions {
		if name, ok := c.table.Coordinator(p); ok && name == self {
			current = append(current, uint32(p))
		}
	}
	lost, gained := difference(c.ownPartitions, current), difference(current, c.ownPartitions)
	c.ownPartitions = current
	c.ledgerMu.Lock()
	defer c.ledgerMu.Unlock()
	if len(lost) > 0 {
		c.ledger.Release(lost)
	}
	if len(gained) > 0 {
		c.ledger.Acquire(version, gained)
	}
}

// difference returns the elements of the sorted list a that are not in the
// sorted list b.
func difference(a, b []uint32) []uint32 {
	var out []uint32
	for _, v := range a {
		if _, found := slices.BinarySearch(b, v); !found {
			out = append(out, v)
		}
	}
	return out
}

// tick starts the activation delay of newly attested versions and completes the
// activations whose delay has passed.
func (c *coordinators) tick(now time.Time, attested uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table == nil {
		return
	}
	if attested = min(attested, c.table.Version()); attested > c.lastActivated {
		c.lastActivated = attested
		c.table.Activate(attested, now)
		c.activations = append(c.activations, activation{version: attested, at: now.Add(placement.ActivationDelay)})
	}
	c.ledgerMu.Lock()
	defer c.ledgerMu.Unlock()
	for len(c.activations) > 0 && !now.Before(c.activations[0].at) {
		c.completeActivation(now, c.activations[0].version)
		c.activations = c.activations[1:]
	}
}

// completeActivation completes the activation of a version: its coordinators
// serve, and the shares of the members that it removed are released. Both locks
// are held.
func (c *coordinators) completeActivation(now time.Time, version uint64) {
	c.ledger.Serve(now, version)
	kept := c.departedMembers[:0]
	for _, d := range c.departedMembers {
		if d.version > version {
			kept = append(kept, d)
			continue
		}
		c.ledger.RemoveHolder(now, d.node, d.incarnation)
	}
	c.departedMembers = kept
}

// coordinatorOf returns the coordinator of a key, or "" if there is none.
func (c *coordinators) coordinatorOf(kind placement.Kind, key string) string {
	return c.coordinatorOfPartition(placement.Partition(kind, key))
}

// standbyOf returns the standby coordinator of a team's rate, or "" if there is
// none.
func (c *coordinators) standbyOf(team string) string {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.table == nil {
		return ""
	}
	c.standbyMu.Lock()
	defer c.standbyMu.Unlock()
	if c.standbys == nil || c.standbyVersion != c.table.Version() {
		c.standbys, c.standbyVersion = make(map[int]string), c.table.Version()
	}
	partition := placement.Partition(kindRate, team)
	name, known := c.standbys[partition]
	if !known {
		name, _ = c.table.Successor(partition)
		c.standbys[partition] = name
	}
	return name
}

// coordinatorOfPartition returns the coordinator of a partition, or "" if there
// is none.
func (c *coordinators) coordinatorOfPartition(partition int) string {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.table == nil {
		return ""
	}
	name, _ := c.table.Coordinator(partition)
	return name
}

// active reports whether this node may act as the coordinator of the key. c.mu
// is held.
func (c *coordinators) active(kind placement.Kind, key string, now time.Time) bool {
	if !c.node.fresh(now) {
		return false
	}
	return c.table != nil && c.table.Active(placement.Partition(kind, key), c.node.settings.Node.Name, now)
}

// errNoCoordinator is returned if a key has no coordinator, or if the addressed
// node does not act as its coordinator.
var errNoCoordinator = errors.New("the key has no active home")

// callCoordinator sends a call to the coordinator of a key. If this node is the
// coordinator, the call is handled locally.
func (c *coordinators) callCoordinator(ctx context.Context, kind placement.Kind, key string, call *wire.Call) (*wire.Answer, error) {
	coordinator := c.coordinatorOf(kind, key)
	if coordinator == "" {
		return nil, errNoCoordinator
	}
	return c.call(ctx, coordinator, call)
}

func (c *coordinators) call(ctx context.Context, node string, call *wire.Call) (*wire.Answer, error) {
	if node == c.node.settings.Node.Name {
		self := link.Peer{Node: node, Incarnation: c.node.incarnation()}
		a, err := c.handleCall(self, call)
		if err == nil && a.GetError() != "" {
			err = errors.New(a.GetError())
		}
		return a, err
	}
	m, ok := c.node.snapshot.Load().members[node]
	if !ok {
		return nil, errors.Newf("home %s is not a member", node)
	}
	return c.node.pool.Call(ctx, m.LinkAddress, call)
}

// handleCall handles a call to this node as a coordinator. An error means that
// the call is malformed.
func (c *coordinators) handleCall(p link.Peer, call *wire.Call) (*wire.Answer, error) {
	switch m := call.GetBody().(type) {
	case *wire.Call_Take:
		return c.handleTake(m.Take), nil
	case *wire.Call_ShareReport:
		return c.handleShareReport(p, m.ShareReport), nil
	case *wire.Call_Claim:
		return c.claims.handleClaim(m.Claim), nil
	case *wire.Call_ClaimDone:
		return c.claims.handleClaimDone(m.ClaimDone), nil
	case *wire.Call_ClaimHandover:
		return c.claims.handleHandover(m.ClaimHandover), nil
	case *wire.Call_ServiceReport:
		return c.serviceCoordinators.handleReport(p, m.ServiceReport), nil
	default:
		return nil, errUnexpectedMessage
	}
}
