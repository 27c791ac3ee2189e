package detection

import "time"

// ReportInterval is the time between two reports of an owner.
const ReportInterval = 500 * time.Millisecond

// BackendStatus summarises one backend server over the last report interval.
type BackendStatus struct {
	BackendServer string
	Zone          string
	// Incarnation changes with each start of the backend server.
	Incarnation string
	// Requests counts finished requests and probes, with errors and wrong answers.
	Requests uint32
	// Probes counts the probes among Requests. Latencies are those of probes if
	// it equals Requests, and of requests otherwise.
	Probes uint32
	// Errors counts failures and timeouts, ProbeErrors those of probes among them.
	Errors, ProbeErrors uint32
	// Wrong counts wrong, crossed and truncated answers, ProbeWrong those to
	// probes among them.
	Wrong, ProbeWrong uint32
	// LatencyP50 and LatencyP90 cover correct answers; 0 if there were none.
	LatencyP50, LatencyP90 time.Duration
	// Oldest is the age of the oldest unfinished request or probe; 0 if none.
	Oldest time.Duration
	// InService is false while an operator has taken the server out.
	InService bool
	// Ejected is true while the owner holds an ejection permit.
	Ejected bool
	// TrialSuccesses and TrialFailures count since the trial began.
	TrialSuccesses, TrialFailures uint32
}

// Outcome is the result of one request or probe.
type Outcome uint8

const (
	// OK is a complete and correct answer.
	OK Outcome = iota
	// Error is an answer that reports a failure of the server.
	Error
	// Timeout is a request whose deadline passed.
	Timeout
	// Wrong is an answer to another request or with wrong content.
	Wrong
	// Truncated is an answer whose body ended early.
	Truncated
	// Canceled is a request that the caller gave up; it is no evidence.
	Canceled
)
