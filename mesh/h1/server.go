package h1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"trefoildock.example/mesh/bodymem"
)

const (
	// maxPipelined is the number of requests on one connection that are handled while
	// the response to an earlier one is pending. A further request is handled once a
	// response has been sent.
	maxPipelined = 16
	// writeTimeout bounds the write of a response.
	writeTimeout = 10 * time.Second
	// readBufferBytes is the buffer size that holds a typical request head.
	readBufferBytes = 2 << 10
	// headerReadAheadBytes is the number of bytes that may be buffered beyond the
	// header limit.
	headerReadAheadBytes = 4 << 10
	// lingerTimeout bounds the time for which a connection is drained after its last
	// response, so that the caller reads the response before it receives a reset.
	lingerTimeout = 500 * time.Millisecond
	// lingerBytes bounds the bytes that are drained. The rest of a refused body is drained
	// too, within lingerTimeout.
	lingerBytes = 256 << 10
	// bodyMemoryWait bounds the wait for the memory of a large body. Meanwhile the body stays
	// at the caller.
	bodyMemoryWait = 2 * time.Second
)

// Request is a request of a caller with its complete body.
type Request struct {
	*http.Request
	// Payload is the complete body.
	Payload []byte
	// Received is the time at which the request head was complete.
	Received time.Time
	// Memory holds the bodies of the request and its response until that was sent; nil means
	// no limit.
	Memory *bodymem.Reservation
}

// Response is a complete response to a caller.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Limits holds the limits on the size of a request and the time to receive it; 0
// means no limit.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Handler handles requests. Its context ends when the caller closes the connection.
type Handler interface {
	Handle(ctx context.Context, r *Request) *Response
}

// Server accepts the connections of callers.
type Server struct {
	Handler Handler
	// Bodies is the memory for the bodies of all connections; nil means no limit.
	Bodies *bodymem.Budget
	// Limits returns the current limits.
	Limits func() Limits
	// OnPanic returns the response to a request whose handler has panicked.
	OnPanic func(cause any) *Response
	// Refuse returns the response to a request that exceeds a limit or cannot be parsed.
	Refuse func(status int, reason string) *Response

	mu       sync.Mutex
	conns    map[*serverConn]struct{}
	stopping bool
	closed   bool
	active   int // requests in flight on all connections
	wg       sync.WaitGroup
}

// Serve accepts connections until ln is closed.
func (s *Server) Serve(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		c := s.newConn(conn)
		if c == nil {
			conn.Close()
			continue
		}
		s.wg.Go(c.serve)
	}
}

// Stop closes idle connections and closes each other connection after its next
// response. New connections are still accepted, because callers detect the
// shutdown only through the readiness check.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	for c := range s.conns {
		c.closeIfIdle()
	}
}

// Active returns the number of requests that were read and whose response has not yet
// been sent.
func (s *Server) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close closes all connections and waits for their goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		c.cancel() // Closing the connection does not wake a goroutine that waits for a response.
		c.conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

func (s *Server) newConn(conn net.Conn) *serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	if s.conns == nil {
		s.conns = make(map[*serverConn]struct{})
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &serverConn{server: s, conn: conn, ctx: ctx, cancel: cancel, responses: make(chan *pendingResponse, maxPipelined)}
	c.limitedReader = &io.LimitedReader{R: conn}
	c.br = bufio.NewReaderSize(c.limitedReader, readBufferBytes)
	s.conns[c] = struct{}{}
	return c
}
