package node

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/verdict"
	"trefoildock.example/wire"
)

const (
	// backendDialTimeout bounds connecting to a backend server, which takes about
	// 1 ms on loopback.
	backendDialTimeout = time.Second
	// idleConnTimeout is the idle timeout of backend connections for idempotent
	// requests.
	idleConnTimeout = 30 * time.Second
	// nonIdempotentConnTimeout is the idle timeout of backend connections for
	// other requests. It is short, so that such a request uses a connection that
	// was recently active, or a new one.
	nonIdempotentConnTimeout = time.Second
	// maxResponseHeaderBytes bounds the header of a backend server's response.
	maxResponseHeaderBytes = 64 << 10
	// maxStatus is the largest HTTP status code (RFC 9110, 15).
	maxStatus = 599
	// codeInvalidResponse is the code of a complete but invalid response.
	codeInvalidResponse = "wrong-answer"
	// codeCrashingRequest is the code of a request that is refused because it
	// crashes backend servers.
	codeCrashingRequest = "crashing-request"
)

// codeBackendLost is the code of a connection that failed after the request was
// sent, for example because the backend server crashed.
const codeBackendLost = "backend-lost"

// dispatcher sends requests to one backend server.
type dispatcher struct {
	address string
	// idempotent and nonIdempotent are the transports for idempotent and for other
	// requests. They differ in the idle timeout of connections.
	idempotent, nonIdempotent *http.Transport
	// checks verifies each dispatch; it may be nil in tests.
	checks *dispatchChecks
	// outOfServiceSince is the time in nanoseconds since the epoch from which the
	// backend server accepts no new work, or 0 while it does. outByOperator is set
	// if the operator took it out of service.
	outOfServiceSince atomic.Int64
	outByOperator     atomic.Bool
	// echoesRequestID is set once the backend server has echoed a request ID. From
	// then on a response without the ID is rejected.
	echoesRequestID atomic.Bool
}

func newDispatcher(address string, connections int) *dispatcher {
	return &dispatcher{
		address:       address,
		idempotent:    newTransport(connections, idleConnTimeout),
		nonIdempotent: newTransport(connections, nonIdempotentConnTimeout),
	}
}

func newTransport(connections int, idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:            dialer(backendDialTimeout),
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        idle,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		WriteBufferSize:        4 << 10,
		ReadBufferSize:         4 << 10,
	}
}

// close closes all idle connections.
func (d *dispatcher) close() {
	d.idempotent.CloseIdleConnections()
	d.nonIdempotent.CloseIdleConnections()
}

// roundTrip sends the request and returns the head of the response. Every error
// is a *verdict.Error. The verdict is NotRun only if no connection was obtained
// or the backend server refused the request before execution.
func (d *dispatcher) roundTrip(ctx context.Context, o *wire.Offer, body io.Reader) (*http.Response, error) {
	var connected, written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { connected.Store(true) },
		WroteHeaders: func() { written.Store(true) },
	})
	d.checks.beforeDispatch(o, d)
	resp, err := d.exchange(ctx, o, body, &connected)
	d.checks.afterDispatch(o, err, written.Load())
	return resp, err
}

// exchange sends the request and validates the head of the response.
func (d *dispatcher) exchange(ctx context.Context, o *wire.Offer, body io.Reader, connected *atomic.Bool) (*http.Response, error) {
	req, err := d.newRequest(ctx, o, body)
	if err != nil {
		return nil, &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusBadRequest, Code: "bad-request", Detail: "request cannot be forwarded", Cause: err}
	}
	transport := d.nonIdempotent
	if o.GetIdempotent() {
		transport = d.idempotent
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, d.classifyError(ctx, err, connected.Load())
	}
	if err := d.validateResponse(resp, o); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

func (d *dispatcher) newRequest(ctx context.Context, o *wire.Offer, body io.Reader) (*http.Request, error) {
	target, err := url.ParseRequestURI(o.GetTarget())
	if err != nil {
		return nil, err
	}
	target.Scheme, target.Host = "http", d.address
	req := (&http.Request{
		Method: o.GetMethod(), URL: target, Host: o.GetHost(),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: make(http.Header, len(o.GetFields())+4),
	}).WithContext(ctx)
	setFields(req.Header, o.GetFields())
	if req.Header.Get("User-Agent") == "" {
		req.Header["User-Agent"] = nil // Prevents net/http from setting its default.
	}
	req.Header.Set(verdict.RequestIDHeader, o.GetRequestId())
	if o.GetTeam() != "" {
		req.Header.Set(verdict.TeamHeader, o.GetTeam())
	}
	if o.GetIdempotencyKey() != "" {
		req.Header.Set(verdict.IdempotencyKeyHeader, o.GetIdempotencyKey())
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline).Seconds()
		req.Header.Set(verdict.TimeoutHeader, strconv.FormatFloat(max(left, 0), 'f', 3, 64))
	}
	req.ContentLength = o.GetContentLength()
	if o.GetContentLength() != 0 {
		req.Body = singleUseBody{body}
	}
	if !o.GetIdempotent() {
		preventTransportRetry(req)
	}
	return req, nil
}

