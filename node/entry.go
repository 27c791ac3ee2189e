package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/rules"
	"trefoildock.example/verdict"
)

const (
	// bodyReadGrace extends the read deadline of a streamed body beyond the
	// request deadline, so that the failure is reported as a deadline error and
	// not as a read error.
	bodyReadGrace = time.Second
	// unreadBodyTimeout bounds the time for draining an unread request body.
	unreadBodyTimeout = time.Second
)

// entry handles requests from callers.
type entry struct {
	node    *Node
	metrics *trafficMetrics
}

// callerRequest is the state of a caller's request at the entry.
type callerRequest struct {
	w     http.ResponseWriter
	r     *http.Request
	id    string
	start time.Time
	// bodyRead is set once the body has been read completely.
	bodyRead bool
}

// ServeHTTP admits a request, forwards it to an owner and writes the response.
func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.metrics.requests.Inc(1)
	c := &callerRequest{w: w, r: r, id: newRequestID(), start: time.Now(), bodyRead: r.ContentLength == 0}
	if mustCloseConnection(r) {
		w.Header().Set("Connection", "close")
	}
	err := e.handle(c)
	e.metrics.latency.UpdateSince(c.start)
	if err == nil {
		e.metrics.completed.Inc(1)
		return
	}
	if errors.Is(err, http.ErrAbortHandler) {
		e.metrics.abortedResponses.Inc(1)
		panic(http.ErrAbortHandler) // Resets the connection, so that the caller does not take a truncated response for a complete one.
	}
	e.fail(c, verdict.FromError(err))
}

func (e *entry) fail(c *callerRequest, err *verdict.Error) {
	switch err.Verdict {
	case verdict.NotRun:
		e.metrics.refused.Inc(1)
	default:
		e.metrics.mayHaveRun.Inc(1)
	}
	if !c.bodyRead && c.r.ProtoMajor == 1 {
		c.limitUnreadBody()
	}
	if err.Status == http.StatusUnauthorized {
		c.w.Header().Set("Www-Authenticate", "Bearer") // Required by RFC 9110, 15.5.2.
	}
	err.Write(c.w, c.id)
}

// limitUnreadBody limits how much of an unread body net/http drains before it
// reuses the connection. Only a short body is worth draining; otherwise the
// connection is closed.
func (c *callerRequest) limitUnreadBody() {
	if c.r.ContentLength < 0 || c.r.ContentLength > bufferBytes {
		c.w.Header().Set("Connection", "close")
	}
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
}

// handle returns nil once the response has been written completely,
// http.ErrAbortHandler if it failed after its start, and otherwise the error to
// report to the caller.
func (e *entry) handle(c *callerRequest) error {
	if err := checkRequest(c.r); err != nil {
		return err
	}
	snap := e.node.snapshot.Load()
	if snap.configVersion == 0 {
		e.metrics.notFresh.Inc(1)
		return notFreshError(c.r.Header.Get(verdict.IdempotencyKeyHeader) != "")
	}
	route, ok := snap.router.Match(c.r.Method, c.r.Host, c.r.URL.Path)
	if !ok {
		e.metrics.noRoute.Inc(1)
		return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusNotFound, Code: "no-route", Detail: "no route matches the request"}
	}
	cred := credentialsOf(c.r)
	team, err := e.authenticate(snap, route, c.r, &cred)
	if err != nil {
		return err
	}
	if cred.containedIn(c.r.URL.EscapedPath()) || cred.containedIn(c.r.Host) {
		return badRequest("key-in-target", "the path or the host contains the key")
	}
	timeout, err := requestTimeout(c.r, route)
	if err != nil {
		return err
	}
	deadline := c.start.Add(timeout)
	ctx, cancel := context.WithDeadline(c.r.Context(), deadline)
	defer cancel()
	refusal := e.admit(ctx, team)
	if refusal != nil && !needsClaim(route, c.r) {
		return refusal
	}
	req, err := e.newRequest(c, deadline, route, team, &cred)
	if err != nil {
		return err
	}
	var resp *response
	if refusal != nil {
		resp, err = e.node.refuseAfterClaim(ctx, req, refusal)
	} else {
		resp, err = e.node.forwardRequest(ctx, snap, req)
	}
	if err != nil {
		return err
	}
	defer resp.close()
	return writeResponse(c.w, c.r, resp, c.id)
}

