package rules

import (
	"strings"
	"time"
)

// What a word must be, for error messages.
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

// name reads the name that follows the kind of a rule.
func (p *parser) name(words []word) (word, bool) {
	w, ok := p.operand(words, 0, expectedName)
	if ok && !ValidName(w.text) {
		p.fail(w, expectedName)
	}
	return w, ok
}

func (p *parser) parseService(words []word, comment Comment) {
	name, ok := p.name(words)
	if !ok {
		return
	}
	var values [2]word
	p.attributes(words[1:], serviceAttributes, values[:])
	service := Service{Name: p.keep(name.text), Comment: comment}
	if floor := values[0]; p.required(floor, expectedFloor) {
		if service.Floor, ok = parseCount(floor.text, MaxFloor); !ok {
			p.fail(floor, expectedFloor)
		}
	}
	if probe := values[1]; p.required(probe, expectedProbe) {
		service.ProbePath = p.keep(probe.text)
		if !validPath(probe.text) {
			p.fail(probe, expectedPath)
		}
	}
	p.services = append(p.services, locate(p, service, name, name))
}

func (p *parser) parseRoute(words []word, comment Comment) {
	method, ok := p.operand(words, 0, expectedMethod)
	if !ok {
		return
	}
	if !validMethod(method.text) {
		p.fail(method, expectedMethod)
	}
	path, ok := p.operand(words, 1, expectedPattern)
	if !ok {
		return
	}
	if !validPattern(path.text) {
		p.fail(path, expectedPattern)
	}
	var values [5]word
	p.attributes(words[2:], routeAttributes, values[:])
	route := Route{Method: p.keep(method.text), Path: p.keep(path.text), Timeout: DefaultTimeout, Comment: comment}
	if host := values[0]; host.text != "" {
		route.Host = p.keep(strings.ToLower(host.text))
		if !validHost(route.Host) {
			p.fail(host, expectedHost)
		}
	}
	service := values[1]
	if p.required(service, expectedService) {
		route.Service = p.keep(service.text)
		if !ValidName(service.text) {
			p.fail(service, expectedName)
		}
	}
	route.Access = p.access(values[2])
	route.Repeat = p.repeat(values[3])
	if timeout := values[4]; timeout.text != "" {
		route.Timeout = p.timeout(timeout)
	}
	p.routes = append(p.routes, locate(p, route, path, service))
}

func (p *parser) access(w word) Access {
	switch {
	case !p.required(w, expectedAccess):
	case w.text == "open":
		return AccessOpen
	case w.text != "team":
		p.fail(w, expectedAccess)
	}
	return AccessTeam
}

func (p *parser) repeat(w word) Repeat {
	switch {
	case !p.required(w, expectedRepeat):
	case w.text == "idempotent":
		return RepeatIdempotent
	case w.text != "once":
		p.fail(w, expectedRepeat)
	}
	return RepeatOnce
}

func (p *parser) timeout(w word) time.Duration {
	timeout, err := time.ParseDuration(w.text)
	if err != nil || timeout < MinTimeout || timeout > MaxTimeout {
		p.fail(w, expectedTimeout)
	}
	return timeout
}

func (p *parser) parseTeam(words []word, comment Comment) {
	name, ok := p.name(words)
	if !ok {
		return
	}
	var values [3]word
	p.attributes(words[1:], teamAttributes, values[:])
	team := Team{Name: p.keep(name.text), Weight: DefaultWeight, Comment: comment}
	if rate := values[0]; p.required(rate, expectedRate) {
		if team.Rate, ok = ParseRate(rate.text); !ok {
			p.fail(rate, expectedRate)
		}
	}
	if burst := values[1]; p.required(burst, expectedBurst) {
		if team.Burst, ok = parseCount(burst.text, MaxBurst); !ok {
			p.fail(burst, expectedBurst)
		}
	}
	if weight := values[2]; weight.text != "" {
		if team.Weight, ok = parseCount(weight.text, MaxWeight); !ok {
			p.fail(weight, expectedWeight)
		}
	}
	p.teams = append(p.teams, locate(p, team, name, name))
}

func (p *parser) parseKey(words []word, comment Comment) {
	team, ok := p.name(words)
	if !ok {
		return
	}
	digest, ok := p.operand(words, 1, expectedDigest)
	if !ok {
		return
	}
	key := Key{Team: p.keep(team.text), Comment: comment}
	p.expectEnd(words[2:])
	if key.Digest, ok = ParseKeyDigest(digest.text); !ok {
		p.fail(word{mask(digest.text), digest.offset}, expectedDigest)
		return
	}
	p.keys = append(p.keys, locate(p, key, digest, team))
}

// mask hides most of a word that may be a key in clear.
func mask(text string) string {
	const shown = 4
	if len(text) <= shown {
		return "***"
	}
	return strings.ToValidUTF8(text[:shown], "?") + "***"
}

func (p *parser) parseZone(words []word, comment Comment) {
	name, out, ok := p.state(words)
	if ok {
		p.zones = append(p.zones, locate(p, Zone{Name: p.keep(name.text), Out: out, Comment: comment}, name, name))
	}
}

func (p *parser) parseBackendServer(words []word, comment Comment) {
	name, out, ok := p.state(words)
	if ok {
		server := BackendServer{Name: p.keep(name.text), Out: out, Comment: comment}
		p.backendServers = append(p.backendServers, locate(p, server, name, name))
	}
}

// state reads a name followed by "in" or "out".
func (p *parser) state(words []word) (name word, out, ok bool) {
	name, ok = p.name(words)
	if !ok {
		return word{}, false, false
	}
	state, ok := p.operand(words, 1, expectedState)
	if !ok {
		return word{}, false, false
	}
	if state.text != "in" && state.text != "out" {
		p.fail(state, expectedState)
	}
	p.expectEnd(words[2:])
	return name, state.text == "out", true
}

// expectEnd reports an error for the first word behind a complete rule.
func (p *parser) expectEnd(words []word) {
	if len(words) > 0 {
		p.fail(words[0], expectedEnd)
	}
}

// locate adds the place of the identity and of the reference to a rule.
func locate[T any](p *parser, rule T, identity, reference word) located[T] {
	at := located[T]{rule: rule, line: int32(p.line), column: p.column(identity)}
	if reference.offset > 0 {
		at.reference = p.column(reference)
	}
	return at
}
