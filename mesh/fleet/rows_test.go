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
	table.merge(platform.Changes{Rows: []platform.Change{newChange("a", 3, false), newChange("b", 4, false)}, Revision: 5}, true)
	require.Empty(t, table.merge(platform.Changes{Rows: []platform.Change{newChange("a", 2, true)}, Revision: 5}, false))
	require.Equal(t, []string{"c"}, keys(table.merge(platform.Changes{Rows: []platform.Change{newChange("c", 6, false)}, Revision: 6}, false)))
	require.Empty(t, table.merge(platform.Changes{Revision: 4}, true), "an older snapshot of the table")
	require.Equal(t, []string{"-b", "-c"}, sorted(keys(table.merge(platform.Changes{Rows: []platform.Change{newChange("a", 3, false)}, Revision: 8}, true))))

	rows, full := table.since(6)
	require.False(t, full)
	require.Equal(t, []string{"-b", "-c"}, keys(rows))
	rows, full = table.since(1)
	require.True(t, full, "the revision is older than the changes that the table keeps")
	require.Equal(t, []string{"a"}, keys(rows))
}

func sorted(names []string) []string {
	if len(names) == 2 && names[0] > names[1] {
		names[0], names[1] = names[1], names[0]
	}
	return names
}