// needsClaim reports whether the request needs an idempotency claim: its route
// runs requests at most once and it has an idempotency key.
func needsClaim(route *rules.Route, r *http.Request) bool {
	return route.Repeat == rules.RepeatOnce && r.Header.Get(verdict.IdempotencyKeyHeader) != ""
}

// authenticate returns the team of the request, or nil on an open route if the
// request has no valid key.
func (e *entry) authenticate(snap *snapshot, route *rules.Route, r *http.Request, c *credentials) (*rules.Team, error) {
	open := route.Access == rules.AccessOpen
	if c.ambiguous {
		return nil, badRequest("ambiguous-key", "the request carries two different keys")
	}
	if c.key == "" && open {
		return nil, nil
	}
	if !e.node.fresh(time.Now()) {
		if open {
			return nil, nil // The key cannot be validated, so the request runs without a team.
		}
		e.metrics.notFresh.Inc(1)
		return nil, notFreshError(needsClaim(route, r))
	}
	if team := teamForKey(snap.config, c.key); team != nil || open {
		return team, nil
	}
	e.metrics.unauthorized.Inc(1)
	return nil, &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusUnauthorized, Code: "unauthorized", Detail: "the request carries no valid key"}
}

// notFreshError returns the error of a node whose configuration may be stale.
// If the request may be a resend, an earlier request with the same idempotency
// key may have run, so the verdict is MayHaveRun.
func notFreshError(needsClaim bool) error {
	err := verdict.NewNotRun("not-fresh", "this node cannot tell whether its configuration is current", time.Second)
	if needsClaim {
		err.Verdict, err.Status = verdict.MayHaveRun, http.StatusBadGateway
	}
	return err
}

// teamForKey returns the team that the key belongs to, or nil.
func teamForKey(c *rules.Config, key string) *rules.Team {
	if key == "" {
		return nil
	}
	k, ok := c.Keys[rules.DigestKey(key)]
	if !ok {
		return nil
	}
	team, ok := c.Teams[k.Team]
	if !ok {
		return nil
	}
	return &team
}

// admit applies the rate limit of the team.
func (e *entry) admit(ctx context.Context, team *rules.Team) error {
	if team == nil {
		return nil
	}
	if err := e.node.rateLimiter.admit(ctx, team); err != nil {
		e.metrics.rateRefused.Inc(1)
		return err
	}
	return nil
}

func (e *entry) newRequest(c *callerRequest, deadline time.Time, route *rules.Route, team *rules.Team, cred *credentials) (*request, error) {
	body, err := e.receiveBody(c, deadline)
	if err != nil {
		return nil, err
	}
	r := c.r
	req := &request{
		id: c.id, route: route.Path, service: route.Service, method: r.Method,
		target: forwardedTarget(r.URL, cred), host: r.Host, fields: forwardedFields(r.Header, cred),
		idempotent: route.Repeat == rules.RepeatIdempotent,
		body:       body, idempotencyKey: r.Header.Get(verdict.IdempotencyKeyHeader),
	}
	if cred.containedIn(req.idempotencyKey) {
		return nil, badRequest("bad-idempotency-key", "the Idempotency-Key contains the key")
	}
	if team != nil {
		req.team, req.teamWeight = team.Name, uint32(team.Weight)
	}
	req.fingerprint = requestFingerprint(req)
	return req, nil
}

