package slopes

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const capacityPage = "../../docs/CAPACITY.md"

// quantityName matches names of quantities, which the page encloses in backquotes.
var quantityName = regexp.MustCompile("`([a-z]+:[a-z_]+)`")

// Guards against two quantities with the same name, and against quantities with an
// incomplete definition.
func TestQuantityNamesAreUnique(t *testing.T) {
	seen := map[string]bool{}
	for _, q := range Quantities() {
		require.False(t, seen[q.Name], q.Name)
		require.Regexp(t, "^[a-z]+:[a-z_]+$", q.Name)
		require.NotEmpty(t, q.Unit, q.Name)
		require.NotEmpty(t, q.Per, q.Name)
		require.NotEmpty(t, q.Description, q.Name)
		seen[q.Name] = true
	}
}

// Guards against a capacity page that lists a quantity that is not measured, or
// omits a measured one.
func TestCapacityPageListsMeasuredQuantities(t *testing.T) {
	page, err := os.ReadFile(capacityPage)
	require.NoError(t, err)
	measured := map[string]bool{}
	for _, q := range Quantities() {
		measured[q.Name] = true
		require.Contains(t, string(page), "`"+q.Name+"`", "the page omits a measured quantity")
	}
	for _, match := range quantityName.FindAllStringSubmatch(string(page), -1) {
		require.True(t, measured[match[1]], "the page names %s, which is not measured", match[1])
	}
}

// Guards against an experiment with fewer than three sizes or with sizes out of
// order, to which a line cannot be fitted reliably.
func TestSizesAscend(t *testing.T) {
	for _, e := range experiments() {
		require.GreaterOrEqual(t, len(e.sizes), 3, e.quantities[0].Name)
		for i := 1; i < len(e.sizes); i++ {
			require.Greater(t, e.sizes[i], e.sizes[i-1], e.quantities[0].Name)
		}
	}
}

// Guards against an experiment that returns more or fewer values than it has
// quantities, which would assign values to the wrong rows of the table.
func TestRunReturnsOneValuePerQuantity(t *testing.T) {
	for _, e := range experiments() {
		module, _, _ := strings.Cut(e.quantities[0].Name, ":")
		if module == "node" || module == "link" {
			continue // These need node processes or sockets and take seconds.
		}
		row, err := e.run(t.Context(), Environment{}, e.sizes[0])
		require.NoError(t, err, e.quantities[0].Name)
		require.Len(t, row, len(e.quantities), e.quantities[0].Name)
	}
}
