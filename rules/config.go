package rules

import (
	"strings"
	"time"
)

// Limits and defaults of rule values.
const (
	// DefaultTimeout is the deadline of a request on a route without a timeout.
	DefaultTimeout = 10 * time.Second
	// MinTimeout and MaxTimeout bound the timeout of a route. Claims of
	// idempotency keys are remembered for 10 minutes, so a request must not run longer.
	MinTimeout = time.Millisecond
	MaxTimeout = 10 * time.Minute
	// DefaultWeight is the weight of a team without one.
	DefaultWeight = 1
	// MaxWeight bounds the weight of a team.
	MaxWeight = 1000
	// MaxFloor bounds the floor of a service, in backend servers.
	MaxFloor = 1_000_000
	// MaxBurst bounds the burst of a team, in requests.
	MaxBurst = 1_000_000_000
	// MaxNameLength bounds names of services, teams, zones and backend servers, in bytes.
	MaxNameLength = 63
	// MaxPathLength bounds the path of a route, in bytes.
	MaxPathLength = 2048
	// MaxLineLength bounds a line of a rules file, in bytes.
	MaxLineLength = 8192
)

// AnyMethod is the method of a route that matches every method.
const AnyMethod = "ANY"

// Methods with a rule of their own. The names are spelled out because this
// package imports no network package.
const (
	methodGet  = "GET"
	methodHead = "HEAD"
)

// Access states who may use a route.
type Access uint8

const (
	// AccessTeam admits only requests with a key of a team. It is the zero value,
	// so that an unset access is never open.
	AccessTeam Access = iota
	// AccessOpen admits every request.
	AccessOpen
)

// String returns the word used in the rules file.
func (a Access) String() string {
	if a == AccessOpen {
		return "open"
	}
	return "team"
}

// Repeat states whether a request may be executed more than once.
type Repeat uint8

const (
	// RepeatOnce means at-most-once execution. It is the zero value, so that an
	// unset value never allows a request to be repeated.
	RepeatOnce Repeat = iota
	// RepeatIdempotent means that a request may be retried after it may have run.
	RepeatIdempotent
)

// String returns the word used in the rules file.
func (r Repeat) String() string {
	if r == RepeatIdempotent {
		return "idempotent"
	}
	return "once"
}

// Comment is the comment of a rule in the form "requester: reason".
type Comment string

// Requester returns the name of the person who asked for the rule.
func (c Comment) Requester() string {
	requester, _, _ := strings.Cut(string(c), ":")
	return strings.TrimSpace(requester)
}

// Reason returns the reason for the rule.
func (c Comment) Reason() string {
	_, reason, _ := strings.Cut(string(c), ":")
	return strings.TrimSpace(reason)
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name      string
	Floor     int    // healthy backend servers that ejection must leave; 1 to MaxFloor
	ProbePath string // path of a probe request
	Comment   Comment
}

// Route sends matching requests to a service.
type Route struct {
	Method  string // upper case, or AnyMethod
	Host    string // lower case without port; empty matches every host
	Path    string // exact path, or a prefix match if it ends in "/*"
	Service string
	Comment Comment
	Timeout time.Duration // deadline of a request; default 10s, 1ms to 10m
	Access  Access
	Repeat  Repeat
}

// IsPrefix reports whether the route matches every path below its prefix.
func (r *Route) IsPrefix() bool {
	return strings.HasSuffix(r.Path, "/*")
}

// pathPrefix returns the path without the wildcard.
func (r *Route) pathPrefix() string {
	return strings.TrimSuffix(r.Path, "*")
}

// Team is a customer with a promised rate and burst over the whole fleet.
type Team struct {
	Name    string
	Rate    Rate // sustained requests per second
	Burst   int  // requests above the rate; 1 to MaxBurst
	Weight  int  // share in the queue of a backend server; default 1, 1 to MaxWeight
	Comment Comment
}

// Key lets its holder act for a team.
type Key struct {
	Digest  KeyDigest
	Team    string
	Comment Comment
}

// Zone is the service state of an availability zone. A zone without a rule is in service.
type Zone struct {
	Name    string
	Out     bool
	Comment Comment
}

// BackendServer is the service state of a backend server. A backend server
// without a rule is in service.
type BackendServer struct {
	Name    string
	Out     bool
	Comment Comment
}

// Config is a complete configuration. Routes are sorted by host, path and method.
// A Config must not be changed once it is shared.
type Config struct {
	Services       map[string]Service
	Routes         []Route
	Teams          map[string]Team
	Keys           map[KeyDigest]Key
	Zones          map[string]Zone
	BackendServers map[string]BackendServer
}

// NewConfig returns a configuration without rules.
func NewConfig() *Config {
	return &Config{
		Services:       map[string]Service{},
		Teams:          map[string]Team{},
		Keys:           map[KeyDigest]Key{},
		Zones:          map[string]Zone{},
		BackendServers: map[string]BackendServer{},
	}
}

// ZoneOut reports whether an operator took the availability zone out of service.
func (c *Config) ZoneOut(name string) bool {
	return c.Zones[name].Out
}

// BackendServerOut reports whether an operator took the backend server out of service.
func (c *Config) BackendServerOut(name string) bool {
	return c.BackendServers[name].Out
}

// compareRoutes orders routes by host, path and method, which identify a route.
func compareRoutes(a, b *Route) int {
	if order := strings.Compare(a.Host, b.Host); order != 0 {
		return order
	}
	if order := strings.Compare(a.Path, b.Path); order != 0 {
		return order
	}
	return strings.Compare(a.Method, b.Method)
}
