package fleet

import (
	"context"
	"encoding/json"

	"trefoildock.example/mesh/clock"

	"github.com/cockroachdb/errors"

	"trefoildock.example/platform"
)

// publishLoop keeps the row of this node in the store up to date. Each write is
// conditional on the revision that it replaces, so that a delayed write cannot undo a
// newer one.
func (s *State) publishLoop(ctx context.Context) {
	delay := minRetryDelay
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.publishSignal:
		}
		for ctx.Err() == nil {
			err := s.publishOwnRow(ctx)
			if err == nil || errors.Is(err, errOwnRowUnknown) {
				delay = minRetryDelay
				break
			}
			s.cfg.Logger.Log("event", "own row not published", "err", err)
			clock.Sleep(ctx, delay)
			delay = min(2*delay, maxRetryDelay)
		}
	}
}

// errOwnRowUnknown is returned until this node has read the members table or can publish a
// backend server. The change of either triggers another publication.
var errOwnRowUnknown = errors.New("the row of this node cannot be written yet")

// PublishNow writes the row of this node if it is outdated. Without an error, the store holds
// the state that the node had at the call, or a newer one. Failed writes are repeated until
// ctx ends.
func (s *State) PublishNow(ctx context.Context) error {
	for {
		err := s.publishOwnRow(ctx)
		if err == nil {
			return nil
		}
		clock.Sleep(ctx, minRetryDelay)
		if ctx.Err() != nil {
			return err
		}
	}
}

// ownRow returns the row of this node, and whether its state in the store is known. At
// the first start of the deployment the row does not exist before this node writes it.
func (s *State) ownRow(ctx context.Context) (m *Member, ready bool) {
	s.runAndWait(ctx, func() { m, ready = s.members[s.cfg.Self.Node], s.table.loaded || s.cfg.FirstStart })
	return m, ready
}

// publishOwnRow writes or deletes the row of this node if it is outdated. Concurrent calls
// write one after another, because each write replaces the row of the previous one.
func (s *State) publishOwnRow(ctx context.Context) error {
	select {
	case s.publishing <- struct{}{}:
		defer func() { <-s.publishing }()
	case <-ctx.Done():
		return ctx.Err()
	}
	current, ready := s.ownRow(ctx)
	wanted := s.cfg.Self
	backend, known := s.cfg.Backend()
	wanted.Backend = backend
	if !ready || !known {
		return errOwnRowUnknown
	}
	if equalRecords(current, &wanted) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	key := memberPrefix + wanted.Node
	expected := uint64(0)
	if current != nil {
		expected = current.revision
	}
	if wanted.Backend == nil {
		if current == nil {
			return nil
		}
		written, err := s.cfg.Members.Delete(ctx, key, expected)
		return s.applyWritten(ctx, key, nil, written, err)
	}
	value, err := json.Marshal(wanted)
	if err != nil {
		return errors.Wrap(err, "encode the member row")
	}
	written, err := s.cfg.Members.Write(ctx, key, value, expected)
	return s.applyWritten(ctx, key, value, written, err)
}

// applyWritten applies the outcome of a write of the row of this node. After a
// failure, such as a conflict or an unknown outcome, it reads the table, so that the
// next attempt has the current revision.
func (s *State) applyWritten(ctx context.Context, key string, value []byte, written platform.WriteResult, err error) error {
	if errors.Is(err, platform.ErrUnavailable) {
		return err // Nothing was written.
	}
	if err != nil {
		return s.rereadMembers(ctx, err)
	}
	s.storeClock.observe(written.Revision, written.StoreTime)
	s.cfg.Logger.Log("event", "own row published", "revision", written.Revision)
	row := platform.Change{Row: platform.Row{Key: key, Value: value, Revision: written.Revision}, Removed: value == nil}
	s.runAndWait(ctx, func() {
		s.table.put(row)
		s.applyRows([]platform.Change{row})
		s.publishView()
	})
	return nil
}

func (s *State) rereadMembers(ctx context.Context, cause error) error {
	changes, err := s.cfg.Members.Read(ctx)
	if err != nil {
		return errors.CombineErrors(cause, err)
	}
	s.runAndWait(ctx, func() { s.applyMembers(changes, true) })
	return cause
}

// equalRecords reports whether two member records have the same content. A missing
// record equals one without a backend server.
func equalRecords(a, b *Member) bool {
	if a == nil || b == nil {
		return a == b || a == nil && b.Backend == nil
	}
	if a.Zone != b.Zone || a.Address != b.Address || a.Incarnation != b.Incarnation {
		return false
	}
	if a.Backend == nil || b.Backend == nil {
		return a.Backend == b.Backend
	}
	return *a.Backend == *b.Backend
}
