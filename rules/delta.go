package rules

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sort"
)

// Delta is the difference between two configurations as canonical lines. A
// changed rule is removed and added.
type Delta struct {
	Removed []string `json:"removed,omitempty"`
	Added   []string `json:"added,omitempty"`
}

// Empty reports whether the delta changes nothing.
func (d Delta) Empty() bool {
	return len(d.Removed) == 0 && len(d.Added) == 0
}

// Diff returns the delta that turns one configuration into the other.
func Diff(from, to *Config) Delta {
	var d Delta
	diffTables(&d, from.Services, to.Services, cmp.Compare)
	diffRoutes(&d, sortedRoutes(from.Routes), sortedRoutes(to.Routes))
	diffTables(&d, from.Teams, to.Teams, cmp.Compare)
	diffTables(&d, from.Keys, to.Keys, func(a, b KeyDigest) int { return bytes.Compare(a[:], b[:]) })
	diffTables(&d, from.Zones, to.Zones, cmp.Compare)
	diffTables(&d, from.BackendServers, to.BackendServers, cmp.Compare)
	return d
}

// ruleLine is a rule that can be compared and written as a line.
type ruleLine interface {
	comparable
	fmt.Stringer
}

func diffTables[K comparable, T ruleLine](d *Delta, from, to map[K]T, compare func(a, b K) int) {
	d.Removed = appendMissing(d.Removed, from, to, compare)
	d.Added = appendMissing(d.Added, to, from, compare)
}

// appendMissing appends the lines of the rules in one table that the other lacks.
func appendMissing[K comparable, T ruleLine](lines []string, have, other map[K]T, compare func(a, b K) int) []string {
	var missing []K
	for id, rule := range have {
		if r, found := other[id]; !found || r != rule {
			missing = append(missing, id)
		}
	}
	slices.SortFunc(missing, compare)
	for _, id := range missing {
		lines = append(lines, have[id].String())
	}
	return lines
}

// diffRoutes merges two sorted lists of routes.
func diffRoutes(d *Delta, from, to []Route) {
	for len(from) > 0 || len(to) > 0 {
		var order int
		switch {
		case len(from) == 0:
			order = 1
		case len(to) == 0:
			order = -1
		default:
			order = compareRoutes(&from[0], &to[0])
		}
		if order == 0 && from[0] == to[0] {
			from, to = from[1:], to[1:]
			continue
		}
		if order <= 0 {
			d.Removed = append(d.Removed, from[0].String())
			from = from[1:]
		}
		if order >= 0 {
			d.Added = append(d.Added, to[0].String())
			to = to[1:]
		}
	}
}

// Apply returns the configuration changed by the delta. It fails with an
// ErrorList, and changes nothing, unless every removed rule is present exactly
// as written, no added rule is present already, and the result is valid as a
// whole. Positions of errors count the lines of Removed and Added.
func (c *Config) Apply(d Delta) (*Config, error) {
	removed := &parser{file: "removed"}
	removed.parseLines(d.Removed)
	added := &parser{file: "added"}
	added.parseLines(d.Added)

	next := &Config{
		Services:       applyTable(c.Services, removed, removed.services, added, added.services, serviceName),
		Routes:         applyRoutes(c.Routes, removed, added),
		Teams:          applyTable(c.Teams, removed, removed.teams, added, added.teams, teamName),
		Keys:           applyTable(c.Keys, removed, removed.keys, added, added.keys, keyDigest),
		Zones:          applyTable(c.Zones, removed, removed.zones, added, added.zones, zoneName),
		BackendServers: applyTable(c.BackendServers, removed, removed.backendServers, added, added.backendServers, backendServerName),
	}
	added.checkRoutes(next)
	added.checkKeys(next)
	removed.checkServicesUnused(next)
	removed.checkTeamsUnused(next)

	if len(removed.errs) > 0 || len(added.errs) > 0 {
		sortErrors(removed.errs)
		sortErrors(added.errs)
		return nil, slices.Concat(removed.errs, added.errs)
	}
	return next, nil
}

const (
	expectedPresent = "a rule that the configuration holds exactly as written"
	expectedAbsent  = "no rule yet for this "
)

