package idempotency

import (
	"fmt"
	"time"
)

const (
	// DeduplicationWindow is the time within which a repeated key is
	// recognized.
	DeduplicationWindow = 10 * time.Minute
	// MaxClockSkew is the largest difference between two wall clocks.
	MaxClockSkew = 2 * time.Second
	// Retention is the time for which a record is kept. A UUIDv7 key is
	// accepted until DeduplicationWindow after its timestamp, which may be
	// MaxClockSkew ahead; the wall clock of the coordinator may step back by
	// twice MaxClockSkew, and its monotonic clock may be fast by 1% (6 s). The
	// rest is margin.
	Retention = DeduplicationWindow + 20*time.Second
	// maxClockDriftPercent is the largest rate error of the monotonic clock, in
	// percent.
	maxClockDriftPercent = 1
)

// Outcome is the result of a claim.
type Outcome uint8

const (
	// MayHaveRun means that the request may have run before and must not run
	// again.
	MayHaveRun Outcome = iota
	// Granted means that the claim is granted: the entry node may run the request
	// once.
	Granted
	// InProgress means that another request with the key is in progress.
	InProgress
	// Completed means that the request completed; its response may be stored.
	Completed
	// FingerprintMismatch means that the key was used for a different request. The
	// request does not run.
	FingerprintMismatch
	// InvalidKey means that the key is malformed or was created in the future.
	// The request does not run.
	InvalidKey
	// StoreFull means that the store has reached its maximum number of records. The
	// request does not run.
	StoreFull
	// NotCoordinator means that the coordinator has handed over its records. The
	// request does not run.
	NotCoordinator
)

// String returns the name of the outcome as used in metrics.
func (o Outcome) String() string {
	names := [...]string{"may-have-run", "run", "running", "done", "mismatch", "rejected", "full", "not-home"}
	if int(o) < len(names) {
		return names[o]
	}
	return fmt.Sprintf("outcome-%d", uint8(o))
}

// Coverage is the period for which the coordinator holds all records of the
// partition of a key.
type Coverage struct {
	// Complete is true if the period began with the first start of the
	// deployment.
	Complete bool
	// Since is the start of the period on the monotonic clock, unless Complete
	// is true.
	Since time.Time
}

// ClaimRequest is a claim sent by an entry node.
type ClaimRequest struct {
	Team, Key string
	// Fingerprint identifies the contents of the request.
	Fingerprint []byte
	// RequestID identifies the attempt of the entry node; it is not reused.
	RequestID string
	// Deadline is the time after which the entry node neither dispatches the
	// request nor reports a result, on the monotonic clock of the coordinator.
	Deadline time.Time
	// Partition is the partition of the key.
	Partition int
	// Coverage is the period for which the coordinator holds all records of that
	// partition.
	Coverage Coverage
}

// ClaimResult is the result of a claim.
type ClaimResult struct {
	Outcome Outcome
	// Response is the stored response of a completed request, or nil if it was
	// too large or has been dropped. The caller must not modify it.
	Response []byte
	// Detail is a human-readable reason of a refusal.
	Detail string
}

// Claim decides whether the request may run, and stores a record of the key if
// so. The package comment states when the caller checks that it may act.
// wallNow is read together with now.
//
// A repeated claim with the request ID of the granted claim is granted again,
// because the first response may have been lost.
func (s *Store) Claim(now, wallNow time.Time, r ClaimRequest) ClaimResult {
	if s.sealed {
		return ClaimResult{Outcome: NotCoordinator, Detail: "the home has handed its claims over"}
	}
	if len(r.Key) == 0 || len(r.Key) > MaxKeyLength {
		return ClaimResult{Outcome: InvalidKey, Detail: fmt.Sprintf("idempotency key must have 1 to %d bytes", MaxKeyLength)}
	}
	s.expire(now)
	digest := digestOf(r.Team, r.Key)
	if i, ok := s.index[digest]; ok {
		return s.checkRecordedKey(i, now, r)
	}
	if result := checkUnrecordedKey(now, wallNow, r); result.Outcome != Granted {
		return result
	}
	if len(s.index) >= s.limits.MaxRecords {
		return ClaimResult{Outcome: StoreFull, Detail: "the home remembers as many keys as it can"}
	}
	s.insert(record{
		digest: digest, fingerprint: fingerprintOf(r.Fingerprint), requestHash: requestHashOf(r.RequestID),
		claimedAt: now.Sub(s.timeBase), resultTimeout: timeoutMillisOf(r.Deadline.Sub(now)), partition: uint16(r.Partition), state: stateInProgress,
	})
	return ClaimResult{Outcome: Granted}
}

