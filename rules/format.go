package rules

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"strconv"
)

// Lines returns the canonical form with one rule per line: services, routes,
// teams, keys, zones and backend servers, each kind sorted by identity. Keys are
// sorted by team first.
func (c *Config) Lines() []string {
	lines := make([]string, 0, len(c.Services)+len(c.Routes)+len(c.Teams)+len(c.Keys)+len(c.Zones)+len(c.BackendServers))
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		lines = append(lines, c.Services[name].String())
	}
	for _, route := range sortedRoutes(c.Routes) {
		lines = append(lines, route.String())
	}
	for _, name := range slices.Sorted(maps.Keys(c.Teams)) {
		lines = append(lines, c.Teams[name].String())
	}
	for _, key := range sortedKeys(c.Keys) {
		lines = append(lines, key.String())
	}
	for _, name := range slices.Sorted(maps.Keys(c.Zones)) {
		lines = append(lines, c.Zones[name].String())
	}
	for _, name := range slices.Sorted(maps.Keys(c.BackendServers)) {
		lines = append(lines, c.BackendServers[name].String())
	}
	return lines
}

// sortedRoutes returns the routes in sorted order. It copies them only if they are
// not sorted already.
func sortedRoutes(routes []Route) []Route {
	for i := 1; i < len(routes); i++ {
		if compareRoutes(&routes[i-1], &routes[i]) > 0 {
			return slices.SortedFunc(slices.Values(routes), func(a, b Route) int { return compareRoutes(&a, &b) })
		}
	}
	return routes
}

func sortedKeys(keys map[KeyDigest]Key) []Key {
	return slices.SortedFunc(maps.Values(keys), compareKeys)
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), bytes.Compare(a.Digest[:], b.Digest[:]))
}

// String returns the canonical line of the service.
func (s Service) String() string {
	b := make([]byte, 0, 128)
	b = append(b, "service "...)
	b = append(b, s.Name...)
	b = append(b, " floor "...)
	b = strconv.AppendInt(b, int64(s.Floor), 10)
	b = append(b, " probe "...)
	b = append(b, s.ProbePath...)
	return finishLine(b, s.Comment)
}

// String returns the canonical line of the route.
func (r Route) String() string {
	b := make([]byte, 0, 256)
	b = append(b, "route "...)
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Path...)
	if r.Host != "" {
		b = append(b, " host "...)
		b = append(b, r.Host...)
	}
	b = append(b, " service "...)
	b = append(b, r.Service...)
	b = append(b, " access "...)
	b = append(b, r.Access.String()...)
	b = append(b, " repeat "...)
	b = append(b, r.Repeat.String()...)
	b = append(b, " timeout "...)
	b = append(b, r.Timeout.String()...)
	return finishLine(b, r.Comment)
}

// String returns the canonical line of the team.
func (t Team) String() string {
	b := make([]byte, 0, 128)
	b = append(b, "team "...)
	b = append(b, t.Name...)
	b = append(b, " rate "...)
	b = t.Rate.appendText(b)
	b = append(b, " burst "...)
	b = strconv.AppendInt(b, int64(t.Burst), 10)
	b = append(b, " weight "...)
	b = strconv.AppendInt(b, int64(t.Weight), 10)
	return finishLine(b, t.Comment)
}

// String returns the canonical line of the key.
func (k Key) String() string {
	b := make([]byte, 0, 160)
	b = append(b, "key "...)
	b = append(b, k.Team...)
	b = append(b, ' ')
	b = append(b, k.Digest.String()...)
	return finishLine(b, k.Comment)
}

// String returns the canonical line of the zone.
func (z Zone) String() string {
	return stateLine("zone ", z.Name, z.OutOfService, z.Comment)
}

// String returns the canonical line of the backend server.
func (s BackendServer) String() string {
	return stateLine("backend ", s.Name, s.OutOfService, s.Comment)
}

func stateLine(kind, name string, out bool, comment Comment) string {
	b := make([]byte, 0, 128)
	b = append(b, kind...)
	b = append(b, name...)
	if out {
		b = append(b, " out"...)
	} else {
		b = append(b, " in"...)
	}
	return finishLine(b, comment)
}

func finishLine(b []byte, comment Comment) string {
	b = append(b, " # "...)
	b = append(b, comment...)
	return string(b)
}
