package h1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"trefoildock.example/mesh/bodymem"
)

// pendingResponse is a request whose response is sent after those of earlier requests.
type pendingResponse struct {
	request    *Request
	response   chan *Response
	closeAfter bool
	// sent is closed once the response was written or the connection has failed.
	sent chan struct{}
}

// serverConn is one connection of a caller. One goroutine reads requests and detects
// that the caller closes the connection, another writes the responses in order.
type serverConn struct {
	server        *Server
	conn          net.Conn
	ctx           context.Context //nolint:containedctx // ends with the connection
	cancel        func()
	limitedReader *io.LimitedReader
	br            *bufio.Reader
	responses     chan *pendingResponse
	// unreadBytes is the length of a body that was refused in place of being read. Only the
	// reading goroutine uses it.
	unreadBytes int64
	// lastRead is the last request that was read. Only the reading goroutine uses it.
	lastRead *pendingResponse

	mu sync.Mutex
	// inFlight is the number of requests that were read and whose response has not yet
	// been sent.
	inFlight int
	// reading is true while a request has been received in part.
	reading bool
	// closing is set before the last response on the connection is sent.
	closing bool
}

func (c *serverConn) serve() {
	written := make(chan struct{})
	go func() { defer close(written); c.writeLoop() }()
	c.readLoop()
	close(c.responses)
	<-written
	c.cancel()
	c.conn.Close()
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
}

// closeIfIdle closes the connection if no request is in flight. server.mu is held.
func (c *serverConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight == 0 && !c.reading {
		c.conn.Close()
	}
}

// beginRequest counts a request that was read. It returns false if the connection
// is closing and the request must not run.
func (c *serverConn) beginRequest() bool {
	c.mu.Lock()
	closing := c.closing
	if !closing {
		c.inFlight++
		c.reading = false
	}
	c.mu.Unlock()
	if closing {
		return false
	}
	c.server.mu.Lock()
	c.server.active++
	c.server.mu.Unlock()
	return true
}

func (c *serverConn) endRequest() {
	c.server.mu.Lock()
	c.server.active--
	c.server.mu.Unlock()
	c.mu.Lock()
	c.inFlight--
	c.mu.Unlock()
}

func (c *serverConn) setReading(reading bool) {
	c.mu.Lock()
	c.reading = reading
	c.mu.Unlock()
}

// readLoop reads requests until the caller closes the connection, a request is the
// last on the connection, or the input is not HTTP.
func (c *serverConn) readLoop() {
	for {
		limits := c.server.Limits()
		if !c.awaitRequest(limits) {
			return
		}
		r, refusal := c.readRequest(limits)
		if r == nil && refusal == nil {
			c.cancel()
			return
		}
		if !c.beginRequest() {
			return // The connection is closed after the preceding response.
		}
		p := &pendingResponse{request: r, response: make(chan *Response, 1), sent: make(chan struct{})}
		p.closeAfter = refusal != nil || wantsClose(r) || c.server.isStopping()
		previous := c.lastRead
		c.lastRead = p
		c.responses <- p
		if refusal != nil {
			p.response <- refusal
			c.lingerUntilClosed(p)
			return
		}
		if !isSafe(r.Method) && previous != nil {
			// A request with an unsafe method runs only after the preceding responses were
			// sent. If one of them closes the connection, the caller assumes that this
			// request was not processed and sends it again.
			select {
			case <-previous.sent:
			case <-c.ctx.Done():
			}
		}
		go func() { p.response <- c.handle(r) }()
		if p.closeAfter {
			c.lingerUntilClosed(p)
			return
		}
	}
}

// handle calls the handler. A panic of the handler ends only its request.
func (c *serverConn) handle(r *Request) (resp *Response) {
	defer func() {
		if cause := recover(); cause != nil {
			resp = c.server.OnPanic(cause)
		}
	}()
	return c.server.Handler.Handle(c.ctx, r)
}

