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
	// directTimeout bounds a write of this node before other nodes are asked to
	// write. The store answers a write within 12 ms, and within 0.9 s when it is slow.
	directTimeout = 1100 * time.Millisecond
	// relayWriteTimeout bounds a write on behalf of another node.
	relayWriteTimeout = 250 * time.Millisecond
	// relayTries is the number of nodes that are asked to write.
	relayTries = 2
	// directPause is how long a node that could not write asks others first.
	directPause = 3 * time.Second
)

// relayedTable is a table of the store that is written through other nodes while
// this node cannot reach the store. Every write states the revision that it
// replaces, so a write that is performed twice or late changes nothing.
type relayedTable struct {
	*platform.Rows
	name string
	node *Node

	mu        sync.Mutex
	lostUntil clock.Instant
}

func (n *Node) relayed(table string) *relayedTable {
	return &relayedTable{Rows: n.store.Rows(table), name: table, node: n}
}

// Write puts a row that must be at the expected revision.
func (t *relayedTable) Write(ctx context.Context, key string, value []byte, expected uint64) (platform.Written, error) {
	ways := []func(context.Context, *wire.StoreWrite) (platform.Written, error){t.direct, t.relay}
	if t.lost() {
		slices.Reverse(ways)
	}
	w := &wire.StoreWrite{Table: t.name, Key: key, Value: value, Expected: expected}
	written, err := ways[0](ctx, w)
	if err == nil || !unanswered(err) {
		return written, err
	}
	written, second := ways[1](ctx, w)
	if second == nil || !unanswered(second) {
		return written, second
	}
	return platform.Written{}, errors.CombineErrors(second, err)
}

// direct writes to the store.
func (t *relayedTable) direct(ctx context.Context, w *wire.StoreWrite) (platform.Written, error) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	written, err := t.Rows.Write(ctx, w.GetKey(), w.GetValue(), w.GetExpected())
	if err != nil && unanswered(err) {
		t.setLost()
	}
	return written, err
}

// unanswered reports whether another node may get an answer of the store.
func unanswered(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrOutcomeUnknown)
}

func (t *relayedTable) lost() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return clock.Now() < t.lostUntil
}

func (t *relayedTable) setLost() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lostUntil = clock.Now().Add(directPause)
}

// relay asks random nodes to write the row. After an unknown outcome the next one
// may report a conflict with the write of the one before.
func (t *relayedTable) relay(ctx context.Context, w *wire.StoreWrite) (platform.Written, error) {
	var addresses []string
	for name, m := range t.node.fleet.View().Nodes {
		if name != t.node.settings.Node {
			addresses = append(addresses, m.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	err := errors.Wrap(platform.ErrUnavailable, "no other node is known")
	for _, address := range addresses[:min(len(addresses), relayTries)] {
		var written platform.Written
		written, err = t.node.writeThrough(ctx, address, w)
		if err == nil || !unanswered(err) {
			t.node.logger.Log("event", "row written through another node", "table", t.name, "key", w.GetKey(), "revision", written.Revision, "err", err)
			return written, err
		}
	}
	return platform.Written{}, err
}

// writeThrough asks one node to write a row.
func (n *Node) writeThrough(ctx context.Context, address string, w *wire.StoreWrite) (platform.Written, error) {
	ctx, cancel := context.WithTimeout(ctx, relayWriteTimeout+relayTimeout)
	defer cancel()
	a, err := n.links.Call(ctx, address, &wire.Call{Body: &wire.Call_StoreWrite{StoreWrite: w}})
	if err != nil {
		return platform.Written{}, errors.Mark(err, platform.ErrOutcomeUnknown)
	}
	r := a.GetStoreWrite()
	switch r.GetOutcome() {
	case wire.StoreWriteAnswer_WRITTEN:
		return platform.Written{Revision: r.GetRevision(), StoreTime: time.Duration(r.GetStoreTimeUs()) * time.Microsecond}, nil
	case wire.StoreWriteAnswer_CONFLICT:
		return platform.Written{}, &platform.ConflictError{Key: w.GetKey()}
	case wire.StoreWriteAnswer_NOT_WRITTEN:
		return platform.Written{}, errors.Wrapf(platform.ErrUnavailable, "the node at %s cannot reach the store", address)
	default:
		return platform.Written{}, errors.Wrapf(platform.ErrOutcomeUnknown, "the node at %s got no answer", address)
	}
}

// answerStoreWrite writes a row of the nodes' own tables for another node.
func (n *Node) answerStoreWrite(w *wire.StoreWrite) *wire.StoreWriteAnswer {
	if t := w.GetTable(); t != memberTable && t != leaseTable {
		return &wire.StoreWriteAnswer{Outcome: wire.StoreWriteAnswer_NOT_WRITTEN}
	}
	ctx, cancel := context.WithTimeout(context.Background(), relayWriteTimeout)
	defer cancel()
	written, err := n.store.Rows(w.GetTable()).Write(ctx, w.GetKey(), w.GetValue(), w.GetExpected())
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
