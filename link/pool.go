package link

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"trefoildock.example/wire"
)

// Pool keeps one session per peer address and dials anew when it has failed.
type Pool struct {
	// Identity is sent to each peer.
	Identity Identity
	// TLS presents the client certificate; nil allows loopback only.
	TLS *tls.Config
	// Plain allows links without TLS outside loopback, on a network that only the
	// nodes of the deployment can reach.
	Plain bool
	// QuietLinks leaves the detection of dead peers to the TCP keep-alive of the
	// connections that Dial opens, which needs no processor time of the process.
	QuietLinks bool
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu       sync.Mutex
	sessions map[string]*session
	closed   bool
}

// session is one dialled session or the attempt to dial it.
type session struct {
	ready chan struct{}
	err   error
	mux   *yamux.Session
	peer  Peer
	born  time.Time
}

// Open opens a stream to the node at address. An error from Open always
// satisfies errors.Is(err, ErrNotSent).
func (p *Pool) Open(ctx context.Context, address string) (*Stream, Peer, error) {
	sess, err := p.session(ctx, address)
	if err != nil {
		return nil, Peer{}, errors.Mark(err, ErrNotSent)
	}
	ys, err := sess.mux.OpenStream()
	if err != nil {
		p.drop(address, sess)
		return nil, Peer{}, errors.Mark(errors.Wrapf(err, "open stream to %s", address), ErrNotSent)
	}
	return newStream(ys), sess.peer, nil
}

// Call sends one call and returns its answer. An answer with an error text is
// returned as an error.
func (p *Pool) Call(ctx context.Context, address string, call *wire.Call) (*wire.Answer, error) {
	st, _, err := p.Open(ctx, address)
	if err != nil {
		return nil, err
	}
	defer st.Close()
	return st.call(ctx, call)
}

func (s *Stream) call(ctx context.Context, call *wire.Call) (*wire.Answer, error) {
	if deadline, ok := ctx.Deadline(); ok {
		_ = s.SetDeadline(deadline)
	}
	// A peer that refuses the call may close the session before the write is
	// confirmed here; its answer is then already in the receive buffer.
	sendErr := s.Send(&wire.Envelope{Body: &wire.Envelope_Call{Call: call}})
	reply, err := s.Recv()
	if err != nil {
		return nil, errors.CombineErrors(sendErr, err)
	}
	a := reply.GetAnswer()
	if a == nil {
		return nil, errors.New("reply is not an answer")
	}
	if a.GetError() != "" {
		return nil, errors.Newf("peer refused the call: %s", a.GetError())
	}
	return a, nil
}

// Connected reports whether a live session to address exists.
func (p *Pool) Connected(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.sessions[address]
	return s != nil && s.usable()
}

// Close closes all sessions.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, s := range p.sessions {
		if s.usable() {
			s.mux.Close()
		}
	}
}

// Forget closes the session to address, for a node that has left.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	s := p.sessions[address]
	delete(p.sessions, address)
	p.mu.Unlock()
	if s != nil && s.usable() {
		s.mux.Close()
	}
}

func (s *session) usable() bool {
	select {
	case <-s.ready:
		return s.err == nil && !s.mux.IsClosed()
	default:
		return false
	}
}

// session returns the live session to address, dialling it if needed. Callers
// that arrive during a dial share it.
func (p *Pool) session(ctx context.Context, address string) (*session, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, errors.New("link pool is closed")
	}
	s := p.sessions[address]
	if s != nil && p.expired(s) {
		p.retire(s)
		s = nil
	}
	if s == nil {
		s = &session{ready: make(chan struct{})}
		if p.sessions == nil {
			p.sessions = make(map[string]*session)
		}
		p.sessions[address] = s
		go p.dial(address, s)
	}
	p.mu.Unlock()
	select {
	case <-s.ready:
		return s, s.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// expired reports whether a finished session must be replaced.
func (p *Pool) expired(s *session) bool {
	select {
	case <-s.ready:
		return s.err != nil || s.mux.IsClosed() || time.Since(s.born) > maxSessionAge
	default:
		return false
	}
}

// retire closes an old session once its running streams have had time to end.
func (p *Pool) retire(s *session) {
	if s.err != nil || s.mux.IsClosed() {
		return
	}
	_ = s.mux.GoAway()
	time.AfterFunc(time.Minute, func() { s.mux.Close() })
}

func (p *Pool) drop(address string, s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sessions[address] == s {
		delete(p.sessions, address)
	}
	s.mux.Close()
}

func (p *Pool) dial(address string, s *session) {
	ctx, cancel := context.WithTimeout(context.Background(), helloTimeout)
	defer cancel()
	s.mux, s.peer, s.err = p.connect(ctx, address)
	s.born = time.Now()
	close(s.ready)
}

func (p *Pool) connect(ctx context.Context, address string) (*yamux.Session, Peer, error) {
	dial := p.Dial
	if dial == nil {
		dial = dialTCP
	}
	conn, err := dial(ctx, address)
	if err != nil {
		return nil, Peer{}, errors.Wrapf(err, "dial %s", address)
	}
	if err := checkPlain(conn, p.TLS, p.Plain); err != nil {
		conn.Close()
		return nil, Peer{}, err
	}
	conn, err = p.secure(ctx, conn)
	if err != nil {
		return nil, Peer{}, err
	}
	mux, err := yamux.Client(newBatchConn(conn), sessionConfig(p.QuietLinks))
	if err != nil {
		conn.Close()
		return nil, Peer{}, err
	}
	peer, err := p.sayHello(ctx, mux)
	if err == nil {
		err = checkCertificate(conn, peer)
	}
	if err != nil {
		mux.Close()
		return nil, Peer{}, errors.Wrapf(err, "hello to %s", address)
	}
	return mux, peer, nil
}

// checkCertificate refuses a peer that uses the certificate of another node.
func checkCertificate(conn net.Conn, peer Peer) error {
	tc, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	if name := peerName(tc); name != peer.Node {
		return errors.Newf("certificate of %q used by node %q", name, peer.Node)
	}
	return nil
}

func (p *Pool) secure(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if p.TLS == nil {
		return conn, nil
	}
	tc := tls.Client(conn, p.TLS)
	if err := tc.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, errors.Wrap(err, "TLS handshake")
	}
	return tc, nil
}

func (p *Pool) sayHello(ctx context.Context, mux *yamux.Session) (Peer, error) {
	ys, err := mux.OpenStream()
	if err != nil {
		return Peer{}, err
	}
	st := newStream(ys)
	defer st.Close()
	a, err := st.call(ctx, &wire.Call{Body: &wire.Call_Hello{Hello: &wire.Hello{
		Node: p.Identity.Node, Incarnation: p.Identity.Incarnation, Cluster: p.Identity.Cluster,
	}}})
	if err != nil {
		return Peer{}, err
	}
	h := a.GetHello()
	if h == nil {
		return Peer{}, errors.New("answer is not a hello answer")
	}
	return Peer{Node: h.GetNode(), Incarnation: h.GetIncarnation()}, nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}
