package ratelimit

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	fleetNodes = 24
	oneWay     = 700 * time.Microsecond
	ms         = time.Millisecond
)

// event is a function due at a time of the simulation.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// version is one entry of the membership log.
type version struct {
	at      time.Duration
	home    int
	members map[int]string
	// removed is a node and its incarnation, if the version removes one.
	removed     int
	removedName string
}

type fleetNode struct {
	id      int
	alive   bool
	diedAt  time.Duration
	inc     int
	known   int // Number of versions of the log that the node knows.
	holder  *Holder
	ledger  *Ledger
	offset  time.Duration // Added to the true time by clock faults.
	stalled time.Duration // True time at which the clock stalled; 0 if it runs.
}

// fleet simulates entries and homes of one partition in virtual time.
type fleet struct {
	r        *rand.Rand
	now      time.Duration
	queue    events
	seq      int
	nodes    []*fleetNode
	log      []version
	limits   map[string]Limit
	admitted map[string][]time.Duration
	counts   counts
	reports  int
	split    []*Split // Baseline: rate divided by node count.
	shared   *Split   // Baseline: one bucket without delay.
	// Probabilities of message faults.
	lose, duplicate, delay float64
	shift                  int     // Nodes by which the demand has moved.
	late                   float64 // Probability that a node learns a version late.
	violations             uint64
}

type counts struct{ offered, refused, takes, split, shared int }

func (c counts) minus(o counts) counts {
	return counts{c.offered - o.offered, c.refused - o.refused, c.takes - o.takes, c.split - o.split, c.shared - o.shared}
}

func (c counts) String() string {
	per := func(n int) float64 { return float64(n) / float64(c.offered) }
	return fmt.Sprintf("%d requests: refused %.5f (baselines: split %.5f, shared bucket %.5f), takes %.3f",
		c.offered, per(c.refused), per(c.split), per(c.shared), per(c.takes))
}

var epoch = time.Unix(1_800_000_000, 0)

func newFleet(seed uint64, limits map[string]Limit) *fleet {
	f := &fleet{r: rand.New(rand.NewPCG(seed, 1)), limits: limits, admitted: map[string][]time.Duration{}}
	f.shared = NewSplit(1)
	members := map[int]string{}
	for i := range fleetNodes {
		f.nodes = append(f.nodes, &fleetNode{id: i})
		f.start(f.nodes[i])
		f.split = append(f.split, NewSplit(fleetNodes))
		members[i] = f.nodes[i].incarnation()
	}
	f.commit(version{home: 0, members: members, removed: -1})
	for i := range fleetNodes {
		f.after(time.Duration(f.r.Int64N(int64(TickInterval))), func() { f.tick(f.nodes[i]) })
	}
	return f
}

func (n *fleetNode) incarnation() string { return fmt.Sprintf("%06d", n.inc) }
func (n *fleetNode) name() string        { return fmt.Sprintf("node-%02d", n.id) }

// clock is the node's monotonic time.
func (f *fleet) clock(n *fleetNode) time.Time {
	at := f.now
	if n.stalled != 0 {
		at = n.stalled
	}
	return epoch.Add(at + n.offset)
}

func (f *fleet) after(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.queue, event{at: f.now + d, seq: f.seq, run: run})
}

