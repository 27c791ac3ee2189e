package verdict

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Problem is the RFC 9457 body sent to a caller with every failure.
type Problem struct {
	// Type identifies the kind of failure as a URN.
	Type string `json:"type"`
	// Title is the standard text of the HTTP status.
	Title string `json:"title"`
	// Status repeats the HTTP status.
	Status int `json:"status"`
	// Detail explains this occurrence.
	Detail string `json:"detail,omitempty"`
	// Verdict is "not-run", "may-have-run" or "completed".
	Verdict string `json:"verdict"`
	// RequestID is the identity given to the request by the entry node.
	RequestID string `json:"request_id,omitempty"`
	// RetryAfterSeconds repeats the Retry-After header; 0 is left out.
	RetryAfterSeconds int `json:"retry_after_seconds,omitempty"`
}

// Problem converts the error to its RFC 9457 form.
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

// Write sends the error to the caller as a problem body with the verdict and
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
	_, _ = w.Write(body) // The caller may be gone; there is nobody left to tell.
}

// retryAfterSeconds rounds up, because Retry-After has whole seconds and an
// earlier attempt would be refused again.
func retryAfterSeconds(d time.Duration) int {
	if d <= 0 {
		return 0
	}
	return int(math.Ceil(d.Seconds()))
}