// applyTable returns the changed table, or the table itself if nothing changes.
func applyTable[K comparable, T ruleLine](
	table map[K]T,
	removedBy *parser, removed []located[T],
	addedBy *parser, added []located[T],
	identity func(*T) K,
) map[K]T {
	if len(removed) == 0 && len(added) == 0 {
		return table
	}
	next := make(map[K]T, len(table)+len(added))
	maps.Copy(next, table)
	for i := range removed {
		at := &removed[i]
		id := identity(&at.rule)
		if rule, found := next[id]; !found || rule != at.rule {
			removedBy.failAt(at.line, at.column, fmt.Sprint(id), expectedPresent)
			continue
		}
		delete(next, id)
	}
	for i := range added {
		at := &added[i]
		id := identity(&at.rule)
		if _, found := next[id]; found {
			addedBy.failAt(at.line, at.column, fmt.Sprint(id), expectedAbsent+"identity")
			continue
		}
		next[id] = at.rule
	}
	return next
}

// applyRoutes returns the changed routes in order, or the same list if nothing changes.
func applyRoutes(routes []Route, removed, added *parser) []Route {
	if len(removed.routes) == 0 && len(added.routes) == 0 {
		return routes
	}
	routes = sortedRoutes(routes)
	drop := removed.routesToDrop(routes)
	insert := added.collectRoutes()
	next := make([]Route, 0, len(routes)-len(drop)+len(insert))
	copied := 0 // routes before this index were copied or dropped
	for len(drop) > 0 || len(insert) > 0 {
		at, present := len(routes), false
		if len(insert) > 0 {
			at, present = findRoute(routes, &insert[0])
		}
		if len(drop) > 0 && drop[0] <= at {
			next = append(next, routes[copied:drop[0]]...)
			copied = drop[0] + 1
			drop = drop[1:]
			continue
		}
		if present && at >= copied {
			added.failPresentRoute(&insert[0])
		}
		next = append(next, routes[copied:max(at, copied)]...)
		next = append(next, insert[0])
		copied = max(at, copied)
		insert = insert[1:]
	}
	return append(next, routes[copied:]...)
}

// findRoute returns the index of a route in a sorted list, or where it belongs.
func findRoute(routes []Route, target *Route) (index int, found bool) {
	index = sort.Search(len(routes), func(i int) bool { return compareRoutes(&routes[i], target) >= 0 })
	return index, index < len(routes) && compareRoutes(&routes[index], target) == 0
}

// routesToDrop returns the sorted indexes of the removed routes and reports
// those that are not present exactly as written.
func (p *parser) routesToDrop(routes []Route) []int {
	drop := make([]int, 0, len(p.routes))
	seen := make(map[int]bool, len(p.routes))
	for i := range p.routes {
		at := &p.routes[i]
		index, found := findRoute(routes, &at.rule)
		if !found || routes[index] != at.rule || seen[index] {
			p.failAt(at.line, at.column, at.rule.Path, expectedPresent)
			continue
		}
		seen[index] = true
		drop = append(drop, index)
	}
	slices.Sort(drop)
	return drop
}

// failPresentRoute reports an added route whose identity is in use.
func (p *parser) failPresentRoute(route *Route) {
	for i := range p.routes {
		at := &p.routes[i]
		if compareRoutes(&at.rule, route) == 0 {
			p.failAt(at.line, at.column, at.rule.Path, expectedAbsent+"method, host and path")
			return
		}
	}
}

// checkServicesUnused reports removed services that a remaining route uses.
func (p *parser) checkServicesUnused(next *Config) {
	gone := missingRules(p.services, next.Services, serviceName)
	if len(gone) == 0 {
		return
	}
	for i := range next.Routes {
		route := &next.Routes[i]
		if at, found := gone[route.Service]; found {
			p.failAt(at.line, at.column, route.Service, "a service without routes, but "+route.Method+" "+route.Host+route.Path+" uses it")
			delete(gone, route.Service)
		}
	}
}

// checkTeamsUnused reports removed teams that still have a key.
func (p *parser) checkTeamsUnused(next *Config) {
	gone := missingRules(p.teams, next.Teams, teamName)
	if len(gone) == 0 {
		return
	}
	for _, key := range next.Keys {
		if at, found := gone[key.Team]; found {
			p.failAt(at.line, at.column, key.Team, "a team without keys")
			delete(gone, key.Team)
		}
	}
}

// missingRules returns the rules of the list that the table lacks.
func missingRules[T any](list []located[T], table map[string]T, identity func(*T) string) map[string]*located[T] {
	gone := map[string]*located[T]{}
	for i := range list {
		id := identity(&list[i].rule)
		if _, found := table[id]; !found {
			gone[id] = &list[i]
		}
	}
	return gone
}
