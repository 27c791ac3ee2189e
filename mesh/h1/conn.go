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
)

// pending is a request whose answer must be sent in its turn.
type pending struct {
	request *Request
	answer  chan *Answer
	last    bool
	// sent is closed once the answer was written or the connection failed.
	sent chan struct{}
}

// serverConn is one connection of a caller. One goroutine reads requests and
// notices when the caller leaves, another writes the answers in order.
type serverConn struct {
	server  *Server
	conn    net.Conn
	ctx     context.Context //nolint:containedctx // ends with the connection
	cancel  func()
	limited *io.LimitedReader
	br      *bufio.Reader
	answers chan *pending
	// latest is the request that was read last; it belongs to the reading goroutine.
	latest *pending

	mu sync.Mutex
	// open is the number of requests read and not yet answered.
	open int
	// reading is true while part of a request has arrived.
	reading bool
	// closing is set before the last answer of the connection is sent.
	closing bool
}

func (c *serverConn) serve() {
	written := make(chan struct{})
	go func() { defer close(written); c.write() }()
	c.read()
	close(c.answers)
	<-written
	c.cancel()
	c.conn.Close()
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
}

// closeIfIdle ends a connection on which no request is under way. s.mu is held.
func (c *serverConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == 0 && !c.reading {
		c.conn.Close()
	}
}

// begin counts a request; the connection is no longer idle. It returns false if
// the connection is about to end, so that the request must not run.
func (c *serverConn) begin() bool {
	c.mu.Lock()
	closing := c.closing
	if !closing {
		c.open++
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

func (c *serverConn) end() {
	c.server.mu.Lock()
	c.server.active--
	c.server.mu.Unlock()
	c.mu.Lock()
	c.open--
	c.mu.Unlock()
}

func (c *serverConn) setReading(reading bool) {
	c.mu.Lock()
	c.reading = reading
	c.mu.Unlock()
}

// read parses requests until the caller leaves, a request ends the connection,
// or the input is not HTTP.
func (c *serverConn) read() {
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
		if !c.begin() {
			return // The connection ends with the answer before this request.
		}
		p := &pending{request: r, answer: make(chan *Answer, 1), sent: make(chan struct{})}
		p.last = refusal != nil || wantsClose(r) || c.server.isStopping()
		previous := c.latest
		c.latest = p
		c.answers <- p
		if refusal != nil {
			p.answer <- refusal
			c.watchClose(p)
			return
		}
		if !isRead(r.Method) && previous != nil {
			// A request that may not be repeated runs only after the answers before
			// it were sent: a connection that ends with one of them would leave
			// this request unread in the eyes of the caller.
			select {
			case <-previous.sent:
			case <-c.ctx.Done():
			}
		}
		go func() { p.answer <- c.server.Handler.Handle(c.ctx, r) }()
		if p.last {
			c.watchClose(p)
			return
		}
	}
}

// watchClose waits for the last answer of the connection and meanwhile notices
// a caller that leaves.
func (c *serverConn) watchClose(p *pending) {
	_ = c.conn.SetReadDeadline(time.Time{})
	go func() {
		<-p.sent
		_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		if tcp, ok := c.conn.(interface{ CloseWrite() error }); ok {
			_ = tcp.CloseWrite() // The peer may be gone.
		}
	}()
	c.limited.N = lingerBytes
	if _, err := io.Copy(io.Discard, c.br); err == nil || !isTimeout(err) {
		c.cancel()
	}
	<-p.sent
}

// awaitRequest waits for the first byte of a request. It returns false when
// the connection has ended or stayed idle for too long.
func (c *serverConn) awaitRequest(limits Limits) bool {
	c.limited.N = 1 << 62
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
		busy := c.open > 0
		c.mu.Unlock()
		if isTimeout(err) && (busy || time.Since(idleSince) < limits.IdleTimeout) {
			continue // The caller waits for an answer.
		}
		if !isTimeout(err) {
			c.cancel()
		}
		return false
	}
}

