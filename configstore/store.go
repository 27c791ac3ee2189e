package configstore

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/platform"
	"trefoildock.example/rules"
)

// Options configures a Store.
type Options struct {
	// Now returns the wall-clock time of audit records. Default time.Now.
	Now func() time.Time
	// RetryDelay is the initial backoff before a write with unknown outcome is
	// retried; it doubles with each attempt. Default 50ms.
	RetryDelay time.Duration
	// SnapshotInterval is the number of versions from one snapshot to the next.
	// Default 256.
	SnapshotInterval uint64
}

// Store reads and commits the configuration and the membership. It is safe for
// concurrent use. It caches the state of the last load, so that a later load reads
// only newer entries.
type Store struct {
	table     platform.Table
	snapshots snapshotStore
	options   Options

	config          atomic.Pointer[ConfigState]
	members         atomic.Pointer[MembersState]
	failedSnapshots atomic.Uint64
}

// New returns a store that uses the platform's table and object store.
func New(table platform.Table, objects platform.Objects, options Options) *Store {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.RetryDelay == 0 {
		options.RetryDelay = 50 * time.Millisecond
	}
	if options.SnapshotInterval == 0 {
		options.SnapshotInterval = 256
	}
	return &Store{table: table, snapshots: snapshotStore{objects: objects}, options: options}
}

// FailedSnapshots returns the number of snapshots that could not be written.
func (s *Store) FailedSnapshots() uint64 {
	return s.failedSnapshots.Load()
}

// Heads returns the current versions of both logs. It uses a single read, because
// attesters call it twice per second. Errors: platform.ErrUnavailable,
// ErrCorruptLog.
func (s *Store) Heads(ctx context.Context) (Heads, error) {
	rows, err := s.table.Scan(ctx, headPrefix, "", 2)
	if err != nil {
		return Heads{}, err
	}
	var heads Heads
	for _, row := range rows {
		var head headRow
		if err := decodeRow(row, &head); err != nil {
			return Heads{}, err
		}
		switch row.Key {
		case configLog.headKey():
			heads.Config = head.Version
		case membersLog.headKey():
			heads.Members = head.Version
		}
	}
	return heads, nil
}

// readHead returns the version of a log and the revision of its head row. Both are
// 0 for an empty log.
func (s *Store) readHead(ctx context.Context, log logName) (version, revision uint64, err error) {
	row, err := s.table.Get(ctx, log.headKey())
	if errors.Is(err, platform.ErrNotFound) {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, err
	}
	var head headRow
	if err := decodeRow(row, &head); err != nil {
		return 0, 0, err
	}
	return head.Version, row.Revision, nil
}

// ConfigEntries returns up to limit entries after a version, in version order and
// without gaps. Errors: platform.ErrUnavailable, ErrCorruptLog.
func (s *Store) ConfigEntries(ctx context.Context, after uint64, limit int) ([]ConfigEntry, error) {
	rows, err := s.scan(ctx, configLog.entryPrefix(), after, limit)
	if err != nil {
		return nil, err
	}
	entries := make([]ConfigEntry, 0, len(rows))
	for i, row := range rows {
		var value configRow
		if err := decodeRow(row, &value); err != nil {
			return nil, err
		}
		entry := ConfigEntry{Version: after + 1 + uint64(i), CommitID: value.CommitID, Delta: value.Delta}
		if value.HasSeparateDelta {
			if entry.Delta, err = s.readSeparateDelta(ctx, entry.Version); err != nil {
				return nil, err
			}
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// readSeparateDelta returns the delta of a version that is stored in a deltaRow.
func (s *Store) readSeparateDelta(ctx context.Context, version uint64) (rules.Delta, error) {
	row, err := s.table.Get(ctx, versionKey(deltaPrefix, version))
	if errors.Is(err, platform.ErrNotFound) {
		return rules.Delta{}, errors.Wrapf(ErrCorruptLog, "delta of version %d is missing", version)
	}
	if err != nil {
		return rules.Delta{}, err
	}
	var value deltaRow
	if err := decodeRow(row, &value); err != nil {
		return rules.Delta{}, err
	}
	delta, err := decompressDelta(value.Compressed)
	if err != nil {
		return rules.Delta{}, errors.Wrapf(ErrCorruptLog, "row %s: %v", row.Key, err)
	}
	return delta, nil
}

// MemberEntries returns up to limit entries after a version, in version order and
// without gaps. Errors: platform.ErrUnavailable, ErrCorruptLog.
func (s *Store) MemberEntries(ctx context.Context, after uint64, limit int) ([]MemberEntry, error) {
	rows, err := s.scan(ctx, membersLog.entryPrefix(), after, limit)
	if err != nil {
		return nil, err
	}
	entries := make([]MemberEntry, 0, len(rows))
	for i, row := range rows {
		entry := MemberEntry{Version: after + 1 + uint64(i)}
		if err := decodeRow(row, &entry.Change); err != nil {
			return nil, err
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// Audit returns up to limit audit records of the versions after a version, in
// version order. Errors: platform.ErrUnavailable, ErrCorruptLog.
func (s *Store) Audit(ctx context.Context, after uint64, limit int) ([]AuditRecord, error) {
	rows, err := s.scan(ctx, auditPrefix, after, limit)
	if err != nil || len(rows) == 0 {
		return nil, err
	}
	// An entry and its audit row are written in one transaction, so these entries
	// exist.
	entries, err := s.ConfigEntries(ctx, after, len(rows))
	if err != nil {
		return nil, err
	}
	if len(entries) < len(rows) {
		return nil, errors.Wrapf(ErrCorruptLog, "%d audit records but %d entries after version %d", len(rows), len(entries), after)
	}
	records := make([]AuditRecord, 0, len(rows))
	for i, row := range rows {
		var value auditRow
		if err := decodeRow(row, &value); err != nil {
			return nil, err
		}
		records = append(records, AuditRecord{
			Time:        value.Time,
			Operator:    value.Operator,
			Requester:   value.Requester,
			Action:      value.Action,
			Removed:     entries[i].Delta.Removed,
			Added:       entries[i].Delta.Added,
			FromVersion: entries[i].Version - 1,
			ToVersion:   entries[i].Version,
			CommitID:    value.CommitID,
		})
	}
	return records, nil
}

// scan returns the rows of consecutive versions after a version. A scan that is
// concurrent with commits may return a version without the preceding one; scan
// omits the rows after such a gap, and a later call returns them.
func (s *Store) scan(ctx context.Context, prefix string, after uint64, limit int) ([]platform.Row, error) {
	if limit < 1 {
		return nil, nil
	}
	rows, err := s.table.Scan(ctx, prefix, versionKey(prefix, after), min(limit, maxScanRows))
	if err != nil {
		return nil, err
	}
	for i, row := range rows {
		if row.Key == versionKey(prefix, after+1+uint64(i)) {
			continue
		}
		if i == 0 {
			return nil, errors.Wrapf(ErrCorruptLog, "row %s does not follow version %d", row.Key, after)
		}
		return rows[:i], nil
	}
	return rows, nil
}
