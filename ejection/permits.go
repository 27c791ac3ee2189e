package ejection

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Status is the report of an owner node on one backend server.
type Status struct {
	// Server is the name of the backend server.
	Server string
	// Incarnation changes with each start of the backend server.
	Incarnation string
	// InService is false while the server is disabled by an operator or is draining.
	InService bool
	// AppliedOrder is the order that the owner node applied when it sent the report.
	AppliedOrder Order
	// TrialSuccesses and TrialFailures count results since the start of the trial.
	TrialSuccesses, TrialFailures uint32
}

// Assessment is the result of the outlier detection for one backend server.
type Assessment struct {
	// Faulty is true if the server should be ejected as far as the floor allows it.
	Faulty bool
	// Score is the evidence of a fault. Servers with a higher score are ejected
	// first.
	Score float64
	// Slow is true if a server in a trial responds more slowly than its siblings.
	Slow bool
}

// Counters counts decisions since NewPermits.
type Counters struct {
	// Ejections counts ejections of servers in service.
	Ejections int
	// Refused counts ejections that the floor prevented.
	Refused int
	// Returned counts ejected servers that returned to service because of the floor.
	Returned int
	// Readmitted counts successful trials, FailedTrials failed ones.
	Readmitted, FailedTrials int
}

type server struct {
	status     Status
	lastReport time.Time
	order      Order
	// orderedAt is the time at which the order was given.
	orderedAt time.Time
	// permitExpires is the time at which any permit of the owner node has expired;
	// zero if the node reported that it applies none.
	permitExpires time.Time
	// score is the last score before the ejection.
	score   float64
	backoff time.Duration
	// notBefore is the earliest time of the next ejection. It prevents repeated
	// ejections of a server that returned because of the floor whenever the
	// capacity changes.
	notBefore time.Time
	// refusalCounted is set after a prevented ejection was counted, until the server
	// is no longer classified as faulty.
	refusalCounted bool
}

// Permits manages the ejections of one service on its coordinator.
type Permits struct {
	cfg      Config
	start    time.Time
	floor    int
	servers  map[string]*server
	sorted   []*server // Sorted by name, so that decisions are deterministic.
	counters Counters
}

// NewPermits returns the state of a coordinator that starts now. No permit is
// granted before the first Decide.
func NewPermits(now time.Time, cfg Config) *Permits {
	return &Permits{cfg: cfg.withDefaults(), start: now, servers: make(map[string]*server)}
}

// Observe records one report. Reports of one owner node must arrive in the
// order in which they were sent, and each of them only after the response to
// the previous one was applied or discarded.
func (p *Permits) Observe(now time.Time, st Status) {
	s := p.servers[st.Server]
	if s == nil {
		s = &server{orderedAt: now}
		p.servers[st.Server] = s
		i, _ := slices.BinarySearchFunc(p.sorted, st.Server, func(s *server, name string) int {
			return cmp.Compare(s.status.Server, name)
		})
		p.sorted = slices.Insert(p.sorted, i, s)
	} else if s.status.Incarnation != st.Incarnation && s.order == Eject {
		s.setOrder(now, Trial) // The restart may have resolved the fault.
	}
	s.status, s.lastReport = st, now
	switch {
	case st.AppliedOrder == Serve:
		s.permitExpires = time.Time{}
	case s.permitExpires.IsZero():
		s.permitExpires = now.Add(permitLifetime) // The permit was granted by a previous coordinator.
	}
}

// Decide applies the floor and the assessments, which are keyed by server name.
// It must be called after Observe and before Order.
func (p *Permits) Decide(now time.Time, floor int, assessments map[string]Assessment) {
	p.floor = floor
	p.removeExpired(now)
	for _, s := range p.sorted {
		assessment := assessments[s.status.Server]
		p.updateTrial(now, s, assessment)
		if s.order == Serve {
			s.score = assessment.Score
			if !assessment.Faulty {
				s.refusalCounted = false
			}
		}
	}
	p.restoreCapacity(now)
	p.eject(now, assessments)
}

// Order returns the order for the response to a report, and accounts for it if
// it is a permit. It returns Serve for a server that was not observed.
func (p *Permits) Order(now time.Time, name string) Order {
	s := p.servers[name]
	if s == nil || s.order == Serve || !s.status.InService {
		return Serve
	}
	renewal := now.Before(s.permitExpires)
	if !renewal && p.capacity(now) < p.floor {
		return Serve
	}
	s.permitExpires = now.Add(permitLifetime)
	if !renewal {
		p.assertFloor(now)
	}
	return s.order
}

