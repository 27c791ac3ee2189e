package ejection

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Status is what an owner reports about one backend server.
type Status struct {
	// Server names the backend server.
	Server string
	// Incarnation changes with each start of the backend server.
	Incarnation string
	// InService is false while an operator has taken the server out, or it drains.
	InService bool
	// Obeyed is the order that the owner obeyed when it sent the report.
	Obeyed Order
	// TrialSuccesses and TrialFailures count since the trial began.
	TrialSuccesses, TrialFailures uint32
}

// Judgement is the detector's opinion of one backend server.
type Judgement struct {
	// Bad servers are ejected if the floor allows it.
	Bad bool
	// Score orders bad servers; higher is worse.
	Score float64
	// Slow is true if the answers of a server on trial lag behind its siblings'.
	Slow bool
}

// Counters count decisions since the home began.
type Counters struct {
	// Ejections counts orders to eject a serving server.
	Ejections int
	// Refused counts servers found bad that the floor kept in service.
	Refused int
	// Returned counts ejected servers that returned for the sake of the floor.
	Returned int
	// Readmitted counts trials that succeeded, FailedTrials those that did not.
	Readmitted, FailedTrials int
}

type server struct {
	status Status
	seen   time.Time
	order  Order
	// since is the time of the order.
	since time.Time
	// until bounds the time for which the owner may obey a permit; zero if it
	// reported that it obeys none.
	until time.Time
	// score is that of the last judgement before the ejection.
	score   float64
	backOff time.Duration
	// notBefore keeps a server that returned for the floor from being ejected
	// again on every change of the attested count.
	notBefore time.Time
	refused   bool
}

// Permits holds the ejections of one service at its home.
type Permits struct {
	cfg      Config
	start    time.Time
	floor    int
	servers  map[string]*server
	order    []*server // sorted by name, so that decisions are deterministic
	counters Counters
}

// NewPermits returns permits of a home that begins now. Until the first Decide
// nothing is granted.
func NewPermits(now time.Time, cfg Config) *Permits {
	return &Permits{cfg: cfg.withDefaults(), start: now, servers: make(map[string]*server)}
}

// Observe takes over one report. Reports of one owner must come in the order in
// which they were sent, and each only after the answer to the one before was
// applied or given up.
func (p *Permits) Observe(now time.Time, st Status) {
	s := p.servers[st.Server]
	if s == nil {
		s = &server{since: now}
		p.servers[st.Server] = s
		i, _ := slices.BinarySearchFunc(p.order, st.Server, func(s *server, name string) int {
			return cmp.Compare(s.status.Server, name)
		})
		p.order = slices.Insert(p.order, i, s)
	} else if s.status.Incarnation != st.Incarnation && s.order == Eject {
		s.set(now, Trial) // A restart may have repaired the server.
	}
	s.status, s.seen = st, now
	switch {
	case st.Obeyed == Serve:
		s.until = time.Time{}
	case s.until.IsZero():
		s.until = now.Add(hold) // The permit of an earlier home.
	}
}

// Decide applies judgements by server name and the floor. Call it after Observe
// and before Order.
func (p *Permits) Decide(now time.Time, floor int, judgements map[string]Judgement) {
	p.floor = floor
	p.forget(now)
	for _, s := range p.order {
		j := judgements[s.status.Server]
		p.try(now, s, j)
		if s.order == Serve {
			s.score = j.Score
			if !j.Bad {
				s.refused = false
			}
		}
	}
	p.giveBack(now)
	p.eject(now, judgements)
}

// Order returns the order to send with the answer to the owner's report, and
// counts it as a permit if it is one. The server must have been observed.
func (p *Permits) Order(now time.Time, name string) Order {
	s := p.servers[name]
	if s == nil || s.order == Serve || !s.status.InService {
		return Serve
	}
	renewal := now.Before(s.until)
	if !renewal && p.capacity(now) < p.floor {
		return Serve
	}
	s.until = now.Add(hold)
	if !renewal {
		p.assertFloor(now)
	}
	return s.order
}

// Ejected returns the names of the servers that are or may be ejected.
func (p *Permits) Ejected(now time.Time) []string {
	var names []string
	for _, s := range p.order {
		if s.order != Serve || now.Before(s.until) {
			names = append(names, s.status.Server)
		}
	}
	return names
}

