package placement

import "time"

// Activate records that at now a quorum of attesters was seen to attest the
// member version (freshness.State.QuorumVersions). Homes made by that version
// or an earlier one may act from now plus ActivationWait. Repeated and older
// versions are ignored. Of a version above the one held only the part that is
// held counts, so the caller repeats the call after it applied changes.
func (t *Table) Activate(version uint64, now time.Time) {
	version = min(version, t.version)
	if version <= t.attested {
		return
	}
	t.attested = version
	if t.base.IsZero() {
		t.base = now
	}
	at := now.Add(ActivationWait).Sub(t.base)
	for p := range t.homes {
		h := &t.homes[p]
		if h.activeAt != never || h.version > version {
			continue
		}
		h.activeAt = at
		if h.memory == never {
			h.memory = at
		}
	}
}

// Active reports whether self is the home of the partition and may act as
// such. The caller also has to be fresh.
func (t *Table) Active(partition int, self string, now time.Time) bool {
	h := &t.homes[partition]
	if !t.isHome(h, self) || h.activeAt == never {
		return false
	}
	return h.activeAt == firstStart || now.Sub(t.base) >= h.activeAt
}

func (t *Table) isHome(h *home, self string) bool {
	return h.node != nobody && t.nodes[h.node] == self
}

// Memory says how far back a home remembers a partition.
type Memory struct {
	// Complete is true if the memory began with the first start of the
	// deployment.
	Complete bool
	// Since is the start of the memory, a reading of the monotonic clock. It is
	// not set if Complete is true.
	Since time.Time
}

// MemorySince returns since when self has remembered the partition without a
// gap. It is the time from which self may act, or the predecessor's start if
// the predecessor handed its memory over. ok is false if self is not the home
// or its memory has not begun.
func (t *Table) MemorySince(partition int, self string) (m Memory, ok bool) {
	h := &t.homes[partition]
	switch {
	case !t.isHome(h, self) || h.memory == never:
		return Memory{}, false
	case h.memory == firstStart:
		return Memory{Complete: true}, true
	default:
		return Memory{Since: t.base.Add(h.memory)}, true
	}
}

// Inherit records that the previous home of the partition, whose planned stop
// is the member change version, handed over all that it remembers. It returns
// false if the present home was made by another change: a home in between may
// have acted, so the memory has a gap. The previous home must have been active
// and must have stopped acting before it wrote the handover. No other home can
// act then, so the present one need not wait and acts from now on.
func (t *Table) Inherit(partition int, version uint64, m Memory, now time.Time) bool {
	h := &t.homes[partition]
	if h.node == nobody || h.version != version || h.activeAt == firstStart {
		return false
	}
	if t.base.IsZero() {
		t.base = now
	}
	h.activeAt = min(h.activeAt, now.Sub(t.base))
	if m.Complete {
		h.memory = firstStart
		return true
	}
	h.memory = m.Since.Sub(t.base)
	return true
}
