package ratelimit

import (
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrNotMember is returned if the reporting node is not a member of the fleet.
	ErrNotMember = errors.New("ratelimit: holder is not a member")
	// ErrStaleReport is returned if a later report or incarnation was already
	// processed.
	ErrStaleReport = errors.New("ratelimit: report is older than one already seen")
)

// Ledger accounts for the shares of the teams in the partitions of one
// coordinator. It is not safe for concurrent use. Take and Report may only be
// called while the caller's membership is within its staleness bound.
type Ledger struct {
	partitionOf func(team string) uint32
	clock       clock
	term        uint64
	partitions  map[uint32]*partition
	members     map[string]*member
	recoveries  []*recovery
	violations  uint64
}

// partition holds the accounts of the teams of one placement partition.
type partition struct {
	recovery *recovery
	teams    map[string]*account
}

// recovery is the state of the takeover of a set of partitions.
type recovery struct {
	// term is the membership version that made this node the coordinator.
	term uint64
	// serving is set when the previous coordinator is guaranteed to have stopped.
	serving bool
	// unreported holds the members that have not yet reported their shares.
	unreported map[string]struct{}
	// done is set when the recovery is complete and the unallocated fractions may be
	// used.
	done bool
	// doneAt is the credited time from which the unallocated fractions accumulate
	// tokens.
	doneAt time.Duration
}

// member is a node that may hold shares.
type member struct {
	incarnation string
	// sequence is the number of the last report accepted from this incarnation.
	sequence uint64
	teams    map[string]struct{}
}

// account holds the shares of the limit of one team.
type account struct {
	recovery *recovery
	bucket   bucket
	// limit and refillShare are the limit and the unallocated fraction in ppm
	// since the last refill. The next refill uses them.
	limit       Limit
	refillShare uint32
	allocations map[string]allocation
	// allocated is the sum of the shares in ppm.
	allocated uint64
	// wanted is the sum of the requested shares in ppm.
	wanted uint64
	// standbyHolder is the node that holds the standby share; empty if there is
	// none.
	standbyHolder string
	// takeRate is the estimated rate of token requests, in tokens per second.
	// takeRateAt is the credited time of its last update.
	takeRate   float64
	takeRateAt time.Duration
}

// allocation is the upper bound of the share of a holder, and its requested
// share, in ppm.
type allocation struct {
	share  uint32
	wanted uint32
	// standby is the part of share that is kept for other entry nodes.
	standby uint32
}

// NewLedger returns a ledger without partitions. partitionOf maps a team to its
// partition.
func NewLedger(partitionOf func(team string) uint32) *Ledger {
	return &Ledger{
		partitionOf: partitionOf,
		partitions:  make(map[uint32]*partition),
		members:     make(map[string]*member),
	}
}

// SetTerm sets the membership version that this node applies. Only reports sent
// under the same version complete a recovery: a holder with another version may
// have omitted a team because that version assigns the team to another
// coordinator.
func (l *Ledger) SetTerm(term uint64) { l.term = max(l.term, term) }

// Acquire starts the recovery of partitions that membership version term
// assigns to this node. Reports are accepted immediately. Tokens and shares are
// granted after Serve was called and every current member has reported.
func (l *Ledger) Acquire(term uint64, partitions []uint32) {
	r := &recovery{term: term, unreported: make(map[string]struct{}, len(l.members))}
	for name := range l.members {
		r.unreported[name] = struct{}{}
	}
	l.recoveries = append(l.recoveries, r)
	for _, p := range partitions {
		l.partitions[p] = &partition{recovery: r, teams: make(map[string]*account)}
	}
}

// Serve ends the waiting time of the partitions acquired at term or before. It
// must be called 4 s after a quorum acknowledged that version, when the
// previous coordinator is guaranteed to have stopped.
func (l *Ledger) Serve(now time.Time, term uint64) {
	at := l.clock.advance(now)
	for _, r := range l.recoveries {
		r.serving = r.serving || r.term <= term
	}
	l.completeRecoveries(at)
}

// Release removes partitions that moved to another coordinator.
func (l *Ledger) Release(partitions []uint32) {
	for _, p := range partitions {
		released := l.partitions[p]
		if released == nil {
			continue
		}
		for team, a := range released.teams {
			for name := range a.allocations {
				delete(l.members[name].teams, team)
			}
		}
		delete(l.partitions, p)
	}
}

