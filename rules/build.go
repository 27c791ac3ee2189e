package rules

import (
	"cmp"
	"fmt"
	"slices"
)

// build assembles the parsed rules and checks them as a whole.
func (p *parser) build() *Config {
	config := &Config{
		Services:       collect(p, p.services, "service", serviceName),
		Routes:         p.collectRoutes(),
		Teams:          collect(p, p.teams, "team", teamName),
		Keys:           collect(p, p.keys, "key", keyDigest),
		Zones:          collect(p, p.zones, "zone", zoneName),
		BackendServers: collect(p, p.backendServers, "backend", backendServerName),
	}
	p.checkRoutes(config)
	p.checkKeys(config)
	return config
}

// The identities of the kinds of rules.
func serviceName(s *Service) string             { return s.Name }
func teamName(t *Team) string                   { return t.Name }
func keyDigest(k *Key) KeyDigest                { return k.Digest }
func zoneName(z *Zone) string                   { return z.Name }
func backendServerName(s *BackendServer) string { return s.Name }

// collect returns the rules by identity and reports duplicates.
func collect[K comparable, T any](p *parser, list []located[T], kind string, identity func(*T) K) map[K]T {
	table := make(map[K]T, len(list))
	for i := range list {
		table[identity(&list[i].rule)] = list[i].rule
	}
	if len(table) == len(list) {
		return table
	}
	firstLine := make(map[K]int32, len(table))
	for i := range list {
		id := identity(&list[i].rule)
		if line, found := firstLine[id]; found {
			failDuplicate(p, &list[i], kind, fmt.Sprint(id), line)
			continue
		}
		firstLine[id] = list[i].line
	}
	return table
}

// collectRoutes returns the routes in order and reports duplicates.
func (p *parser) collectRoutes() []Route {
	order := p.routeOrder()
	routes := make([]Route, 0, len(order))
	var first *located[Route]
	for _, index := range order {
		at := &p.routes[index]
		if first != nil && compareRoutes(&first.rule, &at.rule) == 0 {
			failDuplicate(p, at, "route", at.rule.Method+" "+at.rule.Host+at.rule.Path, first.line)
			continue
		}
		first = at
		routes = append(routes, at.rule)
	}
	return routes
}

// routeOrder returns the indexes of the parsed routes by identity and line.
// Sorting indexes avoids moving the routes, which are large.
func (p *parser) routeOrder() []int32 {
	order := make([]int32, len(p.routes))
	for i := range order {
		order[i] = int32(i)
	}
	slices.SortFunc(order, func(a, b int32) int {
		return cmp.Or(compareRoutes(&p.routes[a].rule, &p.routes[b].rule), cmp.Compare(a, b))
	})
	return order
}

func failDuplicate[T any](p *parser, at *located[T], kind, id string, firstLine int32) {
	p.failAt(at.line, at.column, id, fmt.Sprintf("no second rule for this %s (first on line %d)", kind, firstLine))
}

// failAt records an error of a rule that was read before.
func (p *parser) failAt(line, column int32, found, expected string) {
	p.errs = append(p.errs, &Error{
		File:     p.file,
		Line:     int(line),
		Column:   int(column),
		Word:     shorten(found),
		Expected: expected,
	})
}

// checkRoutes reports the parsed routes whose service the configuration lacks.
func (p *parser) checkRoutes(config *Config) {
	for i := range p.routes {
		at := &p.routes[i]
		if _, found := config.Services[at.rule.Service]; !found && at.rule.Service != "" {
			p.failAt(at.line, at.reference, at.rule.Service, "a service that has a rule")
		}
	}
}

// checkKeys reports the parsed keys whose team the configuration lacks.
func (p *parser) checkKeys(config *Config) {
	for i := range p.keys {
		at := &p.keys[i]
		if _, found := config.Teams[at.rule.Team]; !found {
			p.failAt(at.line, at.reference, at.rule.Team, "a team that has a rule")
		}
	}
}
