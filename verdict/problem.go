package verdict

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Problem is the RFC 9457 problem body that the caller receives with every
// failure.
type Problem struct {
	// Type is a URN that identifies the kind of failure.
	Type string `json:"type"`
	// Title is the standard text of the HTTP status code.
	Title string `json:"title"`
	// Status is the HTTP status code.
	Status int `json:"status"`
	// Detail describes this occurrence of the failure.
	Detail string `json:"detail,omitempty"`
	// Verdict is "not-run", "may-have-run" or "completed".
	Verdict string `json:"verdict"`
	// RequestID is the request ID assigned by the entry node.
	RequestID string `json:"request_id,omitempty"`
	// RetryAfterSeconds is the value of the Retry-After header; 0 is omitted.
	RetryAfterSeconds int `json:"retry_after_seconds,omitempty"`
}

// Problem returns the RFC 9457 representation of the error.
func (e *Error) Problem(requestID string) Problem {
	return Problem{
		Type:              "urn:trefoildock:problem:" + e.Code,
		Title:             http.StatusText(e.Status),
		Status:            e.Status,
		Detail:            e.Detail,
		Verdict:           e.Verdict.String(),
		RequestID:         requestID,
		RetryAfterSeconds: retryAfterSeconds(e.RetryAfter),
	}
}

// Write sends the error to the caller as a problem body, with the verdict and
// Retry-After headers.
func (e *Error) Write(w http.ResponseWriter, requestID string) {
	p := e.Problem(requestID)
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Cache-Control", "no-store")
	h.Set(Header, p.Verdict)
	if requestID != "" {
		h.Set(RequestIDHeader, requestID)
	}
	if p.RetryAfterSeconds > 0 {
		h.Set("Retry-After", strconv.Itoa(p.RetryAfterSeconds))
	}
	body, err := json.Marshal(p)
	if err != nil {
		w.WriteHeader(e.Status)
		return
	}
	body = append(body, '\n')
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(e.Status)
	_, _ = w.Write(body) // A write error means that the caller has disconnected.
}

// retryAfterSeconds rounds up, because Retry-After is in whole seconds and a
// retry before d would be refused again.
func retryAfterSeconds(d time.Duration) int {
	if d <= 0 {
		return 0
	}
	return int(math.Ceil(d.Seconds()))
}
