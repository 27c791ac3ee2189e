package h1

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// dialTimeout bounds a connection to a backend server on the same machine,
	// which takes about 1 ms.
	dialTimeout = time.Second
	// defaultIdle is how long an idle connection is kept if the backend server
	// does not say.
	defaultIdle = 4 * time.Second
	// idleShare is the part of the announced idle time that is used, so that a
	// request does not cross the close of the backend server.
	idleShare = 0.6
	// maxStale is the number of answers to other requests that are passed over
	// before a connection counts as broken.
	maxStale = 4
	// maxInformational is the number of 1xx answers before the final one.
	maxInformational = 8
)

// Call is a request to a backend server.
type Call struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// ID is the identity that the answer must repeat, by IDOf.
	ID string
	// FreshWithin is the longest idle time of a connection that is reused; 0
	// allows all that are kept.
	FreshWithin time.Duration
	// Repeatable calls are sent again on a new connection if a reused one turns
	// out to be closed.
	Repeatable bool
}

// Reply is a whole answer of a backend server.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// CallError is a call without a whole answer.
type CallError struct {
	// Sent is true if a byte of the request may have reached the backend server.
	Sent bool
	// Answered is true if part of an answer arrived.
	Answered bool
	Cause    error
}

// Error describes the failure.
func (e *CallError) Error() string {
	switch {
	case !e.Sent:
		return "request was not sent: " + e.Cause.Error()
	case e.Answered:
		return "answer is not valid or not whole: " + e.Cause.Error()
	default:
		return "no answer: " + e.Cause.Error()
	}
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

var errSurplus = errors.New("answers to other requests")

// Client keeps connections to one backend server.
type Client struct {
	Address string
	// IDOf returns the identity in the header of an answer.
	IDOf func(http.Header) string
	// MaxBody bounds an answer, in bytes.
	MaxBody int64
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnDial is told of each new connection; nil ignores it.
	OnDial func()

	mu     sync.Mutex
	idle   []*clientConn
	closed bool
}

type clientConn struct {
	net.Conn
	br      *bufio.Reader
	since   time.Time
	keep    time.Duration
	counter *countingReader
}

// countingReader tells whether anything was read.
type countingReader struct {
	r io.Reader
	n int64
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += int64(n)
	return n, err
}

// Close closes idle connections and those that become idle.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}

// Do sends a call and reads the whole answer. Its error is a *CallError. When
// ctx ends the connection is closed, by which the backend server drops the request.
func (c *Client) Do(ctx context.Context, call *Call) (*Reply, error) {
	conn, reused, err := c.connect(ctx, call)
	if err != nil {
		return nil, &CallError{Cause: err}
	}
	reply, err := c.exchange(ctx, conn, call)
	var failed *CallError
	if reused && call.Repeatable && errors.As(err, &failed) && !failed.Answered && ctx.Err() == nil {
		if conn, err = c.dial(ctx); err != nil {
			return nil, &CallError{Sent: true, Cause: err}
		}
		return c.exchange(ctx, conn, call)
	}
	return reply, err
}

// connect returns an idle connection or a new one.
func (c *Client) connect(ctx context.Context, call *Call) (*clientConn, bool, error) {
	for {
		conn := c.take()
		if conn == nil {
			conn, err := c.dial(ctx)
			return conn, false, err
		}
		age := time.Since(conn.since)
		if age < conn.keep && (call.FreshWithin == 0 || age < call.FreshWithin) && conn.alive() {
			return conn, true, nil
		}
		conn.Close()
	}
}

// take removes the connection that was used last, so that others can expire.
func (c *Client) take() *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.idle)
	if n == 0 {
		return nil
	}
	conn := c.idle[n-1]
	c.idle = c.idle[:n-1]
	return conn
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
	return &clientConn{Conn: conn, br: bufio.NewReaderSize(counter, readBufferBytes), counter: counter, keep: defaultIdle}, nil
}