// retryableHeaders are the header fields that mark a request as retryable for
// net/http, with an equivalent spelling that net/http ignores.
var retryableHeaders = map[string]string{
	"Idempotency-Key": "idempotency-key", "X-Idempotency-Key": "x-idempotency-key",
}

// preventTransportRetry prevents net/http from resending a request when a
// reused connection fails. net/http resends requests that have certain methods
// or an Idempotency-Key, if they have no body or a rewindable one.
func preventTransportRetry(req *http.Request) {
	if req.Body == nil && checkedForEmptyBody(req.Method) {
		req.Body = singleUseBody{strings.NewReader("")} // net/http detects that it is empty and sends no framing.
	}
	for name, alias := range retryableHeaders {
		if v, ok := req.Header[name]; ok { // Field names are case-insensitive for the receiver.
			delete(req.Header, name)
			req.Header[alias] = v
		}
	}
}

// checkedForEmptyBody reports whether net/http checks the body of a request
// with this method for emptiness before it selects the framing.
func checkedForEmptyBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions, "PROPFIND", "SEARCH":
		return true
	default:
		return false
	}
}

// singleUseBody hides the methods that rewind a body, so that net/http cannot
// send it twice.
type singleUseBody struct{ io.Reader }

// Close does nothing; the caller of roundTrip closes the underlying reader.
func (singleUseBody) Close() error { return nil }

// classifyError converts an error from net/http to a *verdict.Error.
func (d *dispatcher) classifyError(ctx context.Context, err error, connected bool) error {
	if !connected {
		return &verdict.Error{
			Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, Code: "backend-unreachable",
			Detail: "no connection to the backend server", RetryAfter: time.Second, Cause: err,
		}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return timeoutError(err)
	}
	return verdict.NewMayHaveRun(codeBackendLost, "connection to the backend server failed after the request was sent", err)
}

// validateResponse validates the head of a response before any part of it is
// forwarded.
func (d *dispatcher) validateResponse(resp *http.Response, o *wire.Offer) error {
	if resp.StatusCode == http.StatusServiceUnavailable {
		if reason := resp.Header.Get(verdict.RefusedHeader); reason == "shed" || reason == "draining" {
			return verdict.NewNotRun("backend-"+reason, "the backend server refused the request before execution", retryAfter(resp))
		}
	}
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		return invalidResponseError("the status " + strconv.Itoa(resp.StatusCode) + " is not a final HTTP status")
	}
	id := resp.Header.Get(verdict.RequestIDHeader)
	switch {
	case id == o.GetRequestId():
		d.echoesRequestID.Store(true)
	case id != "" || d.echoesRequestID.Load():
		return verdict.NewMayHaveRun("crossed-answer", "the answer does not belong to this request", nil)
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && hasBody(o.GetMethod(), resp.StatusCode) {
		// The end of a response that is delimited by closing the connection cannot be
		// distinguished from a truncation.
		return verdict.NewMayHaveRun("unframed-answer", "the answer has neither a length nor chunked framing", nil)
	}
	return nil
}

// invalidResponseError returns the error for an invalid response from a backend
// server.
func invalidResponseError(detail string) *verdict.Error {
	return verdict.NewMayHaveRun(codeInvalidResponse, detail, nil)
}

func hasBody(method string, status int) bool {
	return method != http.MethodHead && status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

func retryAfter(resp *http.Response) time.Duration {
	s, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || s < 0 {
		return time.Second
	}
	return time.Duration(s) * time.Second
}

func timeoutError(cause error) *verdict.Error {
	return &verdict.Error{
		Verdict: verdict.MayHaveRun, Status: http.StatusGatewayTimeout, Code: "deadline-exceeded",
		Detail: "the deadline passed before the answer was complete", Cause: cause,
	}
}
