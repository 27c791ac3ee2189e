package rules

import (
	"math/bits"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Router matches requests to routes. It shares the routes of its configuration and
// adds only a hash table of 4-byte indexes. It is safe for concurrent use.
//
// If several routes match the host, path and method of a request, a route with the
// host takes precedence over one without host, then an exact path over a prefix and
// a longer prefix over a shorter one, then the method of the request over ANY. A GET
// route also matches HEAD requests, unless a HEAD route has the same host and path.
// A prefix "/a/*" matches "/a/" and every path below it, but not "/a".
type Router struct {
	routes []Route
	// slots is an open-addressing hash table with linear probing. It maps host and
	// path to 1 + the index of the first route with that host and path; routes with
	// the same host and path are adjacent. 0 marks an empty slot.
	slots []uint32
	// maxExactPathBytes and maxPrefixBytes are the lengths in bytes of the longest exact
	// path and path prefix. They bound the number of path bytes that are hashed.
	maxExactPathBytes int
	maxPrefixBytes    int
	hasHosts          bool
}

// NewRouter returns the router of a configuration.
func NewRouter(c *Config) *Router {
	r := &Router{routes: sortedRoutes(c.Routes)}
	groups := 0
	for i := range r.routes {
		if r.startsGroup(i) {
			groups++
		}
	}
	// The load factor is at most one half, which keeps probe sequences short.
	r.slots = make([]uint32, 1<<bits.Len(uint(2*groups)))
	for i := range r.routes {
		if r.startsGroup(i) {
			r.insert(i)
		}
	}
	return r
}

// Update returns the router of a newer configuration. It returns the same router if
// the configuration shares its routes, because most changes affect only keys, teams
// and zones.
func (r *Router) Update(c *Config) *Router {
	if len(r.routes) == len(c.Routes) && (len(c.Routes) == 0 || &r.routes[0] == &c.Routes[0]) {
		return r
	}
	return NewRouter(c)
}

// startsGroup reports whether the route at the index is the first one with its host
// and path.
func (r *Router) startsGroup(i int) bool {
	return i == 0 || r.routes[i].Host != r.routes[i-1].Host || r.routes[i].Path != r.routes[i-1].Path
}

func (r *Router) insert(i int) {
	route := &r.routes[i]
	if route.IsPrefix() {
		r.maxPrefixBytes = max(r.maxPrefixBytes, len(route.pathPrefix()))
	} else {
		r.maxExactPathBytes = max(r.maxExactPathBytes, len(route.Path))
	}
	r.hasHosts = r.hasHosts || route.Host != ""
	mask := uint64(len(r.slots) - 1)
	slot := (hashHost(route.Host) ^ xxhash.Sum64String(route.pathPrefix())) & mask
	for r.slots[slot] != 0 {
		slot = (slot + 1) & mask
	}
	r.slots[slot] = uint32(i + 1)
}

// hashHost returns the hash of the host, or 0 for an empty host.
func hashHost(host string) uint64 {
	if host == "" {
		return 0
	}
	return xxhash.Sum64String(host)
}

// Match returns the route of a request. The host may include a port; the path must
// be percent-decoded. A path with empty or dot segments or a backslash matches no
// route, because a backend server might resolve it to a path that another route
// protects.
func (r *Router) Match(method, host, path string) (*Route, bool) {
	if isAmbiguousPath(path) {
		return nil, false
	}
	if r.hasHosts {
		if host = normalizeHost(host); host != "" {
			if route := r.matchHost(method, host, path); route != nil {
				return route, true
			}
		}
	}
	route := r.matchHost(method, "", path)
	return route, route != nil
}

// matchHost returns the route with the highest precedence among those with exactly
// this host.
func (r *Router) matchHost(method, host, path string) *Route {
	seed := hashHost(host)
	if len(path) <= r.maxExactPathBytes {
		if route := r.find(seed^xxhash.Sum64String(path), method, host, path, false); route != nil {
			return route
		}
	}
	return r.matchPrefix(seed, method, host, path)
}

// matchPrefix looks up every prefix of the path that ends in '/' and returns the
// match of the longest one. It hashes each byte only once.
func (r *Router) matchPrefix(seed uint64, method, host, path string) *Route {
	var best *Route
	var digest xxhash.Digest
	digest.Reset()
	limit := min(len(path), r.maxPrefixBytes)
	for start := 0; start < limit; {
		end := strings.IndexByte(path[start:limit], '/')
		if end < 0 {
			break
		}
		end += start + 1
		_, _ = digest.WriteString(path[start:end]) // never fails
		if route := r.find(seed^digest.Sum64(), method, host, path[:end], true); route != nil {
			best = route
		}
		start = end
	}
	return best
}

// find returns the route for the method among those with the given host and path.
func (r *Router) find(hash uint64, method, host, path string, prefix bool) *Route {
	mask := uint64(len(r.slots) - 1)
	for slot := hash & mask; r.slots[slot] != 0; slot = (slot + 1) & mask {
		first := int(r.slots[slot] - 1)
		route := &r.routes[first]
		if route.IsPrefix() == prefix && route.Host == host && route.pathPrefix() == path {
			return r.selectMethod(first, method)
		}
	}
	return nil
}

// selectMethod returns the route for the method among the routes that have the same
// host and path as the first one.
func (r *Router) selectMethod(first int, method string) *Route {
	var anyMethod, get *Route
	for i := first; i < len(r.routes) && (i == first || !r.startsGroup(i)); i++ {
		route := &r.routes[i]
		switch route.Method {
		case method:
			return route
		case methodGet:
			get = route
		case AnyMethod:
			anyMethod = route
		}
	}
	if method == methodHead && get != nil {
		return get
	}
	return anyMethod
}

// normalizeHost returns the host in lower case without port and trailing dot.
func normalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
