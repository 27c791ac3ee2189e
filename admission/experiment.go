package admission

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// experimentStart is the virtual time at which experiments begin.
var experimentStart = time.Unix(1_700_000_000, 0)

// admitter is what the experiments need of the controller and of the baseline.
type admitter interface {
	Offer(now time.Time, req Request) (Decision, []Decision)
	Done(now time.Time, t Ticket, r Result) []Decision
	Load() Load
}

// fakeServer has three slots and a mean service time of 10 ms. While cold it
// can run only one request, then two, and answers up to 5 times slower; above
// that it collapses: 20 times slower, and it warms up at a tenth of the pace.
type fakeServer struct {
	admitter
	warmth  float64
	running int
	calls   map[Ticket]*call
}

const (
	fakeSlots   = 3
	fakeService = 10 * time.Millisecond
	warmUpCalls = 40
	patience    = 500 * time.Millisecond
	maxTries    = 3
)

type call struct {
	team     int
	arrival  time.Duration
	tried    []int
	collapse bool
}

// event is an arrival (server < 0) or the end of a call at a server.
type event struct {
	at     time.Duration
	seq    int
	server int
	ticket Ticket
	call   *call
}

type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less orders events by time, then by sequence.
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// Experiment simulates one service in virtual time: arrivals of its teams,
// entries with exact load views that try up to three owners, and backend
// servers with three slots and exponential service times of 10 ms mean. Set the
// fields, call Run, then read the results.
type Experiment struct {
	// Servers is the number of backend servers.
	Servers int
	// Rates is the request rate of each team per second, Weights its share.
	Rates   []float64
	Weights []uint32
	// Length is the simulated time of arrivals.
	Length time.Duration
	// ColdAt is when the servers listed in Cold restart; 0 means never.
	ColdAt time.Duration
	Cold   []int
	// FIFO selects the baseline in place of the controller.
	FIFO bool
	// Seed selects the random sequence.
	Seed uint64

	rng     *rand.Rand
	servers []*fakeServer
	queue   events
	seq     int
	// offered and served count per team; perSecond holds both by second of arrival.
	offered, served []int
	perSecond       [][2]int
}

// Run simulates until every request has been answered or refused.
func (x *Experiment) Run() {
	x.rng = rand.New(rand.NewPCG(x.Seed, 1))
	x.servers = make([]*fakeServer, x.Servers)
	x.offered, x.served = make([]int, len(x.Rates)), make([]int, len(x.Rates))
	x.perSecond = make([][2]int, int(x.Length/time.Second)+1)
	for i := range x.servers {
		x.start(i, "a", 1)
	}
	for team := range x.Rates {
		x.nextArrival(0, team)
	}
	restarted := false
	for len(x.queue) > 0 {
		e := heap.Pop(&x.queue).(event)
		if !restarted && x.ColdAt > 0 && e.at >= x.ColdAt {
			restarted = true
			for _, i := range x.Cold {
				x.start(i, "b", 0)
			}
		}
		if e.server >= 0 {
			x.finish(e)
			continue
		}
		if e.at < x.Length {
			x.offered[e.call.team]++
			x.perSecond[e.at/time.Second][0]++
			x.offer(e.at, e.call)
			x.nextArrival(e.at, e.call.team)
		}
	}
}

// start begins an incarnation; calls of the previous one are lost.
func (x *Experiment) start(i int, incarnation string, warmth float64) {
	s := &fakeServer{warmth: warmth, calls: map[Ticket]*call{}}
	if x.FIFO {
		s.admitter = NewFIFO(fakeSlots, 256)
	} else {
		c := New(Config{})
		c.Announce(experimentStart, Announcement{Slots: fakeSlots, Connections: 400, Incarnation: incarnation})
		if warmth == 1 {
			c.ramp.limit = fakeSlots
		}
		s.admitter = c
	}
	x.servers[i] = s
}

func (x *Experiment) push(e event) {
	x.seq++
	e.seq = x.seq
	heap.Push(&x.queue, e)
}

func (x *Experiment) nextArrival(now time.Duration, team int) {
	gap := time.Duration(x.rng.ExpFloat64() / x.Rates[team] * float64(time.Second))
	x.push(event{at: now + gap, server: -1, call: &call{team: team, arrival: now + gap}})
}

