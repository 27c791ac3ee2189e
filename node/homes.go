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
	kindClaim   = placement.Claim
	kindRate    = placement.Team
	kindService = placement.Service
)

// homes knows which node is home of what, and serves the partitions of this
// node. Every answer of a home requires that the node is fresh and that the
// waiting time of the partition has passed. It is safe for concurrent use.
type homes struct {
	node *Node

	// mu is locked before ledgerMu and before the locks of claims and services.
	mu    sync.RWMutex
	table *placement.Table // nil until the node knows where it stands
	// placedAt is when the node got its first table.
	placedAt time.Time
	mine     []uint32 // partitions of this node in the table
	// activations are member versions attested by a quorum whose waiting time
	// has not passed.
	activations []activation
	activated   uint64
	departed    []departure
	// reportTo lists homes that wait for a share report of this node, with the
	// member version from which they count.
	reportTo map[string]uint64

	// deputies caches the second node of partitions; it is valid for deputyOf's
	// member version.
	deputyMu      sync.Mutex
	deputies      map[int]string
	deputyVersion uint64

	ledgerMu   sync.Mutex
	ledger     *ratelimit.Ledger
	violations uint64 // of the ledger, as last reported

	claims   *claims
	services *services
}

// activation is a member version and the time from which its homes may act.
type activation struct {
	version uint64
	at      time.Time
}

// departure is a member that left or was removed by a version.
type departure struct {
	node, incarnation string
	version           uint64
}

func newHomes(n *Node) *homes {
	h := &homes{node: n, reportTo: make(map[string]uint64)}
	h.ledger = ratelimit.NewLedger(func(team string) uint32 { return uint32(placement.Partition(kindRate, team)) })
	h.claims = newClaims(h)
	h.services = newServices(h)
	return h
}

// found sets the table of the first start of a deployment: its homes may act
// at once and remember everything.
func (h *homes) found(version uint64, members map[string]configstore.Member, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table != nil && h.table.Version() == version {
		return
	}
	h.replace(placement.New(version, memberNames(members)), members, now)
	h.activations, h.activated = nil, version
	h.ledgerMu.Lock()
	defer h.ledgerMu.Unlock()
	h.ledger.Serve(now, version)
}

// adopt sets the table of a node that learned the members as a whole.
func (h *homes) adopt(version uint64, members map[string]configstore.Member, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.replace(placement.FromSnapshot(version, memberNames(members)), members, now)
}

// version returns the member version of the table, or 0 without a table.
func (h *homes) version() uint64 {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.table == nil {
		return 0
	}
	return h.table.Version()
}

// readyLimit is the time after which a node is ready although its ledger still
// waits, for example for the report of a member that is lost during an outage of
// the table.
const readyLimit = 8 * time.Second

// ready reports whether the homes of this node serve, so that callers are not
// sent to a fleet that would refuse them for their rate.
func (h *homes) ready(now time.Time) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.table == nil {
		return false
	}
	h.ledgerMu.Lock()
	defer h.ledgerMu.Unlock()
	return !h.ledger.Recovering() || now.Sub(h.placedAt) > readyLimit
}

// forget drops the table, because the changes that lead to the present members
// are not known one by one. Every partition of this node starts without memory.
func (h *homes) forget() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table == nil {
		return
	}
	h.ledgerMu.Lock()
	h.ledger.Release(h.mine)
	h.ledgerMu.Unlock()
	h.table, h.mine, h.activations, h.activated = nil, nil, nil, 0
}

func memberNames(members map[string]configstore.Member) []string {
	names := make([]string, 0, len(members))
	for name := range members {
		names = append(names, name)
	}
	return names
}

// replace installs a table. h.mu is held.
func (h *homes) replace(t *placement.Table, members map[string]configstore.Member, now time.Time) {
	h.table = t
	if h.placedAt.IsZero() {
		h.placedAt = now
	}
	h.ledgerMu.Lock()
	h.ledger.SetTerm(t.Version())
	for _, m := range members {
		h.ledger.MemberJoined(now, m.Node, m.Incarnation)
	}
	h.ledgerMu.Unlock()
	h.moved(t.Version())
	for name := range members {
		h.reportTo[name] = t.Version()
	}
}

// apply records one member change. m is the record before a leave or removal,
// and after a join or update.
func (h *homes) apply(op placement.Operation, m configstore.Member, version uint64, now time.Time) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table == nil {
		return nil // The table is built when the node knows where it stands.
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
		h.departed = append(h.departed, departure{node: m.Node, incarnation: m.Incarnation, version: version})
		delete(h.reportTo, m.Node)
		for _, name := range h.table.Nodes() { // Any of them may have taken over a partition.
			h.reportTo[name] = version
		}
	case placement.Join, placement.Rejoin:
		h.reportTo[m.Node] = version
	case placement.Update:
		return nil
	}
	h.moved(version)
	return nil
}

