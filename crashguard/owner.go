package crashguard

import (
	"slices"
	"time"
)

// Admission is the decision on a request.
type Admission uint8

const (
	// Run means that the request may run.
	Run Admission = iota
	// Delay means that the request must wait, because a suspect is running, or
	// because the request itself is a suspect and other requests are running.
	Delay
	// Refuse means that the request is blocked.
	Refuse
)

type ownerState struct {
	state   State
	expires time.Time
}

// lostRequestLifetime is the time for which a request with a lost connection is
// a possible cause of a restart that is detected later.
const lostRequestLifetime = time.Minute

// maxLostRequests is the maximum number of recorded requests with lost
// connections. It exceeds the number of requests that a backend server has in
// flight at a crash.
const maxLostRequests = 1024

// lostRequest is a request whose connection to the backend server was lost.
type lostRequest struct {
	fingerprint Fingerprint
	suspect     bool
	lostAt      time.Time
}

// Owner tracks the requests of one backend server on its owner node.
type Owner struct {
	// Version is the version of the last applied changes.
	Version        uint64
	states         map[Fingerprint]ownerState
	inFlight       map[uint64]Fingerprint
	lostRequests   []lostRequest
	suspectRunning bool
}

// NewOwner returns an owner without requests in flight.
func NewOwner() *Owner {
	return &Owner{states: make(map[Fingerprint]ownerState), inFlight: make(map[uint64]Fingerprint)}
}

// Apply applies changes from the coordinator.
func (o *Owner) Apply(now time.Time, changes []Change, version uint64) {
	for f, e := range o.states {
		if now.After(e.expires) {
			delete(o.states, f)
		}
	}
	for _, c := range changes {
		if c.State == Unknown {
			delete(o.states, c.Fingerprint)
		} else {
			o.states[c.Fingerprint] = ownerState{c.State, now.Add(c.Remaining)}
		}
	}
	o.Version = version
}

// State returns the state of a fingerprint.
func (o *Owner) State(now time.Time, f Fingerprint) State {
	e := o.states[f]
	if now.After(e.expires) {
		return Unknown
	}
	return e.state
}

// Start decides on a request and records it as in flight if it may run.
func (o *Owner) Start(now time.Time, id uint64, f Fingerprint) Admission {
	state := o.State(now, f)
	switch {
	case state == Blocked:
		return Refuse
	case o.suspectRunning, state == Suspect && len(o.inFlight) > 0:
		return Delay
	}
	o.suspectRunning = state == Suspect
	o.inFlight[id] = f
	return Run
}

// Done removes a completed request. suspectCompleted is true if the request was a
// suspect; the caller then reports this to the coordinator.
func (o *Owner) Done(id uint64) (f Fingerprint, suspectCompleted bool) {
	f, ok := o.inFlight[id]
	delete(o.inFlight, id)
	suspectCompleted = ok && o.suspectRunning
	if suspectCompleted {
		o.suspectRunning = false
		delete(o.states, f)
	}
	return f, suspectCompleted
}

// EndedWithoutResponse removes a request that ended without a response on an
// intact connection, for example because the caller canceled it. A suspect
// remains a suspect.
func (o *Owner) EndedWithoutResponse(id uint64) {
	if _, ok := o.inFlight[id]; ok {
		delete(o.inFlight, id)
		o.suspectRunning = false
	}
}

// ConnectionLost removes a request whose connection to the backend server was
// lost. If a new incarnation follows, the request counts as in flight at the
// crash. An unknown ID is ignored.
func (o *Owner) ConnectionLost(now time.Time, id uint64) {
	f, ok := o.inFlight[id]
	if !ok {
		return
	}
	if len(o.lostRequests) >= maxLostRequests {
		o.lostRequests = slices.Delete(o.lostRequests, 0, maxLostRequests/2)
	}
	o.lostRequests = append(o.lostRequests, lostRequest{fingerprint: f, suspect: o.suspectRunning, lostAt: now})
	delete(o.inFlight, id)
	o.suspectRunning = false
}

// ResponseReceived records a response to a request that started at the given
// time. Connections that were lost before that time were not lost because of a
// crash.
func (o *Owner) ResponseReceived(started time.Time) {
	o.lostRequests = slices.DeleteFunc(o.lostRequests, func(lost lostRequest) bool { return lost.lostAt.Before(started) })
}

// Restarted removes all requests after a new incarnation was observed, and
// returns the report for the coordinator. A report without fingerprints need
// not be sent.
func (o *Owner) Restarted(now time.Time, server, incarnation string) Crash {
	c := Crash{BackendServer: server, Incarnation: incarnation}
	added := make(map[Fingerprint]bool, len(o.inFlight))
	add := func(f Fingerprint) {
		if !added[f] {
			added[f] = true
			c.Fingerprints = append(c.Fingerprints, f)
		}
	}
	alone := o.suspectRunning
	for _, f := range o.inFlight {
		add(f)
	}
	for _, lost := range o.lostRequests {
		if now.Sub(lost.lostAt) < lostRequestLifetime {
			add(lost.fingerprint)
			alone = alone || lost.suspect
		}
	}
	c.Alone = alone && len(c.Fingerprints) == 1
	clear(o.inFlight)
	o.lostRequests, o.suspectRunning = nil, false
	return c
}
