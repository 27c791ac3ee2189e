package main

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/go-kit/log"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"trefoildock.example/configstore"
	"trefoildock.example/mesh/bodymem"
	"trefoildock.example/mesh/entry"
	"trefoildock.example/mesh/fleet"
	"trefoildock.example/mesh/owner"
	"trefoildock.example/mesh/recovery"
	"trefoildock.example/node"
	"trefoildock.example/platform/memory"
	"trefoildock.example/settings"
)

// Guards against a metric that docs/metrics.md does not list, and against a listed
// metric that does not exist.
func TestMetricsPageIsComplete(t *testing.T) {
	store := memory.New()
	registry := metrics.NewRegistry()
	node.New(settings.Default(), node.Dependencies{
		Store:    configstore.New(store.Table(), store.Objects(), configstore.Options{}),
		Logger:   log.NewNopLogger(),
		Registry: registry,
	})
	var registered []string
	registry.Each(func(name string, _ any) { registered = append(registered, name) })
	require.NotEmpty(t, registered)
	codes := firstSubmatches(t, "../../admin/problem.go", `(?m)^\tCode\w+ += "([a-z-]+)"$`)
	require.NotEmpty(t, codes)
	for _, code := range codes {
		registered = append(registered, "admin.refused."+code)
	}
	require.ElementsMatch(t, registered, firstSubmatches(t, "../../docs/metrics.md", "(?m)^\\| `([^`]+)` \\|"))
}

// Guards against a sidecar metric that docs/OPERATIONS.md does not list, and against a
// listed metric that does not exist.
func TestOperationsPageListsSidecarMetrics(t *testing.T) {
	registry := metrics.NewRegistry()
	entry.NewMetrics(registry)
	owner.NewMetrics(registry)
	fleet.NewMetrics(registry)
	recovery.New(log.NewNopLogger(), registry)
	bodymem.New(0).Register(registry)
	registered := []string{"trefoildock_store_malformed"}
	registry.Each(func(name string, _ any) {
		registered = append(registered, "trefoildock_"+strings.ReplaceAll(name, ".", "_"))
	})
	require.ElementsMatch(t, registered, firstSubmatches(t, "../../docs/OPERATIONS.md", "(?m)^\\| `(trefoildock_[^`]+)` \\|"))
}

// firstSubmatches returns the first submatch of each match of pattern in a file.
func firstSubmatches(t *testing.T, file, pattern string) []string {
	t.Helper()
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	var groups []string
	for _, match := range regexp.MustCompile(pattern).FindAllStringSubmatch(string(text), -1) {
		groups = append(groups, match[1])
	}
	return groups
}