// Counters returns what was decided so far.
func (p *Permits) Counters() Counters { return p.counters }

func (s *server) set(now time.Time, o Order) { s.order, s.since = o, now }

// attested reports whether the server counts as capacity.
func (p *Permits) attested(now time.Time, s *server) bool {
	return s.status.InService && now.Sub(s.seen) < p.cfg.ReportTimeout
}

// capacity counts the servers that serve now and are meant to.
func (p *Permits) capacity(now time.Time) int {
	n := 0
	for _, s := range p.order {
		if s.order == Serve && p.attested(now, s) && !now.Before(s.until) {
			n++
		}
	}
	return n
}

// assertFloor checks the invariant from the reports and permits alone.
func (p *Permits) assertFloor(now time.Time) {
	attested, permits := 0, 0
	for _, s := range p.order {
		if p.attested(now, s) {
			attested++
			if now.Before(s.until) {
				permits++
			}
		}
	}
	if attested-permits < p.floor {
		p.cfg.Violated(fmt.Sprintf("%d attested servers, %d permits, floor %d", attested, permits, p.floor))
	}
}

// forget drops servers that have not been reported for long.
func (p *Permits) forget(now time.Time) {
	p.order = slices.DeleteFunc(p.order, func(s *server) bool {
		gone := now.Sub(s.seen) >= p.cfg.Retention
		if gone {
			delete(p.servers, s.status.Server)
		}
		return gone
	})
}

// try starts a trial after the back-off and ends it by its results.
func (p *Permits) try(now time.Time, s *server, j Judgement) {
	switch s.order {
	case Eject:
		if now.Sub(s.since) >= s.backOff {
			s.set(now, Trial)
		}
	case Trial:
		if s.status.Obeyed != Trial {
			return
		}
		enough := s.status.TrialSuccesses >= p.cfg.TrialSuccesses
		switch {
		case s.status.TrialFailures > 0, enough && j.Slow:
			p.counters.FailedTrials++
			s.backOff = min(2*s.backOff, p.cfg.MaxBackOff)
			s.set(now, Eject)
		case enough:
			p.counters.Readmitted++
			s.set(now, Serve)
		}
	case Serve:
	}
}

// giveBack returns the least bad servers while capacity is below the floor.
// Servers that are about to return count as capacity.
func (p *Permits) giveBack(now time.Time) {
	missing := p.floor - p.capacity(now)
	var candidates []*server
	for _, s := range p.order {
		switch {
		case !p.attested(now, s):
		case s.order != Serve:
			candidates = append(candidates, s)
		case now.Before(s.until):
			missing--
		}
	}
	slices.SortStableFunc(candidates, func(a, b *server) int { return cmp.Compare(a.score, b.score) })
	for _, s := range candidates {
		if missing <= 0 {
			return
		}
		missing--
		p.counters.Returned++
		s.set(now, Serve)
		s.notBefore = now.Add(p.cfg.FirstBackOff)
	}
}

// eject orders the ejection of bad servers, worst first, as far as the floor allows.
func (p *Permits) eject(now time.Time, judgements map[string]Judgement) {
	if now.Sub(p.start) < p.cfg.Silence {
		return
	}
	var candidates []*server
	for _, s := range p.order {
		if s.order == Serve && judgements[s.status.Server].Bad && p.attested(now, s) && !now.Before(s.until) && !now.Before(s.notBefore) {
			candidates = append(candidates, s)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *server) int { return cmp.Compare(b.score, a.score) })
	spare := p.capacity(now) - p.floor
	for _, s := range candidates {
		if spare <= 0 {
			if !s.refused {
				s.refused = true
				p.counters.Refused++
			}
			continue
		}
		spare--
		p.counters.Ejections++
		s.backOff = p.nextBackOff(now, s)
		s.refused = false
		s.set(now, Eject)
	}
}

// nextBackOff doubles the last back-off after halving it once per GoodTime in
// service.
func (p *Permits) nextBackOff(now time.Time, s *server) time.Duration {
	if s.backOff == 0 {
		return p.cfg.FirstBackOff
	}
	halvings := min(now.Sub(s.since)/p.cfg.GoodTime, 30)
	return min(max(2*s.backOff>>halvings, p.cfg.FirstBackOff), p.cfg.MaxBackOff)
}
