package slopes

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const capacityPage = "../../docs/CAPACITY.md"

// quantityName finds names of quantities, which the page writes in backquotes.
var quantityName = regexp.MustCompile("`([a-z]+:[a-z_]+)`")

// Guards against two quantities that would be confused with each other.
func TestNamesAreUnique(t *testing.T) {
	seen := map[string]bool{}
	for _, q := range Quantities() {
		require.False(t, seen[q.Name], q.Name)
		require.Regexp(t, "^[a-z]+:[a-z_]+$", q.Name)
		require.NotEmpty(t, q.Unit, q.Name)
		require.NotEmpty(t, q.Per, q.Name)
		require.NotEmpty(t, q.About, q.Name)
		seen[q.Name] = true
	}
}

// Guards against a page that names a slope that the program does not measure,
// or that leaves out one that it does.
func TestCapacityPageNamesTheSlopes(t *testing.T) {
	page, err := os.ReadFile(capacityPage)
	require.NoError(t, err)
	measured := map[string]bool{}
	for _, q := range Quantities() {
		measured[q.Name] = true
		require.Contains(t, string(page), "`"+q.Name+"`", "the page leaves out a slope")
	}
	for _, match := range quantityName.FindAllStringSubmatch(string(page), -1) {
		require.True(t, measured[match[1]], "the page names %s, which is not measured", match[1])
	}
}

// Guards against experiments whose sizes cannot determine a line.
func TestSizesGrow(t *testing.T) {
	for _, e := range experiments() {
		require.GreaterOrEqual(t, len(e.sizes), 3, e.quantities[0].Name)
		for i := 1; i < len(e.sizes); i++ {
			require.Greater(t, e.sizes[i], e.sizes[i-1], e.quantities[0].Name)
		}
	}
}

// Guards against an experiment that returns its values in another number than
// its quantities, which would shift the table.
func TestOneValuePerQuantity(t *testing.T) {
	for _, e := range experiments() {
		module, _, _ := strings.Cut(e.quantities[0].Name, ":")
		if module == "node" || module == "link" {
			continue // They need processes or sockets and seconds.
		}
		row, err := e.run(t.Context(), Environment{}, e.sizes[0])
		require.NoError(t, err, e.quantities[0].Name)
		require.Len(t, row, len(e.quantities), e.quantities[0].Name)
	}
}
