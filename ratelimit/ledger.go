package ratelimit

import (
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrNotMember means that the reporting node is not a member of the fleet.
	ErrNotMember = errors.New("ratelimit: holder is not a member")
	// ErrStaleReport means that a later report or incarnation was seen before.
	ErrStaleReport = errors.New("ratelimit: report is older than one already seen")
)

// Ledger accounts for the shares of the teams in the partitions of one home.
// The caller holds its lock, and calls Take and Report only while fresh.
type Ledger struct {
	partitionOf func(team string) uint32
	clock       clock
	term        uint64
	partitions  map[uint32]*partition
	members     map[string]*member
	recoveries  []*recovery
	violations  uint64
}

// partition is one unit of placement.
type partition struct {
	recovery *recovery
	teams    map[string]*account
}

// recovery is the take-over of a set of partitions.
type recovery struct {
	// term is the membership version that made this node the home.
	term uint64
	// serving is set when the earlier home has stopped for certain.
	serving bool
	// outstanding are the members whose shares are not known yet.
	outstanding map[string]struct{}
	// done is set when the free fractions are known and may be used.
	done bool
	// doneAt is the credited time since which the free fractions earn tokens.
	doneAt time.Duration
}

// member is a node that may hold shares.
type member struct {
	incarnation string
	// sequence of the last report accepted from this incarnation.
	sequence uint64
	teams    map[string]struct{}
}

// account is the division of one team's promise.
type account struct {
	recovery *recovery
	bucket   bucket
	// limit and free fraction in ppm since the last call. They apply to the
	// refill of the time that has passed since.
	limit  Limit
	free   uint32
	shares map[string]claim
	// outstanding is the sum of the shares in ppm.
	outstanding uint64
	// wanted is the sum of the wanted shares in ppm.
	wanted uint64
	// deputy is the holder of the standby share; empty if there is none.
	deputy string
	// takes is the estimated rate of tokens taken singly, per second.
	takes   float64
	takesAt time.Duration
}

// claim is the most that a holder may hold, and what it wants.
type claim struct {
	share  uint32
	wanted uint32
	// standby is the part of share that serves other entries.
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

// SetTerm notes the membership version in force at this node. Only reports sent
// under the same version complete a recovery: a holder with another version may
// have left out a team because it believes in another home.
func (l *Ledger) SetTerm(term uint64) { l.term = max(l.term, term) }

// Acquire starts the recovery of partitions that membership version term
// assigned to this node. Reports are accepted at once; tokens and grants follow
// after Serve and after every current member has reported.
func (l *Ledger) Acquire(term uint64, partitions []uint32) {
	r := &recovery{term: term, outstanding: make(map[string]struct{}, len(l.members))}
	for name := range l.members {
		r.outstanding[name] = struct{}{}
	}
	l.recoveries = append(l.recoveries, r)
	for _, p := range partitions {
		l.partitions[p] = &partition{recovery: r, teams: make(map[string]*account)}
	}
}

// Serve ends the waiting time of the partitions acquired at term or before. The
// caller calls it 4 s after a quorum attested that version, when the earlier
// home has stopped.
func (l *Ledger) Serve(now time.Time, term uint64) {
	at := l.clock.advance(now)
	for _, r := range l.recoveries {
		r.serving = r.serving || r.term <= term
	}
	l.completeRecoveries(at)
}

// Release drops partitions that moved to another home.
func (l *Ledger) Release(partitions []uint32) {
	for _, p := range partitions {
		dropped := l.partitions[p]
		if dropped == nil {
			continue
		}
		for team, a := range dropped.teams {
			for name := range a.shares {
				delete(l.members[name].teams, team)
			}
		}
		delete(l.partitions, p)
	}
}

// MemberJoined notes a member. The share of an earlier incarnation returns,
// because that process has ended or has dropped its shares before it rejoined.
func (l *Ledger) MemberJoined(now time.Time, name, incarnation string) {
	at := l.clock.advance(now)
	m := l.members[name]
	if m == nil {
		l.members[name] = &member{incarnation: incarnation, teams: make(map[string]struct{})}
		return
	}
	if incarnation > m.incarnation {
		l.returnShares(at, name, m)
		m.incarnation, m.sequence = incarnation, 0
	}
}

// ForgetHolder returns the shares of a removed member. The caller calls it 4 s
// after a quorum attested the removal, when the holder is no longer fresh. It
// does nothing if the node has rejoined under another incarnation.
func (l *Ledger) ForgetHolder(now time.Time, name, incarnation string) {
	at := l.clock.advance(now)
	m := l.members[name]
	if m == nil || m.incarnation != incarnation {
		return
	}
	l.returnShares(at, name, m)
	delete(l.members, name)
	for _, r := range l.recoveries {
		delete(r.outstanding, name)
	}
	l.completeRecoveries(at)
}

// Tick lets time pass. The caller calls it every TickInterval.
func (l *Ledger) Tick(now time.Time) { l.clock.advance(now) }

// Take spends n tokens of the free fraction. If there are fewer it spends none
// and returns the time until they are expected, at most MaxWait. home is false
// if this node is not the home of the team.
func (l *Ledger) Take(now time.Time, team string, n uint32, limit Limit) (granted bool, retryAfter time.Duration, home bool) {
	at := l.clock.advance(now)
	a := l.account(team, at, limit)
	if a == nil {
		return false, 0, false
	}
	a.refill(at, limit)
	if a.bucket.take(n) {
		a.countTakes(at, n)
		return true, 0, true
	}
	return false, min(a.bucket.wait(limit, a.free, n), MaxWait), true
}

// Violations returns how often the shares of a team summed to more than Whole.
// It is 0 unless a message was forged or the code is wrong.
func (l *Ledger) Violations() uint64 { return l.violations }

// Recovered says whether this node is the home of a team and has learned all
// shares. Until then its own Holder acts as deputy, if it was one, and answers
// Take in place of the ledger.
func (l *Ledger) Recovered(team string) bool {
	p := l.partitions[l.partitionOf(team)]
	return p != nil && p.recovery.done
}

// Recovering says whether partitions wait for their time to serve or for reports.
func (l *Ledger) Recovering() bool { return len(l.recoveries) > 0 }

// Free returns the free fraction of a team in ppm.
func (l *Ledger) Free(team string) uint32 {
	p := l.partitions[l.partitionOf(team)]
	if p == nil || !p.recovery.done {
		return 0
	}
	if a := p.teams[team]; a != nil {
		return a.unclaimed()
	}
	return Whole
}

// account returns the account of a team, or nil if this node is not its home.
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

func (l *Ledger) returnShares(at time.Duration, name string, m *member) {
	for team := range m.teams {
		if p := l.partitions[l.partitionOf(team)]; p != nil && p.teams[team] != nil {
			l.set(p.teams[team], at, name, claim{})
		}
	}
	clear(m.teams)
}

// completeRecoveries marks the recoveries that wait for nothing any more.
func (l *Ledger) completeRecoveries(at time.Duration) {
	pending := l.recoveries[:0]
	for _, r := range l.recoveries {
		if r.serving && len(r.outstanding) == 0 {
			r.done, r.doneAt = true, at
		} else {
			pending = append(pending, r)
		}
	}
	clear(l.recoveries[len(pending):])
	l.recoveries = pending
}