// checkRecordedKey returns the result of a claim for a key with a record.
func (s *Store) checkRecordedKey(i uint32, now time.Time, r ClaimRequest) ClaimResult {
	rec := &s.records[i]
	switch {
	case rec.fingerprint != fingerprintOf(r.Fingerprint):
		return ClaimResult{Outcome: FingerprintMismatch, Detail: "the idempotency key was used for another request"}
	case rec.state == stateCompleted:
		return ClaimResult{Outcome: Completed, Response: s.responses[rec.responseID]}
	case rec.state == stateOutcomeUnknown:
		return ClaimResult{Outcome: MayHaveRun, Detail: "an earlier attempt may have run"}
	case now.Sub(s.timeBase) > rec.claimedAt+rec.resultTimeout.duration():
		return ClaimResult{Outcome: MayHaveRun, Detail: "the result of an earlier attempt was not reported"}
	case rec.requestHash == requestHashOf(r.RequestID):
		return ClaimResult{Outcome: Granted}
	default:
		return ClaimResult{Outcome: InProgress, Detail: "an earlier attempt is running"}
	}
}

// checkUnrecordedKey decides whether a key without a record can have been
// granted by an earlier coordinator, or so long ago that its record has expired.
func checkUnrecordedKey(now, wallNow time.Time, r ClaimRequest) ClaimResult {
	created, hasTime := KeyTime(r.Key)
	if !hasTime {
		if r.Coverage.Complete || now.Sub(r.Coverage.Since) >= Retention {
			return ClaimResult{Outcome: Granted}
		}
		return ClaimResult{Outcome: MayHaveRun, Detail: "the home does not remember 10 minutes yet; a UUIDv7 key would have run"}
	}
	if created.Sub(wallNow) > MaxClockSkew {
		return ClaimResult{Outcome: InvalidKey, Detail: "the UUIDv7 key was created in the future"}
	}
	if wallNow.Sub(created) >= DeduplicationWindow {
		return ClaimResult{Outcome: MayHaveRun, Detail: "the key is older than 10 minutes"}
	}
	if r.Coverage.Complete {
		return ClaimResult{Outcome: Granted}
	}
	elapsed := now.Sub(r.Coverage.Since)
	coverageStart := wallNow.Add(-(elapsed - elapsed*maxClockDriftPercent/100))
	if created.After(coverageStart.Add(MaxClockSkew)) {
		return ClaimResult{Outcome: Granted}
	}
	return ClaimResult{Outcome: MayHaveRun, Detail: "the key is older than the home's memory"}
}

// Finish records the end of the request that holds the claim; completed is false
// if it may have run without a complete response. It returns false if there is
// no record of the claim. The response is copied; a response above the size
// limit is not stored.
func (s *Store) Finish(team, key, requestID string, completed bool, response []byte) bool {
	rec := s.recordOf(team, key, requestID)
	if rec == nil {
		return false
	}
	rec.state = stateOutcomeUnknown
	if completed {
		rec.state = stateCompleted
		s.storeResponse(rec, response)
	}
	return true
}

// Release removes the claim of a request that certainly did not run, so that a
// repeated request may run. It returns false if the request does not hold a
// claim in progress.
func (s *Store) Release(team, key, requestID string) bool {
	rec := s.recordOf(team, key, requestID)
	if rec == nil || rec.state != stateInProgress {
		return false
	}
	s.remove(s.index[rec.digest])
	return true
}

// recordOf returns the record of a key if the request holds its claim, or nil.
func (s *Store) recordOf(team, key, requestID string) *record {
	i, ok := s.index[digestOf(team, key)]
	if !ok || s.records[i].requestHash != requestHashOf(requestID) {
		return nil
	}
	return &s.records[i]
}
