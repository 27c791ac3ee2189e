package rules

import (
	"strings"
	"time"
)

// Expected inputs for error messages.
const (
	expectedName    = "a name of up to 63 letters, digits, '.', '_' and '-'"
	expectedPath    = "an absolute path without empty or dot segments and backslashes"
	expectedPattern = "an absolute path, exact or ending in /*, without empty or dot segments and backslashes"
	expectedFloor   = "floor <whole number from 1 to 1000000>"
	expectedProbe   = "probe <path>"
	expectedService = "service <name>"
	expectedMethod  = "an upper-case method that can be forwarded, or ANY"
	expectedHost    = "a host name without port"
	expectedAccess  = "access open or access team"
	expectedRepeat  = "repeat idempotent or repeat once"
	expectedTimeout = "a duration from 1ms to 10m, such as 5s"
	expectedRate    = "rate <requests per second above 0 with at most 6 decimals, such as 50/s or 0.5/s>"
	expectedBurst   = "burst <whole number from 1 to 1000000000>"
	expectedWeight  = "a whole number from 1 to 1000"
	expectedDigest  = "sha256:<64 hex digits>"
	expectedState   = "in or out"
	expectedEnd     = "the end of the rule"
)

var (
	serviceAttributes = []string{"floor", "probe"}
	routeAttributes   = []string{"host", "service", "access", "repeat", "timeout"}
	teamAttributes    = []string{"rate", "burst", "weight"}
)

// parseName parses the name that follows the kind of a rule.
func (p *parser) parseName(words []word) (word, bool) {
	w, ok := p.operand(words, 0, expectedName)
	if ok && !ValidName(w.text) {
		p.addError(w, expectedName)
	}
	return w, ok
}

func (p *parser) parseService(words []word, comment Comment) {
	name, ok := p.parseName(words)
	if !ok {
		return
	}
	var values [2]word
	p.parseAttributes(words[1:], serviceAttributes, values[:])
	service := Service{Name: p.intern(name.text), Comment: comment}
	if floor := values[0]; p.requireValue(floor, expectedFloor) {
		if service.Floor, ok = parseCount(floor.text, MaxFloor); !ok {
			p.addError(floor, expectedFloor)
		}
	}
	if probe := values[1]; p.requireValue(probe, expectedProbe) {
		service.ProbePath = p.intern(probe.text)
		if !validPath(probe.text) {
			p.addError(probe, expectedPath)
		}
	}
	p.services = append(p.services, newParsedRule(p, service, name, name))
}

func (p *parser) parseRoute(words []word, comment Comment) {
	method, ok := p.operand(words, 0, expectedMethod)
	if !ok {
		return
	}
	if !validMethod(method.text) {
		p.addError(method, expectedMethod)
	}
	path, ok := p.operand(words, 1, expectedPattern)
	if !ok {
		return
	}
	if !validPattern(path.text) {
		p.addError(path, expectedPattern)
	}
	var values [5]word
	p.parseAttributes(words[2:], routeAttributes, values[:])
	route := Route{Method: p.intern(method.text), Path: p.intern(path.text), Timeout: DefaultTimeout, Comment: comment}
	if host := values[0]; host.text != "" {
		route.Host = p.intern(strings.ToLower(host.text))
		if !validHost(route.Host) {
			p.addError(host, expectedHost)
		}
	}
	service := values[1]
	if p.requireValue(service, expectedService) {
		route.Service = p.intern(service.text)
		if !ValidName(service.text) {
			p.addError(service, expectedName)
		}
	}
	route.Access = p.parseAccess(values[2])
	route.Repeat = p.parseRepeat(values[3])
	if timeout := values[4]; timeout.text != "" {
		route.Timeout = p.parseTimeout(timeout)
	}
	p.routes = append(p.routes, newParsedRule(p, route, path, service))
}

func (p *parser) parseAccess(w word) Access {
	switch {
	case !p.requireValue(w, expectedAccess):
	case w.text == "open":
		return AccessOpen
	case w.text != "team":
		p.addError(w, expectedAccess)
	}
	return AccessTeam
}

