package routing

import (
	"testing"

	"github.com/stretchr/testify/require"

	"trefoildock.example/rules"
)

func newTestConfig() *Config {
	return New(Contents{
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

// Guards against a request that matches a shorter prefix or the route of
// another host.
func TestMatchRouteSelectsLongestPrefix(t *testing.T) {
	c := newTestConfig()
	for path, want := range map[string]string{"/x/y/z": "deep", "/x/y": "middle", "/x/": "middle", "/x": "all", "/": "all"} {
		require.Equal(t, want, c.MatchRoute("Shop:8080", path).Name, path)
	}
	require.Nil(t, c.MatchRoute("other", "/"))
}

// Guards against a traffic split that deviates from the configured weights.
func TestPickServiceFollowsWeights(t *testing.T) {
	r := newTestConfig().MatchRoute("shop", "/x/y/z")
	n := map[string]int{}
	for range 10_000 {
		n[r.PickService()]++
	}
	require.InDelta(t, 7500, n["b"], 300) // Six standard deviations.
}

// Guards against a key that resolves to a missing team, and against a route
// priority that overrides that of the team.
func TestKeyLookupAndPriority(t *testing.T) {
	c := newTestConfig()
	require.Equal(t, "blue", c.TeamByKey("k").Name)
	require.Nil(t, c.TeamByKey("orphan"), "a key of a team that does not exist")
	require.Nil(t, c.TeamByKey(""))
	r := &Route{Priority: 2}
	require.Equal(t, 0, r.PriorityFor(c.Team("blue")), "the priority of the team overrides that of the route")
	require.Equal(t, 2, r.PriorityFor(nil))
}

// Guards against low-priority requests and the calls of their services being
// treated as top priority, which would let them use up the retry budget.
func TestTopPriority(t *testing.T) {
	browse := &Route{Name: "browse", Host: "h", Prefix: "/b/", Priority: 2, Targets: []Target{{Service: "catalogue", Weight: 1}}}
	order := &Route{Name: "order", Host: "h", Prefix: "/o/", Priority: 1, Targets: []Target{{Service: "orders", Weight: 1}}}
	call := &Route{Name: "call", Host: "h", Prefix: "/c/", Public: true, Targets: []Target{{Service: "stock", Weight: 1}}}
	c := New(Contents{Routes: []*Route{browse, order, call}})
	require.True(t, c.IsTopPriority(order))
	require.False(t, c.IsTopPriority(browse))
	require.True(t, c.ServesTopPriority("orders"))
	require.False(t, c.ServesTopPriority("catalogue"))
	require.False(t, c.ServesTopPriority("stock"), "it is the target of public routes only")
}
