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
	// unknownServiceFloor is the floor of a service that is missing from the
	// configuration; it prevents all ejections.
	unknownServiceFloor = math.MaxInt32
)

// serviceCoordinators handles the services whose coordinator is this node.
type serviceCoordinators struct {
	coordinators *coordinators

	// mu is acquired after coordinators.mu.
	mu        sync.Mutex
	created   uint64 // number of instances created, part of their IDs
	byService map[string]*serviceCoordinator
}

func newServiceCoordinators(c *coordinators) *serviceCoordinators {
	return &serviceCoordinators{coordinators: c, byService: make(map[string]*serviceCoordinator)}
}

// serviceCoordinator is the state of a service at its coordinator. It is
// guarded by serviceCoordinators.mu.
type serviceCoordinator struct {
	// id identifies this instance of the coordinator, so that owners can detect
	// that a version of the fingerprint lists belongs to another one.
	id string
	// coverage is the record history of the partition. A change means that permits
	// may have been granted elsewhere in the meantime, so the state is rebuilt.
	coverage    placement.Coverage
	detector    *detection.Detector
	permits     *ejection.Permits
	guard       *crashguard.Coordinator
	lastReports map[string]reportPosition // by owner

	evaluatedAt  time.Time
	assessments  map[string]ejection.Assessment
	levels       map[string]detection.Level
	lastCounters ejection.Counters
}

// reportPosition is the position in the sequence of reports from one owner.
type reportPosition struct {
	incarnation string
	sequence    uint64
	receivedAt  time.Time
	// backends contains the names of the backend servers in the report.
	backends map[string]bool
}

// handleReport handles the report of an owner. It reads the clock while holding
// the locks, so that a pause before that cannot let an outdated coordinator
// grant a permit.
func (s *serviceCoordinators) handleReport(p link.Peer, m *wire.ServiceReport) *wire.Answer {
	coords := s.coordinators
	coords.mu.RLock()
	defer coords.mu.RUnlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	c := s.coordinator(m.GetService(), now)
	_, member := coords.node.snapshot.Load().members[p.Node]
	if c == nil || !member || m.GetOwner() != p.Node || !c.acceptReport(now, p, m) {
		return &wire.Answer{Body: &wire.Answer_Service{Service: &wire.ServiceAnswer{NotHome: true}}}
	}
	floor := unknownServiceFloor
	if service, ok := coords.node.snapshot.Load().config.Services[m.GetService()]; ok {
		floor = service.Floor
	}
	answer := c.report(now, floor, p.Node, m)
	s.updateMetrics(c)
	return &wire.Answer{Body: &wire.Answer_Service{Service: answer}}
}

// coordinator returns the state of a service, or nil if this node may not act
// as its coordinator. coordinators.mu and s.mu are held.
func (s *serviceCoordinators) coordinator(service string, now time.Time) *serviceCoordinator {
	coords := s.coordinators
	self := coords.node.settings.Node.Name
	if !coords.active(kindService, service, now) {
		return nil
	}
	coverage, ok := coords.table.Coverage(placement.Partition(kindService, service), self)
	if !ok {
		return nil
	}
	c := s.byService[service]
	if c != nil && c.coverage == coverage {
		return c
	}
	s.created++
	for name := range s.byService {
		if _, ok := coords.table.Coverage(placement.Partition(kindService, name), self); !ok {
			delete(s.byService, name)
		}
	}
	c = &serviceCoordinator{
		id: fmt.Sprintf("%s/%s/%d", self, coords.node.incarnation(), s.created), coverage: coverage,
		detector: detection.NewDetector(detection.Config{}), permits: ejection.NewPermits(now, ejection.Config{OnViolation: coords.recordFloorViolation}),
		guard: crashguard.NewCoordinator(), lastReports: make(map[string]reportPosition),
		assessments: make(map[string]ejection.Assessment), levels: make(map[string]detection.Level),
	}
	s.byService[service] = c
	return c
}

// acceptReport enforces the order of the reports of one owner and rejects an
// outdated report, which the owner has already abandoned.
func (s *serviceCoordinator) acceptReport(now time.Time, p link.Peer, m *wire.ServiceReport) bool {
	previous := s.lastReports[p.Node]
	if p.Incarnation < previous.incarnation || p.Incarnation == previous.incarnation && m.GetSequence() <= previous.sequence {
		return false
	}
	next := reportPosition{incarnation: p.Incarnation, sequence: m.GetSequence(), receivedAt: now, backends: make(map[string]bool, len(m.GetBackends()))}
	for _, b := range m.GetBackends() {
		next.backends[b.GetBackendServer()] = true
	}
	for name := range previous.backends {
		if !next.backends[name] {
			s.removeServer(serverID(p.Node, name))
		}
	}
	s.lastReports[p.Node] = next
	return true
}

