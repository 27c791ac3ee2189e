package routing

import (
	"testing"

	"github.com/stretchr/testify/require"

	"trefoildock.example/rules"
)

func sample() *Config {
	return New(Parts{
		Version: 3,
		Routes: []*Route{
			{Name: "all", Host: "shop", Prefix: "/", Targets: []Target{{Service: "a", Weight: 1}}},
			{Name: "deep", Host: "shop", Prefix: "/x/y/", Targets: []Target{{Service: "b", Weight: 3}, {Service: "c", Weight: 1}}},
			{Name: "middle", Host: "shop", Prefix: "/x/", Targets: []Target{{Service: "a", Weight: 1}}},
		},
		Teams: []*Team{{Name: "blue", Priority: 0, HasPriority: true}},
		Keys:  map[rules.KeyDigest]string{rules.DigestKey("k"): "blue", rules.DigestKey("orphan"): "gone"},
	})
}

// Guards against a request that takes a shorter prefix, or the route of another host.
func TestLongestPrefixWins(t *testing.T) {
	c := sample()
	for path, want := range map[string]string{"/x/y/z": "deep", "/x/y": "middle", "/x/": "middle", "/x": "all", "/": "all"} {
		require.Equal(t, want, c.Match("Shop:8080", path).Name, path)
	}
	require.Nil(t, c.Match("other", "/"))
}

// Guards against parts of a split that get less or more than their weight.
func TestSplitFollowsWeights(t *testing.T) {
	r := sample().Match("shop", "/x/y/z")
	n := map[string]int{}
	for range 10_000 {
		n[r.Pick()]++
	}
	require.InDelta(t, 7500, n["b"], 300) // Six standard deviations.
}

func TestKeysAndPriorities(t *testing.T) {
	c := sample()
	require.Equal(t, "blue", c.TeamOfKey("k").Name)
	require.Nil(t, c.TeamOfKey("orphan"), "a key of a team that does not exist")
	require.Nil(t, c.TeamOfKey(""))
	r := &Route{Priority: 2}
	require.Equal(t, 0, r.PriorityFor(c.Team("blue")), "the priority of the team goes first")
	require.Equal(t, 2, r.PriorityFor(nil))
}

// Guards against a retry budget that less urgent requests and their calls use up.
func TestUrgency(t *testing.T) {
	browse := &Route{Name: "browse", Host: "h", Prefix: "/b/", Priority: 2, Targets: []Target{{Service: "catalogue", Weight: 1}}}
	order := &Route{Name: "order", Host: "h", Prefix: "/o/", Priority: 1, Targets: []Target{{Service: "orders", Weight: 1}}}
	call := &Route{Name: "call", Host: "h", Prefix: "/c/", Public: true, Targets: []Target{{Service: "stock", Weight: 1}}}
	c := New(Parts{Routes: []*Route{browse, order, call}})
	require.True(t, c.IsMostUrgent(order))
	require.False(t, c.IsMostUrgent(browse))
	require.True(t, c.ServesMostUrgent("orders"))
	require.False(t, c.ServesMostUrgent("catalogue"))
	require.False(t, c.ServesMostUrgent("stock"), "it serves calls only")
}
