package fleet

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"time"

	"trefoildock.example/mesh/clock"

	"github.com/cockroachdb/errors"

	"trefoildock.example/platform"
)

// publishLoop keeps the own row in the store equal to what the node wants to
// say. Each write states the revision that it replaces, so that a write that the
// store performs late cannot undo a newer one.
func (s *State) publishLoop(ctx context.Context) {
	wait := minRetry
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.publish:
		}
		for ctx.Err() == nil {
			err := s.publishOnce(ctx)
			if err == nil {
				wait = minRetry
				break
			}
			s.cfg.Logger.Log("event", "own row not published", "err", err)
			clock.Sleep(ctx, wait)
			wait = min(2*wait, maxRetry)
		}
	}
}

// PublishNow writes the own row at once if it differs from what it should be.
func (s *State) PublishNow(ctx context.Context) error { return s.publishOnce(ctx) }

// ownRow returns the own row as the control goroutine knows it.
func (s *State) ownRow(ctx context.Context) (m *Member, ready bool) {
	s.ask(ctx, func() { m, ready = s.members[s.cfg.Self.Node], s.table.known })
	return m, ready
}

// publishOnce writes or deletes the own row if it differs from what it should be.
func (s *State) publishOnce(ctx context.Context) error {
	current, ready := s.ownRow(ctx)
	if !ready {
		return nil // The first view of the members publishes again.
	}
	wanted := s.cfg.Self
	backend, known := s.cfg.Backend()
	wanted.Backend = backend
	if !known || same(current, &wanted) {
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
		return s.published(ctx, key, nil, written, err)
	}
	value, err := json.Marshal(wanted)
	if err != nil {
		return errors.Wrap(err, "encode the own row")
	}
	written, err := s.cfg.Members.Write(ctx, key, value, expected)
	return s.published(ctx, key, value, written, err)
}

// published takes over the outcome of a write of the own row. After a conflict
// or an unknown outcome the table is read before the next try.
func (s *State) published(ctx context.Context, key string, value []byte, written platform.Written, err error) error {
	if err != nil {
		return s.reread(ctx, err)
	}
	s.storeTime.observe(written.StoreTime)
	row := platform.Change{Row: platform.Row{Key: key, Value: value, Revision: written.Revision}, Removed: value == nil}
	s.ask(ctx, func() {
		// Only the own row is known at the new revision, so that of the table stays.
		s.applyRows(s.table.merge(platform.Changes{Rows: []platform.Change{row}, Revision: s.table.revision}, false))
		s.publishView()
	})
	return nil
}

func (s *State) reread(ctx context.Context, cause error) error {
	changes, err := s.cfg.Members.Read(ctx)
	if err != nil {
		return errors.CombineErrors(cause, err)
	}
	s.ask(ctx, func() { s.applyMembers(changes, true) })
	return cause
}

// same reports whether two member records say the same.
func same(a, b *Member) bool {
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

// FingerprintKey returns the form of a fingerprint in View.Convicted.
func FingerprintKey(f []byte) string { return hex.EncodeToString(f) }

// ReportCrash records that requests ran on a backend server when it crashed.
func (s *State) ReportCrash(ctx context.Context, incarnation string, fingerprints [][]byte) {
	now, known := s.StoreNow()
	if !known {
		return
	}
	for _, f := range fingerprints {
		record := crashRecord{Fingerprint: FingerprintKey(f), StoreMillis: now.Milliseconds()}
		value, err := json.Marshal(record)
		if err != nil {
			s.cfg.Logger.Log("event", "crash not recorded", "err", err)
			return
		}
		key := crashPrefix + record.Fingerprint + "/" + incarnation
		s.writeCrash(ctx, key, value)
	}
}

// crashTries bounds how often a crash record is written; the entry of the next
// crash comes if it is lost.
const crashTries = 5

func (s *State) writeCrash(ctx context.Context, key string, value []byte) {
	wait := minRetry
	for range crashTries {
		call, cancel := context.WithTimeout(ctx, publishTimeout)
		_, err := s.cfg.Members.Write(call, key, value, 0)
		cancel()
		var conflict *platform.ConflictError
		if err == nil || errors.As(err, &conflict) {
			return
		}
		s.cfg.Logger.Log("event", "crash record not written", "key", key, "err", err)
		clock.Sleep(ctx, wait)
		wait = min(2*wait, time.Second)
	}
}