// moved passes the partitions that this node gained and lost on to the ledger.
// h.mu is held.
func (h *homes) moved(version uint64) {
	self := h.node.settings.Node.Name
	var now []uint32
	for p := range placement.Partitions {
		if name, ok := h.table.Home(p); ok && name == self {
			now = append(now, uint32(p))
		}
	}
	lost, gained := difference(h.mine, now), difference(now, h.mine)
	h.mine = now
	h.ledgerMu.Lock()
	defer h.ledgerMu.Unlock()
	if len(lost) > 0 {
		h.ledger.Release(lost)
	}
	if len(gained) > 0 {
		h.ledger.Acquire(version, gained)
	}
}

// difference returns the elements of the sorted list a that are not in b.
func difference(a, b []uint32) []uint32 {
	var out []uint32
	for _, v := range a {
		if _, found := slices.BinarySearch(b, v); !found {
			out = append(out, v)
		}
	}
	return out
}

// tick starts the waiting time of newly attested versions and ends those that
// have passed.
func (h *homes) tick(now time.Time, attested uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table == nil {
		return
	}
	if attested = min(attested, h.table.Version()); attested > h.activated {
		h.activated = attested
		h.table.Activate(attested, now)
		h.activations = append(h.activations, activation{version: attested, at: now.Add(placement.ActivationWait)})
	}
	h.ledgerMu.Lock()
	defer h.ledgerMu.Unlock()
	for len(h.activations) > 0 && !now.Before(h.activations[0].at) {
		h.passed(now, h.activations[0].version)
		h.activations = h.activations[1:]
	}
}

// passed ends the waiting time of a version: homes of that version serve, and
// the shares of members that it removed return. Both locks are held.
func (h *homes) passed(now time.Time, version uint64) {
	h.ledger.Serve(now, version)
	kept := h.departed[:0]
	for _, d := range h.departed {
		if d.version > version {
			kept = append(kept, d)
			continue
		}
		h.ledger.ForgetHolder(now, d.node, d.incarnation)
	}
	h.departed = kept
}

// homeOf returns the home of a key, or "" if there is none.
func (h *homes) homeOf(kind placement.Kind, key string) string {
	return h.homeOfPartition(placement.Partition(kind, key))
}

// deputyOf returns the node that stands in for the home of a team's rate, or "".
func (h *homes) deputyOf(team string) string {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.table == nil {
		return ""
	}
	h.deputyMu.Lock()
	defer h.deputyMu.Unlock()
	if h.deputies == nil || h.deputyVersion != h.table.Version() {
		h.deputies, h.deputyVersion = make(map[int]string), h.table.Version()
	}
	partition := placement.Partition(kindRate, team)
	name, known := h.deputies[partition]
	if !known {
		name, _ = h.table.Second(partition)
		h.deputies[partition] = name
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
	name, _ := h.table.Home(partition)
	return name
}

// active reports whether this node may act as home of the key. h.mu is held.
func (h *homes) active(kind placement.Kind, key string, now time.Time) bool {
	if !h.node.fresh(now) {
		return false
	}
	return h.table != nil && h.table.Active(placement.Partition(kind, key), h.node.settings.Node.Name, now)
}

// errNoHome reports that no home of a key is known.
var errNoHome = errors.New("no home of the key is known")

// callHome sends a call to the home of a key. A call to this node itself goes
// without a link.
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
		a, err := h.answer(self, call)
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

// answer serves the calls to this node as home. An error means that the call
// is malformed.
func (h *homes) answer(p link.Peer, call *wire.Call) (*wire.Answer, error) {
	switch m := call.GetBody().(type) {
	case *wire.Call_Take:
		return h.answerTake(m.Take), nil
	case *wire.Call_ShareReport:
		return h.answerShareReport(p, m.ShareReport), nil
	case *wire.Call_Claim:
		return h.claims.answer(m.Claim), nil
	case *wire.Call_ClaimDone:
		return h.claims.answerDone(m.ClaimDone), nil
	case *wire.Call_ClaimHandover:
		return h.claims.answerHandover(m.ClaimHandover), nil
	case *wire.Call_ServiceReport:
		return h.services.answer(p, m.ServiceReport), nil
	default:
		return nil, errBadCall
	}
}
