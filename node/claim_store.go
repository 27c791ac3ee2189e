package node

import (
	"context"
	"sync"
	"time"

	"trefoildock.example/idempotency"
	"trefoildock.example/placement"
	"trefoildock.example/verdict"
	"trefoildock.example/wire"
)

// claimStore handles the idempotency claims of the keys whose coordinator is
// this node.
type claimStore struct {
	coordinators *coordinators

	mu    sync.Mutex
	store *idempotency.Store
	// exported is set once the claims have been exported to other coordinators.
	exported bool
}

func newClaimStore(c *coordinators) *claimStore {
	return &claimStore{coordinators: c, store: idempotency.NewStore(time.Now(), idempotency.DefaultLimits())}
}

// handleClaim decides a claim. It reads the clock while holding the locks,
// after the message has arrived, as package idempotency requires.
func (c *claimStore) handleClaim(m *wire.Claim) *wire.Answer {
	name := claimKey(m.GetTeam(), m.GetKey())
	partition := placement.Partition(kindClaim, name)
	c.coordinators.mu.RLock()
	defer c.coordinators.mu.RUnlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.coordinators.active(kindClaim, name, now) {
		return claimResultToWire(idempotency.ClaimResult{Outcome: idempotency.NotCoordinator, Detail: "this node is not the home of the key"})
	}
	coverage, ok := c.coordinators.table.Coverage(partition, c.coordinators.node.settings.Node.Name)
	if !ok {
		return claimResultToWire(idempotency.ClaimResult{Outcome: idempotency.NotCoordinator, Detail: "the home of the key does not serve yet"})
	}
	return claimResultToWire(c.store.Claim(now, now, idempotency.ClaimRequest{
		Team: m.GetTeam(), Key: m.GetKey(), Fingerprint: m.GetFingerprint(), RequestID: m.GetRequestId(),
		Deadline:  now.Add(time.Duration(m.GetTimeoutUs()) * time.Microsecond),
		Partition: partition, Coverage: idempotency.Coverage{Complete: coverage.Complete, Since: coverage.Since},
	}))
}

func claimResultToWire(r idempotency.ClaimResult) *wire.Answer {
	v := verdict.MayHaveRun
	if r.Outcome == idempotency.Completed {
		v = verdict.Completed
	}
	return &wire.Answer{Body: &wire.Answer_Claim{Claim: &wire.ClaimAnswer{
		Outcome: uint32(r.Outcome), Stored: r.Response, Verdict: wire.VerdictToProto(v), Detail: r.Detail,
	}}}
}

// handleClaimDone records the result of a claimed request. The result of an
// unknown claim is ignored.
func (c *claimStore) handleClaimDone(m *wire.ClaimDone) *wire.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exported {
		return &wire.Answer{Error: "the claims were handed over to the next home"}
	}
	v := wire.VerdictFromProto(m.GetVerdict())
	if v == verdict.NotRun {
		c.store.Release(m.GetTeam(), m.GetKey(), m.GetRequestId())
	} else {
		c.store.Finish(m.GetTeam(), m.GetKey(), m.GetRequestId(), v == verdict.Completed, m.GetStored())
	}
	return &wire.Answer{Body: &wire.Answer_ClaimDone{ClaimDone: &wire.ClaimDoneAnswer{}}}
}

// export returns all claims, together with the record history of the partitions
// that this node serves. Afterwards the store grants no claims and rejects
// results, because other coordinators take over.
func (c *claimStore) export() ([]*wire.HeldClaim, []*wire.HeldMemory) {
	coords := c.coordinators
	coords.mu.RLock()
	defer coords.mu.RUnlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.exported = true
	held := c.store.Export(now)
	if coords.table == nil || !coords.node.fresh(now) {
		return nil, nil
	}
	claims := make([]*wire.HeldClaim, len(held))
	for i := range held {
		claims[i] = claimToWire(&held[i])
	}
	self := coords.node.settings.Node.Name
	var coverages []*wire.HeldMemory
	for _, p := range coords.ownPartitions {
		coverage, ok := coords.table.Coverage(int(p), self)
		if ok && coords.table.Active(int(p), self, now) {
			coverages = append(coverages, &wire.HeldMemory{Partition: p, Complete: coverage.Complete, AgeUs: coverageAge(coverage, now)})
		}
	}
	return claims, coverages
}

