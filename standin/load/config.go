// Package load generates load on entry nodes and verifies every response.
//
// Each team sends at its own rate with exponential gaps between arrivals (open loop:
// slow responses do not reduce the rate). A request carries its ID in the query and,
// for an order, in the body, so that the answer of the simulated backend server shows
// whether it is complete and matches the request. An order has a UUIDv7
// Idempotency-Key and is resent with the same key if it was not answered. All random
// choices except the keys are determined by Config.Seed.
package load

import (
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Defaults of Config.
const (
	DefaultTimeout     = 5 * time.Second
	DefaultMaxInFlight = 512
	DefaultResendDelay = 200 * time.Millisecond
)

// Bounds of Config.
const (
	maxDuration     = 24 * time.Hour
	maxTeamRate     = 100_000
	maxBodyBytes    = 1 << 20
	maxPaddingBytes = 16 << 20
	maxResends      = 100
	maxInFlightCap  = 10_000
)

// Config configures a run. Durations are in nanoseconds in JSON.
type Config struct {
	// Entries are the addresses of the entry nodes ("127.0.0.1:8080" or a base
	// URL); at least one. A request starts at a random one, and resends use the next
	// ones.
	Entries []string `json:"entries"`
	// Teams are the callers; at least one.
	Teams []Team `json:"teams"`
	// Kinds is the mix of request kinds; at least one.
	Kinds []RequestKind `json:"kinds"`
	// Duration bounds the time in which requests start; required.
	Duration time.Duration `json:"duration"`
	// MaxRequests bounds the number of requests without resends; 0 means no bound.
	MaxRequests int `json:"max_requests"`
	// Timeout bounds one attempt and is sent as Request-Timeout; default 5 s.
	Timeout time.Duration `json:"timeout"`
	// MaxInFlight bounds concurrent requests; default 512. Arrivals beyond it are
	// counted as skipped.
	MaxInFlight int `json:"max_in_flight"`
	// Resends is the maximum number of times that an unanswered order is resent.
	Resends int `json:"resends"`
	// ResendDelay is the delay before a resend; default 200 ms.
	ResendDelay time.Duration `json:"resend_delay"`
	// HTTP2 uses HTTP/2 for all requests, without TLS for http entries. Default
	// HTTP/1.1.
	HTTP2 bool `json:"http2"`
	// CAFile is a PEM file with the certificate authorities for https entries. Default:
	// those of the system.
	CAFile string `json:"ca_file"`
	// Failover sends a request to the next entry if no connection could be opened, as
	// a caller with several addresses does; at most once per entry.
	Failover bool `json:"failover"`
	// KeepAttempts lists every attempt in the report.
	KeepAttempts bool `json:"keep_attempts"`
	// KeepOrders lists every order in the report, for a comparison with the
	// executions of the backend servers.
	KeepOrders bool `json:"keep_orders"`
	// Seed determines arrivals, kinds and entries.
	Seed uint64 `json:"seed"`
}

// Team is a caller.
type Team struct {
	// Name is the expected team of the answer; an empty name is not compared.
	Name string `json:"name"`
	// Key is sent as a bearer token; empty sends none.
	Key string `json:"key"`
	// Rate is the mean number of requests per second.
	Rate float64 `json:"rate"`
}

// RequestKind describes a kind of request.
type RequestKind struct {
	// Method is the HTTP method; a POST is an order.
	Method string `json:"method"`
	// Path is the path of the request.
	Path string `json:"path"`
	// Host replaces the Host header; empty means the entry's address.
	Host string `json:"host"`
	// Share is the weight of this kind among all kinds.
	Share float64 `json:"share"`
	// Open marks a route that requires no key. The team of its answer is not
	// compared, because a node without fresh configuration forwards the request
	// without a team.
	Open bool `json:"open"`
	// ResponsePadding is the number of padding bytes requested with ?size=.
	ResponsePadding int `json:"answer_padding"`
	// BodyPadding is the number of bytes added to the body of an order.
	BodyPadding int `json:"body_padding"`
}

// atMostOnce reports whether the request may be executed at most once.
func (k RequestKind) atMostOnce() bool { return k.Method == http.MethodPost }

// withDefaults validates c and returns it with its defaults. The error joins all
// invalid values.
func (c Config) withDefaults() (Config, error) {
	var errs []error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, errors.Newf(format, args...))
		}
	}
	c.Entries = append([]string(nil), c.Entries...)
	for i, entry := range c.Entries {
		if !strings.Contains(entry, "://") {
			entry = "http://" + entry
		}
		u, err := url.Parse(entry)
		check(err == nil && u.Host != "", "entry %q is not an address", entry)
		c.Entries[i] = strings.TrimSuffix(entry, "/")
	}
	check(len(c.Entries) > 0, "no entry addresses")
	check(len(c.Teams) > 0, "no teams")
	for _, t := range c.Teams {
		check(t.Rate > 0 && t.Rate <= maxTeamRate, "rate %v of team %q is not between 0 and %d", t.Rate, t.Name, maxTeamRate)
	}
	check(len(c.Kinds) > 0, "no kinds of requests")
	for _, k := range c.Kinds {
		check(k.Method != "" && strings.HasPrefix(k.Path, "/"), "kind %q %q needs a method and a path", k.Method, k.Path)
		check(!strings.ContainsAny(k.Path, "?#%"), "path %q must be plain", k.Path)
		check(k.Share > 0, "share %v of %s is not above 0", k.Share, k.Path)
		check(k.ResponsePadding >= 0 && k.ResponsePadding <= maxPaddingBytes, "answer padding %d", k.ResponsePadding)
		check(k.BodyPadding >= 0 && k.BodyPadding <= maxBodyBytes/2, "body padding %d", k.BodyPadding)
	}
	check(c.Duration > 0 && c.Duration <= maxDuration, "duration %v is not between 0 and %v", c.Duration, maxDuration)
	check(c.Timeout >= 0 && c.ResendDelay >= 0, "times must not be negative")
	check(c.MaxRequests >= 0, "number of requests is negative")
	check(c.Resends >= 0 && c.Resends <= maxResends, "resends %d is not between 0 and %d", c.Resends, maxResends)
	check(c.MaxInFlight >= 0 && c.MaxInFlight <= maxInFlightCap, "in flight %d is not between 0 and %d", c.MaxInFlight, maxInFlightCap)
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	if c.MaxInFlight == 0 {
		c.MaxInFlight = DefaultMaxInFlight
	}
	if c.ResendDelay == 0 {
		c.ResendDelay = DefaultResendDelay
	}
	return c, errors.Join(errs...)
}
