package fleet

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"trefoildock.example/platform"
)

// Guards against an odd row of another writer that ends a node or its watch of the store.
func TestOddRowsOfAnotherWriterAreIgnored(t *testing.T) {
	fleet := newTestFleet(t)
	states := []*State{fleet.add("a"), fleet.add("b")}
	fleet.store.Put(platform.OperatorTable, "config", configDocument(1, "k"))
	for _, s := range states {
		eventually(t, func() bool { return configVersion(s) == 1 && len(s.View().Nodes) == 2 }, "start")
	}
	for key, value := range map[string]string{
		"member/nested": strings.Repeat("[", 20000),
		"member/closed": strings.Repeat("[", 20000) + strings.Repeat("]", 20000),
		"member/number": `{"node":"number","address":"x","backend":{"id":"i","service":"orders","slots":1e400,"serving":true}}`,
		"member/port":   `{"node":"port","address":"127.0.0.1:70000","zone":"z","backend":{"id":"i","service":"orders","slots":3,"serving":true}}`,
		"crash/nested":  strings.Repeat(`{"requests":`, 20000),
		"crash/number":  `{"store_ms":1e400}`,
		"crash/":        `{"requests":[{"fingerprint":"AAEC"}]}`,
		"other":         "\xff\x00",
	} {
		fleet.store.Put("members", key, []byte(value))
	}
	for _, key := range []string{"evacuate/", "config/", "nested"} {
		fleet.store.Put(platform.OperatorTable, key, []byte(strings.Repeat("[", 20000)))
	}
	fleet.store.Put(platform.OperatorTable, "config", configDocument(2, "k"))
	c := fleet.add("c")
	for _, s := range append(states, c) {
		eventually(t, func() bool { return configVersion(s) == 2 && s.View().Nodes["c"] != nil }, "changes after the odd rows")
		require.NotContains(t, s.View().Nodes, "nested")
		require.NotContains(t, s.View().Nodes, "number")
		require.NotContains(t, s.View().Nodes, "port")
	}
}