func (p *parser) parseRepeat(w word) Repeat {
	switch {
	case !p.requireValue(w, expectedRepeat):
	case w.text == "idempotent":
		return RepeatIdempotent
	case w.text != "once":
		p.addError(w, expectedRepeat)
	}
	return RepeatOnce
}

func (p *parser) parseTimeout(w word) time.Duration {
	timeout, err := time.ParseDuration(w.text)
	if err != nil || timeout < MinTimeout || timeout > MaxTimeout {
		p.addError(w, expectedTimeout)
	}
	return timeout
}

func (p *parser) parseTeam(words []word, comment Comment) {
	name, ok := p.parseName(words)
	if !ok {
		return
	}
	var values [3]word
	p.parseAttributes(words[1:], teamAttributes, values[:])
	team := Team{Name: p.intern(name.text), Weight: DefaultWeight, Comment: comment}
	if rate := values[0]; p.requireValue(rate, expectedRate) {
		if team.Rate, ok = ParseRate(rate.text); !ok {
			p.addError(rate, expectedRate)
		}
	}
	if burst := values[1]; p.requireValue(burst, expectedBurst) {
		if team.Burst, ok = parseCount(burst.text, MaxBurst); !ok {
			p.addError(burst, expectedBurst)
		}
	}
	if weight := values[2]; weight.text != "" {
		if team.Weight, ok = parseCount(weight.text, MaxWeight); !ok {
			p.addError(weight, expectedWeight)
		}
	}
	p.teams = append(p.teams, newParsedRule(p, team, name, name))
}

func (p *parser) parseKey(words []word, comment Comment) {
	team, ok := p.parseName(words)
	if !ok {
		return
	}
	digest, ok := p.operand(words, 1, expectedDigest)
	if !ok {
		return
	}
	key := Key{Team: p.intern(team.text), Comment: comment}
	p.expectEnd(words[2:])
	if key.Digest, ok = ParseKeyDigest(digest.text); !ok {
		p.addError(word{maskSecret(digest.text), digest.offset}, expectedDigest)
		return
	}
	p.keys = append(p.keys, newParsedRule(p, key, digest, team))
}

// maskSecret masks all but the first bytes of a word that may be a plaintext key.
func maskSecret(text string) string {
	const visibleBytes = 4
	if len(text) <= visibleBytes {
		return "***"
	}
	return strings.ToValidUTF8(text[:visibleBytes], "?") + "***"
}

func (p *parser) parseZone(words []word, comment Comment) {
	name, out, ok := p.parseState(words)
	if ok {
		p.zones = append(p.zones, newParsedRule(p, Zone{Name: p.intern(name.text), OutOfService: out, Comment: comment}, name, name))
	}
}

func (p *parser) parseBackendServer(words []word, comment Comment) {
	name, out, ok := p.parseState(words)
	if ok {
		server := BackendServer{Name: p.intern(name.text), OutOfService: out, Comment: comment}
		p.backendServers = append(p.backendServers, newParsedRule(p, server, name, name))
	}
}

// parseState parses a name followed by "in" or "out".
func (p *parser) parseState(words []word) (name word, out, ok bool) {
	name, ok = p.parseName(words)
	if !ok {
		return word{}, false, false
	}
	state, ok := p.operand(words, 1, expectedState)
	if !ok {
		return word{}, false, false
	}
	if state.text != "in" && state.text != "out" {
		p.addError(state, expectedState)
	}
	p.expectEnd(words[2:])
	return name, state.text == "out", true
}

// expectEnd records an error for the first surplus word after a complete rule.
func (p *parser) expectEnd(words []word) {
	if len(words) > 0 {
		p.addError(words[0], expectedEnd)
	}
}

// newParsedRule returns the rule with the positions of its identity and of its
// reference.
func newParsedRule[T any](p *parser, rule T, identity, reference word) parsedRule[T] {
	parsed := parsedRule[T]{rule: rule, line: int32(p.line), column: p.column(identity)}
	if reference.offset > 0 {
		parsed.referenceColumn = p.column(reference)
	}
	return parsed
}
