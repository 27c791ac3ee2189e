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
	// evaluationInterval bounds how often the home compares the backend servers
	// of a service. Their number makes one comparison costly, and there is a
	// report per owner every 500 ms.
	evaluationInterval = 100 * time.Millisecond
	// ownerLifetime is the time after its last report at which an owner is
	// forgotten.
	ownerLifetime = time.Minute
	// noFloor is the floor of a service that the configuration does not know:
	// nothing may be ejected.
	noFloor = math.MaxInt32
)

// services serves the services whose home is this node.
type services struct {
	homes *homes

	// mu is locked after homes.mu.
	mu      sync.Mutex
	created uint64
	byName  map[string]*serviceHome
}

func newServices(h *homes) *services {
	return &services{homes: h, byName: make(map[string]*serviceHome)}
}

// serviceHome is the state of one service at its home. It is guarded by services.mu.
type serviceHome struct {
	// id tells owners whether the versions of the fingerprint lists are of the same
	// home as before.
	id string
	// memory is that of the partition; a home whose memory began anew knows nothing
	// of the permits that were given meanwhile.
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

// reportMark orders the reports of one owner.
type reportMark struct {
	incarnation string
	sequence    uint64
	seen        time.Time
	// backends are the names of the backend servers in the report.
	backends map[string]bool
}

// answer serves the report of an owner. The clock is read after the locks are
// held, so that a pause before cannot make an outdated home grant a permit.
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

// accept orders the reports of one owner and refuses a late one, whose answer
// nobody waits for.
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

// forgetSilent drops the owners that have not reported for long.
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

// serverKey names a backend server at the home. Two owners may announce the
// same name.
func serverKey(owner, name string) string { return owner + "/" + name }

// report takes over a report and returns the orders for its backend servers.
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

// evaluate judges the backend servers.
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

// count passes the decisions on to the metrics.
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

// ejected returns the backend servers of a service that hold a permit, as far as
// this node is the home of the service.
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
