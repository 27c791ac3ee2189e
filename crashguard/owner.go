package crashguard

import "time"

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

// Owner guards one backend server.
type Owner struct {
	// Version of the home's lists that were applied.
	Version  uint64
	states   map[Fingerprint]entry
	inFlight map[uint64]Fingerprint
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

// Start decides a request and counts it in flight if it may run.
func (o *Owner) Start(now time.Time, id uint64, f Fingerprint) Admission {
	e := o.states[f]
	if now.After(e.expires) {
		e.state = Unknown
	}
	switch {
	case e.state == Convicted:
		return Refuse
	case o.alone, e.state == Suspect && len(o.inFlight) > 0:
		return Delay
	}
	o.alone = e.state == Suspect
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

// Lost ends everything in flight after the connection was lost and a new
// incarnation followed, and returns the report for the home.
func (o *Owner) Lost(server, incarnation string) Crash {
	c := Crash{BackendServer: server, Incarnation: incarnation, Alone: o.alone}
	seen := make(map[Fingerprint]bool, len(o.inFlight))
	for _, f := range o.inFlight {
		if !seen[f] {
			seen[f] = true
			c.Fingerprints = append(c.Fingerprints, f)
		}
	}
	clear(o.inFlight)
	o.alone = false
	return c
}
