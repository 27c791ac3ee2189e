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
// modified rule is listed both as removed and as added.
type Delta struct {
	Removed []string `json:"removed,omitempty"`
	Added   []string `json:"added,omitempty"`
}

// Empty reports whether the delta changes nothing.
func (d Delta) Empty() bool {
	return len(d.Removed) == 0 && len(d.Added) == 0
}

// Diff returns the delta that transforms from into to.
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

// ruleLine is a comparable rule that can be formatted as a canonical line.
type ruleLine interface {
	comparable
	fmt.Stringer
}

func diffTables[K comparable, T ruleLine](d *Delta, from, to map[K]T, compare func(a, b K) int) {
	d.Removed = appendMissing(d.Removed, from, to, compare)
	d.Added = appendMissing(d.Added, to, from, compare)
}

// appendMissing appends the lines of the rules in have that other does not contain,
// sorted by identity.
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

// diffRoutes appends the differences between two sorted lists of routes to the delta.
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

// Apply returns the configuration with the delta applied; the receiver is not
// modified. It fails with an ErrorList unless every removed rule is present exactly
// as written, no added rule is already present, and the resulting configuration is
// valid. Line numbers of errors refer to the lines of Removed and Added.
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
	added.checkRouteServices(next)
	added.checkKeyTeams(next)
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

// applyTable returns a copy of the table with the removed and added rules applied,
// or the table itself if nothing changes.
func applyTable[K comparable, T ruleLine](
	table map[K]T,
	removedParser *parser, removed []parsedRule[T],
	addedParser *parser, added []parsedRule[T],
	identity func(*T) K,
) map[K]T {
	if len(removed) == 0 && len(added) == 0 {
		return table
	}
	next := make(map[K]T, len(table)+len(added))
	maps.Copy(next, table)
	for i := range removed {
		parsed := &removed[i]
		id := identity(&parsed.rule)
		if rule, found := next[id]; !found || rule != parsed.rule {
			removedParser.addErrorAt(parsed.line, parsed.column, fmt.Sprint(id), expectedPresent)
			continue
		}
		delete(next, id)
	}
	for i := range added {
		parsed := &added[i]
		id := identity(&parsed.rule)
		if _, found := next[id]; found {
			addedParser.addErrorAt(parsed.line, parsed.column, fmt.Sprint(id), expectedAbsent+"identity")
			continue
		}
		next[id] = parsed.rule
	}
	return next
}

// applyRoutes returns a sorted copy of the routes with the removed and added routes
// applied, or the same list if nothing changes.
func applyRoutes(routes []Route, removed, added *parser) []Route {
	if len(removed.routes) == 0 && len(added.routes) == 0 {
		return routes
	}
	routes = sortedRoutes(routes)
	removeIndexes := removed.indexesToRemove(routes)
	addRoutes := added.uniqueRoutes()
	next := make([]Route, 0, len(routes)-len(removeIndexes)+len(addRoutes))
	copied := 0 // routes before this index are copied or removed
	for len(removeIndexes) > 0 || len(addRoutes) > 0 {
		position, present := len(routes), false
		if len(addRoutes) > 0 {
			position, present = findRoute(routes, &addRoutes[0])
		}
		if len(removeIndexes) > 0 && removeIndexes[0] <= position {
			next = append(next, routes[copied:removeIndexes[0]]...)
			copied = removeIndexes[0] + 1
			removeIndexes = removeIndexes[1:]
			continue
		}
		if present && position >= copied {
			added.addExistingRouteError(&addRoutes[0])
		}
		next = append(next, routes[copied:max(position, copied)]...)
		next = append(next, addRoutes[0])
		copied = max(position, copied)
		addRoutes = addRoutes[1:]
	}
	return append(next, routes[copied:]...)
}

// findRoute returns the index of a route in a sorted list, or the index at which it
// would be inserted.
func findRoute(routes []Route, target *Route) (index int, found bool) {
	index = sort.Search(len(routes), func(i int) bool { return compareRoutes(&routes[i], target) >= 0 })
	return index, index < len(routes) && compareRoutes(&routes[index], target) == 0
}

// indexesToRemove returns the sorted indexes of the removed routes and reports
// those that are not present exactly as written.
func (p *parser) indexesToRemove(routes []Route) []int {
	indexes := make([]int, 0, len(p.routes))
	seen := make(map[int]bool, len(p.routes))
	for i := range p.routes {
		parsed := &p.routes[i]
		index, found := findRoute(routes, &parsed.rule)
		if !found || routes[index] != parsed.rule || seen[index] {
			p.addErrorAt(parsed.line, parsed.column, parsed.rule.Path, expectedPresent)
			continue
		}
		seen[index] = true
		indexes = append(indexes, index)
	}
	slices.Sort(indexes)
	return indexes
}

// addExistingRouteError reports an added route whose identity already exists.
func (p *parser) addExistingRouteError(route *Route) {
	for i := range p.routes {
		parsed := &p.routes[i]
		if compareRoutes(&parsed.rule, route) == 0 {
			p.addErrorAt(parsed.line, parsed.column, parsed.rule.Path, expectedAbsent+"method, host and path")
			return
		}
	}
}

// checkServicesUnused reports removed services that a remaining route references.
func (p *parser) checkServicesUnused(next *Config) {
	missing := missingRules(p.services, next.Services, serviceName)
	if len(missing) == 0 {
		return
	}
	for i := range next.Routes {
		route := &next.Routes[i]
		if parsed, found := missing[route.Service]; found {
			p.addErrorAt(parsed.line, parsed.column, route.Service, "a service without routes, but "+route.Method+" "+route.Host+route.Path+" uses it")
			delete(missing, route.Service)
		}
	}
}

// checkTeamsUnused reports removed teams that a remaining key references.
func (p *parser) checkTeamsUnused(next *Config) {
	missing := missingRules(p.teams, next.Teams, teamName)
	if len(missing) == 0 {
		return
	}
	for _, key := range next.Keys {
		if parsed, found := missing[key.Team]; found {
			p.addErrorAt(parsed.line, parsed.column, key.Team, "a team without keys")
			delete(missing, key.Team)
		}
	}
}

// missingRules returns the rules of the list that the table does not contain.
func missingRules[T any](list []parsedRule[T], table map[string]T, identity func(*T) string) map[string]*parsedRule[T] {
	missing := map[string]*parsedRule[T]{}
	for i := range list {
		id := identity(&list[i].rule)
		if _, found := table[id]; !found {
			missing[id] = &list[i]
		}
	}
	return missing
}
