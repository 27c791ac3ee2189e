package node

import (
	"sync"
	"time"

	"trefoildock.example/admission"
	"trefoildock.example/wire"
)

const (
	// loadMaxAge is the age at which a load report expires. The owner is then
	// considered idle, so that it receives a request and reports again.
	loadMaxAge = time.Second
	// linkFailureBackoff is the time for which an owner is not selected after its
	// link failed.
	linkFailureBackoff = time.Second
)

// ownerRef identifies an owner of a service.
type ownerRef struct {
	node    string
	zone    string
	address string
}

type loadKey struct{ node, service string }

type loadEntry struct {
	inFlight, queued, limit, weight uint32
	// outstanding is the number of outstanding requests from this entry.
	outstanding uint32
	reportedAt  time.Time
	failedUntil time.Time
}

// loadTable holds the load reported by owners in their latest responses. It is
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
	e.reportedAt = time.Now()
	e.failedUntil = time.Time{}
}

// recordFailure records that the owner is unreachable.
func (t *loadTable) recordFailure(node, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(node, service).failedUntil = time.Now().Add(linkFailureBackoff)
}

// begin and end count the outstanding requests from this entry to an owner.
func (t *loadTable) begin(node, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(node, service).outstanding++
}

func (t *loadTable) end(node, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(node, service).outstanding--
}

// usable reports whether the owner may accept new work according to its latest
// report.
func (t *loadTable) usable(node, service string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.get(node, service)
	if now.Before(e.failedUntil) {
		return false
	}
	return e.weight > 0 || now.Sub(e.reportedAt) > loadMaxAge
}

// outOfService reports whether the owner accepted no new work at its latest
// report.
func (t *loadTable) outOfService(node, service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.get(node, service).weight == 0
}

// score returns the expected occupancy of the owner; lower is better.
func (t *loadTable) score(node, service string, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.get(node, service)
	occupied := float64(e.outstanding)
	limit := 1.0
	if now.Sub(e.reportedAt) <= loadMaxAge {
		occupied = max(occupied, float64(e.inFlight+e.queued))
		limit = max(float64(e.limit), 1)
		// A suspected backend server has a lower weight and gets a proportionally
		// smaller share.
		limit *= float64(min(max(e.weight, 1), admission.FullWeight)) / admission.FullWeight
	}
	return (occupied + 1) / limit
}

// unproven reports whether the owner was on trial or out of service at its
// latest report. For an owner that usable accepts, a report of being out of
// service is older than loadMaxAge.
func (t *loadTable) unproven(node, service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.get(node, service).weight <= admission.TrialWeight
}

// remove removes the entries of a former member.
func (t *loadTable) remove(node string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k := range t.entries {
		if k.node == node {
			delete(t.entries, k)
		}
	}
}
