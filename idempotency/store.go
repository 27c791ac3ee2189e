package idempotency

import (
	"bytes"
	"math"
	"time"
)

// Limits bound the memory of a store.
type Limits struct {
	// Claims is the largest number of claims.
	Claims int
	// Response is the largest size of a stored response in bytes.
	Response int
	// Responses is the largest size of all stored responses in bytes.
	Responses int
}

// DefaultLimits returns 64 Ki claims, 4 KB a response and 4 MiB of responses.
func DefaultLimits() Limits {
	return Limits{Claims: 64 << 10, Response: 4 << 10, Responses: 4 << 20}
}

type state uint8

const (
	stateRunning state = iota + 1
	stateDone
	stateUncertain
)

// patience is the time for which a claim waits for its result, in milliseconds.
type patience uint32

func (p patience) duration() time.Duration { return time.Duration(p) * time.Millisecond }

func patienceOf(d time.Duration) patience {
	return patience(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

// none ends a list of records.
const none = math.MaxUint32

// record is one claim. It has no pointers, so that the garbage collector does
// not visit 64 Ki of them.
type record struct {
	digest      Digest
	fingerprint uint64
	request     uint64
	claimed     time.Duration // since Store.base
	response    uint64        // number of the stored response, 0 if there was none
	patience    patience
	prev, next  uint32 // neighbours by time of the claim
	partition   uint16
	state       state
}

// Store holds the claims of a home. It is not safe for concurrent use; the
// caller holds one lock over its check that it may serve and the call.
type Store struct {
	limits        Limits
	base          time.Time
	index         map[Digest]uint32
	records       []record
	free          []uint32
	oldest        uint32
	newest        uint32
	responses     map[uint64][]byte // by number; numbers rise with time
	responseBytes int
	lastResponse  uint64
	firstResponse uint64 // no stored response has a lower number
	sealed        bool
}

// NewStore returns an empty store; now is its reference for later times.
func NewStore(now time.Time, limits Limits) *Store {
	return &Store{
		limits: limits, base: now, index: make(map[Digest]uint32), oldest: none, newest: none,
		responses: make(map[uint64][]byte), firstResponse: 1,
	}
}

// Len returns the number of claims.
func (s *Store) Len() int { return len(s.index) }

// ResponseBytes returns the size of all stored responses.
func (s *Store) ResponseBytes() int { return s.responseBytes }

// insert appends a record as the newest one.
func (s *Store) insert(r record) uint32 {
	r.prev, r.next = s.newest, none
	var i uint32
	if n := len(s.free); n > 0 {
		i, s.free = s.free[n-1], s.free[:n-1]
		s.records[i] = r
	} else {
		i = uint32(len(s.records))
		s.records = append(s.records, r)
	}
	if s.newest == none {
		s.oldest = i
	} else {
		s.records[s.newest].next = i
	}
	s.newest = i
	s.index[r.digest] = i
	return i
}

func (s *Store) remove(i uint32) {
	r := &s.records[i]
	if r.prev == none {
		s.oldest = r.next
	} else {
		s.records[r.prev].next = r.next
	}
	if r.next == none {
		s.newest = r.prev
	} else {
		s.records[r.next].prev = r.prev
	}
	s.dropResponse(r.response)
	delete(s.index, r.digest)
	s.free = append(s.free, i)
}

// expire forgets claims older than Retention.
func (s *Store) expire(now time.Time) {
	limit := now.Sub(s.base) - Retention
	for s.oldest != none && s.records[s.oldest].claimed < limit {
		s.remove(s.oldest)
	}
}

func (s *Store) storeResponse(r *record, response []byte) {
	s.dropResponse(r.response)
	r.response = 0
	if len(response) > s.limits.Response || len(response) > s.limits.Responses {
		return
	}
	for s.responseBytes+len(response) > s.limits.Responses {
		s.dropResponse(s.firstResponse)
		s.firstResponse++
	}
	s.lastResponse++
	r.response = s.lastResponse
	s.responses[r.response] = append(make([]byte, 0, len(response)), response...)
	s.responseBytes += len(response)
}

func (s *Store) dropResponse(number uint64) {
	s.responseBytes -= len(s.responses[number])
	delete(s.responses, number)
}

// response returns a copy of the stored response of a record, or nil.
func (s *Store) response(r *record) []byte { return bytes.Clone(s.responses[r.response]) }
