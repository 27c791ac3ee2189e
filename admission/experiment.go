package admission

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// experimentStart is the start of simulated time.
var experimentStart = time.Unix(1_700_000_000, 0)

// admitter is the interface that the controller and the baseline share.
type admitter interface {
	Offer(now time.Time, req Request) (Decision, []Decision)
	Done(now time.Time, t Ticket, r Result) []Decision
	Load() Load
}

// simulatedServer simulates a backend server with three slots and a mean
// service time of 10 ms. While cold it sustains a concurrency of one and later
// two, and is up to 5 times slower. Requests above that concurrency take
// another 20 times longer and contribute a tenth to the warm-up.
type simulatedServer struct {
	admitter
	warmth  float64
	running int
	calls   map[Ticket]*call
}

const (
	simulatedSlots  = 3
	meanServiceTime = 10 * time.Millisecond
	warmUpRequests  = 40
	requestTimeout  = 500 * time.Millisecond
	maxAttempts     = 3
)

type call struct {
	team       int
	arrival    time.Duration
	tried      []int
	overloaded bool
}

// event is the arrival (server < 0) or the completion of a call.
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

// Experiment simulates one service in virtual time: the arrivals of its teams,
// entry nodes with exact load information that try up to three backend servers,
// and backend servers with three slots and exponentially distributed service
// times with a mean of 10 ms. The results are available after Run returns.
type Experiment struct {
	// Servers is the number of backend servers.
	Servers int
	// Rates holds the request rate of each team in requests per second. Weights
	// holds the queue weight of each team.
	Rates   []float64
	Weights []uint32
	// Duration is the simulated time during which requests arrive.
	Duration time.Duration
	// ColdRestartAt is the time at which the servers listed in Cold restart; 0
	// disables the restart.
	ColdRestartAt time.Duration
	Cold          []int
	// FIFO selects the baseline instead of the controller.
	FIFO bool
	// Seed initializes the random number generator.
	Seed uint64

	rng     *rand.Rand
	servers []*simulatedServer
	queue   events
	seq     int
	// offered and served count requests per team. perSecond holds the offered and
	// served requests by second of arrival.
	offered, served []int
	perSecond       [][2]int
}

// Run simulates until every request has completed or was rejected.
func (x *Experiment) Run() {
	x.rng = rand.New(rand.NewPCG(x.Seed, 1))
	x.servers = make([]*simulatedServer, x.Servers)
	x.offered, x.served = make([]int, len(x.Rates)), make([]int, len(x.Rates))
	x.perSecond = make([][2]int, int(x.Duration/time.Second)+1)
	for i := range x.servers {
		x.start(i, "a", 1)
	}
	for team := range x.Rates {
		x.nextArrival(0, team)
	}
	restarted := false
	for len(x.queue) > 0 {
		e := heap.Pop(&x.queue).(event)
		if !restarted && x.ColdRestartAt > 0 && e.at >= x.ColdRestartAt {
			restarted = true
			for _, i := range x.Cold {
				x.start(i, "b", 0)
			}
		}
		if e.server >= 0 {
			x.finish(e)
			continue
		}
		if e.at < x.Duration {
			x.offered[e.call.team]++
			x.perSecond[e.at/time.Second][0]++
			x.offer(e.at, e.call)
			x.nextArrival(e.at, e.call.team)
		}
	}
}

// start starts a new incarnation of a server. Calls to the previous one are lost.
func (x *Experiment) start(i int, incarnation string, warmth float64) {
	s := &simulatedServer{warmth: warmth, calls: map[Ticket]*call{}}
	if x.FIFO {
		s.admitter = NewFIFO(simulatedSlots, 256)
	} else {
		c := New(Config{})
		c.Announce(experimentStart, Announcement{Slots: simulatedSlots, Connections: 400, Incarnation: incarnation})
		if warmth == 1 {
			c.ramp.limit = simulatedSlots
		}
		s.admitter = c
	}
	x.servers[i] = s
}

func (x *Experiment) schedule(e event) {
	x.seq++
	e.seq = x.seq
	heap.Push(&x.queue, e)
}