// Ejected returns the names of the servers that are ejected or in a trial, or
// for which a permit may be in effect.
func (p *Permits) Ejected(now time.Time) []string {
	var names []string
	for _, s := range p.sorted {
		if s.order != Serve || now.Before(s.permitExpires) {
			names = append(names, s.status.Server)
		}
	}
	return names
}

// Counters returns the current counters.
func (p *Permits) Counters() Counters { return p.counters }

// setOrder changes the order.
func (s *server) setOrder(now time.Time, o Order) { s.order, s.orderedAt = o, now }

// isAvailable reports whether the server is in service and its report is recent.
func (p *Permits) isAvailable(now time.Time, s *server) bool {
	return s.status.InService && now.Sub(s.lastReport) < p.cfg.ReportTimeout
}

// capacity counts the available servers with the order Serve and without a
// permit.
func (p *Permits) capacity(now time.Time) int {
	n := 0
	for _, s := range p.sorted {
		if s.order == Serve && p.isAvailable(now, s) && !now.Before(s.permitExpires) {
			n++
		}
	}
	return n
}

// assertFloor checks the invariant from the reports and permits only, without the
// orders.
func (p *Permits) assertFloor(now time.Time) {
	available, permits := 0, 0
	for _, s := range p.sorted {
		if p.isAvailable(now, s) {
			available++
			if now.Before(s.permitExpires) {
				permits++
			}
		}
	}
	if available-permits < p.floor {
		p.cfg.OnViolation(fmt.Sprintf("%d available servers, %d permits, floor %d", available, permits, p.floor))
	}
}

// removeExpired removes the servers without a report within Retention.
func (p *Permits) removeExpired(now time.Time) {
	p.sorted = slices.DeleteFunc(p.sorted, func(s *server) bool {
		expired := now.Sub(s.lastReport) >= p.cfg.Retention
		if expired {
			delete(p.servers, s.status.Server)
		}
		return expired
	})
}

// updateTrial starts a trial after the backoff and ends it according to its
// results.
func (p *Permits) updateTrial(now time.Time, s *server, assessment Assessment) {
	switch s.order {
	case Eject:
		if now.Sub(s.orderedAt) >= s.backoff {
			s.setOrder(now, Trial)
		}
	case Trial:
		if s.status.AppliedOrder != Trial {
			return
		}
		enough := s.status.TrialSuccesses >= p.cfg.TrialSuccesses
		switch {
		case s.status.TrialFailures > 0, enough && assessment.Slow:
			p.counters.FailedTrials++
			s.backoff = min(2*s.backoff, p.cfg.MaxBackoff)
			s.setOrder(now, Eject)
		case enough:
			p.counters.Readmitted++
			s.setOrder(now, Serve)
		}
	case Serve:
	}
}

// restoreCapacity returns the ejected servers with the lowest scores to service
// while the capacity is below the floor. Servers that are already returning
// count as capacity.
func (p *Permits) restoreCapacity(now time.Time) {
	missing := p.floor - p.capacity(now)
	var candidates []*server
	for _, s := range p.sorted {
		switch {
		case !p.isAvailable(now, s):
		case s.order != Serve:
			candidates = append(candidates, s)
		case now.Before(s.permitExpires):
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
		s.setOrder(now, Serve)
		s.notBefore = now.Add(p.cfg.InitialBackoff)
	}
}

// eject ejects faulty servers in descending order of their score, as far as the
// floor allows.
func (p *Permits) eject(now time.Time, assessments map[string]Assessment) {
	if now.Sub(p.start) < p.cfg.StartDelay {
		return
	}
	var candidates []*server
	for _, s := range p.sorted {
		if s.order == Serve && assessments[s.status.Server].Faulty && p.isAvailable(now, s) && !now.Before(s.permitExpires) && !now.Before(s.notBefore) {
			candidates = append(candidates, s)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *server) int { return cmp.Compare(b.score, a.score) })
	spare := p.capacity(now) - p.floor
	for _, s := range candidates {
		if spare <= 0 {
			if !s.refusalCounted {
				s.refusalCounted = true
				p.counters.Refused++
			}
			continue
		}
		spare--
		p.counters.Ejections++
		s.backoff = p.nextBackoff(now, s)
		s.refusalCounted = false
		s.setOrder(now, Eject)
	}
}

// nextBackoff returns twice the last backoff, halved once per BackoffHalfLife
// in service and limited to the configured range.
func (p *Permits) nextBackoff(now time.Time, s *server) time.Duration {
	if s.backoff == 0 {
		return p.cfg.InitialBackoff
	}
	halvings := min(now.Sub(s.orderedAt)/p.cfg.BackoffHalfLife, 30)
	return min(max(2*s.backoff>>halvings, p.cfg.InitialBackoff), p.cfg.MaxBackoff)
}