func coverageAge(c placement.Coverage, now time.Time) int64 {
	if c.Complete {
		return 0
	}
	return now.Sub(c.Since).Microseconds()
}

// handOver sends the exported claims to the nodes that became coordinators when
// this node left, in one message for each of them.
func (c *claimStore) handOver(ctx context.Context, version uint64, claims []*wire.HeldClaim, coverages []*wire.HeldMemory) {
	calls := make(map[string]*wire.ClaimHandover)
	get := func(partition uint32) *wire.ClaimHandover {
		name := c.coordinators.coordinatorOfPartition(int(partition))
		if calls[name] == nil {
			calls[name] = &wire.ClaimHandover{MembersVersion: version}
		}
		return calls[name]
	}
	for _, m := range coverages {
		h := get(m.GetPartition())
		h.Memories = append(h.Memories, m)
	}
	for _, held := range claims {
		h := get(held.GetPartition())
		h.Claims = append(h.Claims, held)
	}
	delete(calls, "")
	var wg sync.WaitGroup
	for name, handover := range calls {
		wg.Go(func() { c.sendHandover(ctx, name, handover) })
	}
	wg.Wait()
}

// sendHandover retries the call until the receiver has applied the leave of
// this node.
func (c *claimStore) sendHandover(ctx context.Context, name string, handover *wire.ClaimHandover) {
	dropLargeResponses(handover)
	for {
		callCtx, cancel := context.WithTimeout(ctx, controlTimeout)
		_, err := c.coordinators.call(callCtx, name, &wire.Call{Body: &wire.Call_ClaimHandover{ClaimHandover: handover}})
		cancel()
		if err == nil || !sleep(ctx, controlInterval/5) {
			return
		}
	}
}

// dropLargeResponses keeps the message below the size limit. Only the verdicts
// are required; stored responses are optional.
func dropLargeResponses(h *wire.ClaimHandover) {
	size := 0
	for _, held := range h.GetClaims() {
		size += len(held.GetResponse())
		if size > wire.MaxMessageBytes/2 {
			held.Response = nil
		}
	}
}

// handleHandover imports the claims of a coordinator that is shutting down.
func (c *claimStore) handleHandover(m *wire.ClaimHandover) *wire.Answer {
	coords := c.coordinators
	coords.mu.Lock()
	defer coords.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if coords.table == nil || coords.table.Version() < m.GetMembersVersion() {
		return &wire.Answer{Error: "the member change is not known here yet"}
	}
	now := time.Now()
	records := make([]idempotency.ExportedRecord, len(m.GetClaims()))
	for i, w := range m.GetClaims() {
		records[i] = claimFromWire(w)
	}
	if err := c.store.Import(now, records, 0); err != nil {
		return &wire.Answer{Body: &wire.Answer_ClaimDone{ClaimDone: &wire.ClaimDoneAnswer{}}} // Without the history, the outcome of older keys remains unknown.
	}
	for _, w := range m.GetMemories() {
		if w.GetPartition() >= placement.Partitions {
			continue
		}
		coverage := placement.Coverage{Complete: w.GetComplete(), Since: now.Add(-time.Duration(w.GetAgeUs()) * time.Microsecond)}
		coords.table.ApplyHandover(int(w.GetPartition()), m.GetMembersVersion(), coverage, now)
	}
	return &wire.Answer{Body: &wire.Answer_ClaimDone{ClaimDone: &wire.ClaimDoneAnswer{}}}
}

func claimToWire(r *idempotency.ExportedRecord) *wire.HeldClaim {
	return &wire.HeldClaim{
		Partition: uint32(r.Partition), Digest: r.Digest[:], Fingerprint: r.Fingerprint, Request: r.RequestHash,
		AgeUs: r.Age.Microseconds(), PatienceUs: r.ResultTimeout.Microseconds(),
		Finished: r.Finished, Completed: r.Completed, Response: r.Response,
	}
}

func claimFromWire(w *wire.HeldClaim) idempotency.ExportedRecord {
	r := idempotency.ExportedRecord{
		Partition: int(w.GetPartition()), Fingerprint: w.GetFingerprint(), RequestHash: w.GetRequest(),
		Age: time.Duration(w.GetAgeUs()) * time.Microsecond, ResultTimeout: time.Duration(w.GetPatienceUs()) * time.Microsecond,
		Finished: w.GetFinished(), Completed: w.GetCompleted(), Response: w.GetResponse(),
	}
	copy(r.Digest[:], w.GetDigest())
	return r
}
