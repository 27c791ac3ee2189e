package placement

import "time"

// Activate records that at now a quorum of attesters was observed to attest the
// member version (freshness.State.QuorumVersions). Coordinators assigned by
// that version or an earlier one may act from now plus ActivationDelay. Repeated
// and older versions are ignored. A version above that of the table counts only
// up to the version of the table, so the caller calls Activate again after it
// has applied changes.
func (t *Table) Activate(version uint64, now time.Time) {
	version = min(version, t.version)
	if version <= t.attestedVersion {
		return
	}
	t.attestedVersion = version
	if t.timeBase.IsZero() {
		t.timeBase = now
	}
	at := now.Add(ActivationDelay).Sub(t.timeBase)
	for p := range t.assignments {
		a := &t.assignments[p]
		if a.activeAt != notSet || a.version > version {
			continue
		}
		a.activeAt = at
		if a.coveredSince == notSet {
			a.coveredSince = at
		}
	}
}

// Active reports whether self is the coordinator of the partition and may act
// as such. The caller also has to be fresh.
func (t *Table) Active(partition int, self string, now time.Time) bool {
	a := &t.assignments[partition]
	if !t.isCoordinator(a, self) || a.activeAt == notSet {
		return false
	}
	return a.activeAt == deploymentStart || now.Sub(t.timeBase) >= a.activeAt
}

func (t *Table) isCoordinator(a *assignment, self string) bool {
	return a.node != noNode && t.nodes[a.node] == self
}

// Coverage is the period for which a coordinator holds all records of a
// partition.
type Coverage struct {
	// Complete is true if the period began with the first start of the
	// deployment.
	Complete bool
	// Since is the start of the period, a reading of the monotonic clock. It is
	// not set if Complete is true.
	Since time.Time
}

// Coverage returns the period for which self holds the records of the
// partition without a gap. It begins when self may act, or with the period of
// the predecessor if the predecessor handed its records over. ok is false if
// self is not the coordinator or its period has not begun.
func (t *Table) Coverage(partition int, self string) (coverage Coverage, ok bool) {
	a := &t.assignments[partition]
	switch {
	case !t.isCoordinator(a, self) || a.coveredSince == notSet:
		return Coverage{}, false
	case a.coveredSince == deploymentStart:
		return Coverage{Complete: true}, true
	default:
		return Coverage{Since: t.timeBase.Add(a.coveredSince)}, true
	}
}

// ApplyHandover records that the previous coordinator of the partition, whose
// graceful shutdown is the member change version, handed over all its records.
// It returns false if another change assigned the current coordinator: an
// intermediate coordinator may have acted, so the records have a gap. The
// previous coordinator must have been active and must have stopped acting
// before it wrote the handover. No other coordinator can act at that time, so
// the current one acts from now on without waiting for ActivationDelay.
func (t *Table) ApplyHandover(partition int, version uint64, coverage Coverage, now time.Time) bool {
	a := &t.assignments[partition]
	if a.node == noNode || a.version != version || a.activeAt == deploymentStart {
		return false
	}
	if t.timeBase.IsZero() {
		t.timeBase = now
	}
	a.activeAt = min(a.activeAt, now.Sub(t.timeBase))
	if coverage.Complete {
		a.coveredSince = deploymentStart
		return true
	}
	a.coveredSince = coverage.Since.Sub(t.timeBase)
	return true
}
