// Package recovery keeps a panic in the handling of one request or message from ending the
// process, which serves many others.
package recovery

import (
	"runtime/debug"

	"github.com/go-kit/log"
	metrics "github.com/rcrowley/go-metrics"
)

// Recorder logs and counts panics. A nil Recorder only recovers from them.
type Recorder struct {
	Logger log.Logger
	// Panics counts the recovered panics.
	Panics metrics.Counter
}

// New returns a Recorder whose counter is registered in r as process.panics.
func New(logger log.Logger, r metrics.Registry) *Recorder {
	return &Recorder{Logger: logger, Panics: metrics.NewRegisteredCounter("process.panics", r)}
}

// Do calls f and reports whether it returned without a panic. where and request, which may
// be empty, identify the work in the log line.
func (r *Recorder) Do(where, request string, f func()) (ok bool) {
	defer func() {
		if cause := recover(); cause != nil {
			r.Record(where, request, cause)
		}
	}()
	f()
	return true
}

// Record logs and counts a recovered panic.
func (r *Recorder) Record(where, request string, cause any) {
	if r == nil {
		return
	}
	r.Panics.Inc(1)
	r.Logger.Log("event", "panic", "where", where, "request", request, "cause", cause, "stack", string(debug.Stack()))
}
