package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"trefoildock.example/platform"
)

func newChange(key string, revision uint64, removed bool) platform.Change {
	return platform.Change{Row: platform.Row{Key: key, Revision: revision}, Removed: removed}
}

func keys(rows []platform.Change) (out []string) {
	for _, r := range rows {
		name := r.Key
		if r.Removed {
			name = "-" + name
		}
		out = append(out, name)
	}
	return out
}

// Guards against a delayed message that restores an older row, and against followers
// that do not receive a removal.
func TestRowTable(t *testing.T) {
	var table rowTable
	merge := func(c platform.Changes, full bool) []platform.Change {
		newer, resurrected := table.merge(c, full)
		require.Empty(t, resurrected)
		return newer
	}
	merge(platform.Changes{Rows: []platform.Change{newChange("a", 3, false), newChange("b", 4, false)}, Revision: 5}, true)
	require.Empty(t, merge(platform.Changes{Rows: []platform.Change{newChange("a", 2, true)}, Revision: 5}, false))
	require.Equal(t, []string{"c"}, keys(merge(platform.Changes{Rows: []platform.Change{newChange("c", 6, false)}, Revision: 6}, false)))
	require.Empty(t, merge(platform.Changes{Revision: 4}, true), "an older snapshot of the table")
	require.Equal(t, []string{"-b", "-c"}, sorted(keys(merge(platform.Changes{Rows: []platform.Change{newChange("a", 3, false)}, Revision: 8}, true))))

	rows, full := table.since(6)
	require.False(t, full)
	require.Equal(t, []string{"-b", "-c"}, keys(rows))
	rows, full = table.since(1)
	require.True(t, full, "the revision is older than the changes that the table keeps")
	require.Equal(t, []string{"a"}, keys(rows))
}

// Guards against the use of revisions of before a restoration of the store, and against rows
// that are lost or come back with it.
func TestRowTableOfARestoredStore(t *testing.T) {
	const restored = 1 << 44 // The first revision of the next generation.
	table := rowTable{ownKey: "own"}
	table.merge(platform.Changes{Rows: []platform.Change{newChange("a", 3, false), newChange("b", 4, false), newChange("c", 5, false), newChange("own", 6, false)}, Revision: 9}, true)
	table.merge(platform.Changes{Rows: []platform.Change{newChange("c", 10, true), newChange("d", 11, false)}, Revision: 11}, false)
	newer, resurrected := table.merge(platform.Changes{Rows: []platform.Change{newChange("a", restored+3, false), newChange("c", restored+5, false)}, Revision: restored + 7}, true)
	require.Equal(t, []string{"a", "-own"}, keys(newer), "the own row must be written again at once")
	require.Equal(t, []string{"c"}, keys(resurrected))
	rows, full := table.since(11)
	require.True(t, full)
	require.Equal(t, []string{"a", "c"}, keys(rows))
	newer, _ = table.merge(platform.Changes{Rows: []platform.Change{newChange("b", restored+8, false)}, Revision: restored + 8}, false)
	require.Equal(t, []string{"b"}, keys(newer))
	require.Equal(t, []string{"-d"}, keys(table.releaseHeld()), "the row was not written again")
	require.Empty(t, table.releaseHeld())
	newer, _ = table.merge(platform.Changes{Rows: []platform.Change{newChange("a", 12, true)}, Revision: 12}, false)
	require.Empty(t, newer, "a late response from before the restoration")
}

func sorted(names []string) []string {
	if len(names) == 2 && names[0] > names[1] {
		names[0], names[1] = names[1], names[0]
	}
	return names
}
