package idempotency

import (
	"bytes"
	"math"
	"time"
)

// Limits limit the memory of a store.
type Limits struct {
	// MaxRecords is the largest number of records.
	MaxRecords int
	// MaxResponseBytes is the largest size of a stored response.
	MaxResponseBytes int
	// MaxTotalResponseBytes is the largest total size of all stored responses.
	MaxTotalResponseBytes int
}

// DefaultLimits returns limits of 64 Ki records, 4 KiB for each response and 4
// MiB for all responses.
func DefaultLimits() Limits {
	return Limits{MaxRecords: 64 << 10, MaxResponseBytes: 4 << 10, MaxTotalResponseBytes: 4 << 20}
}

type recordState uint8

const (
	stateInProgress recordState = iota + 1
	stateCompleted
	stateOutcomeUnknown
)

// timeoutMillis is a timeout in milliseconds.
type timeoutMillis uint32

func (t timeoutMillis) duration() time.Duration { return time.Duration(t) * time.Millisecond }

func timeoutMillisOf(d time.Duration) timeoutMillis {
	return timeoutMillis(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

// noRecord marks the end of the list of records.
const noRecord = math.MaxUint32

// record is the idempotency record of one claimed key. It contains no pointers,
// so that the garbage collector does not scan 64 Ki records.
type record struct {
	digest        Digest
	fingerprint   uint64
	requestHash   uint64
	claimedAt     time.Duration // since Store.timeBase
	responseID    uint64        // key in Store.responses, 0 if none was stored
	resultTimeout timeoutMillis // time after the claim within which a result is expected
	older, newer  uint32        // neighbors by claim time, or noRecord
	partition     uint16
	state         recordState
}

// Store holds the idempotency records of a coordinator. It is not safe for
// concurrent use; the caller holds one lock over its check that it may act and
// the call.
type Store struct {
	limits          Limits
	timeBase        time.Time
	index           map[Digest]uint32
	records         []record // linked list from oldest to newest, with free slots
	free            []uint32 // indices of unused records
	oldest          uint32
	newest          uint32
	responses       map[uint64][]byte // by ID; IDs increase with time
	responseBytes   int
	lastResponseID  uint64
	firstResponseID uint64 // no stored response has a lower ID
	sealed          bool   // the records have been exported
}

// NewStore returns an empty store; now is its reference for later times.
func NewStore(now time.Time, limits Limits) *Store {
	return &Store{
		limits: limits, timeBase: now, index: make(map[Digest]uint32), oldest: noRecord, newest: noRecord,
		responses: make(map[uint64][]byte), firstResponseID: 1,
	}
}

// Len returns the number of records.
func (s *Store) Len() int { return len(s.index) }

// ResponseBytes returns the total size of all stored responses.
func (s *Store) ResponseBytes() int { return s.responseBytes }

// insert appends a record as the newest one.
func (s *Store) insert(r record) uint32 {
	r.older, r.newer = s.newest, noRecord
	var i uint32
	if n := len(s.free); n > 0 {
		i, s.free = s.free[n-1], s.free[:n-1]
		s.records[i] = r
	} else {
		i = uint32(len(s.records))
		s.records = append(s.records, r)
	}
	if s.newest == noRecord {
		s.oldest = i
	} else {
		s.records[s.newest].newer = i
	}
	s.newest = i
	s.index[r.digest] = i
	return i
}

// remove deletes a record and its response.
func (s *Store) remove(i uint32) {
	r := &s.records[i]
	if r.older == noRecord {
		s.oldest = r.newer
	} else {
		s.records[r.older].newer = r.newer
	}
	if r.newer == noRecord {
		s.newest = r.older
	} else {
		s.records[r.newer].older = r.older
	}
	s.dropResponse(r.responseID)
	delete(s.index, r.digest)
	s.free = append(s.free, i)
}

// expire deletes records older than Retention.
func (s *Store) expire(now time.Time) {
	limit := now.Sub(s.timeBase) - Retention
	for s.oldest != noRecord && s.records[s.oldest].claimedAt < limit {
		s.remove(s.oldest)
	}
}

// storeResponse stores a copy of a response within the size limits. It drops
// the oldest responses to make room.
func (s *Store) storeResponse(r *record, response []byte) {
	s.dropResponse(r.responseID)
	r.responseID = 0
	if len(response) > s.limits.MaxResponseBytes || len(response) > s.limits.MaxTotalResponseBytes {
		return
	}
	for s.responseBytes+len(response) > s.limits.MaxTotalResponseBytes {
		s.dropResponse(s.firstResponseID)
		s.firstResponseID++
	}
	s.lastResponseID++
	r.responseID = s.lastResponseID
	s.responses[r.responseID] = append(make([]byte, 0, len(response)), response...)
	s.responseBytes += len(response)
}

func (s *Store) dropResponse(id uint64) {
	s.responseBytes -= len(s.responses[id])
	delete(s.responses, id)
}

// copyResponse returns a copy of the stored response of a record, or nil.
func (s *Store) copyResponse(r *record) []byte { return bytes.Clone(s.responses[r.responseID]) }
