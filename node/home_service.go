package node

import (
	"fmt"
	"math"
	"strings"
	"sync"
	"time"

	"trefoildock.example/crashguard"
	"trefoildock.example/detection"
	"trefoildock.example/ejection"
	"trefoildock.example/link"
	"trefoildock.example/placement"
	"trefoildock.example/wire"
)

const (
	// evaluationInterval is the minimum time between two evaluations of the
	// backend servers of a service. An evaluation is costly for large services,
	// and each owner sends a report every 500 ms.
	evaluationInterval = 100 * time.Millisecond
	// ownerLifetime is the time after which the state of an owner without reports
	// is removed.
	ownerLifetime = time.Minute
	// noFloor is the floor of a service that is missing from the configuration; it
	// prevents all ejections.
	noFloor = math.MaxInt32
)

// services handles the services whose home is this node.
type services struct {
	homes *homes

	// mu is acquired after homes.mu.
	mu      sync.Mutex
	created uint64
	byName  map[string]*serviceHome
}

func newServices(h *homes) *services {
	return &services{homes: h, byName: make(map[string]*serviceHome)}
}

// serviceHome is the state of a service at its home. It is guarded by
// services.mu.
type serviceHome struct {
	// id identifies this instance of the home, so that owners can detect that a
	// version of the fingerprint lists belongs to another one.
	id string
	// memory is the record history of the partition. A change means that permits
	// may have been granted elsewhere in the meantime, so the state is rebuilt.
	memory   placement.Memory
	detector *detection.Detector
	permits  *ejection.Permits
	guard    *crashguard.Home
	last     map[string]reportMark // by owner

	evaluated time.Time
	judged    map[string]ejection.Judgement
	levels    map[string]detection.Level
	counted   ejection.Counters
}

// reportMark is the position in the sequence of reports from one owner.
type reportMark struct {
	incarnation string
	sequence    uint64
	seen        time.Time
	// backends contains the names of the backend servers in the report.
	backends map[string]bool
}

// answer handles the report of an owner. It reads the clock while holding the
// locks, so that a pause before that cannot let an outdated home grant a
// permit.
func (s *services) answer(p link.Peer, m *wire.ServiceReport) *wire.Answer {
	h := s.homes
	h.mu.RLock()
	defer h.mu.RUnlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	home := s.home(m.GetService(), now)
	_, member := h.node.snapshot.Load().members[p.Node]
	if home == nil || !member || m.GetOwner() != p.Node || !home.accept(now, p, m) {
		return &wire.Answer{Body: &wire.Answer_Service{Service: &wire.ServiceAnswer{NotHome: true}}}
	}
	floor := noFloor
	if service, ok := h.node.snapshot.Load().config.Services[m.GetService()]; ok {
		floor = service.Floor
	}
	answer := home.report(now, floor, p.Node, m)
	s.count(home)
	return &wire.Answer{Body: &wire.Answer_Service{Service: answer}}
}

// home returns the state of a service, or nil if this node may not act as its
// home. homes.mu and s.mu are held.
func (s *services) home(service string, now time.Time) *serviceHome {
	h := s.homes
	self := h.node.settings.Node.Name
	if !h.active(kindService, service, now) {
		return nil
	}
	memory, ok := h.table.MemorySince(placement.Partition(kindService, service), self)
	if !ok {
		return nil
	}
	home := s.byName[service]
	if home != nil && home.memory == memory {
		return home
	}
	s.created++
	for name := range s.byName {
		if _, ok := h.table.MemorySince(placement.Partition(kindService, name), self); !ok {
			delete(s.byName, name)
		}
	}
	home = &serviceHome{
		id: fmt.Sprintf("%s/%s/%d", self, h.node.incarnation(), s.created), memory: memory,
		detector: detection.NewDetector(detection.Config{}), permits: ejection.NewPermits(now, ejection.Config{Violated: h.floorViolated}),
		guard: crashguard.NewHome(), last: make(map[string]reportMark),
		judged: make(map[string]ejection.Judgement), levels: make(map[string]detection.Level),
	}
	s.byName[service] = home
	return home
}

// accept enforces the order of the reports of one owner and rejects an outdated
// report, which the owner has already abandoned.
func (s *serviceHome) accept(now time.Time, p link.Peer, m *wire.ServiceReport) bool {
	mark := s.last[p.Node]
	if p.Incarnation < mark.incarnation || p.Incarnation == mark.incarnation && m.GetSequence() <= mark.sequence {
		return false
	}
	next := reportMark{incarnation: p.Incarnation, sequence: m.GetSequence(), seen: now, backends: make(map[string]bool, len(m.GetBackends()))}
	for _, b := range m.GetBackends() {
		next.backends[b.GetBackendServer()] = true
	}
	for name := range mark.backends {
		if !next.backends[name] {
			s.forget(serverKey(p.Node, name))
		}
	}
	s.last[p.Node] = next
	return true
}

