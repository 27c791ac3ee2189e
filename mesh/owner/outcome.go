package owner

import (
	"encoding/hex"
	"net/http"
	"time"

	"trefoildock.example/admission"
	"trefoildock.example/mesh/h1"
	"trefoildock.example/verdict"
)

// finish records the outcome of a request and returns it for the admission gate.
func (o *Owner) finish(b *backend, r *activeRequest, resp *h1.UpstreamResponse, err error) admission.Result {
	now := time.Now()
	latency := now.Sub(r.startedAt)
	o.cfg.Metrics.BackendLatency.Update(latency.Microseconds())
	status, code := 0, ""
	if err != nil {
		code = verdict.FromError(err).Code
	} else {
		status = resp.Status
	}
	o.cfg.Logger.Log("event", "backend server answered", "request", r.offer.GetRequestId(), "backend", b.announcement.ID,
		"status", status, "code", code, "ms", latency.Milliseconds(), "trial", r.trial, "last_resort", r.offer.GetLastResort())
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(b.inFlight, r)
	o.endTrial(now, r, b, err == nil && resp.Status < http.StatusInternalServerError)
	processing := o.processingTime(now, r)
	e := verdict.FromError(err)
	switch {
	case e == nil:
	case e.Code == CodeCanceled || e.Code == admission.CodeCanceled || e.Code == admission.CodeDeadline:
		if processing < b.health.overdueAfter(r.route) {
			b.health.cancel(r.trial)
			return admission.Canceled
		}
	case e.Code == CodeNoMemory:
		b.health.cancel(r.trial) // The responses of other requests take the memory.
		return admission.Canceled
	case e.Code == CodeShed:
		// The owner enforces the concurrency limit, so a shed request does not indicate
		// an overload, and the request can be retried.
		b.health.cancel(r.trial)
		return admission.Canceled
	case e.Code == CodeBackendLost || e.Code == CodeBackendCrashed:
		o.cfg.Logger.Log("event", "request lost with its connection", "request", r.offer.GetRequestId(), "backend", incarnationOf(b.announcement),
			"fingerprint", hex.EncodeToString(r.offer.GetFingerprint()), "ms", latency.Milliseconds())
		if q, ok := r.involved(); ok && !r.crashReported {
			b.lostRequests = append(b.lostRequests, lostRequest{lostAt: now, Involved: q, survived: r.survived})
		}
	}
	timedOut := deadlineExceeded(resp, e)
	failed := err != nil || resp.Status >= http.StatusInternalServerError
	// A failure that an outbound call may have caused, or a timeout before the overdue
	// threshold of the route, is no evidence of a failure of the backend server.
	if failed && o.outbound.mayHaveCausedFailure(now, r.startedAt, timedOut) || timedOut && processing < b.health.overdueAfter(r.route) {
		b.health.cancel(r.trial)
		return admission.Canceled
	}
	if err != nil {
		o.recordOutcome(b, r, now, false)
		return admission.Failure
	}
	slow := b.health.observeLatency(r.route, processing)
	ok := !failed && !slow
	o.recordOutcome(b, r, now, ok)
	if !ok {
		return admission.Failure
	}
	return admission.Success
}

// deadlineExceeded reports whether a request ended because its deadline had passed.
func deadlineExceeded(resp *h1.UpstreamResponse, e *verdict.Error) bool {
	if e != nil {
		return e.Code == CodeTimeout
	}
	return resp.Status == http.StatusGatewayTimeout
}

// recordOutcome updates the health of the backend server. o.mu is held.
func (o *Owner) recordOutcome(b *backend, r *activeRequest, now time.Time, ok bool) {
	if b.health.record(now, ok, r.trial) {
		o.cfg.Metrics.SuspicionChanges.Inc(1)
		o.cfg.Logger.Log("event", "suspicion of the backend server changed", "backend", b.announcement.ID,
			"suspected", b.health.suspected, "request", r.offer.GetRequestId(), "failures", b.health.recentFailures(now))
	}
}