func (x *Experiment) nextArrival(now time.Duration, team int) {
	gap := time.Duration(x.rng.ExpFloat64() / x.Rates[team] * float64(time.Second))
	x.schedule(event{at: now + gap, server: -1, call: &call{team: team, arrival: now + gap}})
}

// offer sends a call to the less loaded of two random servers, for at most
// maxAttempts attempts.
func (x *Experiment) offer(now time.Duration, c *call) {
	for len(c.tried) < maxAttempts {
		i := x.selectServer(c.tried)
		if i < 0 {
			return
		}
		c.tried = append(c.tried, i)
		s := x.servers[i]
		d, others := s.Offer(experimentStart.Add(now), Request{Team: string(rune('a' + c.team)), Weight: x.Weights[c.team], Deadline: experimentStart.Add(c.arrival + requestTimeout), Idempotent: true})
		if d.Outcome != Refused {
			s.calls[d.Ticket] = c
		}
		x.applyDecisions(now, i, others)
		if d.Outcome == Admitted {
			x.dispatch(now, i, d.Ticket)
		}
		if d.Outcome != Refused {
			return
		}
	}
}

func (x *Experiment) selectServer(tried []int) int {
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

func relativeLoad(s *simulatedServer) float64 {
	l := s.Load()
	return float64(l.InFlight+l.Queued+1) / float64(l.Limit)
}

func (x *Experiment) applyDecisions(now time.Duration, i int, ds []Decision) {
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
	d := float64(meanServiceTime) * x.rng.ExpFloat64() * (1 + 4*(1-s.warmth))
	if s.running > 1+int(2*s.warmth) {
		s.calls[t].overloaded = true
		d *= 20
	}
	x.schedule(event{at: now + time.Duration(d), server: i, ticket: t, call: s.calls[t]})
}

func (x *Experiment) finish(e event) {
	s := x.servers[e.server]
	if s.calls[e.ticket] != e.call {
		return // The incarnation that ran the call has ended.
	}
	delete(s.calls, e.ticket)
	s.running--
	gain := 1.0 / warmUpRequests
	if e.call.overloaded {
		gain /= 10
	}
	s.warmth = min(1, s.warmth+gain)
	result := Failure
	if e.at-e.call.arrival <= requestTimeout {
		result = Success
		x.served[e.call.team]++
		if e.at < x.Duration {
			x.perSecond[e.call.arrival/time.Second][1]++
		}
	}
	x.applyDecisions(e.at, e.server, s.Done(experimentStart.Add(e.at), e.ticket, result))
}

// MinServedFraction returns the smallest fraction of its requests that was
// served for any team other than the one with the index excluded.
func (x *Experiment) MinServedFraction(excluded int) float64 {
	fraction := 1.0
	for t := range x.Rates {
		if t != excluded {
			fraction = min(fraction, float64(x.served[t])/float64(x.offered[t]))
		}
	}
	return fraction
}

// RecoverySeconds returns the number of seconds after ColdRestartAt from which
// at least 95% of the requests of every following second are served, or -1 if
// there is no such time.
func (x *Experiment) RecoverySeconds() int {
	last := len(x.perSecond) - 2
	first := last + 1
	for first > 0 && float64(x.perSecond[first-1][1]) >= 0.95*float64(x.perSecond[first-1][0]) {
		first--
	}
	if first > last {
		return -1
	}
	return max(0, first-int(x.ColdRestartAt/time.Second))
}

// NewExperiment returns an experiment of 30 s with 8 teams of different size
// whose total request rate is load times the capacity of the servers.
func NewExperiment(servers int, load float64, seed uint64) *Experiment {
	x := &Experiment{Servers: servers, Weights: []uint32{6, 4, 2, 2, 1, 1, 1, 1}, Duration: 30 * time.Second, Seed: seed}
	total := 0.0
	for _, w := range x.Weights {
		total += float64(w)
	}
	capacity := float64(servers*simulatedSlots) / meanServiceTime.Seconds()
	for _, w := range x.Weights {
		x.Rates = append(x.Rates, float64(w)/total*load*capacity)
	}
	return x
}