// MemberJoined adds or updates a member. The shares of an earlier incarnation
// are released, because that process has ended or discarded its shares before
// it rejoined.
func (l *Ledger) MemberJoined(now time.Time, name, incarnation string) {
	at := l.clock.advance(now)
	m := l.members[name]
	if m == nil {
		l.members[name] = &member{incarnation: incarnation, teams: make(map[string]struct{})}
		return
	}
	if incarnation > m.incarnation {
		l.releaseShares(at, name, m)
		m.incarnation, m.sequence = incarnation, 0
	}
}

// RemoveHolder releases the shares of a removed member. It must be called 4 s
// after a quorum acknowledged the removal, when the membership of the holder
// exceeds its staleness bound. It has no effect if the node has rejoined with
// another incarnation.
func (l *Ledger) RemoveHolder(now time.Time, name, incarnation string) {
	at := l.clock.advance(now)
	m := l.members[name]
	if m == nil || m.incarnation != incarnation {
		return
	}
	l.releaseShares(at, name, m)
	delete(l.members, name)
	for _, r := range l.recoveries {
		delete(r.unreported, name)
	}
	l.completeRecoveries(at)
}

// Tick advances the credited time. It must be called every TickInterval.
func (l *Ledger) Tick(now time.Time) { l.clock.advance(now) }

// Take consumes n tokens of the unallocated fraction. If fewer are available,
// it consumes none and returns the expected time until they are available, at
// most MaxWait. isCoordinator is false if this node is not the coordinator of
// the team.
func (l *Ledger) Take(now time.Time, team string, n uint32, limit Limit) (granted bool, retryAfter time.Duration, isCoordinator bool) {
	at := l.clock.advance(now)
	a := l.account(team, at, limit)
	if a == nil {
		return false, 0, false
	}
	a.refill(at, limit)
	if a.bucket.take(n) {
		a.recordTake(at, n)
		return true, 0, true
	}
	return false, min(a.bucket.waitTime(limit, a.refillShare, n), MaxWait), true
}

// Violations returns the number of updates after which the shares of a team
// summed to more than FullShare. A value above 0 indicates a bug or a forged
// message.
func (l *Ledger) Violations() uint64 { return l.violations }

// Recovered reports whether this node is the coordinator of a team and has
// received all shares. Until then the Holder of this node serves token requests
// instead of the ledger, if the node was the standby coordinator.
func (l *Ledger) Recovered(team string) bool {
	p := l.partitions[l.partitionOf(team)]
	return p != nil && p.recovery.done
}

// Recovering reports whether any partition waits for Serve or for reports.
func (l *Ledger) Recovering() bool { return len(l.recoveries) > 0 }

// Unallocated returns the unallocated fraction of a team in ppm.
func (l *Ledger) Unallocated(team string) uint32 {
	p := l.partitions[l.partitionOf(team)]
	if p == nil || !p.recovery.done {
		return 0
	}
	if a := p.teams[team]; a != nil {
		return a.unallocated()
	}
	return FullShare
}

// account returns the account of a team, or nil if this node is not its
// coordinator.
func (l *Ledger) account(team string, at time.Duration, limit Limit) *account {
	p := l.partitions[l.partitionOf(team)]
	if p == nil {
		return nil
	}
	a := p.teams[team]
	if a == nil {
		a = newAccount(p.recovery, at, limit)
		p.teams[team] = a
	}
	return a
}

// releaseShares releases all shares of a member.
func (l *Ledger) releaseShares(at time.Duration, name string, m *member) {
	for team := range m.teams {
		if p := l.partitions[l.partitionOf(team)]; p != nil && p.teams[team] != nil {
			l.setAllocation(p.teams[team], at, name, allocation{})
		}
	}
	clear(m.teams)
}

// completeRecoveries completes the recoveries for which Serve was called and all
// members have reported.
func (l *Ledger) completeRecoveries(at time.Duration) {
	pending := l.recoveries[:0]
	for _, r := range l.recoveries {
		if r.serving && len(r.unreported) == 0 {
			r.done, r.doneAt = true, at
		} else {
			pending = append(pending, r)
		}
	}
	clear(l.recoveries[len(pending):])
	l.recoveries = pending
}
