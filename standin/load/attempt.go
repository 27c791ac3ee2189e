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

// Outcome is how a request ended for its caller.
type Outcome string

// Outcomes of a request.
const (
	// Answered means a whole answer that belongs to the request.
	Answered Outcome = "answered"
	// NotRun means a refusal with the verdict not-run.
	NotRun Outcome = "not-run"
	// MayHaveRun means a failure with the verdict may-have-run.
	MayHaveRun Outcome = "may-have-run"
	// Failed means an error status with the verdict completed or without one.
	Failed Outcome = "failed"
	// Wrong means an answer that does not belong to the request.
	Wrong Outcome = "wrong"
	// Cut means an answer whose body ended early.
	Cut Outcome = "cut"
	// NoAnswer means that the connection failed or the timeout passed without a status.
	NoAnswer Outcome = "no-answer"
	// NotSent means that no connection could be opened.
	NotSent Outcome = "not-sent"
)

// maxAnswerBytes bounds an answer; the JSON around the padding is small.
const maxAnswerBytes = maxPadding + 64<<10

// unanswered reports whether a caller cannot know if its order was executed.
func (o Outcome) unanswered() bool {
	return o == MayHaveRun || o == Cut || o == NoAnswer || o == NotSent
}

// order is one request; resends repeat it unchanged.
type order struct {
	team  *Team
	kind  *Kind
	id    string
	key   string // empty unless the request may run at most once
	query string
	body  []byte
}

// uncertain reports whether the attempt may have been executed.
func (o Outcome) uncertain() bool {
	return o != NotRun && o != NotSent
}

// newOrder returns a request with an identity of its own.
func newOrder(team *Team, kind *Kind, id string) (*order, error) {
	o := &order{team: team, kind: kind, id: id}
	query := url.Values{"ref": {id}}
	if kind.AnswerPadding > 0 {
		query.Set("size", strconv.Itoa(kind.AnswerPadding))
	}
	o.query = query.Encode()
	if !kind.once() {
		return o, nil
	}
	key, err := uuid.NewV7()
	if err != nil {
		return nil, errors.Wrap(err, "idempotency key")
	}
	o.key = key.String()
	body := struct {
		OrderID string `json:"order_id"`
		Note    string `json:"note,omitempty"`
	}{OrderID: id, Note: strings.Repeat("n", kind.BodyPadding)}
	o.body, err = json.Marshal(body)
	return o, errors.Wrap(err, "encode order")
}

// expected returns what the answer must repeat.
func (o *order) expected() answer.Request {
	team := o.team.Name
	if o.kind.Open {
		team = ""
	}
	return answer.Request{
		Method: o.kind.Method, Path: o.kind.Path, Query: o.query, Team: team,
		Body: o.body, Padding: o.kind.AnswerPadding,
	}
}

// result is the outcome of one attempt.
type result struct {
	outcome Outcome
	// detail explains a wrong answer or a failure.
	detail string
	// code is the HTTP status, or 0 without one.
	code int
	// refusal is the code of the problem body of a failure.
	refusal string
	// team is the team that the answer names.
	team string
	// replays counts how often net/http sent a read again by itself because its
	// connection was closed without an answer.
	replays uint64
}

// send makes one attempt at an entry.
func send(ctx context.Context, client *http.Client, entry string, o *order, timeout time.Duration) result {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var connections atomic.Uint64
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connections.Add(1) },
	})
	req, err := newHTTPRequest(ctx, entry, o, timeout)
	if err != nil {
		return result{outcome: NotSent, detail: err.Error()}
	}
	r := exchange(client, req, o)
	switch n := connections.Load(); {
	case n > 1:
		r.replays = n - 1
	case n == 0:
		r.outcome = NotSent
	}
	return r
}

// exchange sends the request and judges its answer.
func exchange(client *http.Client, req *http.Request, o *order) result {
	resp, err := client.Do(req)
	if err != nil {
		return result{outcome: NoAnswer, detail: err.Error()}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return result{outcome: Cut, detail: err.Error(), code: resp.StatusCode}
	}
	return judge(resp, body, o)
}

func newHTTPRequest(ctx context.Context, entry string, o *order, timeout time.Duration) (*http.Request, error) {
	target := entry + o.kind.Path + "?" + o.query
	req, err := http.NewRequestWithContext(ctx, o.kind.Method, target, bytes.NewReader(o.body))
	if err != nil {
		return nil, err
	}
	if o.kind.once() {
		// With GetBody, net/http sends a request with an Idempotency-Key again by
		// itself, and that attempt would not be counted.
		req.GetBody = nil
	}
	req.Host = o.kind.Host
	req.Header.Set(verdict.TimeoutHeader, strconv.FormatFloat(timeout.Seconds(), 'f', 3, 64))
	// An entry node gives the request an identity of its own; a backend server
	// that is addressed directly repeats this one.
	req.Header.Set(verdict.RequestIDHeader, o.id)
	if o.team.Key != "" {
		req.Header.Set("Authorization", "Bearer "+o.team.Key)
	}
	if o.key != "" {
		req.Header.Set(verdict.IdempotencyKeyHeader, o.key)
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// problemCode returns the code of an RFC 9457 body, or "" without one.
func problemCode(body []byte) string {
	var p verdict.Problem
	if json.Unmarshal(body, &p) != nil {
		return ""
	}
	return p.Type[strings.LastIndexByte(p.Type, ':')+1:]
}

// judge classifies a whole answer.
func judge(resp *http.Response, body []byte, o *order) result {
	r := result{code: resp.StatusCode}
	if resp.StatusCode >= 200 && resp.StatusCode < 300 {
		r.outcome = Answered
		if o.kind.Method == http.MethodHead {
			return r
		}
		err := o.expected().Verify(body, resp.Header.Get(verdict.RequestIDHeader), resp.Header.Get(answer.DigestHeader))
		if err != nil {
			r.outcome, r.detail = Wrong, err.Error()
			return r
		}
		var a answer.Answer
		_ = json.Unmarshal(body, &a) // Verify has decoded it.
		r.team = a.Team
		return r
	}
	name := resp.Header.Get(verdict.Header)
	r.refusal = problemCode(body)
	r.detail = strconv.Itoa(resp.StatusCode) + " " + name + " " + r.refusal
	switch {
	case name == verdict.NotRun.String():
		r.outcome = NotRun
	case name == verdict.MayHaveRun.String():
		r.outcome = MayHaveRun
	case name == "" && resp.Header.Get(verdict.RefusedHeader) != "":
		r.outcome = NotRun // A backend server that is addressed without a node.
	default:
		r.outcome = Failed
	}
	return r
}
