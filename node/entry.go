package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/rules"
	"trefoildock.example/verdict"
)

// entry accepts the requests of callers.
type entry struct {
	node    *Node
	metrics *trafficMetrics
}

// ServeHTTP admits one request, forwards it to an owner and answers the caller.
func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	e.metrics.requests.Inc(1)
	id := newRequestID()
	err := e.handle(w, r, id, start)
	e.metrics.latency.UpdateSince(start)
	if err == nil {
		e.metrics.answered.Inc(1)
		return
	}
	if errors.Is(err, http.ErrAbortHandler) {
		e.metrics.abortedStreams.Inc(1)
		panic(http.ErrAbortHandler) // Resets the connection, so that a cut answer has no clean end.
	}
	e.fail(w, verdict.From(err), id)
}

func (e *entry) fail(w http.ResponseWriter, err *verdict.Error, id string) {
	switch err.Verdict {
	case verdict.NotRun:
		e.metrics.refused.Inc(1)
	default:
		e.metrics.mayHaveRun.Inc(1)
	}
	if err.Status == http.StatusRequestEntityTooLarge || err.Status == http.StatusBadRequest {
		w.Header().Set("Connection", "close") // The rest of the body is not read.
	}
	err.Write(w, id)
}

// handle returns nil once the whole answer was written, http.ErrAbortHandler
// if it broke after its start, or a failure that the caller is told about.
func (e *entry) handle(w http.ResponseWriter, r *http.Request, id string, start time.Time) error {
	if err := checkRequest(r); err != nil {
		return err
	}
	snap := e.node.snapshot.Load()
	route, ok := snap.router.Match(r.Method, r.Host, r.URL.Path)
	if !ok {
		e.metrics.noRoute.Inc(1)
		return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusNotFound, Code: "no-route", Detail: "no route matches the request"}
	}
	team, key, err := e.authenticate(snap, route, r)
	if err != nil {
		return err
	}
	timeout, err := requestTimeout(r, route)
	if err != nil {
		return err
	}
	deadline := start.Add(timeout)
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	// A caller that sends or reads too slowly must not hold memory for ever.
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(deadline)
	_ = c.SetWriteDeadline(deadline.Add(writeGrace))
	if err := e.admit(ctx, team); err != nil {
		return err
	}
	req, err := e.newRequest(w, r, id, route, team, key)
	if err != nil {
		return err
	}
	a, err := e.node.perform(ctx, snap, req)
	if err != nil {
		return err
	}
	defer a.close()
	return respond(w, r, a, id)
}

// authenticate returns the team of the request, or nil on an open route
// without a key.
func (e *entry) authenticate(snap *snapshot, route *rules.Route, r *http.Request) (*rules.Team, string, error) {
	key, ambiguous := requestKey(r)
	if ambiguous {
		return nil, "", badRequest("ambiguous-key", "the request carries two different keys")
	}
	if key == "" && route.Access == rules.AccessOpen {
		return nil, "", nil
	}
	if !e.node.fresh(time.Now()) {
		if route.Access == rules.AccessOpen {
			return nil, key, nil // Whose key it is cannot be told, so the request runs without a team.
		}
		e.metrics.notFresh.Inc(1)
		return nil, "", verdict.Refuse("not-fresh", "this node cannot tell whether its configuration is current", time.Second)
	}
	if team := teamOf(snap.config, key); team != nil {
		return team, key, nil
	}
	if route.Access == rules.AccessOpen {
		return nil, key, nil // An unknown key is still stripped.
	}
	e.metrics.unauthorized.Inc(1)
	return nil, "", &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusUnauthorized, Code: "unauthorized", Detail: "the request carries no valid key"}
}

// teamOf returns the team whose key this is, or nil.
func teamOf(c *rules.Config, key string) *rules.Team {
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

// admit charges the request to its team's rate.
func (e *entry) admit(ctx context.Context, team *rules.Team) error {
	if team == nil {
		return nil
	}
	if err := e.node.rates.admit(ctx, team); err != nil {
		e.metrics.rateRefused.Inc(1)
		return err
	}
	return nil
}

func (e *entry) newRequest(w http.ResponseWriter, r *http.Request, id string, route *rules.Route, team *rules.Team, key string) (*request, error) {
	limited := http.MaxBytesReader(w, r.Body, int64(e.node.settings.Limits.MaxBodyBytes))
	body, err := readBody(limited, r.ContentLength)
	if err != nil {
		return nil, bodyError(err)
	}
	req := &request{
		id: id, route: route.Path, service: route.Service, method: r.Method,
		target: forwardedTarget(r.URL, key), host: r.Host, fields: forwardedFields(r.Header, key),
		idempotent: route.Repeat == rules.RepeatIdempotent,
		body:       body, idempotencyKey: r.Header.Get(verdict.IdempotencyKeyHeader),
	}
	if team != nil {
		req.team, req.teamWeight = team.Name, uint32(team.Weight)
	}
	req.fingerprint = fingerprintOf(route.Path, r.Method, req.idempotencyKey, body.prefix)
	return req, nil
}

// checkRequest refuses requests that cannot be passed on unambiguously.
func checkRequest(r *http.Request) error {
	switch {
	case r.Method == http.MethodConnect || r.Header.Get("Upgrade") != "":
		return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusNotImplemented, Code: "not-supported", Detail: "CONNECT and protocol upgrades are not supported"}
	case len(r.Header.Values(verdict.IdempotencyKeyHeader)) > 1:
		return badRequest("ambiguous-idempotency-key", "the request carries more than one Idempotency-Key")
	case r.URL.Host != "" && !strings.EqualFold(r.URL.Host, r.Host):
		return badRequest("ambiguous-host", "the request target and the Host field differ")
	}
	return nil
}

// requestTimeout returns the smaller of the route's timeout and the caller's.
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

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusRequestEntityTooLarge, Code: "body-too-large", Detail: "the body is longer than " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes"}
	}
	return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusBadRequest, Code: "body-incomplete", Detail: "the body of the request could not be read", Cause: err}
}

// respond writes the answer. A buffered answer gets its exact length; a longer
// one is streamed and aborted if it breaks.
func respond(w http.ResponseWriter, r *http.Request, a *answer, id string) error {
	h := w.Header()
	setFields(h, a.head.GetFields())
	h.Set(verdict.RequestIDHeader, id)
	h.Set(verdict.Header, verdict.Completed.String())
	status := int(a.head.GetStatus())
	switch {
	case !hasBody(r.Method, status):
		if n := a.head.GetContentLength(); n >= 0 && r.Method == http.MethodHead {
			h.Set("Content-Length", strconv.FormatInt(n, 10))
		}
	case a.whole:
		h.Set("Content-Length", strconv.Itoa(len(a.prefix)))
	case a.head.GetContentLength() >= 0:
		h.Set("Content-Length", strconv.FormatInt(a.head.GetContentLength(), 10))
	}
	w.WriteHeader(status)
	if !hasBody(r.Method, status) {
		return nil
	}
	if _, err := w.Write(a.prefix); err != nil {
		return http.ErrAbortHandler
	}
	if a.whole {
		return nil
	}
	if err := a.copyRest(flushWriter{w, http.NewResponseController(w)}); err != nil {
		return http.ErrAbortHandler
	}
	return nil
}

// flushWriter passes each chunk of a long answer on at once.
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
	_, _ = rand.Read(b[:]) // Never fails (crypto/rand).
	return hex.EncodeToString(b[:])
}
