// Package verdict classifies whether a failed request may have run on a backend
// server.
//
// Every failure between the backend connection and the caller carries a
// Verdict. The verdict decides whether the request may be retried. The caller
// receives it in a response header and in an RFC 9457 problem body.
package verdict

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict classifies whether a request may have run on a backend server.
type Verdict uint8

const (
	// MayHaveRun means that at least one byte of the request may have reached a
	// backend server. It is the zero value, so that an unset verdict makes the
	// weakest statement.
	MayHaveRun Verdict = iota
	// NotRun means that no backend server has executed or will execute the
	// request.
	NotRun
	// Completed means that the complete response of a backend server was
	// received.
	Completed
)

// Names of headers exchanged with callers and backend servers.
const (
	// Header is the response header that carries the verdict to the caller.
	Header = "Trefoildock-Verdict"
	// RefusedHeader is set by a backend server on a 503 response to a request
	// that it refused before execution.
	RefusedHeader = "Backend-Refused"
	// RequestIDHeader carries the request ID; the response must repeat it.
	RequestIDHeader = "Request-Id"
	// TimeoutHeader carries the remaining time of a request in seconds.
	TimeoutHeader = "Request-Timeout"
	// TeamHeader carries the authenticated team to the backend server.
	TeamHeader = "Team"
	// IdempotencyKeyHeader carries the idempotency key of the caller.
	IdempotencyKeyHeader = "Idempotency-Key"
)

// String returns the value of the response header.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Completed:
		return "completed"
	case MayHaveRun:
		return "may-have-run"
	default:
		return "may-have-run"
	}
}

// Parse returns the verdict with the given header value. An unknown value is
// parsed as MayHaveRun, the weakest verdict.
func Parse(s string) Verdict {
	switch s {
	case "not-run":
		return NotRun
	case "completed":
		return Completed
	default:
		return MayHaveRun
	}
}

// Error is a failed request with its verdict.
type Error struct {
	// Verdict classifies whether the request may have run.
	Verdict Verdict
	// Status is the HTTP status code sent to the caller.
	Status int
	// Code is a short, stable identifier of the failure, for example
	// "rate-limit".
	Code string
	// Detail is a human-readable description of the failure.
	Detail string
	// RetryAfter is the delay after which a retry may succeed; 0 means unknown.
	RetryAfter time.Duration
	// Cause is the underlying error, if any.
	Cause error
}

// Error returns the code, the verdict, the detail and the cause.
func (e *Error) Error() string {
	s := e.Code + " (" + e.Verdict.String() + "): " + e.Detail
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Cause }

// NewNotRun returns an error with the verdict NotRun and status 503.
func NewNotRun(code, detail string, retryAfter time.Duration) *Error {
	return &Error{Verdict: NotRun, Status: 503, Code: code, Detail: detail, RetryAfter: retryAfter}
}

// NewMayHaveRun returns an error with the verdict MayHaveRun and status 502.
func NewMayHaveRun(code, detail string, cause error) *Error {
	return &Error{Verdict: MayHaveRun, Status: 502, Code: code, Detail: detail, Cause: cause}
}

// FromError returns err as an *Error. An error without a verdict gets
// MayHaveRun and status 502, because it does not show whether the request
// reached a backend server.
func FromError(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return NewMayHaveRun("internal", "unexpected failure", err)
}
