// Package link carries envelopes between nodes over yamux sessions.
//
// A session runs over TCP with mutual TLS, or over plain TCP on loopback
// addresses only. Both ends identify themselves with a Hello call before any
// other stream is accepted. Keep-alive closes a session that has gone silent,
// and a Pool replaces sessions that are closed or older than a bound.
package link

import (
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"trefoildock.example/wire"
)

const (
	// keepAliveInterval is the time between keep-alive pings of a session.
	keepAliveInterval = time.Second
	// writeTimeout bounds a session write and the wait for a keep-alive reply.
	// A session that is cut in one direction is closed within 3 s.
	writeTimeout = 2 * time.Second
	// helloTimeout bounds dialling, the TLS handshake and the Hello exchange.
	helloTimeout = 2 * time.Second
	// streamCloseTimeout resets a stream whose peer does not close it too.
	streamCloseTimeout = 2 * time.Second
	// maxSessionAge replaces long-lived sessions whose path may have lost state.
	maxSessionAge = 10 * time.Minute
)

// ErrNotSent marks a failure before any byte of the first message was written,
// so that the peer cannot have acted on it.
var ErrNotSent = errors.New("nothing was sent to the peer")

// Peer identifies the other end of a session.
type Peer struct {
	// Node is the name of the peer.
	Node string
	// Incarnation distinguishes successive processes of the same node.
	Incarnation string
}

// Identity describes this end of every session.
type Identity struct {
	// Node is the name of this node.
	Node string
	// Incarnation is unique for each start of the process.
	Incarnation string
	// Cluster must be equal on both ends.
	Cluster string
}

// Stream carries the envelopes of one call or one request.
type Stream struct {
	conn *yamux.Stream
	r    *wire.Reader

	mu  sync.Mutex
	buf []byte
}

func newStream(s *yamux.Stream) *Stream {
	return &Stream{conn: s, r: wire.NewReader(s)}
}

// Send writes the envelopes in one write, so that small messages share a packet.
// It is safe for concurrent use.
func (s *Stream) Send(es ...*wire.Envelope) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	buf := s.buf[:0]
	for _, e := range es {
		var err error
		if buf, err = wire.Append(buf, e); err != nil {
			return err
		}
	}
	s.buf = buf
	_, err := s.conn.Write(buf)
	return err
}

// Recv reads the next envelope. It returns io.EOF when the peer has closed its side.
func (s *Stream) Recv() (*wire.Envelope, error) { return s.r.Read() }

// SetDeadline bounds all following reads and writes; the zero time removes the bound.
func (s *Stream) SetDeadline(t time.Time) error { return s.conn.SetDeadline(t) }

// Close closes this side of the stream and unblocks a pending Recv. The peer
// then reads io.EOF.
func (s *Stream) Close() error {
	_ = s.conn.SetReadDeadline(time.Unix(1, 0))
	return s.conn.Close()
}

// sessionConfig returns the yamux settings shared by both ends.
func sessionConfig(quiet bool) *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = !quiet
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = writeTimeout
	c.StreamCloseTimeout = streamCloseTimeout
	c.LogOutput = io.Discard
	return c
}

// isLoopback reports whether addr is on this machine.
func isLoopback(addr net.Addr) bool {
	t, ok := addr.(*net.TCPAddr)
	return ok && t.IP.IsLoopback()
}

// checkPlain refuses a session without TLS outside loopback, unless it is allowed.
func checkPlain(conn net.Conn, config *tls.Config, allowed bool) error {
	if allowed || config != nil || isLoopback(conn.RemoteAddr()) {
		return nil
	}
	return errors.Newf("plain text link with %s refused: only loopback may go without TLS", conn.RemoteAddr())
}
