package link

import (
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"trefoildock.example/wire"
)

// Handler authorizes peers and serves the streams that they open.
type Handler interface {
	// Verify authorizes a peer after its Hello call. An error rejects the session.
	Verify(p Peer) error
	// ServeStream serves one stream; first is its first envelope. A returned
	// error is treated as a protocol error of the peer and closes the
	// session with all its streams.
	ServeStream(p Peer, s *Stream, first *wire.Envelope) error
}

// Server accepts sessions from peers.
type Server struct {
	// Identity is sent to each peer in the response to its Hello call.
	Identity Identity
	// TLS is the server configuration, which must require and verify client
	// certificates. If it is nil, only loopback addresses are accepted, unless
	// AllowPlaintext is set.
	TLS *tls.Config
	// AllowPlaintext and DisableKeepAlive have the same meaning as in Pool.
	AllowPlaintext, DisableKeepAlive bool
	// Handler serves the streams.
	Handler Handler
	// OnError is called for each session that is rejected or that is closed after
	// a protocol error. It may be nil.
	OnError func(error)

	mu       sync.Mutex
	sessions map[*yamux.Session]struct{}
	closed   bool
	wg       sync.WaitGroup
}

// Serve accepts sessions on ln until ln is closed.
func (s *Server) Serve(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		s.wg.Go(func() {
			if err := s.serveConn(conn); err != nil && s.OnError != nil {
				s.OnError(err)
			}
		})
	}
}

// Close closes all sessions and waits until their handlers have returned.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for sess := range s.sessions {
		sess.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) serveConn(conn net.Conn) error {
	defer conn.Close()
	if err := checkPlaintext(conn, s.TLS, s.AllowPlaintext); err != nil {
		return err
	}
	certificateName := ""
	if s.TLS != nil {
		tc := tls.Server(conn, s.TLS)
		_ = conn.SetDeadline(time.Now().Add(helloTimeout))
		if err := tc.Handshake(); err != nil {
			return errors.Wrap(err, "TLS handshake")
		}
		_ = conn.SetDeadline(time.Time{})
		certificateName = peerCommonName(tc)
		conn = tc
	}
	sess, err := yamux.Server(newBatchConn(conn), sessionConfig(s.DisableKeepAlive))
	if err != nil {
		return err
	}
	defer sess.Close()
	if !s.addSession(sess) {
		return nil
	}
	defer s.removeSession(sess)
	peer, err := s.acceptHello(sess, certificateName)
	if err != nil {
		return errors.Wrapf(err, "session from %s", conn.RemoteAddr())
	}
	return s.serveStreams(sess, peer)
}

func (s *Server) serveStreams(sess *yamux.Session, peer Peer) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	defer sess.Close()
	for {
		ys, err := sess.AcceptStream()
		if err != nil {
			return nil // The session is closed.
		}
		wg.Go(func() {
			st := newStream(ys)
			defer st.Close()
			first, err := st.Recv()
			if err == nil {
				err = s.Handler.ServeStream(peer, st, first)
			}
			if err != nil && !sess.IsClosed() {
				sess.Close()
				if s.OnError != nil {
					s.OnError(errors.Wrapf(err, "session from node %s closed", peer.Node))
				}
			}
		})
	}
}

// acceptHello receives the Hello call on the first stream, verifies it and
// responds to it.
func (s *Server) acceptHello(sess *yamux.Session, certificateName string) (Peer, error) {
	timer := time.AfterFunc(helloTimeout, func() { sess.Close() })
	defer timer.Stop()
	ys, err := sess.AcceptStream()
	if err != nil {
		return Peer{}, err
	}
	st := newStream(ys)
	defer st.Close()
	first, err := st.Recv()
	if err != nil {
		return Peer{}, errors.Wrap(err, "read hello call")
	}
	hello := first.GetCall().GetHello()
	if hello == nil {
		return Peer{}, errors.New("first message is not a hello call")
	}
	peer := Peer{Node: hello.GetNode(), Incarnation: hello.GetIncarnation()}
	if err := s.checkHello(hello, peer, certificateName); err != nil {
		_ = st.Send(answerEnvelope(&wire.Answer{Error: err.Error()}))
		return Peer{}, err
	}
	return peer, st.Send(answerEnvelope(&wire.Answer{Body: &wire.Answer_Hello{Hello: &wire.HelloAnswer{
		Node: s.Identity.Node, Incarnation: s.Identity.Incarnation,
	}}}))
}

func (s *Server) checkHello(hello *wire.Hello, peer Peer, certificateName string) error {
	if hello.GetCluster() != s.Identity.Cluster {
		return errors.Newf("cluster %q is not %q", hello.GetCluster(), s.Identity.Cluster)
	}
	if certificateName != "" && certificateName != peer.Node {
		return errors.Newf("certificate of %q used by node %q", certificateName, peer.Node)
	}
	return s.Handler.Verify(peer)
}

func (s *Server) addSession(sess *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if s.sessions == nil {
		s.sessions = make(map[*yamux.Session]struct{})
	}
	s.sessions[sess] = struct{}{}
	return true
}

func (s *Server) removeSession(sess *yamux.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, sess)
}

func answerEnvelope(a *wire.Answer) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Answer{Answer: a}}
}

// peerCommonName returns the common name of the peer's certificate, or "" if the
// peer presented none.
func peerCommonName(c *tls.Conn) string {
	certs := c.ConnectionState().PeerCertificates
	if len(certs) == 0 {
		return ""
	}
	return certs[0].Subject.CommonName
}
