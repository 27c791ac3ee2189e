package h1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// maxPipelined is the number of requests of one connection that are handled
	// at once. Further ones stay unread until an answer has been sent.
	maxPipelined = 16
	// writeTimeout bounds the time that a caller takes to accept an answer.
	writeTimeout = 10 * time.Second
	// readBufferBytes holds a typical request head.
	readBufferBytes = 2 << 10
	// headerSlop is what the buffer may read beyond the header limit.
	headerSlop = 4 << 10
	// lingerTimeout bounds how long a closed connection is drained, so that the
	// caller reads the last answer before it sees a reset.
	lingerTimeout = 500 * time.Millisecond
	// lingerBytes bounds what is drained.
	lingerBytes = 256 << 10
)

// Request is one request of a caller with its whole body.
type Request struct {
	*http.Request
	// Payload is the body.
	Payload []byte
	// Received is the time at which the head was complete.
	Received time.Time
}

// Answer is a whole answer to a caller.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Limits bound what a caller may send and how long it may take. A value of 0
// means no limit.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Handler answers requests. Its context ends when the caller has left.
type Handler interface {
	Handle(ctx context.Context, r *Request) *Answer
}

// Server accepts the connections of callers.
type Server struct {
	Handler Handler
	// Limits returns the limits in force.
	Limits func() Limits
	// Refuse answers a request that breaks a limit or cannot be parsed.
	Refuse func(status int, reason string) *Answer

	mu       sync.Mutex
	conns    map[*serverConn]struct{}
	stopping bool
	closed   bool
	active   int // requests read and not yet answered
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

// Stop closes idle connections and lets every further answer end its
// connection. New connections are still served, because callers learn of the
// stop only by the readiness question.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	for c := range s.conns {
		c.closeIfIdle()
	}
}

// Active returns the number of requests that were read and not yet answered.
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

// Close cuts all connections and waits for their goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		c.cancel() // A connection that waits for an answer reads nothing.
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
	c := &serverConn{server: s, conn: conn, ctx: ctx, cancel: cancel, answers: make(chan *pending, maxPipelined)}
	c.limited = &io.LimitedReader{R: conn}
	c.br = bufio.NewReaderSize(c.limited, readBufferBytes)
	s.conns[c] = struct{}{}
	return c
}
