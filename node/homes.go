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

// The kinds of keys that are placed on homes.
const (
	kindClaim   = placement.IdempotencyKey
	kindRate    = placement.Team
	kindService = placement.Service
)

// homes maps keys to their home nodes and serves the partitions of this node. A
// home responds only while the node is fresh and after the activation wait of
// the partition has passed. It is safe for concurrent use.
type homes struct {
	node *Node

	// mu is acquired before ledgerMu and before the locks of claimStore and
	// serviceHomes.
	mu    sync.RWMutex
	table *placement.Table // nil until the members have been loaded
	// tableSince is the time at which the first table was installed.
	tableSince    time.Time
	ownPartitions []uint32 // partitions of this node in the table, sorted
	// activations are the member versions that a quorum has attested and whose
	// activation wait has not passed.
	activations     []activation
	lastActivated   uint64
	departedMembers []departedMember
	// awaitingReport lists the homes that require a share report from this node,
	// with the member version from which reports count.
	awaitingReport map[string]uint64

	// backupHomes caches the backup homes of partitions for the member version
	// backupVersion.
	backupMu      sync.Mutex
	backupHomes   map[int]string
	backupVersion uint64

	ledgerMu       sync.Mutex
	ledger         *ratelimit.Ledger
	lastViolations uint64 // of the ledger, at the last check

	claims       *claimStore
	serviceHomes *serviceHomes
}

// activation is a member version and the time from which its homes may act.
type activation struct {
	version uint64
	at      time.Time
}

// departedMember is a member that left or was removed in a member version.
type departedMember struct {
	node, incarnation string
	version           uint64
}

func newHomes(n *Node) *homes {
	h := &homes{node: n, awaitingReport: make(map[string]uint64)}
	h.ledger = ratelimit.NewLedger(func(team string) uint32 { return uint32(placement.Partition(kindRate, team)) })
	h.claims = newClaimStore(h)
	h.serviceHomes = newServiceHomes(h)
	return h
}

// bootstrap installs the table of a new deployment. Its homes may act
// immediately and have complete records.
func (h *homes) bootstrap(version uint64, members map[string]configstore.Member, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table != nil && h.table.Version() == version {
		return
	}
	h.installTable(placement.New(version, memberNames(members)), members, now)
	h.activations, h.lastActivated = nil, version
	h.ledgerMu.Lock()
	defer h.ledgerMu.Unlock()
	h.ledger.Serve(now, version)
}

// installFromSnapshot installs the table of a node that has loaded the members
// as a whole.
func (h *homes) installFromSnapshot(version uint64, members map[string]configstore.Member, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.installTable(placement.FromSnapshot(version, memberNames(members)), members, now)
}

// version returns the member version of the table, or 0 if there is none.
func (h *homes) version() uint64 {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.table == nil {
		return 0
	}
	return h.table.Version()
}

// maxRecoveryWait bounds the time for which a recovering ledger keeps the node
// from being ready. The report of a member may never arrive, for example if the
// member fails during an outage of the table.
const maxRecoveryWait = 8 * time.Second

// ready reports whether the homes on this node can serve, so that callers are
// not sent to nodes that would refuse them because of their rate.
func (h *homes) ready(now time.Time) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.table == nil {
		return false
	}
	h.ledgerMu.Lock()
	defer h.ledgerMu.Unlock()
	return !h.ledger.Recovering() || now.Sub(h.tableSince) > maxRecoveryWait
}

// reset removes the table after the members were replaced by a snapshot,
// because the individual member changes are not available. All partitions of
// this node restart without records.
func (h *homes) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table == nil {
		return
	}
	h.ledgerMu.Lock()
	h.ledger.Release(h.ownPartitions)
	h.ledgerMu.Unlock()
	h.table, h.ownPartitions, h.activations, h.lastActivated = nil, nil, nil, 0
}

func memberNames(members map[string]configstore.Member) []string {
	names := make([]string, 0, len(members))
	for name := range members {
		names = append(names, name)
	}
	return names
}

// installTable installs a table. h.mu is held.
func (h *homes) installTable(t *placement.Table, members map[string]configstore.Member, now time.Time) {
	h.table = t
	if h.tableSince.IsZero() {
		h.tableSince = now
	}
	h.ledgerMu.Lock()
	h.ledger.SetTerm(t.Version())
	for _, m := range members {
		h.ledger.MemberJoined(now, m.Node, m.Incarnation)
	}
	h.ledgerMu.Unlock()
	h.updateOwnPartitions(t.Version())
	for name := range members {
		h.awaitingReport[name] = t.Version()
	}
}

// apply applies one member change. m is the record before a leave or removal,
// and the record after a join or update.
func (h *homes) apply(op placement.Operation, m configstore.Member, version uint64, now time.Time) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table == nil {
		return nil // The table is built once the members have been loaded.
	}
	before := h.table
	if err := before.Apply(placement.Change{Operation: op, Node: m.Node}, version); err != nil {
		return errors.Wrap(err, "apply member change")
	}
	h.ledgerMu.Lock()
	h.ledger.SetTerm(version)
	if op == placement.Join || op == placement.Rejoin {
		h.ledger.MemberJoined(now, m.Node, m.Incarnation)
	}
	h.ledgerMu.Unlock()
	switch op {
	case placement.Leave, placement.Remove:
		h.departedMembers = append(h.departedMembers, departedMember{node: m.Node, incarnation: m.Incarnation, version: version})
		delete(h.awaitingReport, m.Node)
		for _, name := range h.table.Nodes() { // Any of them may have become the home of a partition.
			h.awaitingReport[name] = version
		}
	case placement.Join, placement.Rejoin:
		h.awaitingReport[m.Node] = version
	case placement.Update:
		return nil
	}
	h.updateOwnPartitions(version)
	return nil
}

