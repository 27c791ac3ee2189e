package backend

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// limitedListener closes accepted connections beyond a limit.
type limitedListener struct {
	net.Listener
	limit               int64
	openConnections     *atomic.Int64
	rejectedConnections *atomic.Uint64
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.openConnections.Add(1) <= l.limit {
			return &countedConn{Conn: conn, openConnections: l.openConnections}, nil
		}
		l.openConnections.Add(-1)
		l.rejectedConnections.Add(1)
		conn.Close()
	}
}

type countedConn struct {
	net.Conn
	once            sync.Once
	openConnections *atomic.Int64
}

// Close closes the connection and removes it from the count of open connections.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.openConnections.Add(-1) })
	return c.Conn.Close()
}

// acceptor opens and closes the listener of an HTTP server. While the listener is
// closed, the kernel refuses new connections and open ones keep working.
type acceptor struct {
	srv                 *http.Server
	limit               int64
	openConnections     atomic.Int64
	rejectedConnections atomic.Uint64

	mu       sync.Mutex
	address  string
	listener net.Listener // nil while closed
	serving  sync.WaitGroup
}

// start listens on address and serves. It does nothing if the listener is open.
func (a *acceptor) start() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.listener != nil {
		return nil
	}
	l, err := net.Listen("tcp", a.address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	a.listener = l
	a.address = l.Addr().String() // A reopened listener keeps the port.
	limited := &limitedListener{Listener: l, limit: a.limit, openConnections: &a.openConnections, rejectedConnections: &a.rejectedConnections}
	a.serving.Go(func() {
		_ = a.srv.Serve(limited) // Returns an error when the listener is closed.
	})
	return nil
}

// stop closes the listener and keeps open connections.
func (a *acceptor) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.listener != nil {
		a.listener.Close()
		a.listener = nil
	}
}

func (a *acceptor) addr() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.address
}
