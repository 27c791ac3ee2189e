package process

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/mesh/clock"
	"trefoildock.example/platform"
	"trefoildock.example/wire"
)

const (
	// directTimeout bounds a direct write before it is relayed through other nodes.
	// The store responds to a write within 12 ms, and within 0.9 s when it is slow.
	directTimeout = 1100 * time.Millisecond
	// relayWriteTimeout bounds a write on behalf of another node.
	relayWriteTimeout = 250 * time.Millisecond
	// maxRelayPeers bounds the number of nodes through which one write is attempted.
	maxRelayPeers = 2
	// relayFirstPeriod is how long after a failed direct write a node first tries to
	// write through other nodes.
	relayFirstPeriod = 3 * time.Second
)

// relayedTable is a table of the store that is written through other nodes while
// this node cannot reach the store. Every write is conditional on the revision that
// it replaces, so a duplicate or delayed write has no effect.
type relayedTable struct {
	*platform.Rows
	name string
	node *Node

	mu              sync.Mutex
	relayFirstUntil clock.Instant
}

func (n *Node) newRelayedTable(table string) *relayedTable {
	return &relayedTable{Rows: n.rowsOf(table), name: table, node: n}
}

// rowsOf returns the client of a table of the nodes.
func (n *Node) rowsOf(table string) *platform.Rows {
	if table == leaseTable {
		return n.store.RowsInPart(table, leasePart)
	}
	return n.store.Rows(table)
}

// Write writes a row if it is at the expected revision.
func (t *relayedTable) Write(ctx context.Context, key string, value []byte, expected uint64) (platform.WriteResult, error) {
	writers := []func(context.Context, *wire.StoreWrite) (platform.WriteResult, error){t.writeDirect, t.writeViaPeers}
	if t.relaysFirst() {
		slices.Reverse(writers)
	}
	w := &wire.StoreWrite{Table: t.name, Key: key, Value: value, Expected: expected}
	if source := t.node.fleet.Followed(); t.name == memberTable && source.Address != "" {
		written, err := t.node.writeViaPeer(ctx, source.Address, &wire.StoreWrite{Table: t.name, Key: key, Value: value, Expected: expected, Batch: true})
		if err == nil || !mayRelay(err) {
			return written, err
		}
	}
	written, err := writers[0](ctx, w)
	if err == nil || !mayRelay(err) {
		return written, err
	}
	written, secondErr := writers[1](ctx, w)
	if secondErr == nil || !mayRelay(secondErr) {
		return written, secondErr
	}
	return platform.WriteResult{}, errors.CombineErrors(secondErr, err)
}

// writeDirect writes the row without a relay.
func (t *relayedTable) writeDirect(ctx context.Context, w *wire.StoreWrite) (platform.WriteResult, error) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	written, err := t.Rows.Write(ctx, w.GetKey(), w.GetValue(), w.GetExpected())
	if err != nil && mayRelay(err) {
		t.setRelayFirst()
	}
	return written, err
}

// mayRelay reports whether the write may succeed through another node after err.
func mayRelay(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrOutcomeUnknown)
}

func (t *relayedTable) relaysFirst() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return clock.Now() < t.relayFirstUntil
}

func (t *relayedTable) setRelayFirst() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.relayFirstUntil = clock.Now().Add(relayFirstPeriod)
}

// writeViaPeers writes the row through random nodes, one after another. After an
// unknown outcome, the next node may report a conflict with the write of the previous
// one.
func (t *relayedTable) writeViaPeers(ctx context.Context, w *wire.StoreWrite) (platform.WriteResult, error) {
	var addresses []string
	for name, m := range t.node.fleet.View().Nodes {
		if name != t.node.settings.Node {
			addresses = append(addresses, m.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	err := errors.Wrap(platform.ErrUnavailable, "the fleet view contains no other node")
	for _, address := range addresses[:min(len(addresses), maxRelayPeers)] {
		var written platform.WriteResult
		written, err = t.node.writeViaPeer(ctx, address, w)
		if err == nil || !mayRelay(err) {
			t.node.logger.Log("event", "row written through another node", "table", t.name, "key", w.GetKey(), "revision", written.Revision, "err", err)
			return written, err
		}
	}
	return platform.WriteResult{}, err
}

// writeViaPeer writes a row through one node.
func (n *Node) writeViaPeer(ctx context.Context, address string, w *wire.StoreWrite) (platform.WriteResult, error) {
	timeout := relayWriteTimeout
	if w.GetBatch() {
		timeout = batchWriteTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+relayTimeout)
	defer cancel()
	a, err := n.links.Call(ctx, address, &wire.Call{Body: &wire.Call_StoreWrite{StoreWrite: w}})
	if err != nil {
		return platform.WriteResult{}, errors.Mark(err, platform.ErrOutcomeUnknown)
	}
	r := a.GetStoreWrite()
	switch r.GetOutcome() {
	case wire.StoreWriteAnswer_WRITTEN:
		return platform.WriteResult{Revision: r.GetRevision(), StoreTime: time.Duration(r.GetStoreTimeUs()) * time.Microsecond}, nil
	case wire.StoreWriteAnswer_CONFLICT:
		return platform.WriteResult{}, &platform.ConflictError{Key: w.GetKey()}
	case wire.StoreWriteAnswer_NOT_WRITTEN:
		return platform.WriteResult{}, errors.Wrapf(platform.ErrUnavailable, "the node at %s cannot reach the store", address)
	default:
		return platform.WriteResult{}, errors.Wrapf(platform.ErrOutcomeUnknown, "the node at %s received no response from the store", address)
	}
}

// writeForPeer writes a row on behalf of another node, together with other rows if the
// request allows it.
func (n *Node) writeForPeer(w *wire.StoreWrite) (platform.WriteResult, error) {
	if w.GetBatch() && w.GetTable() == memberTable {
		ctx, cancel := context.WithTimeout(context.Background(), batchWriteTimeout)
		defer cancel()
		return n.memberWrites.Write(ctx, platform.RowWrite{Key: w.GetKey(), Value: w.GetValue(), Expected: w.GetExpected()})
	}
	ctx, cancel := context.WithTimeout(context.Background(), relayWriteTimeout)
	defer cancel()
	return n.rowsOf(w.GetTable()).Write(ctx, w.GetKey(), w.GetValue(), w.GetExpected())
}

// handleStoreWrite writes a row on behalf of another node. Only the tables of the nodes
// are writable.
func (n *Node) handleStoreWrite(w *wire.StoreWrite) *wire.StoreWriteAnswer {
	if t := w.GetTable(); t != memberTable && t != leaseTable {
		return &wire.StoreWriteAnswer{Outcome: wire.StoreWriteAnswer_NOT_WRITTEN}
	}
	written, err := n.writeForPeer(w)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return &wire.StoreWriteAnswer{
			Outcome: wire.StoreWriteAnswer_WRITTEN, Revision: written.Revision, StoreTimeUs: written.StoreTime.Microseconds(),
		}
	case errors.As(err, &conflict):
		return &wire.StoreWriteAnswer{Outcome: wire.StoreWriteAnswer_CONFLICT}
	case errors.Is(err, platform.ErrOutcomeUnknown):
		return &wire.StoreWriteAnswer{}
	default:
		return &wire.StoreWriteAnswer{Outcome: wire.StoreWriteAnswer_NOT_WRITTEN}
	}
}