// lingerUntilClosed drains the connection until the last response was sent and
// detects meanwhile that the caller closes the connection.
func (c *serverConn) lingerUntilClosed(p *pendingResponse) {
	_ = c.conn.SetReadDeadline(time.Time{})
	go func() {
		<-p.sent
		_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		if tcp, ok := c.conn.(interface{ CloseWrite() error }); ok {
			_ = tcp.CloseWrite() // The peer may have closed the connection.
		}
	}()
	c.limitedReader.N = max(lingerBytes, c.unreadBytes)
	if _, err := io.Copy(io.Discard, c.br); err == nil || !isTimeout(err) {
		c.cancel()
	}
	<-p.sent
}

// awaitRequest waits for the first byte of a request. It returns false if the
// connection was closed or its idle timeout has passed.
func (c *serverConn) awaitRequest(limits Limits) bool {
	c.limitedReader.N = 1 << 62
	idleSince := time.Now()
	for {
		deadline := time.Time{}
		if limits.IdleTimeout > 0 {
			deadline = time.Now().Add(limits.IdleTimeout)
		}
		_ = c.conn.SetReadDeadline(deadline)
		first, err := c.br.Peek(1)
		if err == nil {
			if first[0] == '\r' || first[0] == '\n' { // RFC 9112, 2.2
				_, _ = c.br.Discard(1)
				continue
			}
			c.setReading(true)
			return true
		}
		c.mu.Lock()
		busy := c.inFlight > 0
		c.mu.Unlock()
		if isTimeout(err) && (busy || time.Since(idleSince) < limits.IdleTimeout) {
			continue // The caller waits for a response.
		}
		if !isTimeout(err) {
			c.cancel()
		}
		return false
	}
}

// readRequest reads one request with its body. It returns a refusal if the request
// exceeds a limit or cannot be parsed, and neither if the caller closed the connection.
func (c *serverConn) readRequest(limits Limits) (*Request, *Response) {
	started := time.Now()
	if limits.HeaderTimeout > 0 {
		_ = c.conn.SetReadDeadline(started.Add(limits.HeaderTimeout))
	}
	if limits.HeaderBytes > 0 {
		c.limitedReader.N = max(limits.HeaderBytes+headerReadAheadBytes-int64(c.br.Buffered()), 0)
	}
	parsed, err := http.ReadRequest(c.br)
	if err != nil {
		return nil, c.refusalFor(err)
	}
	c.limitedReader.N = 1 << 62
	r := &Request{Request: parsed, Received: time.Now(), Memory: c.server.Bodies.Reserve()}
	if headerSize(parsed.Header) > limits.HeaderBytes && limits.HeaderBytes > 0 {
		return nil, c.server.Refuse(http.StatusRequestHeaderFieldsTooLarge, "header is larger than the limit")
	}
	if !validFields(parsed.Header) {
		return nil, c.server.Refuse(http.StatusBadRequest, "request with an invalid header field")
	}
	if parsed.Host == "" || strings.ContainsAny(parsed.Host, " /\\@") {
		return nil, c.server.Refuse(http.StatusBadRequest, "request without a valid host")
	}
	return c.readBody(r, limits)
}

func (c *serverConn) readBody(r *Request, limits Limits) (*Request, *Response) {
	if r.ContentLength == 0 {
		return r, nil
	}
	c.unreadBytes = max(r.ContentLength, 0)
	if limits.BodyBytes > 0 && r.ContentLength > limits.BodyBytes {
		return nil, c.refusalFor(bodymem.ErrTooLarge)
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil
		}
	}
	if limits.IdleTimeout > 0 {
		_ = c.conn.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	}
	ctx, cancel := context.WithTimeout(c.ctx, bodyMemoryWait)
	defer cancel()
	payload, err := r.Memory.ReadAll(ctx, r.Body, r.ContentLength, limits.BodyBytes)
	if err != nil {
		r.Memory.Release()
		return nil, c.refusalFor(err)
	}
	c.unreadBytes, r.Payload = 0, payload
	return r, nil
}