func (c *Client) release(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		conn.Close()
		return
	}
	conn.since = time.Now()
	c.idle = slices.DeleteFunc(c.idle, func(other *clientConn) bool {
		expired := time.Since(other.since) > other.keep
		if expired {
			other.Close()
		}
		return expired
	})
	c.idle = append(c.idle, conn)
}

// exchange sends the call on the connection and reads its answer.
func (c *Client) exchange(ctx context.Context, conn *clientConn, call *Call) (*Reply, error) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	reply, keep, err := c.roundTrip(conn, call)
	if !stop() {
		keep = false
	}
	if err != nil || !keep {
		conn.Close()
	} else {
		c.release(conn)
	}
	if err != nil && ctx.Err() != nil {
		var failed *CallError
		if errors.As(err, &failed) {
			failed.Cause = errors.CombineErrors(ctx.Err(), failed.Cause)
		}
	}
	return reply, err
}

func (c *Client) roundTrip(conn *clientConn, call *Call) (*Reply, bool, error) {
	conn.counter.n = 0
	message := encodeCall(call)
	written := make(chan error, 1)
	if len(message) <= inlineWriteBytes {
		_, err := conn.Write(message)
		written <- err
	} else {
		// A backend server may answer before it has read a long body.
		go func() { _, err := conn.Write(message); written <- err }()
	}
	reply, keep, err := c.readReply(conn, call)
	if err != nil {
		return nil, false, &CallError{Sent: true, Answered: conn.counter.n > 0, Cause: err}
	}
	select {
	case writeErr := <-written:
		keep = keep && writeErr == nil
	default:
		keep = false // The rest of the body is still on its way.
	}
	return reply, keep && conn.br.Buffered() == 0, nil
}

// inlineWriteBytes is the size of a message that fits into the socket buffers,
// so that writing it never waits for the peer.
const inlineWriteBytes = 16 << 10

// readReply reads answers until the one with the identity of the call.
func (c *Client) readReply(conn *clientConn, call *Call) (*Reply, bool, error) {
	for range maxStale {
		reply, keep, err := c.readOne(conn, call)
		if err != nil {
			return nil, false, err
		}
		if id := c.IDOf(reply.Header); id == call.ID {
			return reply, keep, nil
		}
		if !keep {
			return nil, false, errSurplus
		}
	}
	return nil, false, errSurplus
}

func (c *Client) readOne(conn *clientConn, call *Call) (*Reply, bool, error) {
	resp, err := c.readHead(conn, call)
	if err != nil {
		return nil, false, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.MaxBody+1))
	if err != nil {
		return nil, false, errors.Wrap(err, "read body")
	}
	if int64(len(body)) > c.MaxBody {
		return nil, false, errors.Newf("body is larger than %d bytes", c.MaxBody)
	}
	keep := !resp.Close && (resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0)
	conn.keep = keepAliveOf(resp.Header)
	return &Reply{Status: resp.StatusCode, Header: resp.Header, Body: body}, keep, nil
}

func (c *Client) readHead(conn *clientConn, call *Call) (*http.Response, error) {
	for range maxInformational {
		resp, err := http.ReadResponse(conn.br, &http.Request{Method: call.Method})
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		if resp.StatusCode >= 200 {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("backend server switched protocols")
		}
	}
	return nil, errors.New("too many informational answers")
}

// keepAliveOf returns how long a connection may stay idle.
func keepAliveOf(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if s, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") && s >= 0 {
			return time.Duration(idleShare * float64(s) * float64(time.Second))
		}
	}
	return defaultIdle
}

func encodeCall(call *Call) []byte {
	var buf bytes.Buffer
	buf.Grow(512 + len(call.Body))
	buf.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	for name, values := range call.Header {
		if isConnectionField(name) {
			continue
		}
		for _, v := range values {
			buf.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(call.Body) > 0 || !isRead(call.Method) {
		buf.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	buf.WriteString("\r\n")
	buf.Write(call.Body)
	return buf.Bytes()
}
