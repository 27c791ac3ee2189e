package idempotency

import (
	"fmt"
	"time"
)

const (
	// Window is the time within which a resend of a key is recognised.
	Window = 10 * time.Minute
	// MaxSkew is the largest difference between two wall clocks.
	MaxSkew = 2 * time.Second
	// Retention is the time for which a claim is kept. A UUIDv7 key is young
	// enough to run up to Window after its stamp, which may be MaxSkew ahead; the
	// home's wall clock may step back by twice MaxSkew, and its monotonic clock
	// may be fast by 1% (6 s). The rest is margin.
	Retention = Window + 20*time.Second
	// clockRateError is the largest rate error of the monotonic clock, in percent.
	clockRateError = 1
)

// Outcome is the home's answer to a claim.
type Outcome uint8

const (
	// MayHaveRun means that the request may have run before: do not run it.
	MayHaveRun Outcome = iota
	// Run means that the claim is granted: the entry may run the request once.
	Run
	// Running means that another request with the key is running.
	Running
	// Done means that the request completed; the response may be stored.
	Done
	// Mismatch means that the key was used for another request; not run.
	Mismatch
	// Rejected means that the key is malformed or from the future; not run.
	Rejected
	// Full means that the home can remember no further claim; not run.
	Full
	// NotHome means that the home has handed its claims over; not run.
	NotHome
)

// String returns the name of the outcome as used in metrics.
func (o Outcome) String() string {
	names := [...]string{"may-have-run", "run", "running", "done", "mismatch", "rejected", "full", "not-home"}
	if int(o) < len(names) {
		return names[o]
	}
	return fmt.Sprintf("outcome-%d", uint8(o))
}

// Memory says how far back the home remembers the partition of a key.
type Memory struct {
	// Complete is true if it began with the first start of the deployment.
	Complete bool
	// Since is its start on the monotonic clock, unless Complete is true.
	Since time.Time
}

// Request is a claim sent by an entry.
type Request struct {
	Team, Key string
	// Fingerprint identifies the contents of the request.
	Fingerprint []byte
	// RequestID identifies the entry's attempt; it is not reused.
	RequestID string
	// Deadline is the time after which the entry does not dispatch and reports
	// no result, on the home's monotonic clock.
	Deadline time.Time
	// Partition is the partition of the key.
	Partition int
	// Memory is the home's memory of that partition.
	Memory Memory
}

// Answer is the result of a claim.
type Answer struct {
	Outcome Outcome
	// Response is the stored response of a request that is done, or nil if it
	// was too large or has been dropped. The caller must not change it.
	Response []byte
	// Detail explains a refusal to a person.
	Detail string
}

// Claim decides whether the request may run and remembers the key if so. The
// package comment states when the caller checks that it may serve. wallNow is
// read together with now.
//
// A repeated claim with the request id that holds the claim is granted again,
// because the first answer may have been lost.
func (s *Store) Claim(now, wallNow time.Time, r Request) Answer {
	if s.sealed {
		return Answer{Outcome: NotHome, Detail: "the home has handed its claims over"}
	}
	if len(r.Key) == 0 || len(r.Key) > MaxKeyLength {
		return Answer{Outcome: Rejected, Detail: fmt.Sprintf("idempotency key must have 1 to %d bytes", MaxKeyLength)}
	}
	s.expire(now)
	digest := digestOf(r.Team, r.Key)
	if i, seen := s.index[digest]; seen {
		return s.answerSeen(i, now, r)
	}
	if a := judgeUnseen(now, wallNow, r); a.Outcome != Run {
		return a
	}
	if len(s.index) >= s.limits.Claims {
		return Answer{Outcome: Full, Detail: "the home remembers as many keys as it can"}
	}
	s.insert(record{
		digest: digest, fingerprint: fingerprintOf(r.Fingerprint), request: requestOf(r.RequestID),
		claimed: now.Sub(s.base), patience: patienceOf(r.Deadline.Sub(now)), partition: uint16(r.Partition), state: stateRunning,
	})
	return Answer{Outcome: Run}
}

func (s *Store) answerSeen(i uint32, now time.Time, r Request) Answer {
	c := &s.records[i]
	switch {
	case c.fingerprint != fingerprintOf(r.Fingerprint):
		return Answer{Outcome: Mismatch, Detail: "the idempotency key was used for another request"}
	case c.state == stateDone:
		return Answer{Outcome: Done, Response: s.responses[c.response]}
	case c.state == stateUncertain:
		return Answer{Outcome: MayHaveRun, Detail: "an earlier attempt may have run"}
	case now.Sub(s.base) > c.claimed+c.patience.duration():
		return Answer{Outcome: MayHaveRun, Detail: "the result of an earlier attempt was not reported"}
	case c.request == requestOf(r.RequestID):
		return Answer{Outcome: Run}
	default:
		return Answer{Outcome: Running, Detail: "an earlier attempt is running"}
	}
}

// judgeUnseen decides whether a key that the home does not remember can have
// been granted by an earlier home or before Retention.
func judgeUnseen(now, wallNow time.Time, r Request) Answer {
	created, hasTime := KeyTime(r.Key)
	if !hasTime {
		if r.Memory.Complete || now.Sub(r.Memory.Since) >= Retention {
			return Answer{Outcome: Run}
		}
		return Answer{Outcome: MayHaveRun, Detail: "the home does not remember 10 minutes yet; a UUIDv7 key would have run"}
	}
	if created.Sub(wallNow) > MaxSkew {
		return Answer{Outcome: Rejected, Detail: "the UUIDv7 key was created in the future"}
	}
	if wallNow.Sub(created) >= Window {
		return Answer{Outcome: MayHaveRun, Detail: "the key is older than 10 minutes"}
	}
	if r.Memory.Complete {
		return Answer{Outcome: Run}
	}
	elapsed := now.Sub(r.Memory.Since)
	start := wallNow.Add(-(elapsed - elapsed*clockRateError/100))
	if created.After(start.Add(MaxSkew)) {
		return Answer{Outcome: Run}
	}
	return Answer{Outcome: MayHaveRun, Detail: "the key is older than the home's memory"}
}

// Done records that the request holding the claim ended; completed is false if
// it may have run without a complete response. It returns false if the claim
// is not known. The response is copied; one above the limit is not stored.
func (s *Store) Done(team, key, requestID string, completed bool, response []byte) bool {
	c := s.held(team, key, requestID)
	if c == nil {
		return false
	}
	c.state = stateUncertain
	if completed {
		c.state = stateDone
		s.storeResponse(c, response)
	}
	return true
}

// Release withdraws the claim of a request that certainly did not run, so that
// a resend may run. It returns false if the request does not hold a running
// claim.
func (s *Store) Release(team, key, requestID string) bool {
	c := s.held(team, key, requestID)
	if c == nil || c.state != stateRunning {
		return false
	}
	s.remove(s.index[c.digest])
	return true
}

func (s *Store) held(team, key, requestID string) *record {
	i, seen := s.index[digestOf(team, key)]
	if !seen || s.records[i].request != requestOf(requestID) {
		return nil
	}
	return &s.records[i]
}