// updateOwnPartitions updates the ledger with the partitions that this node has
// gained and lost. h.mu is held.
func (h *homes) updateOwnPartitions(version uint64) {
	self := h.node.settings.Node.Name
	var current []uint32
	for p := range placement.Partitions {
		if name, ok := h.table.Coordinator(p); ok && name == self {
			current = append(current, uint32(p))
		}
	}
	lost, gained := difference(h.ownPartitions, current), difference(current, h.ownPartitions)
	h.ownPartitions = current
	h.ledgerMu.Lock()
	defer h.ledgerMu.Unlock()
	if len(lost) > 0 {
		h.ledger.Release(lost)
	}
	if len(gained) > 0 {
		h.ledger.Acquire(version, gained)
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

// tick starts the activation wait of newly attested versions and completes
// those whose wait has passed.
func (h *homes) tick(now time.Time, attested uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table == nil {
		return
	}
	if attested = min(attested, h.table.Version()); attested > h.lastActivated {
		h.lastActivated = attested
		h.table.Activate(attested, now)
		h.activations = append(h.activations, activation{version: attested, at: now.Add(placement.ActivationDelay)})
	}
	h.ledgerMu.Lock()
	defer h.ledgerMu.Unlock()
	for len(h.activations) > 0 && !now.Before(h.activations[0].at) {
		h.completeActivation(now, h.activations[0].version)
		h.activations = h.activations[1:]
	}
}

// completeActivation completes the activation of a version: its homes serve,
// and the shares of the members that it removed are released. Both locks are
// held.
func (h *homes) completeActivation(now time.Time, version uint64) {
	h.ledger.Serve(now, version)
	kept := h.departedMembers[:0]
	for _, d := range h.departedMembers {
		if d.version > version {
			kept = append(kept, d)
			continue
		}
		h.ledger.RemoveHolder(now, d.node, d.incarnation)
	}
	h.departedMembers = kept
}

// homeOf returns the home of a key, or "" if there is none.
func (h *homes) homeOf(kind placement.Kind, key string) string {
	return h.homeOfPartition(placement.Partition(kind, key))
}

// backupHomeOf returns the backup home of a team's rate, or "" if there is
// none.
func (h *homes) backupHomeOf(team string) string {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.table == nil {
		return ""
	}
	h.backupMu.Lock()
	defer h.backupMu.Unlock()
	if h.backupHomes == nil || h.backupVersion != h.table.Version() {
		h.backupHomes, h.backupVersion = make(map[int]string), h.table.Version()
	}
	partition := placement.Partition(kindRate, team)
	name, known := h.backupHomes[partition]
	if !known {
		name, _ = h.table.Successor(partition)
		h.backupHomes[partition] = name
	}
	return name
}

// homeOfPartition returns the home of a partition, or "" if there is none.
func (h *homes) homeOfPartition(partition int) string {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.table == nil {
		return ""
	}
	name, _ := h.table.Coordinator(partition)
	return name
}

// active reports whether this node may act as the home of the key. h.mu is
// held.
func (h *homes) active(kind placement.Kind, key string, now time.Time) bool {
	if !h.node.fresh(now) {
		return false
	}
	return h.table != nil && h.table.Active(placement.Partition(kind, key), h.node.settings.Node.Name, now)
}

// errNoHome is returned if no node is the home of a key, or if it does not act
// as such.
var errNoHome = errors.New("the key has no active home")

// callHome sends a call to the home of a key. If this node is the home, the
// call is handled locally.
func (h *homes) callHome(ctx context.Context, kind placement.Kind, key string, call *wire.Call) (*wire.Answer, error) {
	home := h.homeOf(kind, key)
	if home == "" {
		return nil, errNoHome
	}
	return h.call(ctx, home, call)
}

func (h *homes) call(ctx context.Context, node string, call *wire.Call) (*wire.Answer, error) {
	if node == h.node.settings.Node.Name {
		self := link.Peer{Node: node, Incarnation: h.node.incarnation()}
		a, err := h.handleCall(self, call)
		if err == nil && a.GetError() != "" {
			err = errors.New(a.GetError())
		}
		return a, err
	}
	m, ok := h.node.snapshot.Load().members[node]
	if !ok {
		return nil, errors.Newf("home %s is not a member", node)
	}
	return h.node.pool.Call(ctx, m.LinkAddress, call)
}

// handleCall handles a call to this node as a home. An error means that the
// call is malformed.
func (h *homes) handleCall(p link.Peer, call *wire.Call) (*wire.Answer, error) {
	switch m := call.GetBody().(type) {
	case *wire.Call_Take:
		return h.handleTake(m.Take), nil
	case *wire.Call_ShareReport:
		return h.handleShareReport(p, m.ShareReport), nil
	case *wire.Call_Claim:
		return h.claims.handleClaim(m.Claim), nil
	case *wire.Call_ClaimDone:
		return h.claims.handleClaimDone(m.ClaimDone), nil
	case *wire.Call_ClaimHandover:
		return h.claims.handleHandover(m.ClaimHandover), nil
	case *wire.Call_ServiceReport:
		return h.serviceHomes.handleReport(p, m.ServiceReport), nil
	default:
		return nil, errUnexpectedMessage
	}
}
