package slopes

import (
	"context"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"trefoildock.example/idempotency"
	"trefoildock.example/placement"
	"trefoildock.example/wire"
)

func idempotencyExperiments() []experiment {
	return []experiment{
		{
			quantities: []Quantity{
				{"idempotency:claim_time", "ns", "claim", "claim and complete one idempotency key each, encoding excluded"},
				{"idempotency:claim_heap", "B", "claim", "live heap of the idempotency records, no stored responses"},
			},
			sizes: []int{1_000, 8_000, 32_000, 64_000}, run: measureIdempotencyStore,
		},
		{
			quantities: []Quantity{
				{"wire:claim_bytes", "B", "byte of stored answer", "Claim and ClaimDone messages with their responses"},
				{"wire:claim_time", "ns", "byte of stored answer", "encode and decode these four messages"},
			},
			sizes: []int{0, 512, 1_024, 4_096}, run: measureClaimMessages,
		},
	}
}

// idempotencyKey returns the i-th UUIDv7 key with the given timestamp.
func idempotencyKey(at time.Time, i int) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16|0x7000|uint64(i)&0xfff)
	binary.BigEndian.PutUint64(id[8:], 1<<63|uint64(i))
	return id.String()
}

func measureIdempotencyStore(_ context.Context, _ Environment, claims int) ([]float64, error) {
	now := time.Unix(5_000, 0)
	requests := make([]idempotency.ClaimRequest, claims)
	for i := range requests {
		requests[i] = idempotency.ClaimRequest{
			Team: teamName(i % 351), Key: idempotencyKey(now, i), Fingerprint: []byte("fingerprint of the request"),
			RequestID: fmt.Sprintf("request-%08d", i), Deadline: now.Add(5 * time.Second), Coverage: idempotency.Coverage{Complete: true},
		}
	}
	var err error
	fillStore := func() *idempotency.Store {
		s := idempotency.NewStore(now, idempotency.DefaultLimits())
		for i := range requests {
			r := &requests[i]
			r.Partition = placement.Partition(placement.IdempotencyKey, r.Team+"/"+r.Key)
			if a := s.Claim(now, now, *r); a.Outcome != idempotency.Granted {
				err = errors.Newf("claim %d: %s", i, a.Outcome)
			}
			s.Finish(r.Team, r.Key, r.RequestID, true, nil)
		}
		return s
	}
	heap := retainedHeap(fillStore)
	spent := cpuTimePerCall(func() { fillStore() })
	return []float64{spent, heap}, err
}

func measureClaimMessages(_ context.Context, _ Environment, storedBytes int) ([]float64, error) {
	key, team := idempotencyKey(time.Unix(5_000, 0), 1), teamName(1)
	id := incarnation(1)
	messages := []*wire.Envelope{
		callEnvelope(&wire.Call{Body: &wire.Call_Claim{Claim: &wire.Claim{
			Team: team, Key: key, Fingerprint: make([]byte, 32), RequestId: id, TimeoutUs: 5_000_000,
		}}}),
		responseEnvelope(&wire.Answer{Body: &wire.Answer_Claim{Claim: &wire.ClaimAnswer{Outcome: uint32(idempotency.Granted)}}}),
		callEnvelope(&wire.Call{Body: &wire.Call_ClaimDone{ClaimDone: &wire.ClaimDone{
			Team: team, Key: key, RequestId: id, Verdict: wire.Verdict_VERDICT_COMPLETED, Stored: make([]byte, storedBytes),
		}}}),
		responseEnvelope(&wire.Answer{Body: &wire.Answer_ClaimDone{ClaimDone: &wire.ClaimDoneAnswer{}}}),
	}
	size := 0
	var err error
	spent := cpuTimePerCall(func() {
		size = 0
		for _, m := range messages {
			_, n, roundTripErr := roundTrip(m)
			if roundTripErr != nil {
				err = roundTripErr
			}
			size += n
		}
	})
	return []float64{float64(size), spent}, err
}
