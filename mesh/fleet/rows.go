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
}

// merge applies changes, or a snapshot of the table if full is set. It returns the
// rows that are newer than those in the copy.
func (t *rowTable) merge(c platform.Changes, full bool) (newer []platform.Change) {
	if t.rows == nil {
		t.rows = make(map[string]platform.Change)
	}
	if full && c.Revision < t.revision {
		return nil
	}
	if full {
		newer = t.markMissingRemoved(c)
	}
	for _, row := range c.Rows {
		if t.put(row) {
			newer = append(newer, row)
		}
	}
	if !t.loaded {
		t.loaded, t.historyStart = true, c.Revision
	}
	t.revision = max(t.revision, c.Revision)
	return newer
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
