// Package verdict states whether a request may have run on a backend server.
//
// Every failure on the way from the backend connection to the caller carries a
// Verdict. It decides whether the request may be sent again and is reported to
// the caller in a response header and in an RFC 9457 problem body.
package verdict

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict states whether a request may have run on a backend server.
type Verdict uint8

const (
	// MayHaveRun means that at least one byte of the request may have reached a
	// backend server. It is the zero value, so that an unset verdict never
	// claims too much.
	MayHaveRun Verdict = iota
	// NotRun means that no backend server has executed or will execute the request.
	NotRun
	// Completed means that the whole answer of a backend server is at hand.
	Completed
)

// Header names used towards the caller and the backend server.
const (
	// Header carries the verdict to the caller.
	Header = "Trefoildock-Verdict"
	// RefusedHeader is set by a backend server on a 503 answer given before execution.
	RefusedHeader = "Backend-Refused"
	// RequestIDHeader carries the request identity; the answer must repeat it.
	RequestIDHeader = "Request-Id"
	// TimeoutHeader carries the remaining time of a request in seconds.
	TimeoutHeader = "Request-Timeout"
	// TeamHeader names the authenticated team to the backend server.
	TeamHeader = "Team"
	// IdempotencyKeyHeader carries the caller's idempotency key.
	IdempotencyKeyHeader = "Idempotency-Key"
)

// String returns the value used in the response header.
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

// Parse returns the verdict named by s. An unknown name is MayHaveRun, the
// verdict that promises least.
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

// Error is a request failure with its verdict.
type Error struct {
	// Verdict states whether the request may have run.
	Verdict Verdict
	// Status is the HTTP status sent to the caller.
	Status int
	// Code is a short stable name of the failure, for example "rate-limit".
	Code string
	// Detail explains the failure to a person.
	Detail string
	// RetryAfter is the time after which a new attempt is useful; 0 means unknown.
	RetryAfter time.Duration
	// Cause is the underlying error, if any.
	Cause error
}

// Error returns the code, the verdict and the detail.
func (e *Error) Error() string {
	s := e.Code + " (" + e.Verdict.String() + "): " + e.Detail
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Cause }

// Refuse returns a NotRun error with status 503.
func Refuse(code, detail string, retryAfter time.Duration) *Error {
	return &Error{Verdict: NotRun, Status: 503, Code: code, Detail: detail, RetryAfter: retryAfter}
}

// Lost returns a MayHaveRun error with status 502.
func Lost(code, detail string, cause error) *Error {
	return &Error{Verdict: MayHaveRun, Status: 502, Code: code, Detail: detail, Cause: cause}
}

// From returns err as an *Error. An error without a verdict becomes MayHaveRun
// with status 502, because nothing is known about it.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Lost("internal", "unexpected failure", err)
}
