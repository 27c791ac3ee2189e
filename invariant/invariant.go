// Package invariant records violations of runtime invariants.
//
// A violation is a bug in the program, never an effect of its input. In
// production it is counted and logged, and the request in which it was detected
// fails. In randomized tests it ends the run.
package invariant

import (
	"fmt"

	"github.com/go-kit/log"
	metrics "github.com/rcrowley/go-metrics"
)

// Name identifies an invariant that section 1.2 of docs/design.md defines.
type Name string

// Invariants checked at run time.
const (
	// EjectionFloor: outlier ejection keeps at least the minimum capacity of a
	// service in rotation.
	EjectionFloor Name = "floor"
	// TeamKeyIsolation: no backend server receives an API key, and no request runs
	// on behalf of another team.
	TeamKeyIsolation Name = "key"
	// TeamRateLimit: the rate shares of a team add up to at most its rate limit.
	TeamRateLimit Name = "rate"
	// ConcurrencyLimit: the requests in flight on a backend server stay within its
	// concurrency limit.
	ConcurrencyLimit Name = "slots"
	// ZoneInService: no request starts in an availability zone that is out of
	// service.
	ZoneInService Name = "zone"
	// ResponseIntegrity: a response belongs to its request and is complete.
	ResponseIntegrity Name = "answer"
	// VerdictIntegrity: a dispatched request is not reported as not-run.
	VerdictIntegrity Name = "not-run"
	// AtMostOnce: a request that must not be repeated is dispatched at most once.
	AtMostOnce Name = "once"
	// NoRequestToLeavingServer: no request starts on a backend server that is
	// leaving service.
	NoRequestToLeavingServer Name = "leaving"
	// GracefulShutdown: a graceful shutdown ends with no request in flight.
	GracefulShutdown Name = "graceful"
	// ConfigVersionMonotonic: the configuration version never decreases.
	ConfigVersionMonotonic Name = "version"
)

// Names lists all invariants.
var Names = []Name{EjectionFloor, TeamKeyIsolation, TeamRateLimit, ConcurrencyLimit, ZoneInService, ResponseIntegrity, VerdictIntegrity, AtMostOnce, NoRequestToLeavingServer, GracefulShutdown, ConfigVersionMonotonic}

// Recorder counts violations. It is safe for concurrent use.
type Recorder struct {
	counters map[Name]metrics.Counter
	logger   log.Logger
	// fatal is called on each violation; it is nil in production.
	fatal func(message string)
}

// New returns a recorder that registers one counter per invariant, named
// "invariant.violations.<name>". fatal may be nil.
func New(r metrics.Registry, logger log.Logger, fatal func(message string)) *Recorder {
	rec := &Recorder{counters: make(map[Name]metrics.Counter, len(Names)), logger: logger, fatal: fatal}
	for _, name := range Names {
		rec.counters[name] = metrics.NewRegisteredCounter("invariant.violations."+string(name), r)
	}
	return rec
}

// Check records a violation unless ok is true, and returns ok. The detail is
// formatted only for a violation.
func (r *Recorder) Check(ok bool, name Name, format string, args ...any) bool {
	if ok {
		return true
	}
	r.counters[name].Inc(1)
	detail := fmt.Sprintf(format, args...)
	r.logger.Log("event", "invariant violated", "invariant", name, "detail", detail)
	if r.fatal != nil {
		r.fatal("invariant " + string(name) + " violated: " + detail)
	}
	return false
}
