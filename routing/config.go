// Package routing holds the configuration that maps requests to services and
// defines teams, API keys and limits.
//
// A Config is immutable once it is published, so request goroutines share it
// without locks.
package routing

import (
	"math"
	"math/rand/v2"
	"net"
	"sort"
	"strings"
	"time"

	"trefoildock.example/rules"
)

// Config is one version of the configuration.
type Config struct {
	// Version orders configurations; a higher version is newer.
	Version uint64
	// Limits apply to the connections and requests of callers.
	Limits Limits

	hosts    map[string][]*Route
	teams    map[string]*Team
	keys     map[rules.KeyDigest]*Team
	services map[string]*Service
	// topPriorityOf is the highest priority among the non-public routes of each
	// service, and topPriority that of all non-public routes. 0 is the highest
	// priority.
	topPriorityOf map[string]int
	topPriority   int
}

// Route maps a host and a path prefix to services.
type Route struct {
	// Name identifies the route in logs.
	Name string
	// Host is the lower-case host name without a port.
	Host string
	// Prefix is a path prefix that begins and ends with a slash.
	Prefix string
	// Idempotent is true if the requests of the route may run more than once.
	Idempotent bool
	// Public is true if requests need no API key.
	Public bool
	// Timeout limits the time until the caller gets a response; 0 means no
	// limit.
	Timeout time.Duration
	// LatencyObjective is the target response time of the requests; 0 means none.
	LatencyObjective time.Duration
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// MaxAttempts limits the number of backend servers that one request is sent
	// to; it is at least 1.
	MaxAttempts int
	// Targets are the services with their weights.
	Targets []Target
}

// Target is a service that receives a fraction of the requests of a route.
type Target struct {
	Service string
	// Weight is relative to the sum of the weights of the route.
	Weight float64
}

// Team is a tenant of the platform.
type Team struct {
	Name string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate is in requests per second over all nodes; 0 means no limit.
	Rate float64
	// Burst is the number of requests allowed above the rate.
	Burst float64
}

// Service is the configuration of a service.
type Service struct {
	Name string
	// HealthPath is the path of health checks.
	HealthPath string
	// MaxConnections limits the connections to one backend server; 0 means no
	// limit.
	MaxConnections int
	// ColdStartDuration is the duration of the cold start of a backend server.
	ColdStartDuration time.Duration
	// ColdStartRate limits the requests per second to a backend server during
	// its cold start; 0 means no limit.
	ColdStartRate float64
}

// Limits apply to the connections and requests of callers. Sizes are in bytes.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Contents is the data from which New builds a Config.
type Contents struct {
	Version  uint64
	Limits   Limits
	Routes   []*Route
	Teams    []*Team
	Services []*Service
	// Keys maps the digest of each API key to the name of its team.
	Keys map[rules.KeyDigest]string
}

// New returns a configuration with indexes over the given contents.
func New(contents Contents) *Config {
	c := &Config{
		Version: contents.Version, Limits: contents.Limits,
		hosts: make(map[string][]*Route), teams: make(map[string]*Team, len(contents.Teams)),
		keys: make(map[rules.KeyDigest]*Team, len(contents.Keys)), services: make(map[string]*Service, len(contents.Services)),
		topPriorityOf: make(map[string]int), topPriority: math.MaxInt,
	}
	for _, r := range contents.Routes {
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
		if !r.Public {
			c.recordPriority(r)
		}
	}
	for _, routes := range c.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for _, t := range contents.Teams {
		c.teams[t.Name] = t
	}
	for digest, team := range contents.Keys {
		if t := c.teams[team]; t != nil {
			c.keys[digest] = t
		}
	}
	for _, s := range contents.Services {
		c.services[s.Name] = s
	}
	return c
}

// recordPriority updates the highest priorities with a route.
func (c *Config) recordPriority(r *Route) {
	c.topPriority = min(c.topPriority, r.Priority)
	for _, t := range r.Targets {
		if recorded, ok := c.topPriorityOf[t.Service]; !ok || r.Priority < recorded {
			c.topPriorityOf[t.Service] = r.Priority
		}
	}
}

// IsTopPriority reports whether no non-public route has a higher priority than
// this one.
func (c *Config) IsTopPriority(r *Route) bool { return r.Priority <= c.topPriority }

// ServesTopPriority reports whether a non-public route of the highest priority
// targets the service. The calls of such a service to other services have that
// priority as well.
func (c *Config) ServesTopPriority(service string) bool {
	priority, ok := c.topPriorityOf[service]
	return ok && priority <= c.topPriority
}

// MatchRoute returns the route of the host with the longest matching path
// prefix, or nil.
func (c *Config) MatchRoute(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// TeamByKey returns the team with the API key, or nil.
func (c *Config) TeamByKey(key string) *Team {
	if key == "" {
		return nil
	}
	return c.keys[rules.DigestKey(key)]
}

// Team returns the team with the given name, or nil.
func (c *Config) Team(name string) *Team { return c.teams[name] }

// Service returns the configuration of the service with the given name, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// PickService selects a service of the route at random, by weight.
func (r *Route) PickService() string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	sum := 0.0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	at := rand.Float64() * sum
	for _, t := range r.Targets {
		if at -= t.Weight; at < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// PriorityFor returns the priority of a request of the team on this route.
func (r *Route) PriorityFor(t *Team) int {
	if t != nil && t.HasPriority {
		return t.Priority
	}
	return r.Priority
}
