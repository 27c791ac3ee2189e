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

// event is a function that runs at a point in simulated time.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e event) before(o event) bool {
	return e.at < o.at || e.at == o.at && e.seq < o.seq
}

// push adds an event. push and pop implement a binary heap, because
// container/heap allocates for each event, which takes a fifth of the time of a
// simulation.
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

// pop removes and returns the earliest event.
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
	at          time.Duration
	coordinator int
	members     map[int]string
	// removed is the node that this version removes, or -1. removedIncarnation is
	// the incarnation of that node.
	removed            int
	removedIncarnation string
}

type fleetNode struct {
	id                int
	running           bool
	failedAt          time.Duration
	incarnationNumber int
	receivedVersions  int // Number of versions of the log that the node has received.
	holder            *Holder
	ledger            *Ledger
	offset            time.Duration // Clock offset from simulated time.
	stalledAt         time.Duration // Simulated time at which the clock stalled; 0 if it runs.
}

// fleet simulates the entry nodes and coordinators of one partition in virtual
// time.
type fleet struct {
	rng      *rand.Rand
	now      time.Duration
	queue    events
	seq      int
	nodes    []*fleetNode
	log      []version
	limits   map[string]Limit
	admitted map[string][]time.Duration
	counts   counts
	reports  int
	split    []*Split // Baseline: the rate divided evenly among the nodes.
	shared   *Split   // Baseline: a single bucket without delay.
	// lossProbability, duplicateProbability and delayProbability are the
	// probabilities of message faults.
	lossProbability, duplicateProbability, delayProbability float64
	demandShift                                             int     // Number of nodes by which the demand has moved.
	lateVersionProbability                                  float64 // Probability that a node receives a version late.
	// oneWay is the one-way latency of a message.
	oneWay time.Duration
	// blocked holds the directions between availability zones in which all
	// messages are lost.
	blocked map[[2]int]bool
	// splitAdmitted holds the admission times of the Split baseline.
	splitAdmitted map[string][]time.Duration
	violations    uint64
}

type counts struct{ offered, refused, tokenRequests, split, shared int }

func (c counts) minus(o counts) counts {
	return counts{c.offered - o.offered, c.refused - o.refused, c.tokenRequests - o.tokenRequests, c.split - o.split, c.shared - o.shared}
}

// String formats the counts as fractions of the offered requests.
func (c counts) String() string {
	per := func(n int) float64 { return float64(n) / float64(c.offered) }
	return fmt.Sprintf("%d requests: rejected %.5f (baselines: split %.5f, shared bucket %.5f), token requests %.3f",
		c.offered, per(c.refused), per(c.split), per(c.shared), per(c.tokenRequests))
}

var epoch = time.Unix(1_800_000_000, 0)

func newFleet(seed uint64, limits map[string]Limit) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 1)), limits: limits, oneWay: defaultOneWay, blocked: map[[2]int]bool{},
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
	f.commit(version{coordinator: 0, members: members, removed: -1})
	for i := range fleetNodes {
		f.schedule(time.Duration(f.rng.Int64N(int64(TickInterval))), func() { f.tick(f.nodes[i]) })
	}
	return f
}

func (n *fleetNode) incarnation() string { return fmt.Sprintf("%06d", n.incarnationNumber) }
func (n *fleetNode) name() string        { return fmt.Sprintf("node-%02d", n.id) }
func (n *fleetNode) zone() int           { return n.id % fleetZones }

// clock returns the monotonic time of a node.
func (f *fleet) clock(n *fleetNode) time.Time {
	at := f.now
	if n.stalledAt != 0 {
		at = n.stalledAt
	}
	return epoch.Add(at + n.offset)
}

func (f *fleet) schedule(d time.Duration, run func()) {
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
	n.incarnationNumber++
	n.running, n.receivedVersions = true, 0
	n.holder = NewHolder(n.name(), n.incarnation())
	n.ledger = NewLedger(func(string) uint32 { return 0 })
}

// isFresh reports whether a node is running and satisfies the staleness bound
// of 3 s on its membership version.
func (f *fleet) isFresh(n *fleetNode) bool {
	return n.running && n.receivedVersions > 0 && (n.receivedVersions == len(f.log) || f.now-f.log[n.receivedVersions].at < 3*time.Second)
}

