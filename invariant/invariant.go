// Package invariant records violations of what must always hold.
//
// A violation is a fault of the program, never of its input. In production it
// is counted and logged, and the request that showed it fails; in randomised
// tests it ends the run.
package invariant

import (
	"fmt"

	"github.com/go-kit/log"
	metrics "github.com/rcrowley/go-metrics"
)

// Name identifies an invariant of docs/design.md, 1.2.
type Name string

// The invariants that a node checks while it runs.
const (
	// Floor: ejection leaves the floor of a service.
	Floor Name = "floor"
	// Key: no backend server sees a key, and no request runs for another team.
	Key Name = "key"
	// Rate: the shares of a team sum to at most its promise.
	Rate Name = "rate"
	// Slots: no backend server runs more than its slots allow.
	Slots Name = "slots"
	// Zone: no request starts in an availability zone that is out of service.
	Zone Name = "zone"
	// Answer: an answer belongs to its request and is complete.
	Answer Name = "answer"
	// NotRun: a request that was dispatched is not reported as not run.
	NotRun Name = "not-run"
	// Once: a request that may not be repeated is dispatched at most once.
	Once Name = "once"
	// Leaving: no request starts on a backend server that is leaving.
	Leaving Name = "leaving"
	// Graceful: a planned stop ends with no request in flight.
	Graceful Name = "graceful"
	// Version: the configuration never goes back to an earlier version.
	Version Name = "version"
)

// Names lists all invariants.
var Names = []Name{Floor, Key, Rate, Slots, Zone, Answer, NotRun, Once, Leaving, Graceful, Version}

// Recorder counts violations. It is safe for concurrent use.
type Recorder struct {
	counters map[Name]metrics.Counter
	logger   log.Logger
	// fatal is called on each violation; nil in production.
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

// Check records a violation unless ok, and returns ok. The detail is formatted
// only for a violation.
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
