package rules

import (
	"strings"
	"time"
)

// Limits and defaults of rule values.
const (
	// DefaultTimeout is the request timeout of a route without a timeout attribute.
	DefaultTimeout = 10 * time.Second
	// MinTimeout and MaxTimeout bound the request timeout of a route. Idempotency
	// records are retained for 10 minutes, so a request must not run longer.
	MinTimeout = time.Millisecond
	MaxTimeout = 10 * time.Minute
	// DefaultWeight is the weight of a team without a weight attribute.
	DefaultWeight = 1
	// MaxWeight bounds the weight of a team.
	MaxWeight = 1000
	// MaxFloor bounds the floor of a service, in backend servers.
	MaxFloor = 1_000_000
	// MaxBurst bounds the burst of a team, in requests.
	MaxBurst = 1_000_000_000
	// MaxNameLength bounds the names of services, teams, zones and backend servers, in
	// bytes.
	MaxNameLength = 63
	// MaxPathLength bounds the path of a route, in bytes.
	MaxPathLength = 2048
	// MaxLineLength bounds a line of a rules file, in bytes.
	MaxLineLength = 8192
)

// AnyMethod is the method of a route that matches every method.
const AnyMethod = "ANY"

// Methods that route matching handles specially. They are defined here because this
// package imports no network packages.
const (
	methodGet  = "GET"
	methodHead = "HEAD"
)

// Access specifies which requests a route admits.
type Access uint8

const (
	// AccessTeam admits only requests with a valid team key. It is the zero value, so
	// that an unset access does not admit unauthenticated requests.
	AccessTeam Access = iota
	// AccessOpen admits every request, with or without a key.
	AccessOpen
)

// String returns the keyword of the rules file.
func (a Access) String() string {
	if a == AccessOpen {
		return "open"
	}
	return "team"
}

// Repeat specifies whether a request may be executed more than once.
type Repeat uint8

const (
	// RepeatOnce means at-most-once execution. It is the zero value, so that an unset
	// value does not permit retries of a request that may have run.
	RepeatOnce Repeat = iota
	// RepeatIdempotent means that a request may be retried even if it may have run.
	RepeatIdempotent
)

// String returns the keyword of the rules file.
func (r Repeat) String() string {
	if r == RepeatIdempotent {
		return "idempotent"
	}
	return "once"
}

// Comment is the comment of a rule in the form "requester: reason".
type Comment string

// Requester returns the name of the person who requested the rule.
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
	Floor     int    // minimum number of healthy backend servers that ejection must preserve; 1 to MaxFloor
	ProbePath string // path of health check requests
	Comment   Comment
}

// Route maps matching requests to a service.
type Route struct {
	Method  string // HTTP method in upper case, or AnyMethod
	Host    string // lower case without port; empty matches every host
	Path    string // exact path, or a path prefix if it ends in "/*"
	Service string
	Comment Comment
	Timeout time.Duration // request timeout; 1ms to 10m, default 10s
	Access  Access
	Repeat  Repeat
}

// IsPrefix reports whether the route matches every path with its prefix.
func (r *Route) IsPrefix() bool {
	return strings.HasSuffix(r.Path, "/*")
}

// pathPrefix returns the path without the trailing wildcard.
func (r *Route) pathPrefix() string {
	return strings.TrimSuffix(r.Path, "*")
}

// Team is a customer with a guaranteed rate and burst across the fleet.
type Team struct {
	Name    string
	Rate    Rate // sustained requests per second
	Burst   int  // requests allowed above the rate; 1 to MaxBurst
	Weight  int  // weight in the queue of a backend server; 1 to MaxWeight, default 1
	Comment Comment
}

// Key is an API key that authenticates requests of a team.
type Key struct {
	Digest  KeyDigest
	Team    string
	Comment Comment
}

// Zone is the administrative state of an availability zone. A zone without a rule
// is in service.
type Zone struct {
	Name         string
	OutOfService bool
	Comment      Comment
}

// BackendServer is the administrative state of a backend server. A backend server
// without a rule is in service.
type BackendServer struct {
	Name         string
	OutOfService bool
	Comment      Comment
}

// Config is a complete configuration. Routes are sorted by host, path and method.
// A Config must not be modified once it is shared.
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

// ZoneOutOfService reports whether an operator has taken the availability zone out of
// service.
func (c *Config) ZoneOutOfService(name string) bool {
	return c.Zones[name].OutOfService
}

// BackendServerOutOfService reports whether an operator has taken the backend
// server out of service.
func (c *Config) BackendServerOutOfService(name string) bool {
	return c.BackendServers[name].OutOfService
}

// compareRoutes orders routes by host, path and method, which are the identity of a
// route.
func compareRoutes(a, b *Route) int {
	if order := strings.Compare(a.Host, b.Host); order != 0 {
		return order
	}
	if order := strings.Compare(a.Path, b.Path); order != 0 {
		return order
	}
	return strings.Compare(a.Method, b.Method)
}
