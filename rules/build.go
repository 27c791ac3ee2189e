package rules

import (
	"cmp"
	"fmt"
	"slices"
)

// buildConfig returns the configuration of the parsed rules. It reports duplicate
// rules and references to undefined services and teams.
func (p *parser) buildConfig() *Config {
	config := &Config{
		Services:       indexRules(p, p.services, "service", serviceName),
		Routes:         p.uniqueRoutes(),
		Teams:          indexRules(p, p.teams, "team", teamName),
		Keys:           indexRules(p, p.keys, "key", keyDigest),
		Zones:          indexRules(p, p.zones, "zone", zoneName),
		BackendServers: indexRules(p, p.backendServers, "backend", backendServerName),
	}
	p.checkRouteServices(config)
	p.checkKeyTeams(config)
	return config
}

// Identity functions of the kinds of rules.
func serviceName(s *Service) string             { return s.Name }
func teamName(t *Team) string                   { return t.Name }
func keyDigest(k *Key) KeyDigest                { return k.Digest }
func zoneName(z *Zone) string                   { return z.Name }
func backendServerName(s *BackendServer) string { return s.Name }

// indexRules returns the rules keyed by their identity and reports duplicates.
func indexRules[K comparable, T any](p *parser, list []parsedRule[T], kind string, identity func(*T) K) map[K]T {
	index := make(map[K]T, len(list))
	for i := range list {
		index[identity(&list[i].rule)] = list[i].rule
	}
	if len(index) == len(list) {
		return index
	}
	firstLine := make(map[K]int32, len(index))
	for i := range list {
		id := identity(&list[i].rule)
		if line, found := firstLine[id]; found {
			addDuplicateError(p, &list[i], kind, fmt.Sprint(id), line)
			continue
		}
		firstLine[id] = list[i].line
	}
	return index
}

// uniqueRoutes returns the parsed routes sorted by identity without duplicates, and
// reports the duplicates.
func (p *parser) uniqueRoutes() []Route {
	order := p.sortedRouteIndexes()
	routes := make([]Route, 0, len(order))
	var first *parsedRule[Route]
	for _, index := range order {
		parsed := &p.routes[index]
		if first != nil && compareRoutes(&first.rule, &parsed.rule) == 0 {
			addDuplicateError(p, parsed, "route", parsed.rule.Method+" "+parsed.rule.Host+parsed.rule.Path, first.line)
			continue
		}
		first = parsed
		routes = append(routes, parsed.rule)
	}
	return routes
}

// sortedRouteIndexes returns the indexes of the parsed routes, sorted by identity
// and line. Sorting indexes avoids copying the routes, which are large.
func (p *parser) sortedRouteIndexes() []int32 {
	indexes := make([]int32, len(p.routes))
	for i := range indexes {
		indexes[i] = int32(i)
	}
	slices.SortFunc(indexes, func(a, b int32) int {
		return cmp.Or(compareRoutes(&p.routes[a].rule, &p.routes[b].rule), cmp.Compare(a, b))
	})
	return indexes
}

func addDuplicateError[T any](p *parser, duplicate *parsedRule[T], kind, id string, firstLine int32) {
	p.addErrorAt(duplicate.line, duplicate.column, id, fmt.Sprintf("no second rule for this %s (first on line %d)", kind, firstLine))
}

// addErrorAt records an error at a position of a rule that is already parsed.
func (p *parser) addErrorAt(line, column int32, found, expected string) {
	p.errs = append(p.errs, &Error{
		File:     p.file,
		Line:     int(line),
		Column:   int(column),
		Word:     truncateWord(found),
		Expected: expected,
	})
}

// checkRouteServices reports the parsed routes whose service is not defined in the
// configuration.
func (p *parser) checkRouteServices(config *Config) {
	for i := range p.routes {
		parsed := &p.routes[i]
		if _, found := config.Services[parsed.rule.Service]; !found && parsed.rule.Service != "" {
			p.addErrorAt(parsed.line, parsed.referenceColumn, parsed.rule.Service, "a service that has a rule")
		}
	}
}

// checkKeyTeams reports the parsed keys whose team is not defined in the
// configuration.
func (p *parser) checkKeyTeams(config *Config) {
	for i := range p.keys {
		parsed := &p.keys[i]
		if _, found := config.Teams[parsed.rule.Team]; !found {
			p.addErrorAt(parsed.line, parsed.referenceColumn, parsed.rule.Team, "a team that has a rule")
		}
	}
}