// removeExpiredOwners removes the owners that have not reported within
// ownerLifetime.
func (s *serviceCoordinator) removeExpiredOwners(now time.Time) {
	for owner, position := range s.lastReports {
		if now.Sub(position.receivedAt) < ownerLifetime {
			continue
		}
		for name := range position.backends {
			s.removeServer(serverID(owner, name))
		}
		delete(s.lastReports, owner)
	}
}

func (s *serviceCoordinator) removeServer(id string) {
	s.detector.Remove(id)
	delete(s.assessments, id)
	delete(s.levels, id)
}

// serverID returns the ID of a backend server at the coordinator. It includes
// the owner, because two owners may announce the same name.
func serverID(owner, name string) string { return owner + "/" + name }

// report processes a report and returns the ejection orders for its backend
// servers.
func (s *serviceCoordinator) report(now time.Time, floor int, owner string, m *wire.ServiceReport) *wire.ServiceAnswer {
	for _, b := range m.GetBackends() {
		status := statusFromWire(b, serverID(owner, b.GetBackendServer()))
		s.detector.Observe(now, status)
		s.permits.Observe(now, ejection.Status{
			Server: status.BackendServer, Incarnation: status.Incarnation, InService: status.InService, AppliedOrder: effectiveOrderFromWire(b),
			TrialSuccesses: status.TrialSuccesses, TrialFailures: status.TrialFailures,
		})
	}
	for _, c := range m.GetCrashes() {
		s.guard.Report(now, crashFromWire(c, serverID(owner, c.GetBackendServer())))
	}
	for _, f := range m.GetCleared() {
		s.guard.SuspectCompleted(now, fingerprintFromWire(f))
	}
	s.evaluate(now)
	s.permits.Decide(now, floor, s.assessments)
	answer := &wire.ServiceAnswer{GuardHome: s.id}
	for _, b := range m.GetBackends() {
		name := b.GetBackendServer()
		switch s.permits.Order(now, serverID(owner, name)) {
		case ejection.Eject:
			answer.Ejected = append(answer.Ejected, name)
		case ejection.Trial:
			answer.Trial = append(answer.Trial, name)
		case ejection.Serve:
			if l := s.levels[serverID(owner, name)]; l == detection.Suspected || l == detection.Faulty {
				answer.Suspected = append(answer.Suspected, name)
			}
		}
	}
	after := uint64(0)
	if m.GetGuardHome() == s.id {
		after = m.GetGuardVersion()
	}
	changes, version := s.guard.Changes(now, after)
	answer.Fingerprints, answer.GuardVersion = fingerprintChangesToWire(changes), version
	return answer
}

func effectiveOrderFromWire(b *wire.BackendStatus) ejection.Order {
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
func (s *serviceCoordinator) evaluate(now time.Time) {
	if now.Sub(s.evaluatedAt) < evaluationInterval {
		return
	}
	s.evaluatedAt = now
	s.removeExpiredOwners(now)
	for _, v := range s.detector.Evaluate(now) {
		s.levels[v.BackendServer] = v.Level
		s.assessments[v.BackendServer] = ejection.Assessment{
			Faulty: v.Level == detection.Faulty, Score: v.Score, Slow: s.detector.IsSlow(v.BackendServer),
		}
	}
}

// updateMetrics updates the metrics with the decisions made since the last
// call.
func (s *serviceCoordinators) updateMetrics(c *serviceCoordinator) {
	current, before := c.permits.Counters(), c.lastCounters
	m := s.coordinators.node.metrics
	m.ejections.Inc(int64(current.Ejections - before.Ejections))
	m.floorRefused.Inc(int64(current.Refused - before.Refused))
	m.floorReturned.Inc(int64(current.Returned - before.Returned))
	m.readmissions.Inc(int64(current.Readmitted - before.Readmitted))
	m.failedTrials.Inc(int64(current.FailedTrials - before.FailedTrials))
	c.lastCounters = current
}

// ejected returns the backend servers of a service that have an ejection
// permit, or nil if this node is not the coordinator of the service.
func (s *serviceCoordinators) ejected(service string) []string {
	s.coordinators.mu.RLock()
	defer s.coordinators.mu.RUnlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	c := s.byService[service]
	if c == nil || !s.coordinators.active(kindService, service, now) {
		return nil
	}
	names := c.permits.Ejected(now)
	for i, name := range names {
		_, names[i], _ = strings.Cut(name, "/")
	}
	return names
}
