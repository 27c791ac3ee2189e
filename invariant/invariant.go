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
	// Floor: outlier ejection keeps at least the minimum capacity of a service
	// in rotation.
	Floor Name = "floor"
	// Key: no backend server receives an API key, and no request runs on behalf
	// of another team.
	Key Name = "key"
	// Rate: the rate shares of a team add up to at most its rate limit.
	Rate Name = "rate"
	// Slots: the requests in flight on a backend server stay within its
	// concurrency limit.
	Slots Name = "slots"
	// Zone: no request starts in an availability zone that is out of service.
	Zone Name = "zone"
	// ResponseIntegrity: a response belongs to its request and is complete.
	ResponseIntegrity Name = "answer"
	// NotRun: a dispatched request is not reported as not-run.
	NotRun Name = "not-run"
	// Once: a request that must not be repeated is dispatched at most once.
	Once Name = "once"
	// Leaving: no request starts on a backend server that is leaving service.
	Leaving Name = "leaving"
	// Graceful: a graceful shutdown ends with no request in flight.
	Graceful Name = "graceful"
	// Version: the configuration version never decreases.
	Version Name = "version"
)

// Names lists all invariants.
var Names = []Name{Floor, Key, Rate, Slots, Zone, ResponseIntegrity, NotRun, Once, Leaving, Graceful, Version}

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
