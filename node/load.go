package node

import (
	"sync"
	"time"

	"trefoildock.example/admission"
	"trefoildock.example/wire"
)

const (
	// loadMaxAge is the age at which a load report no longer counts; the owner
	// is then taken as idle, so that it gets a request and reports again.
	loadMaxAge = time.Second
	// failurePause keeps an owner out of the choice after its link failed.
	failurePause = time.Second
)

// ownerRef names one owner of a service.
type ownerRef struct {
	node    string
	zone    string
	address string
}

type loadKey struct{ node, service string }

type loadEntry struct {
	inFlight, queued, limit, weight uint32
	// sent counts requests of this entry that are not yet answered.
	sent        uint32
	seen        time.Time
	failedUntil time.Time
}

// loadTable holds the load that owners reported with their last replies. It is
// safe for concurrent use.
type loadTable struct {
	mu      sync.Mutex
	entries map[loadKey]*loadEntry
}

func newLoadTable() *loadTable {
	return &loadTable{entries: make(map[loadKey]*loadEntry)}
}

func (t *loadTable) get(node, service string) *loadEntry {
	k := loadKey{node, service}
	e := t.entries[k]
	if e == nil {
		e = &loadEntry{weight: admission.FullWeight}
		t.entries[k] = e
	}
	return e
}

// update records a load report.
func (t *loadTable) update(node, service string, l *wire.Load) {
	if l == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.get(node, service)
	e.inFlight, e.queued, e.limit, e.weight = l.GetInFlight(), l.GetQueued(), l.GetLimit(), l.GetWeight()
	e.seen = time.Now()
	e.failedUntil = time.Time{}
}

// fail records that the owner could not be reached.
func (t *loadTable) fail(node, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(node, service).failedUntil = time.Now().Add(failurePause)
}

// begin and end count the requests of this entry at an owner.
func (t *loadTable) begin(node, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(node, service).sent++
}

func (t *loadTable) end(node, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(node, service).sent--
}

// usable reports whether the owner may take new work as far as is known.
func (t *loadTable) usable(node, service string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.get(node, service)
	if now.Before(e.failedUntil) {
		return false
	}
	return e.weight > 0 || now.Sub(e.seen) > loadMaxAge
}

// outOfService reports whether the last reply said that the owner takes no new work.
func (t *loadTable) outOfService(node, service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.get(node, service).weight == 0
}

// score is the expected occupancy of the owner; lower is better.
func (t *loadTable) score(node, service string, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.get(node, service)
	busy := float64(e.sent)
	limit := 1.0
	if now.Sub(e.seen) <= loadMaxAge {
		busy = max(busy, float64(e.inFlight+e.queued))
		limit = max(float64(e.limit), 1)
		// A backend server that looks bad gets the share of its lower weight.
		limit *= float64(min(max(e.weight, 1), admission.FullWeight)) / admission.FullWeight
	}
	return (busy + 1) / limit
}

// unproven reports whether the owner is on trial, or said that it takes no new
// work so long ago that it may take some by now.
func (t *loadTable) unproven(node, service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.get(node, service).weight <= admission.TrialWeight
}

// forget drops the entries of a node that has left.
func (t *loadTable) forget(node string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k := range t.entries {
		if k.node == node {
			delete(t.entries, k)
		}
	}
}
