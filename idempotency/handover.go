package idempotency

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrIncomplete is returned if a handover could not be taken over as a whole.
// The receiver must not inherit the memory of the predecessor then.
var ErrIncomplete = errors.New("handover of claims is incomplete: too many claims")

// Handover is a claim on its way to the next home. Times are relative, because
// the monotonic clocks of two nodes have nothing in common.
type Handover struct {
	Partition   int
	Digest      Digest
	Fingerprint uint64
	Request     uint64
	// Age is the time since the claim was granted.
	Age time.Duration
	// Patience is the time from the claim after which no result is expected.
	Patience time.Duration
	// Finished is true if a result was reported, Completed if it was complete.
	Finished, Completed bool
	// Response is the stored response, if any.
	Response []byte
}

// Export seals the store and returns its claims, oldest first. A sealed store
// grants nothing any more. Results may still be recorded, but a result that
// arrives after the export has to be sent to the next home.
func (s *Store) Export(now time.Time) []Handover {
	s.sealed = true
	s.expire(now)
	out := make([]Handover, 0, len(s.index))
	for i := s.oldest; i != none; i = s.records[i].next {
		r := &s.records[i]
		out = append(out, Handover{
			Partition: int(r.partition), Digest: r.digest, Fingerprint: r.fingerprint, Request: r.request,
			Age: now.Sub(s.base) - r.claimed, Patience: r.patience.duration(),
			Finished: r.state != stateRunning, Completed: r.state == stateDone, Response: s.response(r),
		})
	}
	return out
}

// Import takes over claims of a predecessor; transit is an upper bound of the
// time since the export, zero if it is unknown, which keeps claims for longer
// than needed. Claims that the store already has are left alone. It returns
// ErrIncomplete if there was not room for all.
func (s *Store) Import(now time.Time, claims []Handover, transit time.Duration) error {
	s.expire(now)
	var err error
	for _, h := range claims {
		if _, known := s.index[h.Digest]; known {
			continue
		}
		if len(s.index) >= s.limits.Claims {
			err = ErrIncomplete
			break
		}
		r := record{
			digest: h.Digest, fingerprint: h.Fingerprint, request: h.Request, claimed: now.Sub(s.base) - h.Age - transit,
			patience: patienceOf(h.Patience), partition: uint16(h.Partition), state: stateOf(h),
		}
		i := s.insert(r)
		if h.Completed && h.Response != nil {
			s.storeResponse(&s.records[i], h.Response)
		}
	}
	s.relink()
	return err
}

func stateOf(h Handover) state {
	switch {
	case !h.Finished:
		return stateRunning
	case h.Completed:
		return stateDone
	default:
		return stateUncertain
	}
}

// relink restores the order by time after claims of different ages came in.
func (s *Store) relink() {
	order := make([]uint32, 0, len(s.index))
	for i := s.oldest; i != none; i = s.records[i].next {
		order = append(order, i)
	}
	slices.SortStableFunc(order, func(a, b uint32) int {
		return int(min(max(s.records[a].claimed-s.records[b].claimed, -1), 1))
	})
	s.oldest, s.newest = none, none
	for _, i := range order {
		s.records[i].prev, s.records[i].next = s.newest, none
		if s.newest == none {
			s.oldest = i
		} else {
			s.records[s.newest].next = i
		}
		s.newest = i
	}
}