// forgetSilent removes the owners that have not reported within ownerLifetime.
func (s *serviceHome) forgetSilent(now time.Time) {
	for owner, mark := range s.last {
		if now.Sub(mark.seen) < ownerLifetime {
			continue
		}
		for name := range mark.backends {
			s.forget(serverKey(owner, name))
		}
		delete(s.last, owner)
	}
}

func (s *serviceHome) forget(key string) {
	s.detector.Forget(key)
	delete(s.judged, key)
	delete(s.levels, key)
}

// serverKey returns the key of a backend server at the home. It includes the
// owner, because two owners may announce the same name.
func serverKey(owner, name string) string { return owner + "/" + name }

// report processes a report and returns the ejection orders for its backend
// servers.
func (s *serviceHome) report(now time.Time, floor int, owner string, m *wire.ServiceReport) *wire.ServiceAnswer {
	for _, b := range m.GetBackends() {
		status := statusFromWire(b, serverKey(owner, b.GetBackendServer()))
		s.detector.Observe(now, status)
		s.permits.Observe(now, ejection.Status{
			Server: status.BackendServer, Incarnation: status.Incarnation, InService: status.InService, Obeyed: obeyedFromWire(b),
			TrialSuccesses: status.TrialSuccesses, TrialFailures: status.TrialFailures,
		})
	}
	for _, c := range m.GetCrashes() {
		s.guard.Report(now, crashFromWire(c, serverKey(owner, c.GetBackendServer())))
	}
	for _, f := range m.GetCleared() {
		s.guard.Cleared(now, fingerprintFrom(f))
	}
	s.evaluate(now)
	s.permits.Decide(now, floor, s.judged)
	answer := &wire.ServiceAnswer{GuardHome: s.id}
	for _, b := range m.GetBackends() {
		name := b.GetBackendServer()
		switch s.permits.Order(now, serverKey(owner, name)) {
		case ejection.Eject:
			answer.Ejected = append(answer.Ejected, name)
		case ejection.Trial:
			answer.Trial = append(answer.Trial, name)
		case ejection.Serve:
			if l := s.levels[serverKey(owner, name)]; l == detection.Suspected || l == detection.Bad {
				answer.Suspected = append(answer.Suspected, name)
			}
		}
	}
	after := uint64(0)
	if m.GetGuardHome() == s.id {
		after = m.GetGuardVersion()
	}
	changes, version := s.guard.Changes(now, after)
	answer.Fingerprints, answer.GuardVersion = changesToWire(changes), version
	return answer
}

func obeyedFromWire(b *wire.BackendStatus) ejection.Order {
	switch {
	case b.GetTrial():
		return ejection.Trial
	case b.GetEjected():
		return ejection.Eject
	default:
		return ejection.Serve
	}
}

// evaluate runs outlier detection over the backend servers of the service.
func (s *serviceHome) evaluate(now time.Time) {
	if now.Sub(s.evaluated) < evaluationInterval {
		return
	}
	s.evaluated = now
	s.forgetSilent(now)
	for _, v := range s.detector.Evaluate(now) {
		s.levels[v.BackendServer] = v.Level
		s.judged[v.BackendServer] = ejection.Judgement{
			Bad: v.Level == detection.Bad, Score: v.Score, Slow: s.detector.Lags(v.BackendServer),
		}
	}
}

// count updates the metrics with the decisions made since the last call.
func (s *services) count(home *serviceHome) {
	now, before := home.permits.Counters(), home.counted
	m := s.homes.node.metrics
	m.ejections.Inc(int64(now.Ejections - before.Ejections))
	m.floorRefused.Inc(int64(now.Refused - before.Refused))
	m.floorReturned.Inc(int64(now.Returned - before.Returned))
	m.readmissions.Inc(int64(now.Readmitted - before.Readmitted))
	m.failedTrials.Inc(int64(now.FailedTrials - before.FailedTrials))
	home.counted = now
}

// ejected returns the backend servers of a service that have an ejection
// permit, or nil if this node is not the home of the service.
func (s *services) ejected(service string) []string {
	s.homes.mu.RLock()
	defer s.homes.mu.RUnlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	home := s.byName[service]
	if home == nil || !s.homes.active(kindService, service, now) {
		return nil
	}
	names := home.permits.Ejected(now)
	for i, name := range names {
		_, names[i], _ = strings.Cut(name, "/")
	}
	return names
}
