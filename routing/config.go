// Package routing holds the configuration that decides where a request goes,
// for whom and within which limits.
//
// A Config is immutable once it is published, so traffic goroutines share it
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
	// Version orders configurations; a larger one is newer.
	Version uint64
	// Limits bound what a caller may send.
	Limits Limits

	hosts    map[string][]*Route
	teams    map[string]*Team
	keys     map[rules.KeyDigest]*Team
	services map[string]*Service
	// urgency is the rank of the most urgent callers' route of each service, and
	// mostUrgent that of all routes.
	urgency    map[string]int
	mostUrgent int
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	// Name identifies the route in logs.
	Name string
	// Host is the lower-case host without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Public requests need no key.
	Public bool
	// Timeout is the longest time that a caller is kept waiting; 0 means none.
	Timeout time.Duration
	// Goal is the time within which an answer has its full value; 0 means none.
	Goal time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the backend servers that one request is sent to; at least 1.
	MaxAttempts int
	// Targets are the services with their weights.
	Targets []Target
}

// Target is a service that gets a share of a route's requests.
type Target struct {
	Service string
	// Weight is relative to the sum of the weights of the route.
	Weight float64
}

// Team is a tenant of the platform.
type Team struct {
	Name string
	// Priority takes precedence over that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate is in requests per second over all nodes; 0 means no limit.
	Rate float64
	// Burst is the number of requests allowed beyond the rate.
	Burst float64
}

// Service is what the configuration says of a service.
type Service struct {
	Name string
	// HealthPath answers health checks.
	HealthPath string
	// MaxConnections bounds the connections of one backend server; 0 means none.
	MaxConnections int
	// ColdFor is the time for which a started backend server is cold.
	ColdFor time.Duration
	// ColdRate is the number of requests per second that a cold backend server
	// tolerates; 0 means no limit.
	ColdRate float64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Parts are the contents of a configuration.
type Parts struct {
	Version  uint64
	Limits   Limits
	Routes   []*Route
	Teams    []*Team
	Services []*Service
	// Keys maps the digest of each key to the name of its team.
	Keys map[rules.KeyDigest]string
}

// New indexes the parts of a configuration.
func New(p Parts) *Config {
	c := &Config{
		Version: p.Version, Limits: p.Limits,
		hosts: make(map[string][]*Route), teams: make(map[string]*Team, len(p.Teams)),
		keys: make(map[rules.KeyDigest]*Team, len(p.Keys)), services: make(map[string]*Service, len(p.Services)),
		urgency: make(map[string]int), mostUrgent: math.MaxInt,
	}
	for _, r := range p.Routes {
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
		if !r.Public {
			c.rank(r)
		}
	}
	for _, routes := range c.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for _, t := range p.Teams {
		c.teams[t.Name] = t
	}
	for digest, team := range p.Keys {
		if t := c.teams[team]; t != nil {
			c.keys[digest] = t
		}
	}
	for _, s := range p.Services {
		c.services[s.Name] = s
	}
	return c
}

// rank notes how urgent the route makes its services.
func (c *Config) rank(r *Route) {
	c.mostUrgent = min(c.mostUrgent, r.Priority)
	for _, t := range r.Targets {
		if known, ok := c.urgency[t.Service]; !ok || r.Priority < known {
			c.urgency[t.Service] = r.Priority
		}
	}
}

// IsMostUrgent reports whether no route of callers is more urgent than this one.
func (c *Config) IsMostUrgent(r *Route) bool { return r.Priority <= c.mostUrgent }

// ServesMostUrgent reports whether a service runs requests of the most urgent
// route, so that its calls to other services are as urgent.
func (c *Config) ServesMostUrgent(service string) bool {
	rank, ok := c.urgency[service]
	return ok && rank <= c.mostUrgent
}

// Match returns the route of a host with the longest prefix of the path, or nil.
func (c *Config) Match(host, path string) *Route {
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

// TeamOfKey returns the team that holds the key, or nil.
func (c *Config) TeamOfKey(key string) *Team {
	if key == "" {
		return nil
	}
	return c.keys[rules.DigestKey(key)]
}

// Team returns the team with the given name, or nil.
func (c *Config) Team(name string) *Team { return c.teams[name] }

// Service returns what is known of a service, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// Pick chooses a service of the route at random by weight.
func (r *Route) Pick() string {
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

// PriorityFor returns the rank of a request of the team on this route.
func (r *Route) PriorityFor(t *Team) int {
	if t != nil && t.HasPriority {
		return t.Priority
	}
	return r.Priority
}
