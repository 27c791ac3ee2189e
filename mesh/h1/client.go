package h1

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"trefoildock.example/mesh/bodymem"
)

const (
	// dialTimeout bounds a connection attempt to a backend server on the same VM,
	// which takes about 1 ms.
	dialTimeout = time.Second
	// defaultKeepAlive is the maximum idle time of a connection if the backend server
	// sends no Keep-Alive timeout.
	defaultKeepAlive = 4 * time.Second
	// keepAliveShare is the share of the Keep-Alive timeout for which an idle
	// connection is reused, so that a request does not race with the backend server
	// closing the connection.
	keepAliveShare = 0.6
	// maxStaleResponses bounds the responses that are read for one request. Responses
	// to other requests are discarded; after that many the connection is closed.
	maxStaleResponses = 4
	// maxHeadBytes bounds the head of a response, with the 1xx responses before it.
	maxHeadBytes = 64 << 10
	// maxInformationalResponses bounds the 1xx responses before the final one.
	maxInformationalResponses = 8
	// maxFailedIDs bounds the request IDs that a connection keeps; after that many failed
	// responses it is closed.
	maxFailedIDs = 32
)

// UpstreamRequest is a request to a backend server.
type UpstreamRequest struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// ID is the request ID that the response must repeat, as returned by Client.RequestID.
	ID string
	// MaxIdle bounds the idle time of a connection that is reused for the request; 0
	// means no further bound.
	MaxIdle time.Duration
	// AllowResend reports whether the request may be sent again on a new connection. It is
	// called if a reused connection
	// fails before a response arrives.
	AllowResend func() bool
	// Memory holds the body of the response; nil means no limit.
	Memory *bodymem.Reservation
}

// UpstreamResponse is a complete response of a backend server.
type UpstreamResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// UpstreamError reports a request without a complete response.
type UpstreamError struct {
	// Sent is true if a byte of the request may have reached the backend server.
	Sent bool
	// ResponseStarted is true if part of a response has arrived.
	ResponseStarted bool
	Cause           error
}

// Error describes the failure and its cause.
func (e *UpstreamError) Error() string {
	switch {
	case !e.Sent:
		return "request was not sent: " + e.Cause.Error()
	case e.ResponseStarted:
		return "response is invalid or incomplete: " + e.Cause.Error()
	default:
		return "no response: " + e.Cause.Error()
	}
}

// Unwrap returns the cause.
func (e *UpstreamError) Unwrap() error { return e.Cause }

var errStaleResponses = errors.New("responses to other requests")

// Client sends requests to one backend server and pools the connections.
type Client struct {
	Address string
	// RequestID returns the request ID in the header of a response.
	RequestID func(http.Header) string
	// MaxBodyBytes bounds the body of a response.
	MaxBodyBytes int64
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnDial is called for each new connection; it may be nil.
	OnDial func()

	mu     sync.Mutex
	idle   []*clientConn
	closed bool
}

type clientConn struct {
	net.Conn
	br        *bufio.Reader
	idleSince time.Time
	keepAlive time.Duration
	counter   *countingReader
	// failedIDs holds the requests that were refused or failed on this connection. A faulty
	// backend server may repeat such a response, which would be taken for the answer to
	// another attempt of the request.
	failedIDs []string
}

// countingReader counts the bytes that are read and fails beyond limit.
type countingReader struct {
	r        io.Reader
	n, limit int64
}

var errHeadTooLarge = errors.Newf("response head is larger than %d bytes", maxHeadBytes)

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	if c.n >= c.limit {
		return 0, errHeadTooLarge
	}
	n, err := c.r.Read(p[:min(int64(len(p)), c.limit-c.n)])
	c.n += int64(n)
	return n, err
}

// Close closes idle connections, and further ones as soon as they become idle.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}

// Do sends a request and reads the complete response. An error is always an
// *UpstreamError. When ctx ends, the connection is closed, which cancels the request
// at the backend server.
func (c *Client) Do(ctx context.Context, req *UpstreamRequest) (*UpstreamResponse, error) {
	conn, reused, err := c.getConn(ctx, req)
	if err != nil {
		return nil, &UpstreamError{Cause: err}
	}
	resp, err := c.exchange(ctx, conn, req)
	var upstreamErr *UpstreamError
	if reused && errors.As(err, &upstreamErr) && !upstreamErr.ResponseStarted && ctx.Err() == nil && req.AllowResend() {
		if conn, err = c.dial(ctx); err != nil {
			return nil, &UpstreamError{Sent: true, Cause: err}
		}
		return c.exchange(ctx, conn, req)
	}
	return resp, err
}

// getConn returns an idle connection or a new one, and whether it is reused.
func (c *Client) getConn(ctx context.Context, req *UpstreamRequest) (*clientConn, bool, error) {
	for {
		conn := c.takeIdle(req.ID)
		if conn == nil {
			conn, err := c.dial(ctx)
			return conn, false, err
		}
		idleTime := time.Since(conn.idleSince)
		if idleTime < conn.keepAlive && (req.MaxIdle == 0 || idleTime < req.MaxIdle) && conn.isUsable() {
			return conn, true, nil
		}
		conn.Close()
	}
}

// takeIdle removes the most recently used connection from the pool that has not answered an
// earlier attempt of the request, so that the others can expire.
func (c *Client) takeIdle(id string) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.idle) - 1; i >= 0; i-- {
		conn := c.idle[i]
		if !slices.Contains(conn.failedIDs, id) {
			c.idle = slices.Delete(c.idle, i, i+1)
			return conn
		}
	}
	return nil
}

