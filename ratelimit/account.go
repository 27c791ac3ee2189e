package ratelimit

import (
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// shareTolerance is the relative deviation from the target share, in ppm of the
// target, below which a share is left unchanged. Every change discards tokens.
const shareTolerance = 50_000

// takeHeadroom is the ratio of the reserve for token requests to their measured
// rate. Entry nodes without a share have no local tokens for bursts.
const takeHeadroom = 2.0

// takeRateWindow is the time constant of the moving average of the token request
// rate.
const takeRateWindow = 5 * time.Second

// newAccount returns the account of a team without any reported share. If the
// recovery is complete, no holder has a share of the team, and its bucket has
// accumulated tokens since the completion. Otherwise the bucket is empty.
func newAccount(r *recovery, at time.Duration, limit Limit) *account {
	a := &account{recovery: r, bucket: bucket{refilledAt: at}, limit: limit, allocations: make(map[string]allocation)}
	if r.done {
		a.bucket.refilledAt, a.refillShare = r.doneAt, FullShare
	}
	return a
}

// unallocated returns the part of the limit, in ppm, that is not allocated to a
// holder. It is 0 until the recovery is complete.
func (a *account) unallocated() uint32 {
	if !a.recovery.done || a.allocated >= FullShare {
		return 0
	}
	return uint32(FullShare - a.allocated)
}

// refill adds the tokens for the time since the last call, at the limit and the
// unallocated fraction in effect during that time, and then applies the current
// limit and fraction.
func (a *account) refill(at time.Duration, limit Limit) {
	a.bucket.refill(at, a.limit, a.refillShare)
	a.limit, a.refillShare = limit, a.unallocated()
	a.bucket.clamp(a.limit, a.refillShare)
}

// setAllocation replaces the allocation of a holder.
func (l *Ledger) setAllocation(a *account, at time.Duration, name string, next allocation) {
	old := a.allocations[name]
	a.allocated += uint64(next.share) - uint64(old.share)
	a.wanted += uint64(next.wanted) - uint64(old.wanted)
	if next == (allocation{}) {
		delete(a.allocations, name)
		if a.standbyHolder == name {
			a.standbyHolder = ""
		}
	} else {
		a.allocations[name] = next
	}
	if a.allocated > FullShare {
		l.violations++
	}
	a.refill(at, a.limit)
}

// Report processes the report of a holder and returns the new share of each team.
// If it returns ErrNotMember or ErrStaleReport, the ledger is unchanged.
func (l *Ledger) Report(now time.Time, r Report, limits Limits) (ReportResponse, error) {
	at := l.clock.advance(now)
	m, err := l.acceptReport(at, r)
	if err != nil {
		return ReportResponse{}, err
	}
	response := ReportResponse{Incarnation: r.Incarnation, Shares: make([]NewShare, 0, len(r.Shares))}
	for _, s := range r.Shares {
		if n, ok := l.processShare(at, m, r, s, limits); ok {
			response.Shares = append(response.Shares, n)
		}
	}
	l.markReported(at, r)
	return response, nil
}

// acceptReport validates the incarnation and the sequence number of r, records
// them and returns the member that sent it.
func (l *Ledger) acceptReport(at time.Duration, r Report) (*member, error) {
	m := l.members[r.Holder]
	if m == nil {
		return nil, errors.WithStack(ErrNotMember)
	}
	if r.Incarnation < m.incarnation {
		return nil, errors.WithStack(ErrStaleReport)
	}
	if r.Incarnation > m.incarnation {
		l.releaseShares(at, r.Holder, m)
		m.incarnation, m.sequence = r.Incarnation, 0
	}
	if len(r.Shares) > 0 {
		if r.Shares[0].Sequence <= m.sequence {
			return nil, errors.WithStack(ErrStaleReport)
		}
		m.sequence = r.Shares[0].Sequence
	}
	return m, nil
}

// processShare records the reported share of one team and returns the new share.
func (l *Ledger) processShare(at time.Duration, m *member, r Report, s ShareState, limits Limits) (NewShare, bool) {
	limit, ok := limits(s.Team)
	if !ok || s.Share > FullShare || s.Wanted > FullShare || s.Standby > s.Share {
		return NewShare{}, false
	}
	a := l.account(s.Team, at, limit)
	if a == nil || r.Term < a.recovery.term {
		return NewShare{}, false
	}
	a.refill(at, limit)
	l.setAllocation(a, at, r.Holder, allocation{share: s.Share, wanted: s.Wanted, standby: s.Standby})
	a.updateStandby(r.Holder, s.IsStandby)
	n := a.assign(limit, r.Holder, s)
	// An increase counts as allocated as soon as the response is created. A
	// reduction takes effect with the report that confirms it.
	l.setAllocation(a, at, r.Holder, allocation{share: max(s.Share, n.Share), wanted: s.Wanted, standby: n.Standby})
	if s.Share == 0 && s.Wanted == 0 && n.Share == 0 {
		delete(m.teams, s.Team)
	} else {
		m.teams[s.Team] = struct{}{}
	}
	return n, true
}

// updateStandby records a holder as the standby coordinator while its reports
// set IsStandby. If the reports of two holders set it, the first one stays the
// standby coordinator, so that holders with different membership versions do
// not both get a standby share.
func (a *account) updateStandby(name string, isStandby bool) {
	switch {
	case isStandby && a.standbyHolder == "":
		a.standbyHolder = name
	case !isStandby && a.standbyHolder == name:
		a.standbyHolder = ""
	}
}

// recordTake updates the estimated rate of token requests.
func (a *account) recordTake(at time.Duration, tokens uint32) {
	a.takeRate *= math.Exp(-(at - a.takeRateAt).Seconds() / takeRateWindow.Seconds())
	a.takeRate += float64(tokens) / takeRateWindow.Seconds()
	a.takeRateAt = at
}

// reserve returns the fraction, in ppm, that the coordinator and its standby
// retain. It is the reserve of the limit, and larger if entry nodes without a
// share request tokens at a high rate.
func (a *account) reserve(limit Limit) uint64 {
	ppm := 0.0
	if limit.Rate > 0 {
		ppm = min(takeHeadroom*a.takeRate/limit.perSecond()*FullShare, maxTakeReserve)
	}
	return max(uint64(limit.Reserve()), uint64(ppm))
}

// assign returns the new share of a holder. Requested shares are granted in
// full if their sum does not exceed the grantable fraction, and proportionally
// otherwise. The standby coordinator additionally gets a part of the remainder.
func (a *account) assign(limit Limit, name string, s ShareState) NewShare {
	n := NewShare{Team: s.Team, Sequence: s.Sequence, Share: s.Share, Standby: s.Standby}
	if !a.recovery.done {
		return n
	}
	grantable := FullShare - a.reserve(limit)
	standby := uint64(0)
	if name == a.standbyHolder {
		used := max(min(a.wanted, grantable), min(a.granted(), FullShare))
		standby = (FullShare - used) * standbyFraction / FullShare
	}
	if standby < uint64(limit.MinShare()) {
		standby = 0
	}
	if withinTolerance(uint64(n.Standby), standby) {
		standby = uint64(n.Standby)
	}
	regular := uint64(s.Share) - min(uint64(s.Share), uint64(n.Standby))
	regular = a.regularShare(limit, regular, uint64(s.Wanted), grantable)
	share := regular + standby
	if share > uint64(s.Share) {
		share = min(share, uint64(s.Share)+uint64(a.unallocated()))
	}
	if share < uint64(limit.MinShare()) {
		share = 0
	}
	n.Share, n.Standby = uint32(share), uint32(min(share, standby))
	return n
}

// regularShare returns the new share of a holder without its standby share.
func (a *account) regularShare(limit Limit, share, wanted, grantable uint64) uint64 {
	target := wanted
	contended := a.wanted > grantable
	if contended {
		target = target * grantable / a.wanted
	}
	if target < uint64(limit.MinShare()) {
		return 0
	}
	granted := a.granted()
	switch {
	case withinTolerance(share, target):
		return share
	case share > target && (contended || granted > grantable):
		return target
	case share < target && granted < grantable:
		return min(target, share+grantable-granted)
	}
	return share
}

// granted returns the sum of the shares without the standby share.
func (a *account) granted() uint64 {
	return a.allocated - min(a.allocated, uint64(a.allocations[a.standbyHolder].standby))
}

// withinTolerance reports whether a share is close enough to its target to be
// left unchanged.
func withinTolerance(share, target uint64) bool {
	return max(share, target)-min(share, target) <= target*shareTolerance/FullShare
}

// markReported removes the holder from the recoveries that wait for its report.
func (l *Ledger) markReported(at time.Duration, r Report) {
	if r.Term != l.term {
		return
	}
	for _, rec := range l.recoveries {
		if r.Term >= rec.term {
			delete(rec.unreported, r.Holder)
		}
	}
	l.completeRecoveries(at)
}

// Holders returns the sorted names of the nodes that hold a share of a team.
func (l *Ledger) Holders(team string) []string {
	p := l.partitions[l.partitionOf(team)]
	if p == nil || p.teams[team] == nil {
		return nil
	}
	var names []string
	for name, c := range p.teams[team].allocations {
		if c.share > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
