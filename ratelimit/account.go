package ratelimit

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// settleBand is the distance in ppm of the target within which a share stays as
// it is, because every change drops tokens.
const settleBand = 100_000

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
	if !ok || s.Share > Whole || s.Wanted > Whole {
		return NewShare{}, false
	}
	a := l.account(s.Team, at, limit)
	if a == nil || r.Term < a.recovery.term {
		return NewShare{}, false
	}
	a.refill(at, limit)
	l.set(a, at, r.Holder, claim{share: s.Share, wanted: s.Wanted})
	share := a.decide(limit, s)
	// A grant counts from the moment it is answered, a recall from the report
	// that confirms it.
	l.set(a, at, r.Holder, claim{share: max(s.Share, share), wanted: s.Wanted})
	if s.Share == 0 && s.Wanted == 0 && share == 0 {
		delete(m.teams, s.Team)
	} else {
		m.teams[s.Team] = struct{}{}
	}
	return NewShare{Team: s.Team, Sequence: s.Sequence, Share: share}, true
}

// decide returns the new share of a holder. Wanted shares are met in full while
// they fit into what the home may grant, and in proportion otherwise.
func (a *account) decide(limit Limit, s ShareState) uint32 {
	if !a.recovery.done {
		return s.Share
	}
	grantable := uint64(Whole - limit.Reserve())
	target := uint64(s.Wanted)
	contended := a.wanted > grantable
	if contended {
		target = target * grantable / a.wanted
	}
	if target < uint64(limit.MinShare()) {
		target = 0
	}
	band := target * settleBand / Whole
	switch share := uint64(s.Share); {
	case s.Wanted == 0 || target == 0:
		return 0
	case contended && share > target+band:
		return uint32(target)
	case share+band < target && a.outstanding < grantable:
		granted := share + min(target-share, grantable-a.outstanding)
		if granted >= uint64(limit.MinShare()) {
			return uint32(granted)
		}
	}
	return s.Share
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