// receiveBody buffers the start of the body. The body must arrive before the
// deadline, so that a slow caller cannot hold memory indefinitely.
func (e *entry) receiveBody(c *callerRequest, deadline time.Time) (*requestBody, error) {
	limit := int64(e.node.settings.Limits.MaxBodyBytes)
	if c.r.ContentLength > limit {
		return nil, bodyError(&http.MaxBytesError{Limit: limit})
	}
	control := http.NewResponseController(c.w)
	_ = control.SetWriteDeadline(deadline.Add(writeGrace))
	if c.r.ContentLength == 0 {
		return readBody(nil, 0)
	}
	_ = control.SetReadDeadline(deadline)
	// The ResponseWriter is nil because another goroutine than the one that writes
	// the response reads the rest of the body.
	body, err := readBody(http.MaxBytesReader(nil, c.r.Body, limit), c.r.ContentLength)
	if err != nil {
		return nil, bodyError(err)
	}
	if body.remainder == nil {
		c.bodyRead = true
		// If a read deadline expired while the response is pending, net/http would
		// treat the caller as disconnected.
		_ = control.SetReadDeadline(time.Time{})
		return body, nil
	}
	_ = control.SetReadDeadline(deadline.Add(bodyReadGrace))
	return body, nil
}

// requestTimeout returns the smaller of the route's timeout and the timeout
// requested by the caller.
func requestTimeout(r *http.Request, route *rules.Route) (time.Duration, error) {
	v := r.Header.Get(verdict.TimeoutHeader)
	if v == "" {
		return route.Timeout, nil
	}
	s, err := strconv.ParseFloat(v, 64)
	if err != nil || !(s > 0 && s <= 86400) {
		return 0, badRequest("bad-timeout", "Request-Timeout is not a number of seconds between 0 and 86400")
	}
	return min(route.Timeout, time.Duration(s*float64(time.Second))), nil
}

func badRequest(code, detail string) *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusBadRequest, Code: code, Detail: detail}
}

// bodyError converts an error from reading the request body. No part of the
// request has been sent at this point.
func bodyError(err error) *verdict.Error {
	e := badRequest("body-incomplete", "the body of the request could not be read")
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		e.Status, e.Code = http.StatusRequestEntityTooLarge, "body-too-large"
		e.Detail = "the body is longer than " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes"
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.Status, e.Code, e.Detail = http.StatusRequestTimeout, "body-too-slow", "the body did not arrive before the deadline"
	}
	e.Cause = err
	return e
}

// writeResponse writes the response. A fully buffered response has an exact
// Content-Length; a longer one is streamed and aborted on failure.
func writeResponse(w http.ResponseWriter, r *http.Request, resp *response, id string) error {
	if resp.head.GetRequestId() != id {
		return verdict.NewMayHaveRun("crossed-answer", "the answer belongs to another request", nil)
	}
	h := w.Header()
	setFields(h, resp.head.GetFields())
	h.Set(verdict.RequestIDHeader, id)
	h.Set(verdict.Header, verdict.Completed.String())
	status := int(resp.head.GetStatus())
	switch {
	case !hasBody(r.Method, status):
		if n := resp.head.GetContentLength(); n >= 0 && r.Method == http.MethodHead {
			h.Set("Content-Length", strconv.FormatInt(n, 10))
		}
	case resp.complete:
		h.Set("Content-Length", strconv.Itoa(len(resp.prefix)))
	case resp.head.GetContentLength() >= 0:
		h.Set("Content-Length", strconv.FormatInt(resp.head.GetContentLength(), 10))
	}
	w.WriteHeader(status)
	if !hasBody(r.Method, status) {
		return nil
	}
	if _, err := w.Write(resp.prefix); err != nil {
		return http.ErrAbortHandler
	}
	if resp.complete {
		return nil
	}
	if err := resp.remainder.copyTo(flushWriter{w, http.NewResponseController(w)}); err != nil {
		return http.ErrAbortHandler
	}
	return nil
}

// flushWriter flushes each chunk of a streamed response immediately.
type flushWriter struct {
	w http.ResponseWriter
	c *http.ResponseController
}

// Write writes and flushes p.
func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	if err != nil {
		return n, err
	}
	return n, f.c.Flush()
}

// newRequestID returns 128 random bits in hexadecimal.
func newRequestID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error.
	return hex.EncodeToString(b[:])
}
