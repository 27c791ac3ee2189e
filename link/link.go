// Package link carries envelopes between nodes over yamux sessions.
//
// A session runs over TCP with mutual TLS. Plaintext TCP is limited to loopback
// addresses unless it is enabled explicitly. Both ends identify themselves with a
// Hello call before any other stream is accepted. Keep-alive pings detect and
// close unresponsive sessions, and a Pool replaces sessions that are closed or
// that exceed a maximum age.
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
	// keepAliveInterval is the interval between keep-alive pings of a session.
	keepAliveInterval = time.Second
	// writeTimeout bounds a session write and the wait for a keep-alive response.
	// With keep-alive, a session that loses one direction is closed within 3 s.
	writeTimeout = 2 * time.Second
	// helloTimeout bounds dialing, the TLS handshake and the Hello exchange.
	helloTimeout = 2 * time.Second
	// streamCloseTimeout is the time after which a closed stream is reset if the
	// peer has not closed its side.
	streamCloseTimeout = 2 * time.Second
	// maxSessionAge is the age at which a session is replaced, because a device on
	// the network path may drop the state of long-lived connections.
	maxSessionAge = 10 * time.Minute
)

// ErrNotSent marks a failure before any byte of the first message was written.
// The peer cannot have processed the message.
var ErrNotSent = errors.New("no data was sent to the peer")

// Peer identifies the other end of a session.
type Peer struct {
	// Node is the node name of the peer.
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
	// Cluster is the name of the deployment; it must be equal on both ends.
	Cluster string
}

// Stream is a yamux stream that carries the envelopes of one call or one request.
type Stream struct {
	conn *yamux.Stream
	r    *wire.Reader

	mu  sync.Mutex
	buf []byte
}

func newStream(s *yamux.Stream) *Stream {
	return &Stream{conn: s, r: wire.NewReader(s)}
}

// Send writes the envelopes with a single write, so that small messages share a
// packet. It is safe for concurrent use.
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

// Recv reads the next envelope. It returns io.EOF if the peer has closed its side.
func (s *Stream) Recv() (*wire.Envelope, error) { return s.r.Read() }

// SetDeadline sets the deadline of all following reads and writes; the zero time
// removes it.
func (s *Stream) SetDeadline(t time.Time) error { return s.conn.SetDeadline(t) }

// Close closes this side of the stream and unblocks a pending Recv. Recv of the
// peer then returns io.EOF.
func (s *Stream) Close() error {
	_ = s.conn.SetReadDeadline(time.Unix(1, 0))
	return s.conn.Close()
}

// sessionConfig returns the yamux configuration, which is the same on both ends.
func sessionConfig(disableKeepAlive bool) *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = !disableKeepAlive
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = writeTimeout
	c.StreamCloseTimeout = streamCloseTimeout
	c.LogOutput = io.Discard
	return c
}

// isLoopback reports whether addr is a TCP address on the loopback interface.
func isLoopback(addr net.Addr) bool {
	t, ok := addr.(*net.TCPAddr)
	return ok && t.IP.IsLoopback()
}

// checkPlaintext rejects a connection without TLS outside loopback unless allowed
// is set.
func checkPlaintext(conn net.Conn, config *tls.Config, allowed bool) error {
	if allowed || config != nil || isLoopback(conn.RemoteAddr()) {
		return nil
	}
	return errors.Newf("plaintext link with %s rejected: TLS is required outside loopback", conn.RemoteAddr())
}