func (f *fleet) runUntil(end time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= end {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

func (f *fleet) start(n *fleetNode) {
	n.inc++
	n.alive, n.known = true, 0
	n.holder = NewHolder(n.name(), n.incarnation())
	n.ledger = NewLedger(func(string) uint32 { return 0 })
}

// fresh applies the bound of 3 s on unknown versions.
func (f *fleet) fresh(n *fleetNode) bool {
	return n.alive && n.known > 0 && (n.known == len(f.log) || f.now-f.log[n.known].at < 3*time.Second)
}

// commit appends a version, which each node learns within 2 s.
func (f *fleet) commit(v version) {
	v.at = f.now
	f.log = append(f.log, v)
	length := len(f.log)
	for _, n := range f.nodes {
		wait := time.Duration(f.r.Int64N(int64(2 * time.Second)))
		if f.r.Float64() < f.late {
			wait += 8 * time.Second // The node is cut off and learns late.
		}
		if length == 1 {
			wait = 0
		}
		f.after(wait, func() { f.learn(n, length) })
	}
}

func (f *fleet) learn(n *fleetNode, length int) {
	if !n.alive || n.known >= length {
		return
	}
	wasHome := n.known > 0 && f.log[n.known-1].home == n.id
	n.known = length
	v := f.log[length-1]
	n.ledger.SetTerm(uint64(length))
	for i := range f.nodes {
		if inc, ok := v.members[i]; ok {
			n.ledger.MemberJoined(f.clock(n), f.nodes[i].name(), inc)
		}
	}
	for _, old := range f.log[:length] {
		if old.removed >= 0 {
			f.after(max(0, old.at+4*time.Second-f.now), func() {
				n.ledger.ForgetHolder(f.clock(n), f.nodes[old.removed].name(), old.removedName)
			})
		}
	}
	switch {
	case v.home != n.id:
		n.ledger.Release([]uint32{0})
	case !wasHome || length > 1 && f.log[length-2].home != n.id:
		ledger := n.ledger
		ledger.Acquire(uint64(length), []uint32{0})
		f.after(max(0, v.at+4*time.Second-f.now), func() { ledger.Serve(f.clock(n), uint64(length)) })
	}
}

// send delivers a message after one way, subject to the message faults.
func (f *fleet) send(to *fleetNode, deliver func()) {
	inc := to.inc
	arrive := func() {
		if to.alive && to.inc == inc {
			deliver()
		}
	}
	if f.r.Float64() < f.duplicate {
		f.after(oneWay+time.Duration(f.r.Int64N(int64(3*time.Second))), arrive)
	}
	if f.r.Float64() < f.lose {
		return
	}
	wait := oneWay
	if f.r.Float64() < f.delay {
		wait += time.Duration(f.r.Int64N(int64(30 * time.Second)))
	}
	f.after(wait, arrive)
}

func (f *fleet) limit(team string) (Limit, bool) {
	l, ok := f.limits[team]
	return l, ok
}

func (f *fleet) home(n *fleetNode) *fleetNode { return f.nodes[f.log[n.known-1].home] }

// deputy is the member that follows the home in the rank.
func (f *fleet) deputy(n *fleetNode) *fleetNode {
	v := f.log[n.known-1]
	for i := v.home + 1; ; i++ {
		if _, ok := v.members[i%fleetNodes]; ok {
			return f.nodes[i%fleetNodes]
		}
	}
}

func (f *fleet) tick(n *fleetNode) {
	f.after(TickInterval, func() { f.tick(n) })
	if !f.fresh(n) {
		return
	}
	n.ledger.Tick(f.clock(n))
	f.violations += n.ledger.Violations()
	for team, l := range f.limits {
		n.holder.SetDeputy(f.clock(n), team, l, f.deputy(n) == n || f.home(n) == n && !n.ledger.Recovered(team))
	}
	if !n.holder.ReportDue(f.clock(n)) {
		return
	}
	report := n.holder.Report(f.clock(n), uint64(n.known), func(string) bool { return true })
	to, inc := f.home(n), n.inc
	f.reports++
	f.send(to, func() {
		if !f.fresh(to) {
			return
		}
		answer, err := to.ledger.Report(f.clock(to), report, f.limit)
		if err != nil {
			return
		}
		f.send(n, func() {
			if n.inc == inc {
				n.holder.Apply(f.clock(n), answer)
			}
		})
	})
}

// request runs the caller's loop of the package: at most MaxWait in all.
func (f *fleet) request(n *fleetNode, team string) {
	if !f.fresh(n) {
		return // Answered 503 by the node for another reason.
	}
	f.counts.offered++
	f.baseline(f.split[n.id], team, f.now+MaxWait, &f.counts.split)
	f.baseline(f.shared, team, f.now+MaxWait, &f.counts.shared)
	f.handle(n, team, f.now+MaxWait, n.holder.Allow(f.clock(n), team, f.limits[team]))
}

func (f *fleet) baseline(b *Split, team string, deadline time.Duration, refused *int) {
	allowed, wait := b.Allow(epoch.Add(f.now), team, f.limits[team])
	switch {
	case allowed:
	case wait > deadline-f.now:
		*refused++
	default:
		f.after(wait, func() { f.baseline(b, team, deadline, refused) })
	}
}

func (f *fleet) handle(n *fleetNode, team string, deadline time.Duration, d Decision) {
	inc := n.inc
	again := func() {
		if f.fresh(n) && n.inc == inc {
			f.handle(n, team, deadline, n.holder.Retry(f.clock(n), team, f.limits[team]))
		}
	}
	switch {
	case d.Outcome == Allowed:
		f.admitted[team] = append(f.admitted[team], f.now)
	case d.Outcome == Refused || d.Wait > deadline-f.now:
		f.counts.refused++
	case d.Outcome == Wait:
		f.after(d.Wait, again)
	default:
		f.take(n, team, again)
	}
}

// take asks the home and then the deputy.
func (f *fleet) take(n *fleetNode, team string, again func()) {
	f.counts.takes++
	inc := n.inc
	f.ask(n, f.home(n), team, func(to *fleetNode) (bool, time.Duration) {
		if to.ledger.Recovered(team) {
			granted, retryAfter, _ := to.ledger.Take(f.clock(to), team, 1, f.limits[team])
			return granted, retryAfter
		}
		return to.holder.Take(f.clock(to), team, 1, f.limits[team])
	}, func(first time.Duration) {
		if n.inc != inc || !f.fresh(n) {
			return
		}
		f.ask(n, f.deputy(n), team, func(to *fleetNode) (bool, time.Duration) {
			return to.holder.Take(f.clock(to), team, 1, f.limits[team])
		}, func(second time.Duration) {
			n.holder.TakeRefused(f.clock(n), team, min(first, second))
			again()
		})
	})
}

func (f *fleet) ask(n, to *fleetNode, team string, grant func(to *fleetNode) (bool, time.Duration), refused func(time.Duration)) {
	answered := false
	refuse := func(retryAfter time.Duration) {
		if !answered {
			answered = true
			refused(retryAfter)
		}
	}
	if !to.alive && f.now > to.diedAt+3*time.Second {
		refuse(MaxWait) // The keep-alive of the link has failed.
		return
	}
	f.after(50*ms, func() { refuse(100 * ms) })
	f.send(to, func() {
		if !f.fresh(to) {
			return
		}
		granted, retryAfter := grant(to)
		at := f.now
		f.send(n, func() {
			if granted && !answered {
				answered = true
				f.admitted[team] = append(f.admitted[team], at)
			}
			refuse(retryAfter)
		})
	})
}

// traffic starts Poisson arrivals at load times the rate of each team. weight
// gives the part of a node in a team's demand.
func (f *fleet) traffic(load float64, weight func(team, node int, at time.Duration) float64) {
	for index, team := range slices.Sorted(mapKeys(f.limits)) {
		var arrive func()
		arrive = func() {
			f.after(time.Duration(f.r.ExpFloat64()/(load*float64(f.limits[team].Rate))*1e9), arrive)
			left := f.r.Float64()
			for i, n := range f.nodes {
				if left -= weight(index, i, f.now); left < 0 {
					f.request(n, team)
					return
				}
			}
		}
		f.after(0, arrive)
	}
}

func mapKeys(m map[string]Limit) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// requireNoOverspend checks every interval of admitted times on its own: the
// n-th and m-th admission may be no closer than rate and burst allow.
func (f *fleet) requireNoOverspend(t *testing.T, trace string) {
	t.Helper()
	require.Zero(t, f.violations, trace)
	for team, times := range f.admitted {
		slices.Sort(times)
		limit, lowest := f.limits[team], math.Inf(1)
		for i, at := range times {
			earned := float64(limit.Rate) * at.Seconds()
			lowest = min(lowest, float64(i)-earned)
			require.LessOrEqual(t, float64(i+1)-earned-lowest, float64(limit.Burst)+1e-6,
				"%s: team %s at %v admitted %d", trace, team, at, i+1)
		}
	}
}

// requireService fails if a team's service does not return after the faults.
func (f *fleet) requireService(t *testing.T, trace string) {
	t.Helper()
	f.lose, f.duplicate, f.delay, f.late = 0, 0, 0, 0
	f.runUntil(f.now + 30*time.Second)
	before := map[string]int{}
	for team := range f.limits {
		before[team] = len(f.admitted[team])
	}
	f.runUntil(f.now + 10*time.Second)
	for team, limit := range f.limits {
		got := len(f.admitted[team]) - before[team]
		require.Greater(t, float64(got), 0.8*10*float64(limit.Rate), "%s: team %s", trace, team)
	}
}
