package fleet

import (
	"slices"
	"strings"

	"trefoildock.example/platform"
)

// rowTable is a copy of a table of the store. It keeps tombstones of removed rows, so
// that followers can receive incremental changes. Only the event loop accesses it.
type rowTable struct {
	rows map[string]platform.Change
	// revision is the newest revision that the copy covers, historyStart the oldest one
	// after which it contains every change.
	revision, historyStart uint64
	// loaded is set once the table was read. The revision may still be 0 then.
	loaded bool
	// ownKey is the key of the row that this node writes, which is always applied as stored.
	ownKey string
	// held contains the rows of an earlier generation of the store that are missing from the
	// current one and have not been written again.
	held map[string]platform.Change
}

// merge applies changes, or a snapshot of the table if full is set. It returns the
// rows that are newer than those in the copy. If the store was restored from an older
// copy, rows that are missing from it stay in use until releaseHeld, and rows that were
// removed since are not returned, but with resurrected.
func (t *rowTable) merge(c platform.Changes, full bool) (newer, resurrected []platform.Change) {
	if t.rows == nil {
		t.rows = make(map[string]platform.Change)
	}
	if full && c.Revision < t.revision {
		return nil, nil
	}
	restored := full && t.loaded && platform.Generation(c.Revision) > platform.Generation(t.revision)
	switch {
	case restored:
		t.holdMissing(c)
		t.historyStart = c.Revision // A follower needs the whole table, so that it holds rows, too.
	case full:
		newer = t.markMissingRemoved(c)
	}
	for _, row := range c.Rows {
		before := t.rows[row.Key]
		switch {
		case !t.put(row):
		case restored && before.Removed && row.Key != t.ownKey:
			resurrected = append(resurrected, row)
		default:
			newer = append(newer, row)
		}
	}
	if before, ok := t.rows[t.ownKey]; ok && restored && platform.Generation(before.Revision) < platform.Generation(c.Revision) {
		before.Removed, before.Value, before.Revision = true, nil, c.Revision
		t.rows[t.ownKey] = before
		newer = append(newer, before)
	}
	if !t.loaded {
		t.loaded, t.historyStart = true, c.Revision
	}
	t.revision = max(t.revision, c.Revision)
	return newer, resurrected
}

// holdMissing moves the rows that are missing from a snapshot to held. The row of
// this node stays: it must be written again at once.
func (t *rowTable) holdMissing(c platform.Changes) {
	if t.held == nil {
		t.held = make(map[string]platform.Change)
	}
	present := make(map[string]bool, len(c.Rows))
	for _, row := range c.Rows {
		present[row.Key] = true
	}
	for key, row := range t.rows {
		if present[key] || key == t.ownKey {
			continue
		}
		delete(t.rows, key)
		if !row.Removed {
			t.held[key] = row
		}
	}
}

// releaseHeld returns the removal of the rows that are still held.
func (t *rowTable) releaseHeld() (removed []platform.Change) {
	for _, row := range t.held {
		row.Removed, row.Value = true, nil
		removed = append(removed, row)
	}
	t.held = nil
	return removed
}

// put applies a row if it is newer than the one in the copy, and reports whether it is. The
// revision of the copy stays, because other rows may have changed up to that of the row.
func (t *rowTable) put(row platform.Change) bool {
	if t.rows == nil {
		t.rows = make(map[string]platform.Change)
	}
	if current, ok := t.rows[row.Key]; ok && current.Revision >= row.Revision {
		return false
	}
	t.rows[row.Key] = row
	delete(t.held, row.Key)
	return true
}

// markMissingRemoved marks the rows that are missing from a newer snapshot as removed.
func (t *rowTable) markMissingRemoved(c platform.Changes) (removed []platform.Change) {
	present := make(map[string]bool, len(c.Rows))
	for _, row := range c.Rows {
		present[row.Key] = true
	}
	for key, row := range t.rows {
		if present[key] || row.Removed || row.Revision > c.Revision {
			continue
		}
		row.Removed, row.Value, row.Revision = true, nil, c.Revision
		t.rows[key] = row
		removed = append(removed, row)
	}
	return removed
}

// since returns the rows that changed after a revision. If the revision is older
// than historyStart, it returns all rows and sets full.
func (t *rowTable) since(revision uint64) (rows []platform.Change, full bool) {
	full = revision < t.historyStart
	for _, row := range t.rows {
		if full && !row.Removed || !full && row.Revision > revision {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Change) int { return strings.Compare(a.Key, b.Key) })
	return rows, full
}
