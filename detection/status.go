package detection

import "time"

// ReportInterval is the time between two reports of an owner node.
const ReportInterval = 500 * time.Millisecond

// BackendStatus summarizes one backend server over the last report interval.
type BackendStatus struct {
	BackendServer string
	Zone          string
	// Incarnation changes with each start of the backend server.
	Incarnation string
	// Requests counts finished requests and probes, including failures.
	Requests uint32
	// Probes counts the probes among Requests. Latencies refer to probes if Probes
	// equals Requests, and to requests otherwise.
	Probes uint32
	// Errors counts failures and timeouts, ProbeErrors the probes among them.
	Errors, ProbeErrors uint32
	// Wrong counts wrong and truncated responses and responses to other requests,
	// ProbeWrong the probes among them.
	Wrong, ProbeWrong uint32
	// LatencyP50 and LatencyP90 are quantiles over correct responses; 0 if there are
	// none.
	LatencyP50, LatencyP90 time.Duration
	// OldestAge is the age of the oldest unfinished request or probe; 0 if none.
	OldestAge time.Duration
	// InService is false while the server is disabled by an operator.
	InService bool
	// Ejected is true while the owner holds an ejection permit.
	Ejected bool
	// TrialSuccesses and TrialFailures count results since the start of the trial.
	TrialSuccesses, TrialFailures uint32
}

// Outcome is the result of one request or probe.
type Outcome uint8

const (
	// OK is a complete and correct response.
	OK Outcome = iota
	// Error is a response that reports a failure of the server.
	Error
	// Timeout is a request whose deadline expired.
	Timeout
	// Wrong is a response to another request or with wrong content.
	Wrong
	// Truncated is a response with an incomplete body.
	Truncated
	// Canceled is a request that the caller canceled; it is not counted.
	Canceled
)
