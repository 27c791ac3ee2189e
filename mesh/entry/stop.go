package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/verdict"
)

const (
	// runTimeFactor is the multiple of the average latency of a route that a request is
	// expected to need before the process ends.
	runTimeFactor = 2
	// minTimeToRun is the minimum time between sending a request and the end of the
	// process. It also covers outbound calls, which are accepted longest.
	minTimeToRun = 800 * time.Millisecond
)

// errStopping is the cause of the end of a context that waitContext returns.
var errStopping = errors.New("the process ends before the request could finish")

// plannedStop is the planned end of the process.
type plannedStop struct {
	// at is nil until the end is planned.
	at atomic.Pointer[time.Time]
	// planned ends once the end is planned.
	planned context.Context //nolint:containedctx // ends with the entry
	plan    context.CancelFunc
}

func newPlannedStop() *plannedStop {
	p := &plannedStop{}
	p.planned, p.plan = context.WithCancel(context.Background())
	return p
}

// PlanStop sets the time at which the process ends. From then on, a request is sent to a
// backend server only if it is expected to finish before. Requests that wait for one until
// that is no longer the case are refused, so that the end of the process cuts none of them.
func (e *Entry) PlanStop(at time.Time) {
	e.stop.at.Store(&at)
	e.stop.plan()
}

// latestSend returns the time from which the request must not be sent because the process
// ends. It returns false while no end is planned.
func (e *Entry) latestSend(q *request) (time.Time, bool) {
	end := e.stop.at.Load()
	if end == nil {
		return time.Time{}, false
	}
	e.mu.Lock()
	latency, known := e.latencies[q.route.Name]
	e.mu.Unlock()
	if !known {
		latency = q.route.LatencyObjective / runTimeFactor
	}
	return end.Add(-max(runTimeFactor*latency, minTimeToRun)), true
}

// tooLateToSend reports whether the process ends before the request could finish.
func (e *Entry) tooLateToSend(q *request) bool {
	latest, planned := e.latestSend(q)
	return planned && !time.Now().Before(latest)
}

// waitContext returns a context for the wait for an owner. It ends with ctx, and as soon as
// it is too late to send the request.
func (e *Entry) waitContext(ctx context.Context, q *request) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	unregister := context.AfterFunc(e.stop.planned, func() {
		latest, _ := e.latestSend(q)
		time.AfterFunc(time.Until(latest), func() { cancel(errStopping) })
	})
	return ctx, func() { unregister(); cancel(nil) }
}

// orStoppingError returns the refusal of a request for which it is too late, or err if the
// wait has ended for another reason.
func orStoppingError(waitCtx context.Context, err error) error {
	if !errors.Is(context.Cause(waitCtx), errStopping) {
		return err
	}
	return stoppingError(err)
}

func stoppingError(cause error) error {
	e := verdict.NewNotRun("stopping", "this node is about to stop", defaultRetryAfter)
	e.Cause = cause
	return e
}