// offer tries the better of two random servers, up to maxTries times.
func (x *Experiment) offer(now time.Duration, c *call) {
	for len(c.tried) < maxTries {
		i := x.choose(c.tried)
		if i < 0 {
			return
		}
		c.tried = append(c.tried, i)
		s := x.servers[i]
		d, others := s.Offer(experimentStart.Add(now), Request{Team: string(rune('a' + c.team)), Weight: x.Weights[c.team], Deadline: experimentStart.Add(c.arrival + patience), Idempotent: true})
		if d.Outcome != Refused {
			s.calls[d.Ticket] = c
		}
		x.apply(now, i, others)
		if d.Outcome == Admitted {
			x.dispatch(now, i, d.Ticket)
		}
		if d.Outcome != Refused {
			return
		}
	}
}

func (x *Experiment) choose(tried []int) int {
	best, found := -1, 0
	for _, i := range x.rng.Perm(len(x.servers)) {
		if slices.Contains(tried, i) {
			continue
		}
		if found++; best < 0 || relativeLoad(x.servers[i]) < relativeLoad(x.servers[best]) {
			best = i
		}
		if found == 2 {
			break
		}
	}
	return best
}

func relativeLoad(s *fakeServer) float64 {
	l := s.Load()
	return float64(l.InFlight+l.Queued+1) / float64(l.Limit)
}

func (x *Experiment) apply(now time.Duration, i int, ds []Decision) {
	s := x.servers[i]
	for _, d := range ds {
		if d.Outcome == Admitted {
			x.dispatch(now, i, d.Ticket)
			continue
		}
		c := s.calls[d.Ticket]
		delete(s.calls, d.Ticket)
		x.offer(now, c)
	}
}

func (x *Experiment) dispatch(now time.Duration, i int, t Ticket) {
	s := x.servers[i]
	s.running++
	d := float64(fakeService) * x.rng.ExpFloat64() * (1 + 4*(1-s.warmth))
	if s.running > 1+int(2*s.warmth) {
		s.calls[t].collapse = true
		d *= 20
	}
	x.push(event{at: now + time.Duration(d), server: i, ticket: t, call: s.calls[t]})
}

func (x *Experiment) finish(e event) {
	s := x.servers[e.server]
	if s.calls[e.ticket] != e.call {
		return // the incarnation that ran it is gone
	}
	delete(s.calls, e.ticket)
	s.running--
	gain := 1.0 / warmUpCalls
	if e.call.collapse {
		gain /= 10
	}
	s.warmth = min(1, s.warmth+gain)
	result := Failure
	if e.at-e.call.arrival <= patience {
		result = Success
		x.served[e.call.team]++
		if e.at < x.Length {
			x.perSecond[e.call.arrival/time.Second][1]++
		}
	}
	x.apply(e.at, e.server, s.Done(experimentStart.Add(e.at), e.ticket, result))
}

// WorstShare returns the smallest share of its rate that a team other than flood got.
func (x *Experiment) WorstShare(flood int) float64 {
	share := 1.0
	for t := range x.Rates {
		if t != flood {
			share = min(share, float64(x.served[t])/float64(x.offered[t]))
		}
	}
	return share
}

// RecoverySeconds returns the seconds after ColdAt until at least 95% of the requests
// of each second are served until the end; -1 if that never happens.
func (x *Experiment) RecoverySeconds() int {
	last := len(x.perSecond) - 2
	first := last + 1
	for first > 0 && float64(x.perSecond[first-1][1]) >= 0.95*float64(x.perSecond[first-1][0]) {
		first--
	}
	if first > last {
		return -1
	}
	return max(0, first-int(x.ColdAt/time.Second))
}

// NewExperiment returns an experiment of 30 s with 8 teams, a few of them large,
// that together promise the given share of the capacity.
func NewExperiment(servers int, load float64, seed uint64) *Experiment {
	x := &Experiment{Servers: servers, Weights: []uint32{6, 4, 2, 2, 1, 1, 1, 1}, Length: 30 * time.Second, Seed: seed}
	total := 0.0
	for _, w := range x.Weights {
		total += float64(w)
	}
	capacity := float64(servers*fakeSlots) / fakeService.Seconds()
	for _, w := range x.Weights {
		x.Rates = append(x.Rates, float64(w)/total*load*capacity)
	}
	return x
}
