package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	fleetNodes = 24
	fleetZones = 3
	ms         = time.Millisecond
)

// event is a function due at a time of the simulation.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e event) before(o event) bool {
	return e.at < o.at || e.at == o.at && e.seq < o.seq
}

// push and pop keep the events as a binary heap. container/heap allocates for
// each event, which was a fifth of the time of a simulation.
func (q *events) push(e event) {
	h := append(*q, e)
	*q = h
	for i := len(h) - 1; i > 0; {
		parent := (i - 1) / 2
		if !h[i].before(h[parent]) {
			break
		}
		h[i], h[parent] = h[parent], h[i]
		i = parent
	}
}

func (q *events) pop() event {
	h := *q
	first, last := h[0], len(h)-1
	h[0], h[last] = h[last], event{}
	h = h[:last]
	*q = h
	for i := 0; ; {
		child := 2*i + 1
		if child+1 < last && h[child+1].before(h[child]) {
			child++
		}
		if child >= last || !h[child].before(h[i]) {
			return first
		}
		h[i], h[child] = h[child], h[i]
		i = child
	}
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
	// oneWay is the time that a message takes.
	oneWay time.Duration
	// cut holds the directions between availability zones that lose all messages.
	cut map[[2]int]bool
	// splitAdmitted holds the admissions of the baseline.
	splitAdmitted map[string][]time.Duration
	violations    uint64
}

type counts struct{ offered, refused, takes, split, shared int }

func (c counts) minus(o counts) counts {
	return counts{c.offered - o.offered, c.refused - o.refused, c.takes - o.takes, c.split - o.split, c.shared - o.shared}
}

// String gives shares of the requests offered.
func (c counts) String() string {
	per := func(n int) float64 { return float64(n) / float64(c.offered) }
	return fmt.Sprintf("%d requests: refused %.5f (baselines: split %.5f, shared bucket %.5f), takes %.3f",
		c.offered, per(c.refused), per(c.split), per(c.shared), per(c.takes))
}

var epoch = time.Unix(1_800_000_000, 0)

func newFleet(seed uint64, limits map[string]Limit) *fleet {
	f := &fleet{
		r: rand.New(rand.NewPCG(seed, 1)), limits: limits, oneWay: defaultOneWay, cut: map[[2]int]bool{},
		admitted: map[string][]time.Duration{}, splitAdmitted: map[string][]time.Duration{},
	}
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
func (n *fleetNode) zone() int           { return n.id % fleetZones }

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
	f.queue.push(event{at: f.now + d, seq: f.seq, run: run})
}

func (f *fleet) runUntil(end time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= end {
		e := f.queue.pop()
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
func (f *fleet) send(from, to *fleetNode, deliver func()) {
	if f.cut[[2]int{from.zone(), to.zone()}] {
		return
	}
	inc := to.inc
	arrive := func() {
		if to.alive && to.inc == inc {
			deliver()
		}
	}
	if f.r.Float64() < f.duplicate {
		f.after(f.oneWay+time.Duration(f.r.Int64N(int64(3*time.Second))), arrive)
	}
	if f.r.Float64() < f.lose {
		return
	}
	wait := f.oneWay
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
	f.send(n, to, func() {
		if !f.fresh(to) {
			return
		}
		answer, err := to.ledger.Report(f.clock(to), report, f.limit)
		if err != nil {
			return
		}
		f.send(to, n, func() {
			if n.inc == inc {
				n.holder.Apply(f.clock(n), answer)
			}
		})
	})
}
