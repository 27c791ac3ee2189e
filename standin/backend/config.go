// Package backend implements a simulated backend server with slots, a cold start,
// draining and faults that can be changed while it serves.
//
// It responds with an answer.Answer on all paths except those listed below, executes at
// most Slots requests concurrently and sheds the rest, and announces itself to the node
// on its VM. It records each execution of a POST, so that a test can verify that no
// order was executed twice. All random choices are determined by Config.Seed and the
// number of the execution.
//
// The paths /health and /load are the probe and load endpoints. The control
// paths are PUT and GET /faults, PUT /state, GET /executions and GET /stats;
// they need no slot and are also served on the control listener.
package backend

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
)

// Defaults of Config.
const (
	DefaultSlots          = 3
	DefaultConnections    = 400
	DefaultServiceTime    = 20 * time.Millisecond
	DefaultColdFactor     = 5
	DefaultCollapseFactor = 20
	DefaultHealthTime     = 25 * time.Millisecond
	DefaultDrainTime      = time.Second

	maxBodyBytes    = 1 << 20
	maxPaddingBytes = 16 << 20
)

// Config configures a Server. A field with a zero value has its default.
type Config struct {
	// Name is the name of the backend server; required.
	Name string
	// Service is the name of its service; required.
	Service string
	// Listen is the address for requests; default "127.0.0.1:0".
	Listen string
	// Control is the address of a second listener for the control paths, which
	// stays reachable when connections are refused; empty means none.
	Control string
	// Announce is the base URL of the node's announcement port; empty means that
	// the server does not announce itself.
	Announce string
	// Slots is the maximum number of concurrent executions; default 3.
	Slots int
	// Connections is the maximum number of open connections; default 400.
	Connections int
	// ServiceTime is the mean duration of an execution; default 20 ms.
	ServiceTime time.Duration
	// Spread is the standard deviation of the logarithm of the service time; 0
	// means a constant time. At 0.69 the 99th percentile is 5 times the median.
	Spread float64
	// ColdTime is the maximum duration of the cold start; 0 means no such limit.
	ColdTime time.Duration
	// ColdRequests is the number of executions that end the cold start; 0 means no
	// such limit. Without either limit there is no cold start.
	ColdRequests int
	// ColdFactor multiplies the service time during a cold start; default 5.
	ColdFactor float64
	// CollapseFactor further multiplies the service time of a request that starts
	// while another one is executing during a cold start; default 20.
	CollapseFactor float64
	// HealthTime is the response time of a health probe; default 25 ms.
	HealthTime time.Duration
	// DrainTime is the time in Shutdown between the announcement of draining and the
	// closing of the listener; default 1 s.
	DrainTime time.Duration
	// Seed determines all random choices.
	Seed uint64
	// Journal is the path of a file that persists the executions across restarts;
	// empty means that they are kept in memory only.
	Journal string
	// Secrets are values that no request may contain, such as the keys of teams. A
	// request that contains one is counted in Executions.Secrets.
	Secrets []string
	// OnCrash is called when a request crashes the server; default Kill.
	OnCrash func()
	// Logger logs state changes; the default discards them.
	Logger log.Logger
}

// withDefaults validates c and fills its defaults.
func (c Config) withDefaults() (Config, error) {
	if c.Name == "" || c.Service == "" {
		return c, errors.New("name and service are required")
	}
	if c.Listen == "" {
		c.Listen = "127.0.0.1:0"
	}
	if c.Slots < 0 || c.Connections < 0 || c.ColdRequests < 0 {
		return c, errors.New("slots, connections and cold requests must not be negative")
	}
	if c.ServiceTime < 0 || c.ColdTime < 0 || c.HealthTime < 0 || c.DrainTime < 0 {
		return c, errors.New("times must not be negative")
	}
	if c.Spread < 0 || c.Spread > 3 || math.IsNaN(c.Spread) {
		return c, errors.Newf("spread %v is not between 0 and 3", c.Spread)
	}
	setDefault(&c.Slots, DefaultSlots)
	setDefault(&c.Connections, DefaultConnections)
	setDefault(&c.ServiceTime, DefaultServiceTime)
	setDefault(&c.ColdFactor, DefaultColdFactor)
	setDefault(&c.CollapseFactor, DefaultCollapseFactor)
	setDefault(&c.HealthTime, DefaultHealthTime)
	setDefault(&c.DrainTime, DefaultDrainTime)
	if c.ColdFactor < 1 || c.CollapseFactor < 1 {
		return c, errors.New("cold and collapse factors must be at least 1")
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	return c, nil
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
