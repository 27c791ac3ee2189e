package idempotency

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrIncompleteHandover is returned if some records of a handover could not be
// imported. The receiver must not extend its coverage to that of the
// predecessor then.
var ErrIncompleteHandover = errors.New("incomplete handover of idempotency records: too many records")

// ExportedRecord is an exported record, sent to the next coordinator. Times are
// relative, because the monotonic clocks of two nodes are unrelated.
type ExportedRecord struct {
	Partition   int
	Digest      Digest
	Fingerprint uint64
	RequestHash uint64
	// Age is the time since the claim was granted.
	Age time.Duration
	// ResultTimeout is the time after the claim within which a result is expected.
	ResultTimeout time.Duration
	// Finished is true if a result was reported, Completed if the response was
	// complete.
	Finished, Completed bool
	// Response is the stored response, if any.
	Response []byte
}

// Export seals the store and returns its records, oldest first. A sealed store
// grants no further claims. Results may still be recorded, but a result that
// arrives after the export has to be sent to the next coordinator.
func (s *Store) Export(now time.Time) []ExportedRecord {
	s.sealed = true
	s.expire(now)
	out := make([]ExportedRecord, 0, len(s.index))
	for i := s.oldest; i != noRecord; i = s.records[i].newer {
		r := &s.records[i]
		out = append(out, ExportedRecord{
			Partition: int(r.partition), Digest: r.digest, Fingerprint: r.fingerprint, RequestHash: r.requestHash,
			Age: now.Sub(s.timeBase) - r.claimedAt, ResultTimeout: r.resultTimeout.duration(),
			Finished: r.state != stateInProgress, Completed: r.state == stateCompleted, Response: s.copyResponse(r),
		})
	}
	return out
}

// Import adds the records of a predecessor. transit is an upper bound of the
// time since the export, or zero if it is unknown, which keeps records longer
// than needed. Records that the store already has are left unchanged. Import
// returns ErrIncompleteHandover if there was not enough room for all records.
func (s *Store) Import(now time.Time, records []ExportedRecord, transit time.Duration) error {
	s.expire(now)
	var err error
	for _, exported := range records {
		if _, ok := s.index[exported.Digest]; ok {
			continue
		}
		if len(s.index) >= s.limits.MaxRecords {
			err = ErrIncompleteHandover
			break
		}
		r := record{
			digest: exported.Digest, fingerprint: exported.Fingerprint, requestHash: exported.RequestHash, claimedAt: now.Sub(s.timeBase) - exported.Age - transit,
			resultTimeout: timeoutMillisOf(exported.ResultTimeout), partition: uint16(exported.Partition), state: stateOf(exported),
		}
		i := s.insert(r)
		if exported.Completed && exported.Response != nil {
			s.storeResponse(&s.records[i], exported.Response)
		}
	}
	s.sortByAge()
	return err
}

// stateOf returns the state of an exported record.
func stateOf(exported ExportedRecord) recordState {
	switch {
	case !exported.Finished:
		return stateInProgress
	case exported.Completed:
		return stateCompleted
	default:
		return stateOutcomeUnknown
	}
}

// sortByAge restores the order by claim time after an import of records of
// different ages.
func (s *Store) sortByAge() {
	order := make([]uint32, 0, len(s.index))
	for i := s.oldest; i != noRecord; i = s.records[i].newer {
		order = append(order, i)
	}
	slices.SortStableFunc(order, func(a, b uint32) int {
		return int(min(max(s.records[a].claimedAt-s.records[b].claimedAt, -1), 1))
	})
	s.oldest, s.newest = noRecord, noRecord
	for _, i := range order {
		s.records[i].older, s.records[i].newer = s.newest, noRecord
		if s.newest == noRecord {
			s.oldest = i
		} else {
			s.records[s.newest].newer = i
		}
		s.newest = i
	}
}