func (c *Client) dial(ctx context.Context) (*clientConn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dial := c.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	conn, err := dial(ctx, "tcp", c.Address)
	if err != nil {
		return nil, err
	}
	if c.OnDial != nil {
		c.OnDial()
	}
	counter := &countingReader{r: conn}
	return &clientConn{Conn: conn, br: bufio.NewReaderSize(counter, readBufferBytes), counter: counter, keepAlive: defaultKeepAlive}, nil
}

func (c *Client) putIdle(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		conn.Close()
		return
	}
	conn.idleSince = time.Now()
	c.idle = slices.DeleteFunc(c.idle, func(other *clientConn) bool {
		expired := time.Since(other.idleSince) > other.keepAlive
		if expired {
			other.Close()
		}
		return expired
	})
	c.idle = append(c.idle, conn)
}

// exchange sends the request on the connection and reads its response. It then pools or
// closes the connection.
func (c *Client) exchange(ctx context.Context, conn *clientConn, req *UpstreamRequest) (*UpstreamResponse, error) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	resp, reusable, err := c.roundTrip(ctx, conn, req)
	if !stop() {
		reusable = false
	}
	if err != nil || !reusable {
		conn.Close()
	} else {
		c.putIdle(conn)
	}
	if err != nil && ctx.Err() != nil {
		var upstreamErr *UpstreamError
		if errors.As(err, &upstreamErr) {
			upstreamErr.Cause = errors.Join(ctx.Err(), upstreamErr.Cause)
		}
	}
	return resp, err
}

func (c *Client) roundTrip(ctx context.Context, conn *clientConn, req *UpstreamRequest) (*UpstreamResponse, bool, error) {
	conn.counter.n = 0
	head := encodeHead(req)
	written := make(chan error, 1)
	if len(req.Body) <= maxInlineWriteBytes {
		written <- writeMessage(conn, head, req.Body)
	} else {
		// A backend server may respond before it has read a large body.
		go func() { written <- writeMessage(conn, head, req.Body) }()
	}
	resp, reusable, err := c.readResponse(ctx, conn, req)
	if err != nil {
		return nil, false, &UpstreamError{Sent: true, ResponseStarted: conn.counter.n > 0, Cause: err}
	}
	select {
	case writeErr := <-written:
		reusable = reusable && writeErr == nil
	default:
		reusable = false // The rest of the request body is still being written.
	}
	if resp.Status >= http.StatusBadRequest {
		conn.failedIDs = append(conn.failedIDs, req.ID)
		reusable = reusable && len(conn.failedIDs) < maxFailedIDs
	}
	return resp, reusable && conn.br.Buffered() == 0, nil
}

// maxInlineWriteBytes is the size up to which a message fits into the socket
// buffers, so that writing it does not block on the peer.
const maxInlineWriteBytes = 16 << 10

// readResponse reads responses until the one with the id of the request.
func (c *Client) readResponse(ctx context.Context, conn *clientConn, req *UpstreamRequest) (*UpstreamResponse, bool, error) {
	for range maxStaleResponses {
		resp, reusable, err := c.readNextResponse(ctx, conn, req)
		if err != nil {
			return nil, false, err
		}
		if id := c.RequestID(resp.Header); id == req.ID {
			return resp, reusable, nil
		}
		if !reusable {
			return nil, false, errStaleResponses
		}
	}
	return nil, false, errStaleResponses
}

func (c *Client) readNextResponse(ctx context.Context, conn *clientConn, req *UpstreamRequest) (*UpstreamResponse, bool, error) {
	resp, err := c.readHead(conn, req) //nolint:bodyclose // Closing would read the rest of the body.
	if err != nil {
		return nil, false, err
	}
	size := resp.ContentLength
	if resp.Body == http.NoBody {
		size = 0 // The response to HEAD may state the length that a body would have.
	}
	body, err := req.Memory.ReadAll(ctx, resp.Body, size, c.MaxBodyBytes)
	if err != nil {
		return nil, false, errors.Wrapf(err, "read body of at most %d bytes", c.MaxBodyBytes)
	}
	reusable := !resp.Close && (resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0)
	conn.keepAlive = keepAliveOf(resp.Header)
	return &UpstreamResponse{Status: resp.StatusCode, Header: resp.Header, Body: body}, reusable, nil
}

func (c *Client) readHead(conn *clientConn, req *UpstreamRequest) (*http.Response, error) {
	conn.counter.limit = conn.counter.n + maxHeadBytes
	defer func() { conn.counter.limit = math.MaxInt64 }()
	for range maxInformationalResponses {
		resp, err := http.ReadResponse(conn.br, &http.Request{Method: req.Method})
		if err != nil {
			return nil, errors.Wrap(err, "read response")
		}
		if !validFields(resp.Header) {
			return nil, errors.New("response with an invalid header field")
		}
		if resp.StatusCode >= 200 {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("backend server switched protocols")
		}
	}
	return nil, errors.New("too many informational responses")
}

// keepAliveOf returns how long a connection may stay idle, from the Keep-Alive field of
// a response.
func keepAliveOf(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if s, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") && s >= 0 {
			return time.Duration(keepAliveShare * float64(s) * float64(time.Second))
		}
	}
	return defaultKeepAlive
}

func encodeHead(req *UpstreamRequest) *bytes.Buffer {
	buf := new(bytes.Buffer)
	buf.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	for name, values := range req.Header {
		if isConnectionField(name) {
			continue
		}
		for _, v := range values {
			buf.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(req.Body) > 0 || !isSafe(req.Method) {
		buf.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	buf.WriteString("\r\n")
	return buf
}