// readRequest reads one request with its body. It returns a refusal for a
// request that breaks a limit or cannot be parsed, and neither if the caller left.
func (c *serverConn) readRequest(limits Limits) (*Request, *Answer) {
	started := time.Now()
	if limits.HeaderTimeout > 0 {
		_ = c.conn.SetReadDeadline(started.Add(limits.HeaderTimeout))
	}
	if limits.HeaderBytes > 0 {
		c.limited.N = max(limits.HeaderBytes+headerSlop-int64(c.br.Buffered()), 0)
	}
	parsed, err := http.ReadRequest(c.br)
	if err != nil {
		return nil, c.refusalOf(err)
	}
	c.limited.N = 1 << 62
	r := &Request{Request: parsed, Received: time.Now()}
	if headerSize(parsed.Header) > limits.HeaderBytes && limits.HeaderBytes > 0 {
		return nil, c.server.Refuse(http.StatusRequestHeaderFieldsTooLarge, "header is larger than the limit")
	}
	if parsed.Host == "" || strings.ContainsAny(parsed.Host, " /\\@") {
		return nil, c.server.Refuse(http.StatusBadRequest, "request without a valid host")
	}
	return c.readBody(r, limits)
}

func (c *serverConn) readBody(r *Request, limits Limits) (*Request, *Answer) {
	if r.ContentLength == 0 {
		return r, nil
	}
	if limits.BodyBytes > 0 && r.ContentLength > limits.BodyBytes {
		return nil, c.server.Refuse(http.StatusRequestEntityTooLarge, "body is larger than the limit")
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil
		}
	}
	if limits.IdleTimeout > 0 {
		_ = c.conn.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	}
	var body io.Reader = r.Body
	if limits.BodyBytes > 0 {
		body = io.LimitReader(r.Body, limits.BodyBytes+1)
	}
	payload, err := io.ReadAll(body)
	if err != nil {
		return nil, c.refusalOf(err)
	}
	if limits.BodyBytes > 0 && int64(len(payload)) > limits.BodyBytes {
		return nil, c.server.Refuse(http.StatusRequestEntityTooLarge, "body is larger than the limit")
	}
	r.Payload = payload
	return r, nil
}

// refusalOf maps a failed read to an answer, or nil if the caller left.
func (c *serverConn) refusalOf(err error) *Answer {
	switch {
	case c.limited.N <= 0:
		return c.server.Refuse(http.StatusRequestHeaderFieldsTooLarge, "header is larger than the limit")
	case isTimeout(err):
		return c.server.Refuse(http.StatusRequestTimeout, "request was not complete in time")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isClosed(err):
		return nil
	default:
		return c.server.Refuse(http.StatusBadRequest, "request cannot be parsed")
	}
}

// write sends the answers in the order of their requests.
func (c *serverConn) write() {
	failed := false
	for p := range c.answers {
		var a *Answer
		select {
		case a = <-p.answer:
		case <-c.ctx.Done():
			// The handler still runs; its answer has no reader.
			failed = true
		}
		if !failed {
			last := p.last || c.server.isStopping() && c.closeAfterThis()
			if err := c.send(p, a, last); err != nil || last {
				failed = true
				if err != nil {
					c.cancel()
				}
				if last && !p.last {
					_ = c.conn.SetReadDeadline(time.Now()) // Ends the reading goroutine.
				}
			}
		}
		c.end()
		close(p.sent)
	}
}

// closeAfterThis marks the connection as closing if nothing else was read on it.
func (c *serverConn) closeAfterThis() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == 1 && !c.reading {
		c.closing = true
	}
	return c.closing
}

func (c *serverConn) send(p *pending, a *Answer, last bool) error {
	var buf bytes.Buffer
	buf.Grow(512 + len(a.Body))
	buf.WriteString("HTTP/1.1 ")
	buf.WriteString(strconv.Itoa(a.Status))
	buf.WriteByte(' ')
	buf.WriteString(http.StatusText(a.Status))
	buf.WriteString("\r\n")
	for name, values := range a.Header {
		if isConnectionField(name) {
			continue
		}
		for _, v := range values {
			buf.WriteString(name + ": " + v + "\r\n")
		}
	}
	head := p.request != nil && p.request.Method == http.MethodHead
	if !head && bodyAllowed(a.Status) {
		buf.WriteString("Content-Length: " + strconv.Itoa(len(a.Body)) + "\r\n")
	}
	if last {
		buf.WriteString("Connection: close\r\n")
	}
	buf.WriteString("\r\n")
	if !head && bodyAllowed(a.Status) {
		buf.Write(a.Body)
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.conn.Write(buf.Bytes())
	return err
}

func wantsClose(r *Request) bool {
	return r.Close || !r.ProtoAtLeast(1, 1)
}

// isRead reports whether a method is safe by definition (RFC 9110, 9.2.1).
func isRead(method string) bool {
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

// bodyAllowed reports whether an answer with the status has a body.
func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
