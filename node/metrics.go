package node

import metrics "github.com/rcrowley/go-metrics"

// trafficMetrics holds the metrics of the request path and the control plane.
// docs/metrics.md describes each of them.
type trafficMetrics struct {
	requests, completed, refused, mayHaveRun         metrics.Counter
	retries, hedges, redirects                       metrics.Counter
	unauthorized, noRoute, notFresh                  metrics.Counter
	dispatched, truncatedResponses, crossedResponses metrics.Counter
	invalidResponses                                 metrics.Counter
	abortedResponses                                 metrics.Counter
	announcementsRefused, linkErrors                 metrics.Counter
	rejectedDeltas, pullErrors, tableErrors          metrics.Counter
	memberConflicts                                  metrics.Counter
	rateRefused, claimRefused                        metrics.Counter
	crashingRequests, crashes                        metrics.Counter
	probes, failedReports                            metrics.Counter
	ejections, floorRefused, floorReturned           metrics.Counter
	readmissions, failedTrials                       metrics.Counter
	latency, backendLatency                          metrics.Timer
}

func newTrafficMetrics(r metrics.Registry) *trafficMetrics {
	c := func(name string) metrics.Counter { return metrics.NewRegisteredCounter(name, r) }
	return &trafficMetrics{
		requests: c("requests.received"), completed: c("requests.answered"),
		refused: c("requests.refused.not_run"), mayHaveRun: c("requests.failed.may_have_run"),
		retries: c("requests.retries"), hedges: c("requests.hedges"), redirects: c("requests.redirects"),
		unauthorized: c("requests.unauthorized"), noRoute: c("requests.no_route"), notFresh: c("requests.not_fresh"),
		dispatched: c("owner.dispatched"), truncatedResponses: c("owner.answers.cut"),
		invalidResponses: c("owner.answers.wrong"), crossedResponses: c("answers.crossed"), abortedResponses: c("answers.aborted"),
		announcementsRefused: c("owner.announcements.refused"), linkErrors: c("link.errors"),
		rejectedDeltas: c("control.deltas.refused"), pullErrors: c("control.pulls.failed"),
		tableErrors: c("control.table.failed"), memberConflicts: c("control.members.conflicts"),
		rateRefused: c("requests.refused.rate"), claimRefused: c("requests.refused.claim"),
		crashingRequests: c("owner.requests.convicted"), crashes: c("owner.crashes"),
		probes: c("owner.probes"), failedReports: c("owner.reports.failed"),
		ejections: c("home.ejections"), floorRefused: c("home.ejections.refused"), floorReturned: c("home.ejections.returned"),
		readmissions: c("home.trials.passed"), failedTrials: c("home.trials.failed"),
		latency: metrics.NewRegisteredTimer("requests.latency", r), backendLatency: metrics.NewRegisteredTimer("owner.latency", r),
	}
}
