package rules

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a request that is matched to the wrong route and so to the service
// or the access of another route.
func TestRouterMatch(t *testing.T) {
	c := mustParse(t, `
service s floor 1 probe /h # A: b
route GET /a/* service s access open repeat idempotent # A: b
route GET /a/b/* service s access team repeat idempotent # A: b
route GET /a/b/c service s access team repeat idempotent # A: b
route ANY /a/b/c service s access team repeat once # A: b
route POST /orders service s access team repeat once # A: b
route HEAD /orders service s access team repeat once # A: b
route ANY /* host shop.example service s access team repeat once # A: b
`)
	r := NewRouter(c)
	tests := []struct{ method, host, path, want string }{
		{"GET", "", "/a/x", "GET /a/*"},
		{"GET", "", "/a/", "GET /a/*"},
		{"GET", "", "/a", ""},
		{"GET", "", "/ab", ""},
		{"HEAD", "", "/a/x", "GET /a/*"},
		{"GET", "", "/a/b/x", "GET /a/b/*"},
		{"GET", "", "/a/b/x/y/z", "GET /a/b/*"},
		{"GET", "", "/a/b/c", "GET /a/b/c"},
		{"PUT", "", "/a/b/c", "ANY /a/b/c"},
		{"PUT", "", "/a/b/d", ""},
		{"HEAD", "", "/orders", "HEAD /orders"},
		{"GET", "", "/orders", ""},
		{"GET", "Shop.Example:8080", "/a/b/c", "ANY /*"},
		{"GET", "shop.example.", "/", "ANY /*"},
		{"GET", "[::1]:80", "/a/x", "GET /a/*"},
		{"POST", "other.example", "/orders", "POST /orders"},
		{"GET", "", "/a/../orders", ""},
		{"GET", "", "//a/b/c", ""},
		{"GET", "", "/a/..;x/orders", ""},
		{"GET", "", "/a/..\\orders", ""},
		{"GET", "", "/a/.well-known", "GET /a/*"},
		{"GET", "", "/a/...", "GET /a/*"},
		{"GET", "", "/a/.", ""},
		{"GET", "", "", ""},
		{"GET", "", "a/b", ""},
	}
	for _, tt := range tests {
		route, ok := r.Match(tt.method, tt.host, tt.path)
		got := ""
		if ok {
			got = route.Method + " " + route.Path
		}
		require.Equal(t, tt.want, got, "%s %s%s", tt.method, tt.host, tt.path)
	}
	next, err := c.Apply(Delta{Added: []string{"zone z out # A: b"}})
	require.NoError(t, err)
	require.Same(t, r, r.Update(next), "the router is reused while the routes are unchanged")
	next, err = c.Apply(Delta{Added: []string{"route PUT /new service s access team repeat once # A: b"}})
	require.NoError(t, err)
	_, ok := r.Update(next).Match("PUT", "", "/new")
	require.True(t, ok)
	_, ok = NewRouter(NewConfig()).Match("GET", "h", "/")
	require.False(t, ok)
}

// Guards against faults of the hash table: the router must return the same route as
// a linear search.
func TestRouterMatchProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := genConfig().Draw(t, "config")
		method := rapid.SampledFrom([]string{"GET", "POST", "HEAD"}).Draw(t, "method")
		host := rapid.SampledFrom([]string{"", "a.example", "c.example"}).Draw(t, "host")
		path := rapid.StringMatching(`(/[ab]){0,4}/?`).Draw(t, "path")
		want := linearMatch(c.Routes, method, host, path)
		got, ok := NewRouter(c).Match(method, host, path)
		require.Equal(t, want != nil, ok)
		require.Equal(t, want, got)
	})
}

// linearMatch is the reference implementation of Match: it scores every matching
// route by host, exactness, length and method.
func linearMatch(routes []Route, method, host, path string) *Route {
	var best *Route
	bestScore := -1
	for i := range routes {
		r := &routes[i]
		methodScore := map[string]int{method: 3, AnyMethod: 1}[r.Method]
		if method == methodHead && r.Method == methodGet {
			methodScore = 2
		}
		prefix, isPrefix := strings.CutSuffix(r.Path, "*")
		pathMatches := r.Path == path || isPrefix && strings.HasPrefix(path, prefix)
		if methodScore == 0 || !pathMatches || r.Host != "" && r.Host != host {
			continue
		}
		score := methodScore + 10*len(prefix)
		if r.Host != "" {
			score += 100_000
		}
		if !isPrefix {
			score += 10_000
		}
		if score > bestScore {
			best, bestScore = r, score
		}
	}
	return best
}

// largeRouteCount is the number of routes of the largest supported deployment.
const largeRouteCount = 71_000

func largeRulesText() string {
	var b strings.Builder
	for i := range 3600 {
		fmt.Fprintf(&b, "service service-%d floor 4 probe /health # A. Rees: service %d\n", i, i)
	}
	for i := range largeRouteCount {
		suffix := []string{"", "/*"}[i%2]
		fmt.Fprintf(&b, "route GET /shop-%d/items/%d%s service service-%d access team repeat idempotent timeout 2s # A. Rees: shop %d\n", i%500, i, suffix, i%3600, i)
	}
	return b.String()
}

func BenchmarkParse(b *testing.B) {
	text := largeRulesText()
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		mustParse(b, text)
	}
}

func BenchmarkNewRouter(b *testing.B) {
	c := mustParse(b, largeRulesText())
	b.ReportAllocs()
	for b.Loop() {
		NewRouter(c)
	}
}

func BenchmarkApplyOneRoute(b *testing.B) {
	c := mustParse(b, largeRulesText())
	delta := Delta{Added: []string{"route GET /new service service-1 access team repeat once # A: b"}}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Apply(delta); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkMatch(b *testing.B) {
	r := NewRouter(mustParse(b, largeRulesText()))
	manySegments := strings.Repeat("/a", 30_000)
	for name, path := range map[string]string{
		"exact":   "/shop-42/items/35042",
		"prefix":  "/shop-43/items/35043/reviews/7",
		"none":    "/unknown/items/1",
		"hostile": manySegments,
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.Match("GET", "shop.example", path)
			}
		})
	}
}

// BenchmarkHeap reports the heap memory that a configuration and its router retain
// per route.
func BenchmarkHeap(b *testing.B) {
	text := largeRulesText()
	for b.Loop() {
		before := heapBytes()
		c := mustParse(b, text)
		parsed := heapBytes()
		r := NewRouter(c)
		routed := heapBytes()
		b.ReportMetric(float64(parsed-before)/largeRouteCount, "config-B/route")
		b.ReportMetric(float64(routed-parsed)/largeRouteCount, "router-B/route")
		runtime.KeepAlive(r)
		runtime.KeepAlive(c)
	}
	runtime.KeepAlive(text)
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
