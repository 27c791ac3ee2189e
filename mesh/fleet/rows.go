package fleet

import (
	"slices"
	"strings"

	"trefoildock.example/platform"
)

// rowTable is a copy of a table of the store with what was removed from it, so
// that other nodes can be told what has changed. It belongs to the control goroutine.
type rowTable struct {
	rows map[string]platform.Change
	// revision is the newest revision that the copy covers, base the oldest from
	// which it knows every change.
	revision, base uint64
	// known is set once the table was read; its revision may be 0 then.
	known bool
}

// merge takes over changes, or the whole table. Rows that are older than the
// copy are left out of the result.
func (t *rowTable) merge(c platform.Changes, whole bool) (fresh []platform.Change) {
	if t.rows == nil {
		t.rows = make(map[string]platform.Change)
	}
	if whole && c.Revision < t.revision {
		return nil
	}
	if whole {
		fresh = t.dropMissing(c)
	}
	for _, row := range c.Rows {
		if known, ok := t.rows[row.Key]; ok && known.Revision >= row.Revision {
			continue
		}
		t.rows[row.Key] = row
		fresh = append(fresh, row)
	}
	if !t.known {
		t.known, t.base = true, c.Revision
	}
	t.revision = max(t.revision, c.Revision)
	return fresh
}

// dropMissing marks rows as removed that a newer view of the whole table lacks.
func (t *rowTable) dropMissing(c platform.Changes) (removed []platform.Change) {
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

// since returns the rows that changed after a revision. whole is true if the
// revision is too old to tell and all rows are returned.
func (t *rowTable) since(revision uint64) (rows []platform.Change, whole bool) {
	whole = revision < t.base
	for _, row := range t.rows {
		if whole && !row.Removed || !whole && row.Revision > revision {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Change) int { return strings.Compare(a.Key, b.Key) })
	return rows, whole
}
