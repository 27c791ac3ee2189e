package crashguard

import (
	"slices"
	"time"
)

// Admission says how a request may run.
type Admission uint8

const (
	// Run means that the request runs beside others.
	Run Admission = iota
	// Delay means that the request waits, because a suspect runs alone or is
	// itself the suspect and others are running.
	Delay
	// Refuse means that the request is convicted.
	Refuse
)

type entry struct {
	state   State
	expires time.Time
}

// brokenLifetime is how long a request whose connection was lost may be the
// cause of a restart that is noticed later.
const brokenLifetime = time.Minute

// maxBroken bounds the requests with lost connections that are remembered. A
// backend server has fewer in flight at a crash.
const maxBroken = 1024

// brokenRequest is a request whose connection was lost.
type brokenRequest struct {
	fingerprint Fingerprint
	alone       bool
	at          time.Time
}

// Owner guards one backend server.
type Owner struct {
	// Version of the home's lists that were applied.
	Version  uint64
	states   map[Fingerprint]entry
	inFlight map[uint64]Fingerprint
	broken   []brokenRequest
	alone    bool
}

// NewOwner returns an owner without requests in flight.
func NewOwner() *Owner {
	return &Owner{states: make(map[Fingerprint]entry), inFlight: make(map[uint64]Fingerprint)}
}

// Apply takes over changes from the home.
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
			o.states[c.Fingerprint] = entry{c.State, now.Add(c.Left)}
		}
	}
	o.Version = version
}

// State returns the standing of a fingerprint.
func (o *Owner) State(now time.Time, f Fingerprint) State {
	e := o.states[f]
	if now.After(e.expires) {
		return Unknown
	}
	return e.state
}

// Start decides a request and counts it in flight if it may run.
func (o *Owner) Start(now time.Time, id uint64, f Fingerprint) Admission {
	state := o.State(now, f)
	switch {
	case state == Convicted:
		return Refuse
	case o.alone, state == Suspect && len(o.inFlight) > 0:
		return Delay
	}
	o.alone = state == Suspect
	o.inFlight[id] = f
	return Run
}

// Done ends a request that has completed. cleared is true if it was a suspect
// that ran alone; the caller then reports it to the home.
func (o *Owner) Done(id uint64) (f Fingerprint, cleared bool) {
	f, known := o.inFlight[id]
	delete(o.inFlight, id)
	cleared = known && o.alone
	if cleared {
		o.alone = false
		delete(o.states, f)
	}
	return f, cleared
}

// Unanswered ends a request without an answer while the connection held, for
// example because its caller left. It clears nothing.
func (o *Owner) Unanswered(id uint64) {
	if _, known := o.inFlight[id]; known {
		delete(o.inFlight, id)
		o.alone = false
	}
}

// Broken ends a request whose connection to the backend server was lost. It
// counts as in flight at the crash if a new incarnation follows. An unknown id is
// ignored.
func (o *Owner) Broken(now time.Time, id uint64) {
	f, known := o.inFlight[id]
	if !known {
		return
	}
	if len(o.broken) >= maxBroken {
		o.broken = slices.Delete(o.broken, 0, maxBroken/2)
	}
	o.broken = append(o.broken, brokenRequest{fingerprint: f, alone: o.alone, at: now})
	delete(o.inFlight, id)
	o.alone = false
}

// Alive notes a request that started at the given time and was answered:
// connections lost before it started were not lost by the end of the process.
func (o *Owner) Alive(started time.Time) {
	o.broken = slices.DeleteFunc(o.broken, func(b brokenRequest) bool { return b.at.Before(started) })
}

// Lost ends everything in flight after a new incarnation was seen, and returns
// the report for the home. Without fingerprints there is nothing to report.
func (o *Owner) Lost(now time.Time, server, incarnation string) Crash {
	c := Crash{BackendServer: server, Incarnation: incarnation}
	seen := make(map[Fingerprint]bool, len(o.inFlight))
	add := func(f Fingerprint) {
		if !seen[f] {
			seen[f] = true
			c.Fingerprints = append(c.Fingerprints, f)
		}
	}
	alone := o.alone
	for _, f := range o.inFlight {
		add(f)
	}
	for _, b := range o.broken {
		if now.Sub(b.at) < brokenLifetime {
			add(b.fingerprint)
			alone = alone || b.alone
		}
	}
	c.Alone = alone && len(c.Fingerprints) == 1
	clear(o.inFlight)
	o.broken, o.alone = nil, false
	return c
}
