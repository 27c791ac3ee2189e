package crashguard

import "time"

const (
	// Expiry is the time without a crash after which a record is removed.
	Expiry = 10 * time.Minute
	// MaxRecords is the maximum number of fingerprints with a record, and of
	// recorded crashes. A further fingerprint evicts the record that expires
	// first; a further crash is ignored.
	MaxRecords = 4096
)

// State is the state of a fingerprint.
type State uint8

const (
	// Unknown means that the fingerprint has no record.
	Unknown State = iota
	// Suspect means that the request runs on a backend server without concurrent
	// requests.
	Suspect
	// Blocked means that the request must not run.
	Blocked
)

// Crash is the report of the crash of one incarnation of a backend server.
type Crash struct {
	// BackendServer is the name of the backend server.
	BackendServer string
	// Incarnation is the incarnation that ended.
	Incarnation string
	// Alone is true if a suspect was the only request in flight.
	Alone bool
	// Fingerprints holds the fingerprints of the requests in flight.
	Fingerprints []Fingerprint
}

type record struct {
	state   State
	expires time.Time
	version uint64
}

// Coordinator keeps the states of the fingerprints of one service on its
// coordinator.
type Coordinator struct {
	version         uint64
	records         map[Fingerprint]record
	reportedCrashes map[string]time.Time
}

// NewCoordinator returns a coordinator state without records.
func NewCoordinator() *Coordinator {
	return &Coordinator{records: make(map[Fingerprint]record), reportedCrashes: make(map[string]time.Time)}
}

// Report records a crash, once per incarnation. Every unknown fingerprint
// becomes a suspect. A suspect is blocked only if the crash happened while it
// was the only request in flight, because a concurrent request may have been
// the cause otherwise.
func (c *Coordinator) Report(now time.Time, crash Crash) {
	c.expire(now)
	id := crash.BackendServer + "\x00" + crash.Incarnation
	if _, ok := c.reportedCrashes[id]; ok || len(c.reportedCrashes) >= MaxRecords {
		return
	}
	c.reportedCrashes[id] = now.Add(Expiry)
	for _, f := range crash.Fingerprints {
		r := c.records[f]
		switch {
		case r.state == Suspect && crash.Alone:
			r.state = Blocked
		case r.state == Unknown:
			r.state = Suspect
		}
		c.setState(now, f, r.state)
	}
}

// SuspectCompleted records that a suspect completed without concurrent requests.
func (c *Coordinator) SuspectCompleted(now time.Time, f Fingerprint) {
	if c.records[f].state == Suspect {
		c.setState(now, f, Unknown)
	}
}

func (c *Coordinator) setState(now time.Time, f Fingerprint, s State) {
	if _, ok := c.records[f]; !ok && len(c.records) >= MaxRecords {
		c.evict()
	}
	c.version++
	c.records[f] = record{state: s, expires: now.Add(Expiry), version: c.version}
}

// evict removes the record that expires first.
func (c *Coordinator) evict() {
	var first Fingerprint
	var expires time.Time
	for f, r := range c.records {
		if expires.IsZero() || r.expires.Before(expires) {
			first, expires = f, r.expires
		}
	}
	delete(c.records, first)
}

func (c *Coordinator) expire(now time.Time) {
	for f, r := range c.records {
		if now.After(r.expires) {
			delete(c.records, f)
		}
	}
	for id, at := range c.reportedCrashes {
		if now.After(at) {
			delete(c.reportedCrashes, id)
		}
	}
}

// Change is the new state of one fingerprint.
type Change struct {
	// Fingerprint is the fingerprint of the request.
	Fingerprint Fingerprint
	// State replaces the previous state; Unknown removes it.
	State State
	// Remaining is the time until the state expires.
	Remaining time.Duration
}

// Changes returns the changes since a version, and the current version.
func (c *Coordinator) Changes(now time.Time, since uint64) ([]Change, uint64) {
	c.expire(now)
	var changes []Change
	for f, r := range c.records {
		if r.version > since {
			changes = append(changes, Change{Fingerprint: f, State: r.state, Remaining: r.expires.Sub(now)})
		}
	}
	return changes, c.version
}