// refusalFor maps a failed read to a response, or to nil if the caller closed the
// connection.
func (c *serverConn) refusalFor(err error) *Response {
	switch {
	case errors.Is(err, bodymem.ErrTooLarge):
		return c.server.Refuse(http.StatusRequestEntityTooLarge, "body is larger than the limit")
	case errors.Is(err, bodymem.ErrExhausted):
		return c.server.Refuse(http.StatusServiceUnavailable, "other bodies take the memory of this node")
	case c.limitedReader.N <= 0:
		return c.server.Refuse(http.StatusRequestHeaderFieldsTooLarge, "header is larger than the limit")
	case isTimeout(err):
		return c.server.Refuse(http.StatusRequestTimeout, "request was not complete in time")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isClosed(err):
		return nil
	default:
		return c.server.Refuse(http.StatusBadRequest, "request cannot be parsed")
	}
}

// writeLoop sends the responses in the order of their requests.
func (c *serverConn) writeLoop() {
	stopped := false
	for p := range c.responses {
		var resp *Response
		select {
		case resp = <-p.response:
		case <-c.ctx.Done():
			// The handler is still running; its response cannot be delivered.
			stopped = true
		}
		if !stopped {
			closeAfter := p.closeAfter || c.server.isStopping() && c.closeAfterResponse()
			if err := c.writeResponse(p, resp, closeAfter); err != nil || closeAfter {
				stopped = true
				if err != nil {
					c.cancel()
				}
				if closeAfter && !p.closeAfter {
					_ = c.conn.SetReadDeadline(time.Now()) // Ends the reading goroutine.
				}
			}
		}
		if p.request != nil {
			p.request.Memory.Release()
		}
		c.endRequest()
		close(p.sent)
	}
}

// closeAfterResponse sets closing if no other request has been read, and returns it.
func (c *serverConn) closeAfterResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight == 1 && !c.reading {
		c.closing = true
	}
	return c.closing
}

func (c *serverConn) writeResponse(p *pendingResponse, resp *Response, closeAfter bool) error {
	var buf bytes.Buffer
	buf.WriteString("HTTP/1.1 ")
	buf.WriteString(strconv.Itoa(resp.Status))
	buf.WriteByte(' ')
	buf.WriteString(http.StatusText(resp.Status))
	buf.WriteString("\r\n")
	for name, values := range resp.Header {
		if isConnectionField(name) {
			continue
		}
		for _, v := range values {
			buf.WriteString(name + ": " + v + "\r\n")
		}
	}
	headRequest := p.request != nil && p.request.Method == http.MethodHead
	if !headRequest && bodyAllowed(resp.Status) {
		buf.WriteString("Content-Length: " + strconv.Itoa(len(resp.Body)) + "\r\n")
	}
	if closeAfter {
		buf.WriteString("Connection: close\r\n")
	}
	buf.WriteString("\r\n")
	var body []byte
	if !headRequest && bodyAllowed(resp.Status) {
		body = resp.Body
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return writeMessage(c.conn, &buf, body)
}

// writeMessage writes a head and a body. A large body is not copied.
func writeMessage(conn net.Conn, head *bytes.Buffer, body []byte) error {
	if len(body) <= maxInlineWriteBytes {
		head.Write(body)
		_, err := conn.Write(head.Bytes())
		return err
	}
	message := net.Buffers{head.Bytes(), body}
	_, err := message.WriteTo(conn)
	return err
}

func wantsClose(r *Request) bool {
	return r.Close || !r.ProtoAtLeast(1, 1)
}

// isSafe reports whether a method is safe by definition (RFC 9110, 9.2.1).
func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

func headerSize(h http.Header) int64 {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return int64(n)
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

func isClosed(err error) bool {
	var op *net.OpError
	return errors.Is(err, net.ErrClosed) || errors.As(err, &op)
}

// bodyAllowed reports whether a response with the status has a body.
func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
