package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"trefoildock.example/standin/answer"
	"trefoildock.example/verdict"
)

// Outcome is the outcome of a request for its caller.
type Outcome string

// Outcomes of a request.
const (
	// Answered means a complete answer that matches the request.
	Answered Outcome = "answered"
	// NotRun means a refusal with the verdict not-run.
	NotRun Outcome = "not-run"
	// MayHaveRun means a failure with the verdict may-have-run.
	MayHaveRun Outcome = "may-have-run"
	// Failed means an error status with the verdict completed or without one.
	Failed Outcome = "failed"
	// Wrong means an answer that does not match the request.
	Wrong Outcome = "wrong"
	// Truncated means a response whose body was truncated.
	Truncated Outcome = "cut"
	// NoResponse means that the connection failed or the timeout passed before a status
	// was received.
	NoResponse Outcome = "no-answer"
	// NotSent means that no connection could be opened.
	NotSent Outcome = "not-sent"
)

// maxAnswerBytes bounds an answer: the padding and the JSON around it.
const maxAnswerBytes = maxPaddingBytes + 64<<10

// isInconclusive reports whether the attempt got neither a complete answer nor a final
// error response, so that its caller resends an order.
func (o Outcome) isInconclusive() bool {
	return o == MayHaveRun || o == Truncated || o == NoResponse || o == NotSent
}

// request is the content of one request, which resends repeat unchanged.
type request struct {
	team  *Team
	kind  *RequestKind
	id    string
	key   string // empty unless the request may be executed at most once
	query string
	body  []byte
}

// mayHaveExecuted reports whether the attempt may have been executed.
func (o Outcome) mayHaveExecuted() bool {
	return o != NotRun && o != NotSent
}

// newRequest returns a request with the given ID and, for a POST, a new idempotency key.
func newRequest(team *Team, kind *RequestKind, id string) (*request, error) {
	r := &request{team: team, kind: kind, id: id}
	query := url.Values{"ref": {id}}
	if kind.ResponsePadding > 0 {
		query.Set("size", strconv.Itoa(kind.ResponsePadding))
	}
	r.query = query.Encode()
	if !kind.atMostOnce() {
		return r, nil
	}
	key, err := uuid.NewV7()
	if err != nil {
		return nil, errors.Wrap(err, "idempotency key")
	}
	r.key = key.String()
	body := struct {
		OrderID string `json:"order_id"`
		Note    string `json:"note,omitempty"`
	}{OrderID: id, Note: strings.Repeat("n", kind.BodyPadding)}
	r.body, err = json.Marshal(body)
	return r, errors.Wrap(err, "encode order")
}

// expectedAnswer returns the values that the answer must repeat.
func (r *request) expectedAnswer() answer.Request {
	team := r.team.Name
	if r.kind.Open {
		team = ""
	}
	return answer.Request{
		Method: r.kind.Method, Path: r.kind.Path, Query: r.query, Team: team,
		Body: r.body, Padding: r.kind.ResponsePadding,
	}
}

// result is the outcome of one attempt.
type result struct {
	outcome Outcome
	// detail explains a wrong answer or a failure.
	detail string
	// status is the HTTP status, or 0 without one.
	status int
	// problemCode is the code in the problem body of a refusal or failure.
	problemCode string
	// team is the team in the answer.
	team string
	// transportRetries is the number of times that net/http retried a read because its
	// connection was closed without a response.
	transportRetries uint64
}

// send makes one attempt through an entry node.
func send(ctx context.Context, client *http.Client, entry string, req *request, timeout time.Duration) result {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var connections atomic.Uint64
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connections.Add(1) },
	})
	httpReq, err := newHTTPRequest(ctx, entry, req, timeout)
	if err != nil {
		return result{outcome: NotSent, detail: err.Error()}
	}
	r := roundTrip(client, httpReq, req)
	switch n := connections.Load(); {
	case n > 1:
		r.transportRetries = n - 1
	case n == 0:
		r.outcome = NotSent
	}
	return r
}

// roundTrip sends the request and classifies its response.
func roundTrip(client *http.Client, httpReq *http.Request, req *request) result {
	resp, err := client.Do(httpReq)
	if err != nil {
		return result{outcome: NoResponse, detail: err.Error()}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return result{outcome: Truncated, detail: err.Error(), status: resp.StatusCode}
	}
	return classifyResponse(resp, body, req)
}

func newHTTPRequest(ctx context.Context, entry string, req *request, timeout time.Duration) (*http.Request, error) {
	target := entry + req.kind.Path + "?" + req.query
	httpReq, err := http.NewRequestWithContext(ctx, req.kind.Method, target, bytes.NewReader(req.body))
	if err != nil {
		return nil, err
	}
	if req.kind.atMostOnce() {
		// With GetBody, net/http retries a request with an Idempotency-Key, and that
		// attempt would not be counted.
		httpReq.GetBody = nil
	}
	httpReq.Host = req.kind.Host
	httpReq.Header.Set(verdict.TimeoutHeader, strconv.FormatFloat(timeout.Seconds(), 'f', 3, 64))
	// An entry node replaces the request ID. A backend server that is addressed
	// directly repeats this one.
	httpReq.Header.Set(verdict.RequestIDHeader, req.id)
	if req.team.Key != "" {
		httpReq.Header.Set("Authorization", "Bearer "+req.team.Key)
	}
	if req.key != "" {
		httpReq.Header.Set(verdict.IdempotencyKeyHeader, req.key)
		httpReq.Header.Set("Content-Type", "application/json")
	}
	return httpReq, nil
}

// problemCode returns the code of an RFC 9457 problem body, or "" without one.
func problemCode(body []byte) string {
	var p verdict.Problem
	if json.Unmarshal(body, &p) != nil {
		return ""
	}
	return p.Type[strings.LastIndexByte(p.Type, ':')+1:]
}

// classifyResponse returns the result of a completely received response.
func classifyResponse(resp *http.Response, body []byte, req *request) result {
	r := result{status: resp.StatusCode}
	if resp.StatusCode >= 200 && resp.StatusCode < 300 {
		r.outcome = Answered
		if req.kind.Method == http.MethodHead {
			return r
		}
		err := req.expectedAnswer().Verify(body, resp.Header.Get(verdict.RequestIDHeader), resp.Header.Get(answer.DigestHeader))
		if err != nil {
			r.outcome, r.detail = Wrong, err.Error()
			return r
		}
		var a answer.Answer
		_ = json.Unmarshal(body, &a) // Verify has decoded the body without an error.
		r.team = a.Team
		return r
	}
	name := resp.Header.Get(verdict.Header)
	r.problemCode = problemCode(body)
	r.detail = strconv.Itoa(resp.StatusCode) + " " + name + " " + r.problemCode
	switch {
	case name == verdict.NotRun.String():
		r.outcome = NotRun
	case name == verdict.MayHaveRun.String():
		r.outcome = MayHaveRun
	case name == "" && resp.Header.Get(verdict.RefusedHeader) != "":
		r.outcome = NotRun // Sent by a backend server that is addressed directly.
	default:
		r.outcome = Failed
	}
	return r
}
