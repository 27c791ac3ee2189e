package crashguard

import "time"

const (
	// Expiry is the time without a crash after which a record is dropped.
	Expiry = 10 * time.Minute
	// MaxRecords bounds the fingerprints known to a home. A report that does
	// not fit drops the records that expire first.
	MaxRecords = 4096
)

// State is the standing of a fingerprint.
type State uint8

const (
	// Unknown means that nothing is held against the fingerprint.
	Unknown State = iota
	// Suspect means that the request runs alone on a backend server.
	Suspect
	// Convicted means that the request is refused.
	Convicted
)

// Crash reports the loss of one incarnation of a backend server.
type Crash struct {
	// BackendServer is the name of the server.
	BackendServer string
	// Incarnation is the one that ended.
	Incarnation string
	// Alone is true if the only request in flight was a suspect.
	Alone bool
	// Fingerprints of the requests in flight.
	Fingerprints []Fingerprint
}

type record struct {
	state   State
	expires time.Time
	version uint64
}

// Home keeps the lists of one service.
type Home struct {
	version uint64
	records map[Fingerprint]record
	seen    map[string]time.Time
}

// NewHome returns a home without suspects.
func NewHome() *Home {
	return &Home{records: make(map[Fingerprint]record), seen: make(map[string]time.Time)}
}

// Report counts a crash once per incarnation. Every unknown fingerprint becomes
// a suspect. A suspect is convicted only by a crash while it ran alone, because
// a request beside it may have been the cause.
func (h *Home) Report(now time.Time, c Crash) {
	h.expire(now)
	crash := c.BackendServer + "\x00" + c.Incarnation
	if _, known := h.seen[crash]; known || len(h.seen) >= MaxRecords {
		return
	}
	h.seen[crash] = now.Add(Expiry)
	for _, f := range c.Fingerprints {
		r := h.records[f]
		switch {
		case r.state == Suspect && c.Alone:
			r.state = Convicted
		case r.state == Unknown:
			r.state = Suspect
		}
		h.put(now, f, r.state)
	}
}

// Cleared notes that a suspect completed while it ran alone.
func (h *Home) Cleared(now time.Time, f Fingerprint) {
	if h.records[f].state == Suspect {
		h.put(now, f, Unknown)
	}
}

func (h *Home) put(now time.Time, f Fingerprint, s State) {
	if _, known := h.records[f]; !known && len(h.records) >= MaxRecords {
		h.evict()
	}
	h.version++
	h.records[f] = record{state: s, expires: now.Add(Expiry), version: h.version}
}

// evict drops the record that expires first.
func (h *Home) evict() {
	var oldest Fingerprint
	var at time.Time
	for f, r := range h.records {
		if at.IsZero() || r.expires.Before(at) {
			oldest, at = f, r.expires
		}
	}
	delete(h.records, oldest)
}

func (h *Home) expire(now time.Time) {
	for f, r := range h.records {
		if now.After(r.expires) {
			delete(h.records, f)
		}
	}
	for c, at := range h.seen {
		if now.After(at) {
			delete(h.seen, c)
		}
	}
}

// Change is the new state of one fingerprint.
type Change struct {
	// Fingerprint of the request.
	Fingerprint Fingerprint
	// State replaces the earlier one; Unknown clears it.
	State State
	// Left is the time until the state expires.
	Left time.Duration
}

// Changes returns what changed after a version, and the version reached.
func (h *Home) Changes(now time.Time, after uint64) ([]Change, uint64) {
	h.expire(now)
	var changes []Change
	for f, r := range h.records {
		if r.version > after {
			changes = append(changes, Change{Fingerprint: f, State: r.state, Left: r.expires.Sub(now)})
		}
	}
	return changes, h.version
}
