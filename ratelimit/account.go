package ratelimit

import (
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// settleBand is the distance in ppm of the target within which a share stays as
// it is, because every change drops tokens.
const settleBand = 50_000

// takeHeadroom is the factor between the tokens taken singly and the part kept
// for them. Entries without a share have no tokens of their own for bursts.
const takeHeadroom = 2.0

// takesWindow is the time constant of the estimate of tokens taken singly.
const takesWindow = 5 * time.Second

// newAccount returns the account of a team that this home has not seen. With
// the recovery done nobody has a share of it, and its bucket has been earning
// tokens since. Otherwise it is empty.
func newAccount(r *recovery, at time.Duration, limit Limit) *account {
	a := &account{recovery: r, bucket: bucket{at: at}, limit: limit, shares: make(map[string]claim)}
	if r.done {
		a.bucket.at, a.free = r.doneAt, Whole
	}
	return a
}

// unclaimed returns the fraction in ppm that no holder has.
func (a *account) unclaimed() uint32 {
	if !a.recovery.done || a.outstanding >= Whole {
		return 0
	}
	return uint32(Whole - a.outstanding)
}

// refill earns the tokens since the last call, at the limit and the free
// fraction of that time, and puts the current ones into force.
func (a *account) refill(at time.Duration, limit Limit) {
	a.bucket.refill(at, a.limit, a.free)
	a.limit, a.free = limit, a.unclaimed()
	a.bucket.clamp(a.limit, a.free)
}

// set replaces the claim of a holder.
func (l *Ledger) set(a *account, at time.Duration, name string, c claim) {
	old := a.shares[name]
	a.outstanding += uint64(c.share) - uint64(old.share)
	a.wanted += uint64(c.wanted) - uint64(old.wanted)
	if c == (claim{}) {
		delete(a.shares, name)
		if a.deputy == name {
			a.deputy = ""
		}
	} else {
		a.shares[name] = c
	}
	if a.outstanding > Whole {
		l.violations++
	}
	a.refill(at, a.limit)
}

// Report takes the report of a holder into account and answers it with the new
// share of each team. It returns ErrNotMember or ErrStaleReport, and then
// changes nothing.
func (l *Ledger) Report(now time.Time, r Report, limits Limits) (Answer, error) {
	at := l.clock.advance(now)
	m, err := l.reporter(at, r)
	if err != nil {
		return Answer{}, err
	}
	answer := Answer{Incarnation: r.Incarnation, Shares: make([]NewShare, 0, len(r.Shares))}
	for _, s := range r.Shares {
		if n, ok := l.settle(at, m, r, s, limits); ok {
			answer.Shares = append(answer.Shares, n)
		}
	}
	l.reported(at, r)
	return answer, nil
}

// reporter returns the member that sent r and notes the report's sequence.
func (l *Ledger) reporter(at time.Duration, r Report) (*member, error) {
	m := l.members[r.Holder]
	if m == nil {
		return nil, errors.WithStack(ErrNotMember)
	}
	if r.Incarnation < m.incarnation {
		return nil, errors.WithStack(ErrStaleReport)
	}
	if r.Incarnation > m.incarnation {
		l.returnShares(at, r.Holder, m)
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

// settle records one share and decides the new one.
func (l *Ledger) settle(at time.Duration, m *member, r Report, s ShareState, limits Limits) (NewShare, bool) {
	limit, ok := limits(s.Team)
	if !ok || s.Share > Whole || s.Wanted > Whole || s.Standby > s.Share {
		return NewShare{}, false
	}
	a := l.account(s.Team, at, limit)
	if a == nil || r.Term < a.recovery.term {
		return NewShare{}, false
	}
	a.refill(at, limit)
	l.set(a, at, r.Holder, claim{share: s.Share, wanted: s.Wanted, standby: s.Standby})
	a.appoint(r.Holder, s.Deputy)
	n := a.decide(limit, r.Holder, s)
	// A grant counts from the moment it is answered, a recall from the report
	// that confirms it.
	l.set(a, at, r.Holder, claim{share: max(s.Share, n.Share), wanted: s.Wanted, standby: n.Standby})
	if s.Share == 0 && s.Wanted == 0 && n.Share == 0 {
		delete(m.teams, s.Team)
	} else {
		m.teams[s.Team] = struct{}{}
	}
	return n, true
}

// appoint makes a holder the deputy while it claims to be. The first of two
// keeps the office, so that holders with different membership versions do not
// both get a standby share.
func (a *account) appoint(name string, deputy bool) {
	switch {
	case deputy && a.deputy == "":
		a.deputy = name
	case !deputy && a.deputy == name:
		a.deputy = ""
	}
}

// countTakes updates the estimate of tokens taken singly.
func (a *account) countTakes(at time.Duration, n uint32) {
	a.takes *= math.Exp(-(at - a.takesAt).Seconds() / takesWindow.Seconds())
	a.takes += float64(n) / takesWindow.Seconds()
	a.takesAt = at
}

// reserve returns what the home and its deputy keep, in ppm: the limit's
// reserve, and more if entries without a share take many tokens.
func (a *account) reserve(limit Limit) uint64 {
	takes := 0.0
	if limit.Rate > 0 {
		takes = min(takeHeadroom*a.takes/float64(limit.Rate)*Whole, maxTakeReserve)
	}
	return max(uint64(limit.Reserve()), uint64(takes))
}

// decide returns the new share of a holder. Wanted shares are met in full while
// they fit into what the home may grant, and in proportion otherwise. The deputy
// gets a part of what remains on top.
func (a *account) decide(limit Limit, name string, s ShareState) NewShare {
	n := NewShare{Team: s.Team, Sequence: s.Sequence, Share: s.Share, Standby: s.Standby}
	if !a.recovery.done {
		return n
	}
	grantable := Whole - a.reserve(limit)
	standby := uint64(0)
	if name == a.deputy {
		shared := max(min(a.wanted, grantable), min(a.granted(), Whole))
		standby = (Whole - shared) * standbyPart / Whole
	}
	if standby < uint64(limit.MinShare()) {
		standby = 0
	}
	if near(uint64(n.Standby), standby) {
		standby = uint64(n.Standby)
	}
	own := uint64(s.Share) - min(uint64(s.Share), uint64(n.Standby))
	own = a.ownShare(limit, own, uint64(s.Wanted), grantable)
	share := own + standby
	if share > uint64(s.Share) {
		share = min(share, uint64(s.Share)+uint64(a.unclaimed()))
	}
	if share < uint64(limit.MinShare()) {
		share = 0
	}
	n.Share, n.Standby = uint32(share), uint32(min(share, standby))
	return n
}

// ownShare returns the new share of a holder without its standby part.
func (a *account) ownShare(limit Limit, share, wanted, grantable uint64) uint64 {
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
	case near(share, target):
		return share
	case share > target && (contended || granted > grantable):
		return target
	case share < target && granted < grantable:
		return min(target, share+grantable-granted)
	}
	return share
}

// granted returns the sum of the shares without the deputy's standby.
func (a *account) granted() uint64 {
	return a.outstanding - min(a.outstanding, uint64(a.shares[a.deputy].standby))
}

// near says whether a share may stay as it is although the target differs.
func near(share, target uint64) bool {
	return max(share, target)-min(share, target) <= target*settleBand/Whole
}

// reported marks the holder in the recoveries that wait for it.
func (l *Ledger) reported(at time.Duration, r Report) {
	if r.Term != l.term {
		return
	}
	for _, rec := range l.recoveries {
		if r.Term >= rec.term {
			delete(rec.outstanding, r.Holder)
		}
	}
	l.completeRecoveries(at)
}

// Holders returns the names of the holders of a team in order.
func (l *Ledger) Holders(team string) []string {
	p := l.partitions[l.partitionOf(team)]
	if p == nil || p.teams[team] == nil {
		return nil
	}
	var names []string
	for name, c := range p.teams[team].shares {
		if c.share > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