// commit appends a version, which every node receives within 2 s unless it is
// delayed.
func (f *fleet) commit(v version) {
	v.at = f.now
	f.log = append(f.log, v)
	length := len(f.log)
	for _, n := range f.nodes {
		wait := time.Duration(f.rng.Int64N(int64(2 * time.Second)))
		if f.rng.Float64() < f.lateVersionProbability {
			wait += 8 * time.Second // The node is temporarily disconnected.
		}
		if length == 1 {
			wait = 0
		}
		f.schedule(wait, func() { f.receiveVersion(n, length) })
	}
}

func (f *fleet) receiveVersion(n *fleetNode, length int) {
	if !n.running || n.receivedVersions >= length {
		return
	}
	wasCoordinator := n.receivedVersions > 0 && f.log[n.receivedVersions-1].coordinator == n.id
	n.receivedVersions = length
	v := f.log[length-1]
	n.ledger.SetTerm(uint64(length))
	for i := range f.nodes {
		if inc, ok := v.members[i]; ok {
			n.ledger.MemberJoined(f.clock(n), f.nodes[i].name(), inc)
		}
	}
	for _, old := range f.log[:length] {
		if old.removed >= 0 {
			f.schedule(max(0, old.at+4*time.Second-f.now), func() {
				n.ledger.RemoveHolder(f.clock(n), f.nodes[old.removed].name(), old.removedIncarnation)
			})
		}
	}
	switch {
	case v.coordinator != n.id:
		n.ledger.Release([]uint32{0})
	case !wasCoordinator || length > 1 && f.log[length-2].coordinator != n.id:
		ledger := n.ledger
		ledger.Acquire(uint64(length), []uint32{0})
		f.schedule(max(0, v.at+4*time.Second-f.now), func() { ledger.Serve(f.clock(n), uint64(length)) })
	}
}

// send delivers a message after the one-way latency, subject to the message
// faults.
func (f *fleet) send(from, to *fleetNode, deliver func()) {
	if f.blocked[[2]int{from.zone(), to.zone()}] {
		return
	}
	inc := to.incarnationNumber
	arrive := func() {
		if to.running && to.incarnationNumber == inc {
			deliver()
		}
	}
	if f.rng.Float64() < f.duplicateProbability {
		f.schedule(f.oneWay+time.Duration(f.rng.Int64N(int64(3*time.Second))), arrive)
	}
	if f.rng.Float64() < f.lossProbability {
		return
	}
	wait := f.oneWay
	if f.rng.Float64() < f.delayProbability {
		wait += time.Duration(f.rng.Int64N(int64(30 * time.Second)))
	}
	f.schedule(wait, arrive)
}

func (f *fleet) limit(team string) (Limit, bool) {
	l, ok := f.limits[team]
	return l, ok
}

func (f *fleet) coordinator(n *fleetNode) *fleetNode {
	return f.nodes[f.log[n.receivedVersions-1].coordinator]
}

// standby returns the standby coordinator, the member ranked after the
// coordinator.
func (f *fleet) standby(n *fleetNode) *fleetNode {
	v := f.log[n.receivedVersions-1]
	for i := v.coordinator + 1; ; i++ {
		if _, ok := v.members[i%fleetNodes]; ok {
			return f.nodes[i%fleetNodes]
		}
	}
}

func (f *fleet) tick(n *fleetNode) {
	f.schedule(TickInterval, func() { f.tick(n) })
	if !f.isFresh(n) {
		return
	}
	n.ledger.Tick(f.clock(n))
	f.violations += n.ledger.Violations()
	for team, l := range f.limits {
		n.holder.SetStandby(f.clock(n), team, l, f.standby(n) == n || f.coordinator(n) == n && !n.ledger.Recovered(team))
	}
	if !n.holder.ReportDue(f.clock(n)) {
		return
	}
	report := n.holder.Report(f.clock(n), uint64(n.receivedVersions), func(string) bool { return true })
	to, inc := f.coordinator(n), n.incarnationNumber
	f.reports++
	f.send(n, to, func() {
		if !f.isFresh(to) {
			return
		}
		response, err := to.ledger.Report(f.clock(to), report, f.limit)
		if err != nil {
			return
		}
		f.send(to, n, func() {
			if n.incarnationNumber == inc {
				n.holder.Apply(f.clock(n), response)
			}
		})
	})
}
